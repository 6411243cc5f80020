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

// clients runs the open-loop clients of all nodes. It is safe for concurrent use.
type clients struct {
	cfg     *Config
	checker *checker
	nodes   []*node

	lastID   atomic.Uint64
	inFlight sync.WaitGroup

	mu          sync.Mutex                       // guards the fields below
	idleConns   map[int][]*clientConn            // idle connections by node
	activeConns map[int]map[*clientConn]struct{} // connections by node on which a request waits for its response
}

func newClients(cfg *Config, checker *checker, nodes []*node) *clients {
	c := &clients{
		cfg: cfg, checker: checker, nodes: nodes,
		idleConns: map[int][]*clientConn{}, activeConns: map[int]map[*clientConn]struct{}{},
	}
	for i := range nodes {
		c.activeConns[i] = map[*clientConn]struct{}{}
	}
	return c
}

// clientConn is one connection of a client to a node.
type clientConn struct {
	net.Conn
	reader  *bufio.Reader
	reused  bool       // whether the connection has carried an earlier request
	pending []*request // requests that wait for a response on the connection, in order; guarded by clients.mu
}

// pattern is the way in which a client sends its requests.
type pattern int

const (
	patternPlain        pattern = iota
	patternDisconnect           // The client closes the connection before the response.
	patternPartial              // The client closes the connection in the middle of the request.
	patternPipeline             // The client sends several requests at once.
	patternSlow                 // The client sends the request in pieces.
	patternShortTimeout         // The client has a very short timeout.
	patternLongBody             // The request has a long body.
)

// patternPercentages gives the percentage of each pattern. The rest is patternPlain.
var patternPercentages = map[pattern]int{
	patternDisconnect: 10, patternPartial: 2, patternPipeline: 8, patternSlow: 6, patternShortTimeout: 5, patternLongBody: 3,
}

// drawPattern draws a pattern with the probabilities of patternPercentages.
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
	maxIdleConns    = 24 // maximum number of idle connections to a node
	dialTimeout     = time.Second
	maxPipelined    = 4                     // maximum number of requests that a client sends at once
	longBodyBytes   = 40 << 10              // length of the body of patternLongBody, in bytes
	minShortTimeout = 40 * time.Millisecond // shortest timeout of patternShortTimeout; the longest is just under twice as long
	pieceInterval   = 15 * time.Millisecond // time between two pieces of patternSlow
	pieceCount      = 4                     // number of pieces of a request of patternSlow
)

// generateRequests starts the requests of one node's clients in an open loop, until ctx ends.
func (c *clients) generateRequests(ctx context.Context, node int) {
	rng := rand.New(rand.NewPCG(c.cfg.Seed, clientStream|uint64(node)))
	due := time.Now()
	for {
		due = due.Add(time.Duration(rng.ExpFloat64() / c.cfg.Rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(due)):
		}
		target := c.firstAccepting(node)
		pattern := drawPattern(rng)
		seed := rng.Uint64()
		if target < 0 {
			continue
		}
		c.inFlight.Add(1)
		go func() { // The goroutine ends at the client's close, at the last response, or after the requests' deadlines.
			defer c.inFlight.Done()
			c.runPattern(target, pattern, rand.New(rand.NewPCG(c.cfg.Seed, seed)))
		}()
	}
}

// openConnInterval is the time between two requests on open connections to a node that ends.
const openConnInterval = 3 * time.Millisecond

// useOpenConns sends requests on the idle connections to a node that was sent SIGTERM, until ctx ends. Some clients pipeline.
func (c *clients) useOpenConns(ctx context.Context, n *node, seed uint64) {
	rng := rand.New(rand.NewPCG(c.cfg.Seed, seed))
	for ; ctx.Err() == nil; time.Sleep(openConnInterval) {
		conn := c.takeIdle(n.number)
		if conn == nil {
			continue
		}
		pattern := []pattern{patternPlain, patternPlain, patternPipeline, patternSlow, patternLongBody}[rng.IntN(5)]
		requestSeed := rng.Uint64()
		c.inFlight.Add(1)
		go func() { // The goroutine ends at the last response, or after the requests' deadlines.
			defer c.inFlight.Done()
			c.runPatternOn(conn, n.number, pattern, rand.New(rand.NewPCG(c.cfg.Seed, requestSeed)))
		}()
	}
}

// firstAccepting returns the number of the first node that accepts clients, in cyclic order beginning with from. It returns -1 if
// no node accepts clients.
func (c *clients) firstAccepting(from int) int {
	for k := range c.nodes {
		if i := (from + k) % len(c.nodes); c.nodes[i].acceptsClients() {
			return i
		}
	}
	return -1
}

// newRequest returns a request to a node with a random class and customer. The caller sets sentAt.
func (c *clients) newRequest(node int, p pattern, rng *rand.Rand) *request {
	class := &requestClasses[rng.IntN(len(requestClasses))]
	r := &request{
		id: fmt.Sprintf("%016x", c.lastID.Add(1)|c.cfg.Seed<<40), node: node, class: class, timeout: class.timeout,
		cappedCustomer: -1, nodeCount: len(c.nodes),
	}
	if rng.IntN(100) < cappedPercent {
		r.cappedCustomer = rng.IntN(cappedCustomers)
	}
	if p == patternShortTimeout {
		r.timeout = minShortTimeout + time.Duration(rng.Int64N(int64(minShortTimeout)))
	}
	return r
}

// text returns the request in its form on the connection. body is ignored for GET.
func (r *request) text(body string) string {
	length := ""
	if r.class.method != http.MethodGet {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	} else {
		body = ""
	}
	customer := r.node // a customer under the unlimited plan has the number of its node
	head := protocol.Request{
		Method:    r.class.method,
		Host:      "edge",
		ID:        r.id,
		Plan:      unlimitedPlanName,
		Timeout:   r.timeout,
		Units:     1,
		Spread:    1,
		FirstNode: r.node,
	}
	if r.cappedCustomer >= 0 {
		customer = r.nodeCount + r.cappedCustomer
		head.Plan, head.Spread, head.FirstNode = cappedPlanName, r.nodeCount, 0
	}
	head.URI = protocol.RequestPath(r.class.name, uint64(customer))
	return string(protocol.AppendRequestLines(nil, &head)) + length + "\r\n" + body
}

// runPattern sends one or several requests to a node in a pattern, and waits for the responses.
func (c *clients) runPattern(node int, p pattern, rng *rand.Rand) {
	if conn := c.connect(node); conn != nil { // otherwise the dial failed
		c.runPatternOn(conn, node, p, rng)
	}
}

// runPatternOn is runPattern over an open connection.
func (c *clients) runPatternOn(conn *clientConn, node int, p pattern, rng *rand.Rand) {
	count := 1
	if p == patternPipeline {
		count = 2 + rng.IntN(maxPipelined-1)
	}
	var text strings.Builder
	requests := make([]*request, count)
	for i := range requests {
		requests[i] = c.newRequest(node, p, rng)
		if i > 0 { // responses come in order, so no request may have an earlier deadline than the one before
			requests[i].class, requests[i].timeout = requests[0].class, requests[0].timeout
		}
		body := "x"
		if p == patternLongBody {
			body = strings.Repeat("x", longBodyBytes)
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

// send writes requests at once. Their timeouts begin with the call.
func (c *clients) send(conn *clientConn, text string, requests []*request) {
	c.setPending(conn, requests)
	for _, r := range requests {
		r.sentAt = time.Now()
		c.checker.recordRequest(r)
	}
	_, _ = io.WriteString(conn, text) // awaitResponses notices a failed write
}

// sendSlowly writes one request in pieces. The timeout begins with the last piece.
func (c *clients) sendSlowly(conn *clientConn, text string, requests []*request) {
	pieceLength := len(text) / pieceCount
	for range pieceCount - 1 {
		_, _ = io.WriteString(conn, text[:pieceLength])
		text = text[pieceLength:]
		time.Sleep(pieceInterval)
	}
	c.send(conn, text, requests)
}

// disconnect closes a connection as its client, and records the close for the requests that wait for responses.
func (c *clients) disconnect(conn *clientConn, requests []*request) {
	c.clearPending(conn)
	c.checker.updateCounts(func(counts *Counts) {
		for _, r := range requests {
			if !r.answered && r.clientClosedAt.IsZero() {
				r.clientClosedAt = time.Now()
				counts.ClientsDisconnected++
			}
		}
	})
	_ = conn.Close()
}

// awaitResponses reads the responses to the requests that were sent on a connection, and records them.
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

// handleConnClosed handles a read error on a connection while requests wait for responses. A node may close a reused connection,
// or any connection while it is out of descriptors, before it reads the requests. So these requests are sent again. Other
// requests get no response, which the checker reports unless the client had closed the connection or the node was killed.
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
	case conn.reused || c.nodes[node].descriptorsExhausted():
		c.resend(node, requests)
	}
}

// resend sends requests again, each on a new connection with its old ID. A node that has read a request with the same ID before
// responds with status 409.
func (c *clients) resend(node int, requests []*request) {
	for _, r := range requests {
		skip := false
		c.checker.updateCounts(func(counts *Counts) {
			if skip = r.waiver != "" || !r.clientClosedAt.IsZero() || time.Now().After(r.deadline()); !skip {
				counts.Resent++
			}
		})
		if skip {
			continue
		}
		target := c.firstAccepting(node)
		var conn *clientConn
		if target >= 0 {
			conn = c.dial(target)
		}
		c.checker.updateCounts(func(*Counts) {
			r.sentAt = time.Now() // the timeout begins again
			if conn == nil {      // the node was shutting down and had not read the request, so no response is expected
				r.node, r.waiver = node, "its node had ended"
				return
			}
			r.node = target
		})
		if conn == nil {
			continue
		}
		c.setPending(conn, []*request{r})
		_, _ = io.WriteString(conn, r.text("x"))
		c.awaitResponses(conn, []*request{r})
	}
}

// connect returns an idle connection to a node or opens one. It returns nil if the dial fails.
func (c *clients) connect(node int) *clientConn {
	if conn := c.takeIdle(node); conn != nil {
		return conn
	}
	return c.dial(node)
}

// takeIdle takes the idle connection to a node that was used last, or returns nil if there is none.
func (c *clients) takeIdle(node int) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idleConns[node]
	if len(idle) == 0 {
		return nil
	}
	conn := idle[len(idle)-1]
	c.idleConns[node] = idle[:len(idle)-1]
	conn.reused = true
	return conn
}

// dial opens a connection. It returns nil after an error, and records a violation if a node in service refused the connection.
func (c *clients) dial(node int) *clientConn {
	conn, err := net.DialTimeout("tcp", c.nodes[node].addr, dialTimeout)
	if err != nil {
		if n := c.nodes[node]; errors.Is(err, syscall.ECONNREFUSED) && n.inService() {
			c.checker.recordViolation(ruleConnectionRefused, node, "", "the node refused a connection although it is in service: %v",
				err)
		}
		return nil
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}
}

// keepIdle keeps a connection for later requests, or closes it if maxIdleConns are kept already.
func (c *clients) keepIdle(node int, conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idleConns[node]) >= maxIdleConns {
		_ = conn.Close()
		return
	}
	c.idleConns[node] = append(c.idleConns[node], conn)
}

// setPending records that requests wait for responses on a connection.
func (c *clients) setPending(conn *clientConn, requests []*request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.pending = requests
	c.activeConns[requests[0].node][conn] = struct{}{}
}

// clearPending records that no request waits for a response on a connection.
func (c *clients) clearPending(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(conn.pending) > 0 {
		delete(c.activeConns[conn.pending[0].node], conn)
		conn.pending = nil
	}
}

// disconnectAll closes all connections to a node on which requests wait for responses.
func (c *clients) disconnectAll(node int) {
	c.mu.Lock()
	type activeConn struct {
		conn     *clientConn
		requests []*request
	}
	var active []activeConn
	for conn := range c.activeConns[node] {
		active = append(active, activeConn{conn, conn.pending})
	}
	c.mu.Unlock()
	for _, a := range active {
		c.disconnect(a.conn, a.requests)
	}
}

// closeIdle closes the idle connections to a node.
func (c *clients) closeIdle(node int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idleConns[node] {
		_ = conn.Close()
	}
	c.idleConns[node] = nil
}
