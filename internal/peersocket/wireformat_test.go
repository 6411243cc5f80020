package peersocket

import (
	"bytes"
	"net"
	"net/netip"
	"testing"
	"time"

	"cherrygap/internal/netio"
	"cherrygap/internal/nettest"
	"cherrygap/internal/protocol"
)

// A peer message is one datagram with exactly the message's bytes, at most 256.
func TestDatagramWireFormat(t *testing.T) {
	var peers []*net.UDPConn
	var addrs []netip.AddrPort
	for range 3 {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nettest.Close(conn) })
		peers, addrs = append(peers, conn), append(addrs, netip.MustParseAddrPort(conn.LocalAddr().String()))
	}
	counters := &Counters{}
	socket, err := Open(netip.MustParseAddrPort("127.0.0.1:0"), protocol.NewPeerTable(addrs[:2], addrs[2]), counters)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nettest.Close(socket.conn) })
	long := bytes.Repeat([]byte{0xff, 0, 7}, 86)[:256]
	for _, message := range []struct {
		to   int
		text []byte
		at   int // the peer that receives it; -1: none
	}{
		{to: 0, text: []byte{1, 0, 255}, at: 0},
		{to: 1, text: []byte("text\r\n"), at: 1},
		{to: -1, text: []byte("all"), at: 2},
		{to: 0, text: append(long, 1), at: -1},
		{to: 2, text: []byte("nobody"), at: -1},
		{to: 1, text: long, at: 1},
	} {
		socket.Send(message.to, message.text)
		if message.at < 0 {
			continue
		}
		buf := make([]byte, 1<<10)
		netio.SetReadDeadline(peers[message.at], time.Now().Add(5*time.Second))
		n, from, err := peers[message.at].ReadFromUDPAddrPort(buf)
		if err != nil || !bytes.Equal(buf[:n], message.text) || from.String() != socket.conn.LocalAddr().String() {
			t.Errorf("%q to %d came as %q from %v, %v", message.text, message.to, buf[:n], from, err)
		}
	}
	for peer, conn := range peers { // no peer gets another datagram
		netio.SetReadDeadline(conn, time.Now().Add(20*time.Millisecond))
		if n, _, err := conn.ReadFromUDPAddrPort(make([]byte, 1<<10)); err == nil {
			t.Errorf("%d bytes more to peer %d", n, peer)
		}
	}
}
