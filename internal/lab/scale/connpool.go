package scale

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const dialTimeout = time.Second

// clientConn is a connection of a client to a node or a server. Only one goroutine may use it at a time.
type clientConn struct {
	conn     net.Conn
	reader   *bufio.Reader
	reusable bool // whether the connection can carry another request
}

// dialClientConn opens a connection to addr. The caller closes the connection or puts it into a pool.
func dialClientConn(ctx context.Context, addr string) (*clientConn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn: conn, reader: bufio.NewReaderSize(conn, connReadBufferBytes), reusable: true}, nil
}

// close closes the connection.
func (c *clientConn) close() { _ = c.conn.Close() }

// clientResponse is the HTTP response to a client's request.
type clientResponse struct {
	status int // HTTP status code
	body   string
}

// roundTrip sends the text of a request and reads the response, both before the deadline. It sets reusable to false if it
// fails or the response closes the connection.
func (c *clientConn) roundTrip(text string, deadline time.Time) (clientResponse, error) {
	c.reusable = false
	if err := c.conn.SetDeadline(deadline); err != nil {
		return clientResponse{}, err
	}
	if _, err := io.WriteString(c.conn, text); err != nil {
		return clientResponse{}, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return clientResponse{}, err
	}
	body, err := io.ReadAll(response.Body)
	c.reusable = err == nil && !response.Close
	return clientResponse{status: response.StatusCode, body: string(body)}, err
}

// connPool holds idle client connections. Its methods may be called from several goroutines.
type connPool struct {
	maxIdle int // maximum of idleCount

	mu        sync.Mutex               // guards the fields below
	idle      map[string][]*clientConn // idle connections by address, the most recently used one last
	idleCount int                      // number of idle connections to all addresses
}

// newConnPool returns an empty pool that holds at most maxIdle connections.
func newConnPool(maxIdle int) *connPool {
	return &connPool{maxIdle: maxIdle, idle: map[string][]*clientConn{}}
}

// take removes and returns the most recently used connection to addr, or nil if none is idle.
func (p *connPool) take(addr string) *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[addr]
	if len(idle) == 0 {
		return nil
	}
	last := idle[len(idle)-1]
	p.idle[addr], p.idleCount = idle[:len(idle)-1], p.idleCount-1
	return last
}

// put adds an idle connection to addr to the pool. It closes the connection if it is not reusable or the pool is full.
func (p *connPool) put(addr string, conn *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !conn.reusable || p.idleCount >= p.maxIdle {
		conn.close()
		return
	}
	p.idle[addr], p.idleCount = append(p.idle[addr], conn), p.idleCount+1
}

// drop closes the idle connections to addr.
func (p *connPool) drop(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(addr)
}

// dropAll closes all idle connections.
func (p *connPool) dropAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr := range p.idle {
		p.closeIdle(addr)
	}
}

// closeIdle closes the idle connections to addr. The caller holds mu.
func (p *connPool) closeIdle(addr string) {
	for _, conn := range p.idle[addr] {
		conn.close()
	}
	p.idleCount -= len(p.idle[addr])
	delete(p.idle, addr)
}
