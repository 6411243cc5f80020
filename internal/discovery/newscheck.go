package discovery

import (
	"net"
	"sync"

	"cherrygap/internal/netio"
)

// newsCheck knows whether discovery has sent on a connection what was not applied yet. It is the netio.ReadHook of the connection and
// is safe for concurrent use.
type newsCheck struct {
	mu        sync.Mutex // guards unapplied; held from BeginRead to EndRead, during a read that does not block
	unapplied bool       // set if bytes of a response were read that was not applied yet
}

// BeginRead allows each read.
func (c *newsCheck) BeginRead() error {
	c.mu.Lock()
	return nil
}

// EndRead records the result of a read.
func (c *newsCheck) EndRead(result netio.ReadResult) {
	defer c.mu.Unlock()
	c.unapplied = c.unapplied || result == netio.ReadBytes
}

// applied records that the response that was read is applied.
func (c *newsCheck) applied() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unapplied = false
}

// hasNews reports whether a response has arrived, in the kernel or in part, that was not applied yet.
func (c *newsCheck) hasNews(conn *net.TCPConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unapplied || netio.HasPendingInput(conn)
}
