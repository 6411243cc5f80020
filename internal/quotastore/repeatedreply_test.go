package quotastore

import (
	"bytes"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	lab "cherrygap/internal/lab/store"
	"cherrygap/internal/nettest"
	"cherrygap/internal/quota"
)

// repeatingProxy passes bytes between a client and a store. Before it passes the client's next bytes on, it sends the client the
// store's last reply again if that was to a transaction.
type repeatingProxy struct {
	client, store net.Conn

	mu        sync.Mutex
	lastReply []byte // store's bytes since the client's last bytes; guarded by mu
}

// passReplies passes the store's bytes to the client until a connection ends.
func (p *repeatingProxy) passReplies() {
	buf := make([]byte, 64<<10)
	for {
		n, err := p.store.Read(buf)
		if err != nil {
			nettest.Close(p.client)
			return
		}
		p.mu.Lock()
		p.lastReply = append(p.lastReply, buf[:n]...)
		_, err = p.client.Write(buf[:n])
		p.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// passCommands passes the client's bytes to the store until a connection ends.
func (p *repeatingProxy) passCommands() {
	buf := make([]byte, 64<<10)
	for {
		n, err := p.client.Read(buf)
		if err != nil {
			return
		}
		p.mu.Lock()
		if bytes.HasPrefix(p.lastReply, []byte("+OK\r\n+QUEUED\r\n")) {
			_, err = p.client.Write(p.lastReply)
		}
		p.lastReply = nil
		p.mu.Unlock()
		if err != nil {
			return
		}
		if _, err := p.store.Write(buf[:n]); err != nil {
			return
		}
	}
}

// TestRepeatedRepliesAreNotUsed guards against grants from the entries of another customer. A store, or a proxy in front of it, may
// send a reply twice. The second one arrives when the next exchange was written, and must not be taken for the reply to it.
func TestRepeatedRepliesAreNotUsed(t *testing.T) {
	store, err := lab.Start("127.0.0.1:0", 5, nil)
	if err != nil {
		t.Fatal("starting the store:", err)
	}
	defer store.Close()
	listener := nettest.Listen(t)
	go nettest.ServeConns(listener, func(client net.Conn) {
		conn, err := net.Dial("tcp", store.Addr())
		if err != nil {
			return
		}
		defer nettest.Close(conn)
		proxy := &repeatingProxy{client: client, store: conn}
		go proxy.passReplies() // ends with the connections
		proxy.passCommands()
	})
	log := zerolog.Nop()
	q := Open(listener.Addr().String(), "n", quota.Config{Nodes: 4, Timeout: 5 * time.Second}, &log)
	defer q.Close()
	succeeded := 0
	for i := range 50 {
		put := quota.Commitment{Node: 1, Sequence: 1, Cap: float64(i + 1)}
		exchange := quota.Exchange{ID: quota.ExchangeID(i + 1), Key: quota.CustomerKey(i + 1), Put: put, TTL: time.Minute}
		reply, err := putAndRead(t.Context(), q.client, exchange)
		if err != nil {
			continue
		}
		succeeded++
		if len(reply.Entries) != 1 || reply.Entries[0] != put {
			t.Errorf("exchange %d: entries %+v, want only %+v", i+1, reply.Entries, put)
		}
	}
	if succeeded == 0 {
		t.Error("no exchange succeeded, want those on new connections")
	}
}
