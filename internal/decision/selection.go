package decision

// selection is a smooth weighted round robin over the servers that may take a request.
//
//   - Inputs: the servers' listed sizes, the durations and outcomes of attempts, the attempts in flight.
//   - State: each server's pace and rotation credit. The pace is the mean duration of attempts, in usual latencies of
//     their class.
//   - Rule: a server's weight is its size over its pace. Each selection adds a server's weight to its credit and takes
//     the sum of the weights from the selected server. Servers above their share of the attempts in flight are left out.
//   - Protects against: queues at smaller or slower servers. The limit on attempts in flight reacts to a slowdown before
//     the pace does.
//   - Trade-off: a server that received long requests has less weight for a while.
type selection struct {
	config *config
	paces  decayingMean // sum of the usable tracked servers' paces; each attempt check sums them again
}

const (
	paceTimeConstant    = 5 * controlInterval // time constant of the decaying mean of a server's pace
	pacePriorAttempts   = 6.0                 // weight of the mean pace in a server's pace, in attempts
	lateCancelLatencies = 1                   // usual latencies above which a cancelled attempt counts for the pace
)

// selectionPass is one pass over the candidates. Each pass accepts more servers than the one before.
type selectionPass uint8

const (
	passSubset  selectionPass = iota // servers of the subset that are not ejected, capped or tried
	passTracked                      // tracked servers that are not ejected, capped or tried
	passTried                        // servers that are not ejected
	passEjected                      // all eligible servers
	selectionPasses
)

// rotationRole is the role of a server in one selection of the rotation.
type rotationRole uint8

const (
	roleRegular   rotationRole = iota // the server is a candidate by its weight and credit
	roleSkipped                       // a warming server is left out
	rolePreferred                     // a warming server is selected before all regular ones
)

// serverAdded sets the rotation credit of a new server, where listed is the number in updateServer. The credit is
// random: nodes that start together must not begin with the same servers.
func (l *selection) serverAdded(s *server, listed int, rng *random) {
	s.rotationCredit = (rng.unit() - 0.5) * s.Weight * float64(min(listed, minTrackedServers))
}

// attemptEnded updates a server's pace from an attempt's duration in usual latencies. An attempt without a response
// counts as one usual latency at least. Other outcomes have no effect.
func (l *selection) attemptEnded(s *server, outcome Outcome, latencies float64, now Time) {
	switch outcome {
	case Succeeded:
	case TimedOut, ConnectFailed, ConnectionReset:
		latencies = max(1, latencies)
	case Cancelled:
		late := latencies > lateCancelLatencies
		if !late {
			return
		}
	default:
		return
	}
	s.pace.add(latencies, now, paceTimeConstant)
	if s.usable() {
		l.paces.add(latencies, now, paceTimeConstant)
	}
}

// sumPaces sets the sum of the paces of the usable tracked servers.
func (l *selection) sumPaces(e *endpointSet, now Time) {
	l.paces = decayingMean{at: now}
	for _, i := range e.tracked {
		s := &e.servers[i]
		if !s.usable() {
			continue
		}
		s.pace.decayTo(now, paceTimeConstant)
		l.paces.sum += s.pace.sum
		l.paces.count += s.pace.count
	}
}

// meanPace returns the mean pace of the usable tracked servers, or 1 while it is unknown.
func (l *selection) meanPace(now Time) float64 {
	l.paces.decayTo(now, paceTimeConstant)
	if l.paces.count < 1 || l.paces.sum <= 0 {
		return 1
	}
	return l.paces.sum / l.paces.count
}

// weigh returns a server's weight: its size over its pace relative to the mean pace.
func (l *selection) weigh(s *server, meanPace float64, now Time) float64 {
	s.pace.decayTo(now, paceTimeConstant)
	pace := (s.pace.sum + pacePriorAttempts*meanPace) / (s.pace.count + pacePriorAttempts) / meanPace
	return s.size() / pace
}

// ranksBefore reports whether a pass selects server a before server b. With quota owners a node has few attempts in
// flight at a time. Then the server with the fewest attempts for its weight comes first, and credit decides ties.
func (l *selection) ranksBefore(a, b *server, pass selectionPass) bool {
	loadA := float64(a.inFlight) * b.rotationWeight
	loadB := float64(b.inFlight) * a.rotationWeight
	if l.config.usesOwners && pass == passSubset && loadA != loadB {
		return loadA < loadB
	}
	return a.rotationCredit > b.rotationCredit
}

// capped reports whether a server has its share of the candidates' attempts in flight.
func (c *candidates) capped(s *server) bool {
	return float64(s.inFlight) >= max(1, (c.inFlight+1)*s.rotationWeight/c.weightSum)
}

// pick returns the server for a request's next attempt, or -1 if no server may take it.
func (e *Engine) pick(r *request) serverSlot {
	c, widened := e.weighAll(r, e.endpoints.subset), false
	for pass := range selectionPasses {
		if pass == passTracked && !e.config.usesOwners { // subsetChoice tracks no server beyond the subset
			continue
		}
		if pass > passSubset && !widened {
			c, widened = e.weighAll(r, e.beyondSubset(r)), true
		}
		if i := e.rotate(r, &c, pass); i >= 0 {
			return i
		}
	}
	return -1
}

// rotate selects among the candidates that a pass accepts, and updates their rotation credit. It returns the selected
// server, or -1 if there is none.
func (e *Engine) rotate(r *request, c *candidates, pass selectionPass) serverSlot {
	best, preferred, weightSum := serverSlot(-1), serverSlot(-1), 0.0
	servers := e.endpoints.servers
	for _, i := range c.slots {
		s := &servers[i]
		if s.rotationWeight <= 0 || !e.accepts(r, c, i, pass) {
			continue
		}
		role := e.roleOf(s, pass)
		if role == rolePreferred && (preferred < 0 || s.rotationCredit > servers[preferred].rotationCredit) {
			preferred = i
		}
		if role != roleRegular {
			continue
		}
		s.rotationCredit += s.rotationWeight
		weightSum += s.rotationWeight
		if best < 0 || e.selection.ranksBefore(s, &servers[best], pass) {
			best = i
		}
	}
	if preferred >= 0 {
		return preferred
	}
	if best >= 0 {
		servers[best].rotationCredit -= weightSum
	}
	return best
}

// accepts reports whether a pass accepts a candidate.
func (e *Engine) accepts(r *request, c *candidates, i serverSlot, pass selectionPass) bool {
	s := &e.endpoints.servers[i]
	if pass < passEjected && e.outliers.ejected(&s.byClass[r.class], r.class, e.now) {
		return false
	}
	return pass >= passTried || !c.capped(s) && !r.tried(i)
}

// roleOf returns a server's role in a selection. A warming server is skipped at random, less often as it warms up. A
// server whose budget is below one attempt is preferred whenever it has capacity. A random skip as well would leave
// most of that budget unused.
func (e *Engine) roleOf(s *server, pass selectionPass) rotationRole {
	weight := e.slowStart.weight(s, e.now)
	if weight >= 1 || pass >= passTried {
		return roleRegular
	}
	if e.slowStart.budget(s, e.now, e.subsets.ratio) < 1 {
		return rolePreferred
	}
	if e.random.unit() > weight {
		return roleSkipped
	}
	return roleRegular
}
