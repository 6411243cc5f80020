package decision

// timers says what is due by the time alone: the check of attempts, the end of an interval, messages to peers and
// polls of discovery; and when the host is to call again for that.
type timers struct {
	checkAt     Time // of the attempts in flight
	intervalAt  Time
	reportAt    Time // to peers, of demand and use
	suspicionAt Time // to peers, of ejected servers
	pollAt      Time // 0: never
	polling     bool // a poll is under way
	hostAt      Time // what the host's timer was last set to
}

func newTimers(now Time, poll bool) timers {
	t := timers{checkAt: now, intervalAt: now + interval, reportAt: now + reportEvery, suspicionAt: now + reportEvery}
	if poll {
		t.pollAt = now
	}
	return t
}

// startCheck tells whether the check of attempts is due, and sets the next one.
func (t *timers) startCheck(now Time, c *config) bool {
	if now < t.checkAt {
		return false
	}
	t.checkAt = now + c.checkInterval()
	return true
}

// startReport tells whether a report to peers is due, and sets the next one. Owners are notified at once: of a customer's
// use they have no other sign.
func (t *timers) startReport(now Time, c *config) bool {
	if c.nodes <= 1 || !c.peers || now < t.reportAt && (!c.owners || now <= t.reportAt-reportEvery) {
		return false
	}
	t.reportAt = now + reportEvery
	return true
}

// startSuspicions tells whether a message on ejected servers is due, and sets the next one.
func (t *timers) startSuspicions(now Time, c *config) bool {
	if c.nodes <= 1 || !c.peers || now < t.suspicionAt {
		return false
	}
	t.suspicionAt = now + interval
	return true
}

// startPoll tells whether discovery is to be polled now.
func (t *timers) startPoll(now Time) bool {
	due := t.pollAt > 0 && now >= t.pollAt && !t.polling
	t.polling = t.polling || due
	return due
}

// pollFailed sets the next poll. A failure that is reported twice counts once.
func (t *timers) pollFailed(now Time, within float64, rng *random) {
	if t.polling {
		t.polling, t.pollAt = false, now+pollDelay(within, rng)
	}
}

// setHost tells whether the host's timer is to be set, and how far ahead.
func (t *timers) setHost(now Time) (Time, bool) {
	if t.hostAt > now {
		return 0, false
	}
	t.hostAt = t.checkAt
	return t.checkAt - now, true
}
