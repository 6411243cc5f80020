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

// clients are the open-loop clients of all nodes. They are safe for concurrent use.
type clients struct {
	cfg     *Config
	checker *checker
	nodes   []*node

	lastID   atomic.Uint64
	inFlight sync.WaitGroup

	mu   sync.Mutex                       // guards the fields below
	idle map[int][]*clientConn            // by node
	open map[int]map[*clientConn]struct{} // by node; connections on which a request waits for its response
}

func newClients(cfg *Config, checker *checker, nodes []*node) *clients {
	c := &clients{cfg: cfg, checker: checker, nodes: nodes, idle: map[int][]*clientConn{}, open: map[int]map[*clientConn]struct{}{}}
	for i := range nodes {
		c.open[i] = map[*clientConn]struct{}{}
	}
	return c
}

// clientConn is one connection of a client to a node.
type clientConn struct {
	net.Conn
	reader  *bufio.Reader
	reused  bool       // the connection has carried an earlier request
	pending []*request // requests that wait for a response on it, in order; guarded by clients.mu
}

// pattern is the way in which a client sends a request.
type pattern int

const (
	patternPlain        pattern = iota
	patternDisconnect           // it closes before the response
	patternPartial              // it closes in the middle of the request
	patternPipeline             // it sends several requests at once
	patternSlow                 // it sends in pieces
	patternShortTimeout         // its timeout is very short
	patternLongBody             // a long body
)

// patternPercentages are the percentages of the patterns; the remaining requests are plain.
var patternPercentages = map[pattern]int{patternDisconnect: 10, patternPartial: 2, patternPipeline: 8, patternSlow: 6, patternShortTimeout: 5, patternLongBody: 3}

func drawPattern(rng *rand.Rand) pattern {
	percent := rng.IntN(100)
	for p := patternDisconnect; p <= patternLongBody; p++ {
		if percent -= patternPercentages[p]; percent < 0 {
			return p
		}
	}
	return patternPlain
}

const (
	maxIdle       = 24 // idle connections that clients keep to a node
	dialTimeout   = time.Second
	maxPipelined  = 4                     // requests that a client sends at once
	longBody      = 40 << 10              // bytes
	shortTimeout  = 40 * time.Millisecond // shortest one of patternShortTimeout; the longest is twice as long
	pieceInterval = 15 * time.Millisecond
	pieces        = 4 // of a request that is sent slowly
)

// generate begins the requests of one node's clients in an open loop, until ctx ends.
func (c *clients) generate(ctx context.Context, node int) {
	rng := rand.New(rand.NewPCG(c.cfg.Seed, clientStream|uint64(node)))
	due := time.Now()
	for {
		due = due.Add(time.Duration(rng.ExpFloat64() / c.cfg.Rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(due)):
		}
		to := c.firstAccepting(node)
		pattern := drawPattern(rng)
		seed := rng.Uint64()
		if to < 0 {
			continue
		}
		c.inFlight.Add(1)
		go func() { // ends with the request's response, or past its deadline
			defer c.inFlight.Done()
			c.play(to, pattern, rand.New(rand.NewPCG(c.cfg.Seed, seed)))
		}()
	}
}

// firstAccepting returns the number of the first node, from a number on, that accepts clients. It returns -1 if none does.
func (c *clients) firstAccepting(from int) int {
	for k := range c.nodes {
		if i := (from + k) % len(c.nodes); c.nodes[i].acceptsClients() {
			return i
		}
	}
	return -1
}

// newRequest draws a request.
func (c *clients) newRequest(node int, p pattern, rng *rand.Rand) *request {
	class := &requestClasses[rng.IntN(len(requestClasses))]
	r := &request{
		id: fmt.Sprintf("%016x", c.lastID.Add(1)|c.cfg.Seed<<40), node: node, class: class, timeout: class.timeout,
		cappedCustomer: -1, nodes: len(c.nodes),
	}
	if rng.IntN(100) < cappedShare {
		r.cappedCustomer = rng.IntN(cappedCustomers)
	}
	if p == patternShortTimeout {
		r.timeout = shortTimeout + time.Duration(rng.Int64N(int64(shortTimeout)))
	}
	return r
}

// text returns the request as it is written to the connection. A GET has no body.
func (r *request) text(body string) string {
	length := ""
	if r.class.method != http.MethodGet {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	} else {
		body = ""
	}
	customer := r.node // customers under the plan without limits have the numbers of their nodes
	head := protocol.Request{
		Method:    r.class.method,
		Host:      "edge",
		ID:        r.id,
		Plan:      planName,
		Timeout:   r.timeout,
		Units:     1,
		Spread:    1,
		FirstNode: r.node,
	}
	if r.cappedCustomer >= 0 {
		customer = r.nodes + r.cappedCustomer
		head.Plan, head.Spread, head.FirstNode = cappedPlanName, r.nodes, 0
	}
	head.URI = protocol.RequestPath(r.class.name, uint64(customer))
	return string(protocol.AppendRequestLines(nil, &head)) + length + "\r\n" + body
}

// play sends one request, or several, in a pattern, and waits for the responses.
func (c *clients) play(node int, p pattern, rng *rand.Rand) {
	conn := c.connect(node)
	if conn == nil {
		return // the connection was refused
	}
	count := 1
	if p == patternPipeline {
		count = 2 + rng.IntN(maxPipelined-1)
	}
	var text strings.Builder
	requests := make([]*request, count)
	for i := range requests {
		requests[i] = c.newRequest(node, p, rng)
		if i > 0 { // responses come in order, so none may have a shorter deadline than one before
			requests[i].class, requests[i].timeout = requests[0].class, requests[0].timeout
		}
		body := "x"
		if p == patternLongBody {
			body = strings.Repeat("x", longBody)
		}
		text.WriteString(requests[i].text(body))
	}
	switch p {
	case patternPartial:
		_, _ = io.WriteString(conn, text.String()[:text.Len()/2])
		time.Sleep(time.Duration(rng.Int64N(int64(maxServiceTime))))
		_ = conn.Close()
		return
	case patternSlow:
		c.sendSlowly(conn, text.String(), requests)
	default:
		c.send(conn, text.String(), requests)
	}
	if p == patternDisconnect {
		time.Sleep(time.Duration(rng.Int64N(int64(2 * maxServiceTime))))
		c.disconnect(conn, requests)
		return
	}
	c.awaitResponses(conn, requests)
}

// send writes requests at once. Their timeouts begin now.
func (c *clients) send(conn *clientConn, text string, requests []*request) {
	c.setPending(conn, requests)
	for _, r := range requests {
		r.sentAt = time.Now()
		c.checker.recordRequest(r)
	}
	_, _ = io.WriteString(conn, text) // an error shows in a read
}

// sendSlowly writes one request in pieces. Its timeout begins with the last piece.
func (c *clients) sendSlowly(conn *clientConn, text string, requests []*request) {
	step := len(text) / pieces
	for range pieces - 1 {
		_, _ = io.WriteString(conn, text[:step])
		text = text[step:]
		time.Sleep(pieceInterval)
	}
	c.send(conn, text, requests)
}

// disconnect closes a connection with requests that wait for responses.
func (c *clients) disconnect(conn *clientConn, requests []*request) {
	c.clearPending(conn)
	c.checker.update(func(counts *Counts) {
		for _, r := range requests {
			if !r.answered && r.clientClosedAt.IsZero() {
				r.clientClosedAt = time.Now()
				counts.ClientsLeft++
			}
		}
	})
	_ = conn.Close()
}

// awaitResponses reads the responses of the requests that were sent on a connection.
func (c *clients) awaitResponses(conn *clientConn, requests []*request) {
	for i, r := range requests {
		_ = conn.SetReadDeadline(r.deadline().Add(checkDelay / 2))
		response, err := http.ReadResponse(conn.reader, nil)
		if err != nil {
			c.handleConnClosed(conn, requests[i:], err)
			return
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			c.handleConnClosed(conn, requests[i:], err)
			return
		}
		c.checker.recordResponse(r, response.StatusCode, string(body))
		if response.Close && i+1 < len(requests) {
			c.clearPending(conn)
			_ = conn.Close()
			c.resend(r.node, requests[i+1:])
			return
		}
		if response.Close {
			c.clearPending(conn)
			_ = conn.Close()
			return
		}
	}
	c.clearPending(conn)
	c.keepIdle(requests[0].node, conn)
}

// handleConnClosed handles a connection that was closed under requests. On a reused connection, or at a node that is out of
// descriptors, the node may have closed it before it read the requests: they are sent again. Other requests stay without a
// response, which the checker reports unless the client had closed or the node was killed.
func (c *clients) handleConnClosed(conn *clientConn, requests []*request, err error) {
	c.clearPending(conn)
	_ = conn.Close()
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return
	}
	node := requests[0].node
	switch {
	case c.nodes[node].wasKilled():
		c.checker.waiveOpenRequests(node)
	case conn.reused || c.nodes[node].crowded():
		c.resend(node, requests)
	}
}

// resend sends requests again, each on a new connection with the ID that it had. A node that has read a request with the same
// ID before responds 409.
func (c *clients) resend(node int, requests []*request) {
	for _, r := range requests {
		skip := false
		c.checker.update(func(counts *Counts) {
			if skip = r.waiver != "" || !r.clientClosedAt.IsZero() || time.Now().After(r.deadline()); !skip {
				counts.Resent++
			}
		})
		if skip {
			continue
		}
		to := c.firstAccepting(node)
		var conn *clientConn
		if to >= 0 {
			conn = c.dial(to)
		}
		c.checker.update(func(*Counts) {
			r.sentAt = time.Now() // the timeout begins anew
			if conn == nil {      // the node was ending and had not read the request, so no response is due
				r.node, r.waiver = node, "its node had ended"
				return
			}
			r.node = to
		})
		if conn == nil {
			continue
		}
		c.setPending(conn, []*request{r})
		_, _ = io.WriteString(conn, r.text("x"))
		c.awaitResponses(conn, []*request{r})
	}
}

// connect returns an idle connection or a new one, or nil if the dial fails.
func (c *clients) connect(node int) *clientConn {
	c.mu.Lock()
	if stack := c.idle[node]; len(stack) > 0 {
		conn := stack[len(stack)-1]
		c.idle[node] = stack[:len(stack)-1]
		c.mu.Unlock()
		conn.reused = true
		return conn
	}
	c.mu.Unlock()
	return c.dial(node)
}

// dial opens a connection. It returns nil after an error, and reports a violation if a node in service has refused.
func (c *clients) dial(node int) *clientConn {
	conn, err := net.DialTimeout("tcp", c.nodes[node].addr, dialTimeout)
	if err != nil {
		if n := c.nodes[node]; errors.Is(err, syscall.ECONNREFUSED) && n.inService() {
			c.checker.report(ruleConnectionRefused, node, "", "%v, though the node is in service", err)
		}
		return nil
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}
}

// keepIdle keeps a connection for later requests.
func (c *clients) keepIdle(node int, conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[node]) >= maxIdle {
		_ = conn.Close()
		return
	}
	c.idle[node] = append(c.idle[node], conn)
}

// setPending records that requests wait for responses on a connection.
func (c *clients) setPending(conn *clientConn, requests []*request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.pending = requests
	c.open[requests[0].node][conn] = struct{}{}
}

// clearPending records that no request waits on a connection any more.
func (c *clients) clearPending(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(conn.pending) > 0 {
		delete(c.open[conn.pending[0].node], conn)
		conn.pending = nil
	}
}

// disconnectAll closes all connections to a node on which requests wait.
func (c *clients) disconnectAll(node int) {
	c.mu.Lock()
	type pending struct {
		conn     *clientConn
		requests []*request
	}
	var leaving []pending
	for conn := range c.open[node] {
		leaving = append(leaving, pending{conn, conn.pending})
	}
	c.mu.Unlock()
	for _, w := range leaving {
		c.disconnect(w.conn, w.requests)
	}
}

// closeIdle closes the idle connections to a node that ends.
func (c *clients) closeIdle(node int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle[node] {
		_ = conn.Close()
	}
	c.idle[node] = nil
}
