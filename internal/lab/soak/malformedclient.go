package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"cherrygap/internal/protocol"
)

const (
	malformedInterval = 300 * time.Millisecond // mean time between two malformed clients in the whole fleet
	malformedTimeout  = 3 * time.Second        // time in which a node has to close the connection
)

// malformedInputs lists the texts that malformed clients send before they wait for an error response or a close.
var malformedInputs = append([]string{
	"",
	"nonsense\r\n\r\n",
	"POST /book/0000000000000001 HTTP/1.1\r\nHost: edge\r\nContent-Le",
	"POST /book/0000000000000001 HTTP/1.1\r\nHost: edge\r\nContent-Length: 100\r\n\r\nhalf",
	string(protocol.AppendRequestLines(nil, &protocol.Request{
		Method: http.MethodPost, URI: protocol.RequestPath("nothing", 1), Host: "edge", ID: "bad", Plan: "none",
		Timeout: time.Millisecond, Units: 1, Spread: 1,
	})) + "Content-Length: 0\r\n\r\n",
	"GET /find/0000000000000001 HTTP/1.1\r\nHost: edge\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
}, ambiguousRequests()...)

// runMalformedClients starts malformed clients at random times, until ctx ends.
func (c *clients) runMalformedClients(ctx context.Context) {
	rng := rand.New(rand.NewPCG(c.cfg.Seed, malformedStream))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rng.ExpFloat64() * float64(malformedInterval))):
		}
		if node := c.firstAccepting(rng.IntN(len(c.nodes))); node >= 0 {
			text := malformedInputs[rng.IntN(len(malformedInputs))]
			c.inFlight.Add(1)
			go func() { // The goroutine ends at most dialTimeout and a second after malformedTimeout.
				defer c.inFlight.Done()
				c.runMalformedClient(node, text)
			}()
		}
	}
}

// runMalformedClient sends a text, and checks that the node closes the connection within malformedTimeout.
func (c *clients) runMalformedClient(node int, text string) {
	conn, err := net.DialTimeout("tcp", c.nodes[node].addr, dialTimeout)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	startedAt := time.Now()
	c.checker.updateCounts(func(counts *Counts) { counts.MalformedClients++ })
	_, _ = io.WriteString(conn, text)
	_ = conn.SetReadDeadline(startedAt.Add(malformedTimeout + time.Second))
	_, err = io.Copy(io.Discard, conn)
	if took := time.Since(startedAt); took > malformedTimeout+harnessTolerance+c.checker.lag.maxAround(time.Now()) {
		c.checker.recordViolation(ruleMalformed, node, "", "the connection with input %q ended after %v, want within %v plus the tolerance: %v",
			text, took, malformedTimeout, err)
	}
}

// holdIdleConns opens half as many idle connections to a node as it may have descriptors, which is more than its limit of client
// connections. It
// opens fewer if a dial fails. It closes the connections after hold or when ctx ends.
func (c *clients) holdIdleConns(ctx context.Context, node int, hold time.Duration) {
	var conns []net.Conn
	for range c.nodes[node].limits.sockets / 2 {
		conn, err := net.DialTimeout("tcp", c.nodes[node].addr, dialTimeout)
		if err != nil {
			break
		}
		conns = append(conns, conn)
	}
	select {
	case <-ctx.Done():
	case <-time.After(hold):
	}
	for _, conn := range conns {
		_ = conn.Close()
	}
}
