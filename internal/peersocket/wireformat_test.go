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

// TestDatagramWireFormat checks that a peer message is one datagram with exactly the message's bytes, at most 256. Send
// also drops a message to an unknown peer. Nodes of another version could not read a message in another format.
func TestDatagramWireFormat(t *testing.T) {
	var peers []*net.UDPConn
	var addrs []netip.AddrPort
	for range 3 {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatalf("open the socket of peer %d: %v", len(peers), err)
		}
		t.Cleanup(func() { nettest.Close(conn) })
		peers, addrs = append(peers, conn), append(addrs, netip.MustParseAddrPort(conn.LocalAddr().String()))
	}
	counters := &Counters{}
	socket, err := Open(netip.MustParseAddrPort("127.0.0.1:0"), protocol.NewPeerTable(addrs[:2], addrs[2]), counters)
	if err != nil {
		t.Fatalf("open the node's socket: %v", err)
	}
	t.Cleanup(func() { nettest.Close(socket.conn) })
	longest := bytes.Repeat([]byte{0xff, 0, 7}, 86)[:256]
	for _, message := range []struct {
		to       int
		payload  []byte
		receiver int // index in peers of the receiving socket: 0 and 1 are the peers, 2 is the address for all peers; -1 for none
	}{
		{to: 0, payload: []byte{1, 0, 255}, receiver: 0},
		{to: 1, payload: []byte("text\r\n"), receiver: 1},
		{to: -1, payload: []byte("all"), receiver: 2},
		{to: 0, payload: append(longest, 1), receiver: -1},
		{to: 2, payload: []byte("nobody"), receiver: -1},
		{to: 1, payload: longest, receiver: 1},
	} {
		socket.Send(message.to, message.payload)
		if message.receiver < 0 {
			continue
		}
		buf := make([]byte, 1<<10)
		netio.SetReadDeadline(peers[message.receiver], time.Now().Add(5*time.Second))
		n, from, err := peers[message.receiver].ReadFromUDPAddrPort(buf)
		if err != nil || !bytes.Equal(buf[:n], message.payload) || from.String() != socket.conn.LocalAddr().String() {
			t.Errorf("after Send(%d, %q), peer %d received %q from %v, error %v; want the same bytes from %v",
				message.to, message.payload, message.receiver, buf[:n], from, err, socket.conn.LocalAddr())
		}
	}
	for peer, conn := range peers { // No peer receives another datagram.
		netio.SetReadDeadline(conn, time.Now().Add(20*time.Millisecond))
		if n, _, err := conn.ReadFromUDPAddrPort(make([]byte, 1<<10)); err == nil {
			t.Errorf("peer %d received another datagram of %d bytes, want none", peer, n)
		}
	}
}
