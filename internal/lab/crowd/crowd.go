// Package crowd runs hostile clients: many connections that make an edge node hold memory, or single ones that send at full
// speed. It reads and writes bytes by itself and uses neither net/http nor internal/protocol, so it can send any bytes.
package crowd

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Target describes the node and a request that it accepts.
type Target struct {
	Addr      string
	Class     string // name of a request class that uses POST
	Plan      string
	Customer  uint64
	TimeoutMs int
	IDPrefix  string // prefix of the ids of all requests
}

// Crowd is a number of hostile connections to one node. A connection that the node closes is opened again.
type Crowd struct {
	target Target
	kind   Kind
	ids    *atomic.Uint64
	opened atomic.Int64
	ended  atomic.Int64
	cancel context.CancelFunc
	conns  sync.WaitGroup
}

// reconnectDelay is the time after the end of a connection until the crowd opens the next one in its place.
const reconnectDelay = 50 * time.Millisecond

// Start opens the given number of connections. They last until Stop.
func Start(target Target, kind Kind, connections int) *Crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Crowd{target: target, kind: kind, ids: &atomic.Uint64{}, cancel: cancel}
	for range connections {
		c.conns.Add(1)
		go c.run(ctx) // ends on Stop
	}
	return c
}

// Stop closes all connections and returns once their goroutines have ended.
func (c *Crowd) Stop() {
	c.cancel()
	c.conns.Wait()
}

// Opened returns the number of connections that were opened, and Ended that of those that the node has closed.
func (c *Crowd) Opened() int64 { return c.opened.Load() }

// Ended returns the number of connections that the node has closed.
func (c *Crowd) Ended() int64 { return c.ended.Load() }

// run opens one connection after another until ctx ends.
func (c *Crowd) run(ctx context.Context) {
	defer c.conns.Done()
	for ctx.Err() == nil {
		c.runConn(ctx)
		if !c.kind.reconnectsAtOnce {
			wait(ctx, reconnectDelay)
		}
	}
}

// runConn opens a connection and lets the crowd's kind act on it until it or ctx ends.
func (c *Crowd) runConn(ctx context.Context) {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", c.target.Addr)
	if err != nil {
		return
	}
	c.opened.Add(1)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	c.kind.act(ctx, &client{Conn: conn, target: c.target, ids: c.ids})
	if ctx.Err() == nil {
		c.ended.Add(1)
	}
}

// wait waits for a duration or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// client is one hostile connection.
type client struct {
	net.Conn
	target Target
	ids    *atomic.Uint64
}

// send writes a text and reports whether the connection took all of it.
func (c *client) send(text string) bool {
	n, err := c.Write([]byte(text))
	return err == nil && n == len(text)
}

// head returns the head of a valid request under a new id. extra holds further header lines with their line ends.
func (c *client) head(extra string) string {
	return c.headOf(c.target.Class, c.target.Customer, extra)
}

// headOf returns the head of a request of any class and customer.
func (c *client) headOf(class string, customer uint64, extra string) string {
	id := c.ids.Add(1)
	return fmt.Sprintf("POST /%s/%016x HTTP/1.1\r\nHost: edge\r\nX-Call-Id: %s%x\r\nX-Tariff: %s\r\nX-Budget-Ms: %d\r\n"+
		"X-Weight: units=1,spread=1,first=0\r\n%s\r\n", class, customer, c.target.IDPrefix, id, c.target.Plan, c.target.TimeoutMs, extra)
}

// lengthLine returns the header line that states a body's length.
func lengthLine(bytes int) string { return fmt.Sprintf("Content-Length: %d\r\n", bytes) }

// discard reads and drops input until the connection ends.
func (c *client) discard() {
	buffer := make([]byte, 32<<10)
	for {
		if _, err := c.Read(buffer); err != nil {
			return
		}
	}
}

// emptyFields returns header lines of few bytes each, which together have about headBytes.
func emptyFields(line func(i int) string) string {
	var text strings.Builder
	for i := 0; text.Len() < headBytes; i++ {
		text.WriteString(line(i))
	}
	return text.String()
}
