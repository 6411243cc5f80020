package peersocket

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"cherrygap/internal/netio"
	"cherrygap/internal/nettest"
	"cherrygap/internal/protocol"
)

// TestDatagramsOfUnknownSendersAreDropped checks that Receive drops datagrams from unknown senders and those that are too
// long. Send drops messages to an unknown peer and those that are too long. Otherwise any host could send messages to
// a node, or a truncated message could be processed.
func TestDatagramsOfUnknownSendersAreDropped(t *testing.T) {
	counters := &Counters{}
	sender, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatalf("open the socket of peer 0: %v", err)
	}
	peer := netip.MustParseAddrPort(sender.LocalAddr().String())
	socket, err := Open(netip.MustParseAddrPort("127.0.0.1:0"), protocol.NewPeerTable([]netip.AddrPort{peer}, peer), counters)
	if err != nil {
		t.Fatalf("open the node's socket: %v", err)
	}
	defer nettest.Close(socket.conn)
	received := make(chan string, 9)
	go socket.Receive(func(from int, payload []byte) bool {
		received <- fmt.Sprint(from, string(payload))
		return true
	})
	to := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(socket.conn.LocalAddr().String()))
	unknownSender, err := net.DialUDP("udp", nil, to)
	if err != nil {
		t.Fatalf("open the socket of an unknown sender: %v", err)
	}
	nettest.WriteString(unknownSender, "no")
	for _, payload := range [][]byte{make([]byte, protocol.MaxDatagram+1), []byte("yes")} {
		if _, err := sender.WriteToUDP(payload, to); err != nil {
			t.Fatalf("send %d bytes from peer 0: %v", len(payload), err)
		}
	}
	if got := <-received; got != "0yes" {
		t.Errorf("first message handled = %q, want \"0yes\": payload \"yes\" from peer 0", got)
	}
	nettest.Eventually(t, "counters with Dropped = 2 and Received = 1", func() bool {
		return counters.Dropped.Load() == 2 && counters.Received.Load() == 1
	})
	socket.Send(0, []byte("back"))
	socket.Send(-1, []byte("all"))
	socket.Send(5, []byte("nobody"))
	socket.Send(0, make([]byte, protocol.MaxDatagram+1))
	if counters.Sent.Load() != 2 || counters.Unsent.Load() != 2 {
		t.Errorf("counters: Sent %d, Unsent %d; want 2 and 2", counters.Sent.Load(), counters.Unsent.Load())
	}
}

// TestErrorsOfThePeerSocketArePaced checks that Receive waits after each read error. Otherwise a socket with a lasting
// error would keep a CPU core busy.
func TestErrorsOfThePeerSocketArePaced(t *testing.T) {
	counters := &Counters{}
	socket, err := Open(netip.MustParseAddrPort("127.0.0.1:0"), protocol.NewPeerTable(nil, netip.AddrPort{}), counters)
	if err != nil {
		t.Fatalf("open the node's socket: %v", err)
	}
	netio.SetReadDeadline(socket.conn, netio.PastDeadline) // Every read fails from now on.
	done := make(chan struct{})
	go func() {
		socket.Receive(func(int, []byte) bool { return true })
		close(done)
	}()
	time.Sleep(20 * netio.ErrorRetryDelay)
	nettest.Close(socket.conn)
	<-done
	if dropped := counters.Dropped.Load(); dropped < 1 || dropped > 21 {
		t.Errorf("read errors in 20 pauses: %d, want 1 to 21", dropped)
	}
}
