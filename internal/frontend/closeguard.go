package frontend

import "sync"

// closeGuard decides whether the node may close a client's connection of its own accord, so that no request is lost that
// was read: it knows what was read and has no answer yet, and once it has let the connection be closed nothing more is
// read. Whoever closes a connection asks it first; clientConn.close counts a violation where that was not done.
type closeGuard struct {
	mu     sync.Mutex // guards all below; held while a read that does not block is made
	phase  connPhase
	behind bool // bytes were read behind the request that is open
}

// connPhase is how far a connection is with what it has read.
type connPhase uint8

const (
	phaseIdle         connPhase = iota // nothing was read that has no answer
	phaseReading                       // bytes were read, and serve is at them
	phaseAwaitingRest                  // they are a part of a request, and serve waits for the rest
	phaseHandling                      // a request is open
	phaseLingering                     // the last response was written: what comes now is no request
	phaseClosed                        // the node closes the connection
)

// BeginRead reports whether anything may be read; then EndRead has to follow.
func (g *closeGuard) BeginRead() bool {
	g.mu.Lock()
	if g.phase == phaseClosed {
		g.mu.Unlock()
		return false
	}
	return true
}

// EndRead notes what a read gave: bytes, or that there were none yet.
func (g *closeGuard) EndRead(gotBytes, wouldBlock bool) {
	defer g.mu.Unlock()
	switch {
	case gotBytes && g.phase == phaseHandling:
		g.behind = true
	case gotBytes && g.phase != phaseLingering:
		g.phase = phaseReading
	case wouldBlock && g.phase == phaseReading:
		g.phase = phaseAwaitingRest
	}
}

// requestRead notes that a whole request was read, and whether bytes were behind it.
func (g *closeGuard) requestRead(behind bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.phase != phaseClosed {
		g.phase, g.behind = phaseHandling, behind
	}
}

// answered notes that the open request has its response.
func (g *closeGuard) answered() {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.phase != phaseHandling:
	case g.behind:
		g.phase = phaseReading
	default:
		g.phase = phaseIdle
	}
	g.behind = false
}

// linger notes that whatever comes from now on is no request.
func (g *closeGuard) linger() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.phase != phaseClosed {
		g.phase = phaseLingering
	}
}

// closeWithResponse reports whether the open request's response may be its connection's last, as nothing was read behind
// it. From then on nothing is.
func (g *closeGuard) closeWithResponse() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.phase == phaseHandling && !g.behind {
		g.phase = phaseClosed
	}
	return g.phase == phaseClosed
}

// mayClose reports whether the connection may be closed now; a part of a request counts as nothing where partial is set.
func (g *closeGuard) mayClose(partial bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closable(partial)
}

// tryClose is mayClose, and where the connection may be closed nothing is read from then on.
func (g *closeGuard) tryClose(partial bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	ok := g.closable(partial)
	if ok {
		g.phase = phaseClosed
	}
	return ok
}

func (g *closeGuard) closable(partial bool) bool {
	return g.phase == phaseIdle || g.phase == phaseLingering || partial && g.phase == phaseAwaitingRest
}

// is reports whether the connection is in a phase.
func (g *closeGuard) is(phase connPhase) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.phase == phase
}
