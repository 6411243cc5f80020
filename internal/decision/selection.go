package decision

// selection is the smooth weighted rotation over the servers that may take a request. A server's weight is
// its listed size over its pace: what its attempts take, over their class's usual latency. It guards against
// servers that are slower or smaller than others and would queue; its cap on what is in flight at each, a
// fair part of all, guards against one that slows down within a moment. It could harm where requests of one
// class differ far: a server that drew long ones has less weight for a while.
type selection struct {
	config *config
	paces  decayingMean // of the usable servers in view, as of the last check and ends since
}

// The passes over the servers, in turn: each takes more of them.
const (
	passSubset  = iota // of the subset, in good standing, under their cap, not yet tried
	passView           // such ones of all in view
	passTried          // any in good standing
	passEjected        // ejected ones too
	passes
)

// join gives a server that was not known its credit, one of so many: nodes that start alike must not all
// begin at the same servers.
func (l *selection) join(s *server, servers int, rng *random) {
	s.rotationCredit = (rng.unit() - 0.5) * s.Weight * float64(min(servers, minView))
}

// attemptEnded learns a server's pace from an attempt that took so many usual latencies. Of one without an
// answer it is known that it would have taken that long at least.
func (l *selection) attemptEnded(s *server, o Outcome, latencies float64, now Time) {
	switch {
	case o == Succeeded:
	case o == Cancelled && latencies > 1 || o == TimedOut || o == ConnectFailed || o == ConnectionReset:
		latencies = max(1, latencies)
	default:
		return
	}
	s.pace.add(latencies, now, paceMemory)
	if s.usable() {
		l.paces.add(latencies, now, paceMemory)
	}
}

// weigh follows what a server was seen to manage: its listed size over its pace.
func (l *selection) weigh(s *server, mean float64, now Time) float64 {
	s.pace.decayTo(now, paceMemory)
	pace := (s.pace.sum + pacePrior*mean) / (s.pace.count + pacePrior) / mean
	return s.size() / pace
}

// preferred tells whether a server is to be taken before another. A node that uses few servers takes the one
// with the least in flight for its weight: by the rotation alone it would add to a larger one's queue while a
// smaller idles.
func (l *selection) preferred(a, b *server, pass int) bool {
	x, y := float64(a.inFlight)*b.weight, float64(b.inFlight)*a.weight
	if l.config.owners && pass == passSubset && x != y {
		return x < y
	}
	return a.rotationCredit > b.rotationCredit
}

// capped tells whether a server has its fair part of what is in flight.
func (c *candidates) capped(s *server) bool {
	return float64(s.inFlight) >= max(1, (c.inFlight+1)*s.weight/c.weight)
}

// pick selects the server for a request's next attempt, or -1.
func (e *Engine) pick(r *request) serverSlot {
	c := e.weighAll(r, e.endpoints.subset)
	for pass := range passes {
		if pass == passView && !e.config.owners { // all in view are in the subset
			continue
		} else if pass > passSubset && len(c.slots) == len(e.endpoints.subset) {
			c = e.weighAll(r, e.beyondSubset(r))
		}
		if s := e.rotate(r, &c, pass); s >= 0 {
			return s
		}
	}
	return -1
}

// rotate gives each server that a pass takes its weight in credit, and takes all of that from the one that it
// selects.
func (e *Engine) rotate(r *request, c *candidates, pass int) serverSlot {
	best, due, sum := serverSlot(-1), serverSlot(-1), 0.0
	servers := e.endpoints.servers
	for _, i := range c.slots {
		s := &servers[i]
		if s.weight <= 0 || !e.mayTake(r, c, i, pass) {
			continue
		}
		if weight := e.slowStart.weight(s, e.now); weight < 1 && pass < passTried {
			skip, atOnce := e.passOver(s, weight)
			if atOnce && (due < 0 || s.rotationCredit > servers[due].rotationCredit) {
				due = i
			}
			if skip {
				continue
			}
		}
		s.rotationCredit += s.weight
		sum += s.weight
		if best < 0 || e.selection.preferred(s, &servers[best], pass) {
			best = i
		}
	}
	if due >= 0 {
		return due
	}
	if best >= 0 {
		servers[best].rotationCredit -= sum
	}
	return best
}

// mayTake tells whether a pass takes a server that is a candidate.
func (e *Engine) mayTake(r *request, c *candidates, i serverSlot, pass int) bool {
	s := &e.endpoints.servers[i]
	if pass < passEjected && e.outliers.ejected(&s.byClass[r.class], r.class, e.now) {
		return false
	}
	return pass >= passTried || !c.capped(s) && !r.tried(i)
}

// passOver tells whether the rotation passes over a warming server: by chance, less as it warms; and one
// whose budget is a rate always, as it is to be taken at once whenever that lets it: the rotation and chance
// on top would leave it all but idle.
func (e *Engine) passOver(s *server, weight float64) (skip, atOnce bool) {
	if e.slowStart.budget(s, e.now, e.subsets.ratio) < 1 {
		return true, true
	}
	return e.random.unit() > weight, false
}
