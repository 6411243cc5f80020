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

func TestDatagramsOfStrangersAreDropped(t *testing.T) {
	counters := &Counters{}
	sender, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	peer := netip.MustParseAddrPort(sender.LocalAddr().String())
	socket, err := Open(netip.MustParseAddrPort("127.0.0.1:0"), protocol.NewPeerTable([]netip.AddrPort{peer}, peer), counters)
	if err != nil {
		t.Fatal(err)
	}
	defer nettest.Close(socket.conn)
	received := make(chan string, 9)
	go socket.Receive(func(from int, payload []byte) bool {
		received <- fmt.Sprint(from, string(payload))
		return true
	})
	to := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(socket.conn.LocalAddr().String()))
	stranger, err := net.DialUDP("udp", nil, to)
	if err != nil {
		t.Fatal(err)
	}
	nettest.WriteString(stranger, "no")
	for _, text := range [][]byte{make([]byte, protocol.MaxDatagram+1), []byte("yes")} {
		if _, err := sender.WriteToUDP(text, to); err != nil {
			t.Fatal(err)
		}
	}
	if got := <-received; got != "0yes" {
		t.Errorf("received %q", got)
	}
	nettest.Eventually(t, "two dropped and one received", func() bool {
		return counters.Dropped.Load() == 2 && counters.Received.Load() == 1
	})
	socket.Send(0, []byte("back"))
	socket.Send(-1, []byte("all"))
	socket.Send(5, []byte("nobody"))
	socket.Send(0, make([]byte, protocol.MaxDatagram+1))
	if counters.Sent.Load() != 2 || counters.Unsent.Load() != 2 {
		t.Errorf("sent %d, unsent %d", counters.Sent.Load(), counters.Unsent.Load())
	}
}

// A socket with lasting errors does not take a whole core.
func TestErrorsOfThePeerSocketArePaced(t *testing.T) {
	counters := &Counters{}
	socket, err := Open(netip.MustParseAddrPort("127.0.0.1:0"), protocol.NewPeerTable(nil, netip.AddrPort{}), counters)
	if err != nil {
		t.Fatal(err)
	}
	netio.SetReadDeadline(socket.conn, netio.PastDeadline) // every read fails from now on
	done := make(chan struct{})
	go func() {
		socket.Receive(func(int, []byte) bool { return true })
		close(done)
	}()
	time.Sleep(20 * netio.ErrorPause)
	nettest.Close(socket.conn)
	<-done
	if dropped := counters.Dropped.Load(); dropped < 1 || dropped > 21 {
		t.Errorf("%d errors in 20 pauses", dropped)
	}
}
