package decision

// pick is the smooth weighted rotation over the servers that may have the ticket: first those that this node
// uses, in good standing, under their cap and not yet tried; then such ones of all; then any in good
// standing; then suspected ones too.
func (n *Engine) pick(t *request) int32 {
	b := &n.classes[t.class]
	set := n.subset
	total, open := n.weighAll(t, b, set)
	for level := range 4 {
		best, due, sum := int32(-1), int32(-1), 0.0
		if level == 1 && !n.ownersEnabled { // all in view are its own
			continue
		} else if level > 0 && len(set) == len(n.subset) {
			set = n.candidatesBeyondSubset(t, b)
			total, open = n.weighAll(t, b, set)
		}
		for _, i := range set {
			s := &n.servers[i]
			if s.weight <= 0 || level < 3 && n.ejected(t.class, &s.byClass[t.class]) {
				continue
			}
			if fair := (open + 1) * s.weight / total; level < 2 &&
				(float64(s.inFlight) >= max(1, fair) || tried(t, i)) {
				continue
			}
			// A fresh server is passed over by chance, less as it warms; one whose budget is a rate has its
			// turn whenever that lets it: the rotation and chance on top would leave it all but idle.
			if share := n.slowStartWeight(s); share < 1 && level < 2 {
				if n.slowStartBudget(s) < 1 {
					if due < 0 || s.rotationCredit > n.servers[due].rotationCredit {
						due = i
					}
					continue
				}
				if n.random.unit() > share {
					continue
				}
			}
			s.rotationCredit += s.weight
			sum += s.weight
			if best < 0 || n.preferred(s, &n.servers[best], level) {
				best = i
			}
		}
		if due >= 0 {
			return due
		}
		if best >= 0 {
			n.servers[best].rotationCredit -= sum
			return best
		}
	}
	return -1
}

// preferred tells whether a server is to be taken before another.
func (n *Engine) preferred(a, b *server, level int) bool {
	if x, y := float64(a.inFlight)*b.weight, float64(b.inFlight)*a.weight; n.ownersEnabled && level == 0 && x != y {
		return x < y
	}
	return a.rotationCredit > b.rotationCredit
}

// inKeyGroup keeps a referenced ticket that may have run inside its group.
func (n *Engine) inKeyGroup(t *request, b *requestClass, s *server) bool {
	for _, x := range t.attempts {
		if o := &n.servers[x.server]; b.retrySafety == retryKeyed && x.mayHaveRun &&
			(b.keyGroup == "zone" && o.Zone != s.Zone || b.keyGroup == "cell" && o.Cell != s.Cell) {
			return false
		}
	}
	return true
}

// weigh follows what a server was seen to manage: its listed size over its pace.
func (n *Engine) weigh(s *server, mean float64) float64 {
	w := s.Weight
	if w <= 0 {
		w = 1
	}
	s.pace.decayTo(n.now, paceMemory)
	p := (s.pace.sum + pacePrior*mean) / (s.pace.count + pacePrior) / mean
	return w / p
}
