package frontend

import (
	"net"
	"testing"
	"time"

	"cherrygap/internal/netio"
	"cherrygap/internal/nettest"
	"cherrygap/internal/protocol"
)

// blockedConn returns a connection that takes no more bytes, because its client reads nothing.
func blockedConn(t *testing.T) *clientConn {
	t.Helper()
	listener := nettest.Listen(t)
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nettest.Close(client) })
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	counters := &Counters{}
	server := &Server{limits: netio.Limits{MaxDescriptors: 1024}, counters: counters, overhead: newOverheadPacer(1, counters)}
	c := newClientConn(server, conn.(*net.TCPConn))
	t.Cleanup(func() { nettest.Close(conn) })
	for taken := 1; taken > 0; { // The kernel moves bytes to the client's end for a while.
		netio.SetWriteDeadline(conn, time.Now().Add(100*time.Millisecond))
		taken, _ = c.writer.Write(make([]byte, 1<<20)) // fails once the socket is full
	}
	return c
}

// Protects against responses that are given up before their first byte, because the connection's last transfer was that of an earlier
// message.
func TestAResponseHasItsOwnTimeUntilItIsHalted(t *testing.T) {
	c := blockedConn(t)
	nettest.Eventually(t, "the last transfer to be long ago", func() bool { return time.Since(c.writer.LastTransfer()) > minWriteStall })
	netio.SetWriteDeadline(c.conn, time.Now().Add(10*minWriteStall))
	beganAt, ended := time.Now(), make(chan struct{})
	go func() { // ends with abortWrite
		defer close(ended)
		c.writeResponse(&protocol.ClientResponse{Status: protocol.StatusCompleted, Body: make([]byte, protocol.MaxBody)})
	}()
	nettest.Eventually(t, "the response to begin", c.writing.Load)
	nettest.Eventually(t, "the response to be halted", c.halted)
	if took := time.Since(beganAt); took < minWriteStall {
		t.Errorf("a response is halted %v after its begin, want at least %v", took, minWriteStall)
	}
	c.abortWrite()
	<-ended
}
