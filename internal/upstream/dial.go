package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"cherrygap/internal/netio"
	"cherrygap/internal/routing"
)

// Bounds of serverConn.resetWait, the wait for the reset of a stale connection before a request's last byte.
const (
	// resetWaitRoundTrips is the wait in multiples of the dial time. The dial took one round trip, and so does a reset.
	resetWaitRoundTrips = 3
	minResetWait        = 300 * time.Microsecond // allows for servers that are scheduled late
	maxResetWait        = 3 * time.Millisecond
)

// errResourceExhaustion is the error of a dial that failed because this machine ran out of a resource. It says nothing about
// the server.
var errResourceExhaustion = errors.New("resource exhaustion on this machine")

// errNoDescriptors is the error of a dial while all connections of the pool are in use.
var errNoDescriptors = fmt.Errorf("%w: no file descriptor left in the connection pool", errResourceExhaustion)

// dial opens a new connection, and evicts an idle one if the pool is full. ctx must have a deadline. The error wraps
// errResourceExhaustion if this machine lacked a file descriptor, port, memory or route.
func (p *Pool) dial(ctx context.Context, server *routing.Server) (*serverConn, error) {
	if !p.reserve() {
		return nil, errNoDescriptors
	}
	conn, roundTrip, err := p.connect(ctx, server)
	if err != nil {
		p.release()
		return nil, err
	}
	return p.newConn(server, conn, roundTrip), nil
}

// reserve counts a connection that is about to be dialled. It returns false if the pool has no file descriptor for the
// connection.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.total >= p.limits.MaxConnsPerSide() && !p.evictLocked() {
		return false
	}
	p.total++
	return true
}

// release reverses reserve after a failed dial.
func (p *Pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.total--
}

// connect dials a server. On resource exhaustion it retries for half of the time until ctx's deadline, because exhaustion is
// often brief and an attempt at another server would fail too. The error then wraps errResourceExhaustion, except for a
// server that is unroutable while other servers could be reached.
func (p *Pool) connect(ctx context.Context, server *routing.Server) (conn *net.TCPConn, roundTrip time.Duration, err error) {
	startedAt := time.Now()
	deadline, _ := ctx.Deadline()
	retryUntil := startedAt.Add(deadline.Sub(startedAt) / 2)
	for {
		p.counters.Dials.Add(1)
		dialer, dialledAt := net.Dialer{Timeout: p.limits.ConnectTimeout, KeepAlive: -1, Control: p.controlSocket}, time.Now()
		dialled, err := dialer.DialContext(ctx, "tcp", server.Addr.String())
		if err == nil {
			connectedAt := time.Now()
			p.lastConnected.Store(&connectedAt)
			return dialled.(*net.TCPConn), connectedAt.Sub(dialledAt), nil
		}
		unroutable := netio.IsUnroutable(err)
		if !unroutable && !netio.IsResourceExhaustion(err) {
			return nil, 0, err
		}
		p.counters.ResourceExhaustions.Add(1)
		if unroutable && p.connectedAfter(startedAt) {
			return nil, 0, err
		}
		if time.Now().After(retryUntil) {
			return nil, 0, fmt.Errorf("%w: %w", errResourceExhaustion, err)
		}
		select {
		case <-ctx.Done():
			return nil, 0, fmt.Errorf("%w: %w", errResourceExhaustion, err)
		case <-time.After(netio.ExhaustionRetryInterval):
		}
	}
}

// connectedAfter reports whether a dial to any server succeeded after the given time.
func (p *Pool) connectedAfter(at time.Time) bool {
	last := p.lastConnected.Load()
	return last != nil && last.After(at)
}

// newConn returns a serverConn for an open connection whose dial took roundTrip.
func (p *Pool) newConn(server *routing.Server, conn *net.TCPConn, roundTrip time.Duration) *serverConn {
	reader, now := netio.NewSocket(conn), time.Now()
	c := &serverConn{
		conn: conn, reader: reader, server: server,
		readBuffer: netio.RingBuffer{Stream: reader}, writeBuffer: netio.RingBuffer{Stream: netio.NewSocket(conn)},
		openedAt: now, idleSince: now,
		resetWait: min(max(resetWaitRoundTrips*roundTrip, minResetWait), maxResetWait),
	}
	c.allocateBuffers(p.limits.BufferSize())
	return c
}
