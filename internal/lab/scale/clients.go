package scale

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"cherrygap/internal/lab/histogram"
	"cherrygap/internal/protocol"
)

const (
	directHeader  = "X-Direct"           // header of requests that servers do not count
	directDelay   = 2 * time.Millisecond // delay from a node's response to the direct request
	responseGrace = time.Second          // additional time that a client waits after the request's timeout
)

// clientSimulator simulates the open-loop clients of the real nodes. A client sends at times drawn in advance, whether or
// not earlier responses have arrived.
type clientSimulator struct {
	cfg         *Config
	nodes       []*realNode
	populations []population // tenants of each node, by node number
	servers     []string     // addresses by server number
	nodeConns   *connPool
	serverConns *connPool

	section       atomic.Pointer[sectionCounts] // counts of the section in progress
	sending       atomic.Bool                   // while false, the clients send no request
	inFlight      sync.WaitGroup                // requests in flight
	lastRequestID atomic.Uint64                 // ID of the request created last
	lastServer    atomic.Int64                  // number of the server that completed the last request; 0 before the first one

	mu      sync.Mutex     // guards sendLag
	sendLag *hdr.Histogram // delay of requests behind their due time, µs
}

// newClientSimulator returns the clients of the real nodes; servers holds the app servers' addresses by number. The clients
// send nothing until generate is called and sending is true.
func newClientSimulator(cfg *Config, nodes []*realNode, servers []string) *clientSimulator {
	return &clientSimulator{
		cfg: cfg, nodes: nodes, servers: servers, sendLag: histogram.New(),
		populations: assignTenants(*cfg, func(node int) bool { return node < cfg.Real }),
		nodeConns:   newConnPool(cfg.Real * cfg.Sockets / 2),
		serverConns: newConnPool(maxDirectConns),
	}
}

// close closes the idle connections.
func (c *clientSimulator) close() {
	c.nodeConns.dropAll()
	c.serverConns.dropAll()
}

// recordSendLag records the delay of a request that was due at a time and is sent now.
func (c *clientSimulator) recordSendLag(due time.Time) {
	late := time.Since(due)
	c.mu.Lock()
	histogram.Record(c.sendLag, late)
	c.mu.Unlock()
}

// sendLagP99 returns the 99th percentile of the requests' delay behind their due time, in ms.
func (c *clientSimulator) sendLagP99() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return histogram.QuantileMs(c.sendLag, 99)
}

// generate sends the requests of one node's clients until ctx ends. While the node accepts no clients, they send to
// another node. Each request runs in a goroutine, which inFlight counts and which ends after the last response or timeout.
func (c *clientSimulator) generate(ctx context.Context, node int) {
	rng := rand.New(rand.NewPCG(c.cfg.Seed, clientStream|uint64(node)))
	due := time.Now()
	for {
		due = due.Add(time.Duration(rng.ExpFloat64() / c.cfg.Rate * float64(time.Second)))
		if wait := time.Until(due); wait > 0 && pause(ctx, wait) != nil || ctx.Err() != nil {
			return
		}
		target := c.acceptingNode(node)
		r := clientRequest{tenant: c.populations[target].draw(rng), class: drawClass(rng), due: due}
		r.alsoDirect = rng.Float64() < c.cfg.DirectShare
		if c.sending.Load() && c.nodes[target].acceptsClients() {
			c.inFlight.Add(1)
			go c.send(ctx, target, r)
		}
	}
}

// acceptingNode returns the number of a node that accepts clients: node itself, or else the next one in cyclic order. It
// returns node if no node accepts clients.
func (c *clientSimulator) acceptingNode(node int) int {
	for range c.nodes {
		if c.nodes[node].acceptsClients() {
			break
		}
		node = (node + 1) % len(c.nodes)
	}
	return node
}

// clientRequest is one request of a client.
type clientRequest struct {
	tenant     tenant
	class      *requestClass
	due        time.Time // planned time of sending
	alsoDirect bool      // whether to repeat the completed request directly at its server
}

// requestText returns the text of an HTTP request with a new ID. Each line of extraHeaders ends with CRLF.
func (c *clientSimulator) requestText(r clientRequest, host, extraHeaders string) string {
	if !r.class.idempotent {
		extraHeaders += "Content-Length: 0\r\n"
	}
	lines := protocol.AppendRequestLines(nil, &protocol.Request{
		Method:    r.class.method,
		URI:       protocol.RequestPath(r.class.name, r.tenant.key),
		Host:      host,
		ID:        fmt.Sprintf("%016x", c.lastRequestID.Add(1)),
		Plan:      plans[r.tenant.plan].name,
		Timeout:   r.class.timeout,
		Units:     1,
		Spread:    r.tenant.spread,
		FirstNode: r.tenant.firstNode,
	})
	return string(lines) + extraHeaders + "\r\n"
}

// send sends a request to a node and counts the response. If the request has alsoDirect set and was completed, send repeats
// the request directly at the server.
func (c *clientSimulator) send(ctx context.Context, node int, r clientRequest) {
	defer c.inFlight.Done()
	c.recordSendLag(r.due)
	section, addr := c.section.Load(), c.nodes[node].clientAddr
	section.sent.Add(1)
	conn := c.nodeConns.take(addr)
	if conn == nil {
		var err error
		if conn, err = dialClientConn(context.Background(), addr); err != nil {
			section.connectFailed.Add(1)
			return
		}
	}
	response, err := conn.roundTrip(c.requestText(r, "edge", ""), r.due.Add(r.class.timeout+responseGrace))
	took := time.Since(r.due)
	c.nodeConns.put(addr, conn)
	if err != nil {
		section.unanswered.Add(1)
		return
	}
	section.recordResponse(response.status, took, r.class.timeout)
	if response.status != http.StatusOK {
		return
	}
	server, err := serverNumber(response.body)
	if err != nil || server < 0 || server >= len(c.servers) {
		section.otherStatus.Add(1)
		return
	}
	c.lastServer.Store(int64(server))
	if !r.alsoDirect {
		return
	}
	if took, err = c.sendDirect(ctx, r, c.servers[server]); err != nil {
		section.directFailed.Add(1)
		return
	}
	section.recordDirect(took)
}

var errUnexpectedResponse = errors.New("the response does not have the form of an app server's response")

// serverNumber returns the number of the server that wrote a response's body. The number is the last of three fields.
func serverNumber(body string) (int, error) {
	fields := strings.Fields(body)
	if len(fields) != 3 {
		return 0, errUnexpectedResponse
	}
	return strconv.Atoi(fields[2])
}

// sendDirect sends a request to a server over an established connection. The request is due directDelay after sendDirect has
// the connection. sendDirect returns the time from this due time to the response.
func (c *clientSimulator) sendDirect(ctx context.Context, r clientRequest, addr string) (time.Duration, error) {
	conn := c.serverConns.take(addr)
	if conn == nil {
		var err error
		if conn, err = dialClientConn(ctx, addr); err != nil {
			return 0, err
		}
		// The server starts a goroutine for the connection after the handshake. A health check excludes this start from the
		// measured time.
		if _, err := conn.roundTrip("GET /healthz HTTP/1.1\r\nHost: app\r\n\r\n", time.Now().Add(r.class.timeout)); err != nil {
			conn.close()
			return 0, err
		}
	}
	due := time.Now().Add(directDelay)
	time.Sleep(time.Until(due))
	response, err := conn.roundTrip(c.requestText(r, "app", directHeader+": 1\r\n"), due.Add(r.class.timeout))
	took := time.Since(due)
	c.serverConns.put(addr, conn)
	if err != nil {
		return 0, err
	}
	if response.status != http.StatusOK {
		return 0, errUnexpectedResponse
	}
	return took, nil
}
