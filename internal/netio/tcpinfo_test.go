package netio

import (
	"fmt"
	"net"
	"testing"

	"cherrygap/internal/nettest"
)

// TestPeerHasClosed guards against missing the close or reset of a connection behind unread bytes. Both ways of detecting it
// must work, TCP_INFO and ppoll(2).
func TestPeerHasClosed(t *testing.T) {
	listener := nettest.Listen(t)
	accepted := make(chan net.Conn, 1)
	for _, test := range []struct {
		name   string
		close  func(net.Conn)
		closed bool
	}{
		{"open", func(net.Conn) {}, false},
		{"closed", func(conn net.Conn) { nettest.Close(conn) }, true},
		{"half closed", nettest.CloseWrite, true},
		{"reset", func(conn net.Conn) { nettest.ResetOnClose(conn); nettest.Close(conn) }, true},
	} {
		go func() {
			if conn, err := listener.Accept(); err == nil {
				accepted <- conn
			}
		}()
		client, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nettest.Close(client) })
		conn := <-accepted
		t.Cleanup(func() { nettest.Close(conn) })
		nettest.WriteString(client, "bytes that nobody reads")
		test.close(client)
		socket := NewSocket(conn.(*net.TCPConn))
		nettest.Eventually(t, fmt.Sprintf("peerHasClosed of a connection that is %s to return %t", test.name, test.closed), func() bool {
			closed := false
			if err := socket.raw.Control(func(fd uintptr) { closed = peerHasClosed(int(fd)) }); err != nil {
				t.Fatalf("call peerHasClosed for a connection that is %s: %v", test.name, err)
			}
			return closed == test.closed
		})
		if got := socket.HungUp(); got != test.closed {
			t.Errorf("HungUp of a connection that is %s = %t, want %t", test.name, got, test.closed)
		}
		if got := HasHungUp(conn.(*net.TCPConn)); got != test.closed {
			t.Errorf("HasHungUp of a connection that is %s = %t, want %t", test.name, got, test.closed)
		}
	}
}
