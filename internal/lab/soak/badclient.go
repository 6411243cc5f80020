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
	badClientEvery = 300 * time.Millisecond // at the whole fleet, mean
	badClientOwed  = 3 * time.Second
)

// badInputs are what bad clients send, and then wait. Each is owed an error or a close.
var badInputs = []string{
	"",
	"nonsense\r\n\r\n",
	"POST /book/0000000000000001 HTTP/1.1\r\nHost: edge\r\nContent-Le",
	"POST /book/0000000000000001 HTTP/1.1\r\nHost: edge\r\nContent-Length: 100\r\n\r\nhalf",
	string(protocol.AppendRequestLines(nil, &protocol.Request{
		Method: http.MethodPost, URI: protocol.RequestPath("nothing", 1), Host: "edge", ID: "bad", Plan: "none",
		Timeout: time.Millisecond, Units: 1, Spread: 1,
	})) + "Content-Length: 0\r\n\r\n",
	"GET /find/0000000000000001 HTTP/1.1\r\nHost: edge\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
}

// playBadClients plays one bad client after another until ctx ends.
func (c *clients) playBadClients(ctx context.Context) {
	rng := rand.New(rand.NewPCG(c.cfg.Seed, 2<<32))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rng.ExpFloat64() * float64(badClientEvery))):
		}
		if node := c.acceptingNode(rng.IntN(len(c.nodes))); node >= 0 {
			text := badInputs[rng.IntN(len(badInputs))]
			c.inFlight.Add(1)
			go func() { // ends within the time that the client is owed, and a second
				defer c.inFlight.Done()
				c.playBadClient(node, text)
			}()
		}
	}
}

func (c *clients) playBadClient(node int, text string) {
	conn, err := net.DialTimeout("tcp", c.nodes[node].addr, dialWithin)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	startedAt := time.Now()
	c.ledger.update(func(counts *Counts) { counts.BadClients++ })
	_, _ = io.WriteString(conn, text)
	_ = conn.SetReadDeadline(startedAt.Add(badClientOwed + time.Second))
	_, err = io.Copy(io.Discard, conn)
	if took := time.Since(startedAt); took > badClientOwed+harnessSlack+c.ledger.lag.around(time.Now()) {
		c.ledger.report(ruleMalformed, node, "", "%.30q got its error or close after %v: %v", text, took, err)
	}
}

// crowd opens idle connections to a node, as many as it may have of all kinds, and holds them for a while.
func (c *clients) crowd(ctx context.Context, node int, hold time.Duration) {
	var conns []net.Conn
	for range nodeSockets / 2 {
		conn, err := net.DialTimeout("tcp", c.nodes[node].addr, dialWithin)
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
