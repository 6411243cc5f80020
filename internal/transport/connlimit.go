package transport

import (
	"net"
	"sync"
)

// guarded is a listener of a front of another protocol that takes no more connections at once than the clients' part of the
// descriptors leaves it; the rest wait in the kernel. It guards discovery's descriptors and the app servers' against crowds
// that come that way.
type guarded struct {
	net.Listener
	slots chan struct{}
	ended chan struct{}
	once  sync.Once
}

// LimitListener limits a listener of another front.
func (f *Server) LimitListener(ln net.Listener) net.Listener {
	return &guarded{Listener: ln, slots: make(chan struct{}, f.limits.channels()), ended: make(chan struct{})}
}

// Accept waits for a slot first, so that none is taken over the limit.
func (g *guarded) Accept() (net.Conn, error) {
	select {
	case g.slots <- struct{}{}:
	case <-g.ended:
		return nil, net.ErrClosed
	}
	conn, err := g.Listener.Accept()
	if err != nil {
		<-g.slots
		return nil, err
	}
	return &slotted{Conn: conn, free: sync.OnceFunc(func() { <-g.slots })}, nil
}

// Close ends Accept.
func (g *guarded) Close() error {
	g.once.Do(func() { close(g.ended) })
	return g.Listener.Close()
}

// slotted gives its slot back once it is closed.
type slotted struct {
	net.Conn
	free func()
}

func (s *slotted) Close() error {
	err := s.Conn.Close()
	s.free()
	return err
}
