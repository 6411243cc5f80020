package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cherrygap/internal/protocol"
)

// clients are the open-loop clients of all nodes.
type clients struct {
	cfg    *Config
	ledger *ledger
	nodes  []*node

	lastID   atomic.Uint64
	inFlight sync.WaitGroup

	mu      sync.Mutex // guards what follows
	resting map[int][]*clientConn
	open    map[int]map[*clientConn]struct{} // by node, with a request that waits
}

func newClients(cfg *Config, l *ledger, nodes []*node) *clients {
	c := &clients{cfg: cfg, ledger: l, nodes: nodes, resting: map[int][]*clientConn{}, open: map[int]map[*clientConn]struct{}{}}
	for i := range nodes {
		c.open[i] = map[*clientConn]struct{}{}
	}
	return c
}

// clientConn is one connection of a client to a node.
type clientConn struct {
	net.Conn
	reader  *bufio.Reader
	reused  bool
	waiting []*request // those that wait for an answer on it, in order; guarded by clients.mu
}

// habit is how a client sends a request.
type habit int

const (
	habitPlain    habit = iota
	habitLeave          // it closes before its answer
	habitHalfway        // it closes in the middle of its request
	habitPipeline       // it sends several requests at once
	habitSlow           // it sends in pieces
	habitShort          // it has very little time
	habitLong           // a long body
)

// habitShares are the shares of requests by habit, in percent; the rest is plain.
var habitShares = map[habit]int{habitLeave: 10, habitHalfway: 2, habitPipeline: 8, habitSlow: 6, habitShort: 5, habitLong: 3}

func drawHabit(rng *rand.Rand) habit {
	percent := rng.IntN(100)
	for h := habitLeave; h <= habitLong; h++ {
		if percent -= habitShares[h]; percent < 0 {
			return h
		}
	}
	return habitPlain
}

const (
	maxResting    = 24 // connections that clients keep to a node
	dialWithin    = time.Second
	maxPipelined  = 4
	longBody      = 40 << 10
	shortTimeout  = 40 * time.Millisecond
	pieceInterval = 15 * time.Millisecond
	pieces        = 4
)

// generate begins the requests of one node's clients until ctx ends, whatever becomes of those before.
func (c *clients) generate(ctx context.Context, node int) {
	rng := rand.New(rand.NewPCG(c.cfg.Seed, 1<<32|uint64(node)))
	due := time.Now()
	for {
		due = due.Add(time.Duration(rng.ExpFloat64() / c.cfg.Rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(due)):
		}
		to, h, seed := c.acceptingNode(node), drawHabit(rng), rng.Uint64()
		if to < 0 {
			continue
		}
		c.inFlight.Add(1)
		go func() { // ends with the request's answer, or past its time
			defer c.inFlight.Done()
			c.play(to, h, rand.New(rand.NewPCG(c.cfg.Seed, seed)))
		}()
	}
}

// acceptingNode is the first node from a number on that clients go to; -1 where none is.
func (c *clients) acceptingNode(from int) int {
	for k := range c.nodes {
		if i := (from + k) % len(c.nodes); c.nodes[i].acceptsClients() {
			return i
		}
	}
	return -1
}

func (c *clients) newRequest(node int, h habit, rng *rand.Rand) *request {
	class := &requestClasses[rng.IntN(len(requestClasses))]
	r := &request{
		id: fmt.Sprintf("%016x", c.lastID.Add(1)|c.cfg.Seed<<40), node: node, class: class, timeout: class.timeout,
		capped: -1, nodes: len(c.nodes),
	}
	if rng.IntN(100) < cappedShare {
		r.capped = rng.IntN(cappedCustomers)
	}
	if h == habitShort {
		r.timeout = shortTimeout + time.Duration(rng.Int64N(int64(shortTimeout)))
	}
	return r
}

// text is a request as it is written.
func (r *request) text(body string) string {
	length := ""
	if r.class.method != http.MethodGet {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	} else {
		body = ""
	}
	plan, customer, spread, first := planName, r.node, 1, r.node
	if r.capped >= 0 {
		plan, customer, spread, first = cappedPlanName, r.nodes+r.capped, r.nodes, 0
	}
	lines := protocol.AppendRequestLines(nil, &protocol.Request{
		Method:    r.class.method,
		URI:       protocol.RequestPath(r.class.name, uint64(customer)),
		Host:      "edge",
		ID:        r.id,
		Plan:      plan,
		Timeout:   r.timeout,
		Units:     1,
		Spread:    spread,
		FirstNode: first,
	})
	return string(lines) + length + "\r\n" + body
}

// play sends what a habit sends, and waits for what is owed.
func (c *clients) play(node int, h habit, rng *rand.Rand) {
	conn := c.connect(node)
	if conn == nil {
		return // refused, before anything was taken
	}
	count := 1
	if h == habitPipeline {
		count = 2 + rng.IntN(maxPipelined-1)
	}
	var text strings.Builder
	requests := make([]*request, count)
	for i := range requests {
		requests[i] = c.newRequest(node, h, rng)
		if i > 0 { // answers come in order: none behind one that may take longer
			requests[i].class, requests[i].timeout = requests[0].class, requests[0].timeout
		}
		body := "x"
		if h == habitLong {
			body = strings.Repeat("x", longBody)
		}
		text.WriteString(requests[i].text(body))
	}
	switch h {
	case habitHalfway:
		_, _ = io.WriteString(conn, text.String()[:text.Len()/2])
		time.Sleep(time.Duration(rng.Int64N(int64(maxWork))))
		_ = conn.Close()
		return
	case habitSlow:
		c.sendSlowly(conn, text.String(), requests)
	default:
		c.send(conn, text.String(), requests)
	}
	if h == habitLeave {
		time.Sleep(time.Duration(rng.Int64N(int64(2 * maxWork))))
		c.leave(conn, requests)
		return
	}
	c.await(conn, requests)
}

// send writes requests at once. Their time counts from then.
func (c *clients) send(conn *clientConn, text string, requests []*request) {
	c.wait(conn, requests)
	for _, r := range requests {
		r.sentAt = time.Now()
		c.ledger.sent(r)
	}
	_, _ = io.WriteString(conn, text) // an error shows as a close
}

// sendSlowly writes one request in pieces; its time counts from the last.
func (c *clients) sendSlowly(conn *clientConn, text string, requests []*request) {
	step := len(text) / pieces
	for range pieces - 1 {
		_, _ = io.WriteString(conn, text[:step])
		text = text[step:]
		time.Sleep(pieceInterval)
	}
	c.send(conn, text, requests)
}

// leave closes a connection whose requests wait.
func (c *clients) leave(conn *clientConn, requests []*request) {
	c.settle(conn)
	c.ledger.update(func(counts *Counts) {
		for _, r := range requests {
			if !r.answered && r.leftAt.IsZero() {
				r.leftAt = time.Now()
				counts.Left++
			}
		}
	})
	_ = conn.Close()
}

// await reads the answers of the requests that were sent on a connection.
func (c *clients) await(conn *clientConn, requests []*request) {
	for i, r := range requests {
		_ = conn.SetReadDeadline(r.deadline().Add(settleAfter / 2))
		response, err := http.ReadResponse(conn.reader, nil)
		if err != nil {
			c.connEnded(conn, requests[i:], err)
			return
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			c.connEnded(conn, requests[i:], err)
			return
		}
		c.ledger.answer(r, response.StatusCode, string(body))
		if response.Close && i+1 < len(requests) {
			c.settle(conn)
			_ = conn.Close()
			c.resend(r.node, requests[i+1:])
			return
		}
		if response.Close {
			c.settle(conn)
			_ = conn.Close()
			return
		}
	}
	c.settle(conn)
	c.rest(requests[0].node, conn)
}

// connEnded handles a connection that ended under requests. On one that had carried others before, the node's close may
// have crossed the request: it is sent once more. Else the request is lost, unless its client left or its node was killed,
// which the ledger knows.
func (c *clients) connEnded(conn *clientConn, requests []*request, err error) {
	c.settle(conn)
	_ = conn.Close()
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return
	}
	node := requests[0].node
	switch {
	case c.nodes[node].wasKilled():
		c.ledger.killed(node)
	case conn.reused || c.nodes[node].crowded():
		c.resend(node, requests)
	}
}

// resend sends requests once more, each on a new connection and under its own id: had the node read it, it would say so.
func (c *clients) resend(node int, requests []*request) {
	for _, r := range requests {
		skip := false
		c.ledger.update(func(counts *Counts) {
			if skip = r.void != "" || !r.leftAt.IsZero() || time.Now().After(r.deadline()); !skip {
				counts.Resent++
			}
		})
		if skip {
			continue
		}
		to := c.acceptingNode(node)
		var conn *clientConn
		if to >= 0 {
			conn = c.dial(to)
		}
		c.ledger.update(func(*Counts) {
			r.sentAt = time.Now()         // its client waits anew
			if r.node = to; conn == nil { // the node ends, and had not read it: nothing is owed
				r.node, r.void = node, "its node had ended"
			}
		})
		if conn == nil {
			continue
		}
		c.wait(conn, []*request{r})
		_, _ = io.WriteString(conn, r.text("x"))
		c.await(conn, []*request{r})
	}
}

// connect gives a resting connection or a new one; nil where the node refuses.
func (c *clients) connect(node int) *clientConn {
	c.mu.Lock()
	if stack := c.resting[node]; len(stack) > 0 {
		conn := stack[len(stack)-1]
		c.resting[node] = stack[:len(stack)-1]
		c.mu.Unlock()
		conn.reused = true
		return conn
	}
	c.mu.Unlock()
	return c.dial(node)
}

func (c *clients) dial(node int) *clientConn {
	conn, err := net.DialTimeout("tcp", c.nodes[node].addr, dialWithin)
	if err != nil {
		if n := c.nodes[node]; errors.Is(err, syscall.ECONNREFUSED) && n.inService() {
			c.ledger.report(ruleRefused, node, "", "%v, though the node runs and was not told to end", err)
		}
		return nil
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}
}

// rest keeps a connection for later requests.
func (c *clients) rest(node int, conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.resting[node]) >= maxResting {
		_ = conn.Close()
		return
	}
	c.resting[node] = append(c.resting[node], conn)
}

// wait notes that requests wait on a connection, settle that none does any more.
func (c *clients) wait(conn *clientConn, requests []*request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.waiting = requests
	c.open[requests[0].node][conn] = struct{}{}
}

func (c *clients) settle(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(conn.waiting) > 0 {
		delete(c.open[conn.waiting[0].node], conn)
		conn.waiting = nil
	}
}

// leaveAll has all clients of a node leave whose requests wait.
func (c *clients) leaveAll(node int) {
	c.mu.Lock()
	type waiting struct {
		conn     *clientConn
		requests []*request
	}
	var leaving []waiting
	for conn := range c.open[node] {
		leaving = append(leaving, waiting{conn, conn.waiting})
	}
	c.mu.Unlock()
	for _, w := range leaving {
		c.leave(w.conn, w.requests)
	}
}

// forget closes the resting connections to a node that ends.
func (c *clients) forget(node int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.resting[node] {
		_ = conn.Close()
	}
	c.resting[node] = nil
}
