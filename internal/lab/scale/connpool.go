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

// clientConn is one client connection, used by one request at a time.
type clientConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialClient(ctx context.Context, addr string) (*clientConn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn, bufio.NewReaderSize(conn, connReadBuffer)}, nil
}

func (c *clientConn) close() { _ = c.conn.Close() }

// clientAnswer is the answer to a request.
type clientAnswer struct {
	status int
	body   string
}

// roundTrip sends one request and reads its answer. It tells whether the connection can take another request.
func (c *clientConn) roundTrip(text string, deadline time.Time) (answer clientAnswer, reusable bool, err error) {
	if err := c.conn.SetDeadline(deadline); err != nil {
		return answer, false, err
	}
	if _, err := io.WriteString(c.conn, text); err != nil {
		return answer, false, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer, false, err
	}
	body, err := io.ReadAll(response.Body)
	return clientAnswer{response.StatusCode, string(body)}, err == nil && !response.Close, err
}

// connPool keeps idle client connections, by address.
type connPool struct {
	maxIdle int

	mu        sync.Mutex // guards what follows
	idle      map[string][]*clientConn
	idleCount int
}

func newConnPool(maxIdle int) *connPool {
	return &connPool{maxIdle: maxIdle, idle: map[string][]*clientConn{}}
}

// take gives the connection that was used last, or nil.
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

// put takes a connection back, or closes it where the pool is full or the connection can't be used again.
func (p *connPool) put(addr string, conn *clientConn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !reusable || p.idleCount >= p.maxIdle {
		conn.close()
		return
	}
	p.idle[addr], p.idleCount = append(p.idle[addr], conn), p.idleCount+1
}

// drop closes what is idle to an address.
func (p *connPool) drop(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(addr)
}

// dropAll closes all that is idle.
func (p *connPool) dropAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr := range p.idle {
		p.closeIdle(addr)
	}
}

// closeIdle closes what is idle to an address. The caller holds the lock.
func (p *connPool) closeIdle(addr string) {
	for _, conn := range p.idle[addr] {
		conn.close()
	}
	p.idleCount -= len(p.idle[addr])
	delete(p.idle, addr)
}
