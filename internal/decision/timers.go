package decision

import "cherrygap/internal/numeric"

// timers holds the times of this node's periodic tasks: attempt checks, control intervals, messages to peers, and polls
// of discovery. The host's timer is set for the next attempt check only. Each call of Engine.Next starts the check, the
// messages and the poll that are due. The check also closes a control interval that is over.
type timers struct {
	checkAt     Time // next attempt check
	intervalAt  Time // end of the control interval
	reportAt    Time // next usage report to peers
	suspicionAt Time // next message with suspicions to peers
	pollAt      Time // next poll of discovery; 0: discovery pushes its lists
	polling     bool // a poll has begun and has not failed
	hostAt      Time // time for which the host's timer is set; 0 before it is first set
}

const (
	checksPerObjective    = 30              // attempt checks in the shortest latency objective
	minCheckInterval      = 1               // shortest time between two attempt checks, in units of Time
	maxPollDelayIntervals = 3.0             // longest delay of a poll after a failed one, in control intervals
	minPollDelayRatio     = 0.34            // least delay of a poll, as a share of the longest
	suspicionInterval     = controlInterval // time between two messages with suspicions
)

// newTimers returns the timers of a node that starts now. Polls begin at once if the settings ask for them.
func newTimers(now Time, cfg *config) timers {
	t := timers{
		checkAt: now, intervalAt: now + controlInterval, reportAt: now + reportInterval, suspicionAt: now + reportInterval,
	}
	if cfg.pollEndpoints {
		t.pollAt = now
	}
	return t
}

// checkInterval returns the time between two attempt checks.
func (c *config) checkInterval() Time {
	return max(c.tick, c.shortestObjective/checksPerObjective, minCheckInterval)
}

// startCheckIfDue reports whether an attempt check is due. If so, it sets the time of the next one.
func (t *timers) startCheckIfDue(now Time, cfg *config) bool {
	if now < t.checkAt {
		return false
	}
	t.checkAt = now + cfg.checkInterval()
	return true
}

// startReportIfDue reports whether usage reports to peers are due. If so, it sets the time of the next ones. Quota owners
// receive reports without delay: they have no other information on the use.
func (t *timers) startReportIfDue(now Time, cfg *config) bool {
	if !cfg.sendsToPeers() {
		return false
	}
	due := now >= t.reportAt
	if cfg.usesOwners {
		lastReportAt := t.reportAt - reportInterval
		due = now > lastReportAt
	}
	if !due {
		return false
	}
	t.reportAt = now + reportInterval
	return true
}

// startSuspicionsIfDue reports whether suspicions to peers are due. If so, it sets the time of the next ones.
func (t *timers) startSuspicionsIfDue(now Time, cfg *config) bool {
	if !cfg.sendsToPeers() || now < t.suspicionAt {
		return false
	}
	t.suspicionAt = now + suspicionInterval
	return true
}

// sendsToPeers reports whether this node has peers that receive messages.
func (c *config) sendsToPeers() bool { return c.nodes > 1 && c.peersEnabled }

// startPollIfDue reports whether discovery is to be polled now. No other poll is due until this one fails. After a
// success, the host continues to receive updates from discovery.
func (t *timers) startPollIfDue(now Time) bool {
	due := t.pollAt > 0 && now >= t.pollAt && !t.polling
	t.polling = t.polling || due
	return due
}

// pollFailed sets the time of the next poll. The settings' limit, pollWithin, is in units of Time. The call has no effect
// unless a poll has begun and has not failed yet.
func (t *timers) pollFailed(now Time, pollWithin float64, rng *random) {
	if t.polling {
		t.polling = false
		t.pollAt = now + pollDelay(pollWithin, rng)
	}
}

// pollDelay returns a random delay before discovery is polled again. Without randomness, nodes that start together
// would poll in step. The delay does not grow with the number of failures: the node must receive a list soon after
// discovery is reachable again.
func pollDelay(pollWithin float64, rng *random) Time {
	longest := min(maxPollDelayIntervals*float64(controlInterval), max(float64(controlInterval), pollWithin))
	return numeric.Truncate[Time](longest * (minPollDelayRatio + (1-minPollDelayRatio)*rng.unit()))
}

// nextHostTimer returns the delay for which the host's timer is to be set, and false if it is already set.
func (t *timers) nextHostTimer(now Time) (Time, bool) {
	if t.hostAt > now {
		return 0, false
	}
	t.hostAt = t.checkAt
	return t.checkAt - now, true
}
