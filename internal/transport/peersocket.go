package transport

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"cherrygap/internal/protocol"
)

// PeerSocket is the socket of the peers' datagrams.
type PeerSocket struct {
	conn  *net.UDPConn
	peers *protocol.PeerTable
	count *Counters
}

// OpenPeerSocket opens the socket.
func OpenPeerSocket(addr netip.AddrPort, peers *protocol.PeerTable, count *Counters) (*PeerSocket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	return &PeerSocket{conn: conn, peers: peers, count: count}, nil
}

// Send sends a message to one peer, or to all. What can't be sent is lost, as any datagram may be.
func (m *PeerSocket) Send(peer int, text []byte) {
	to, ok := m.peers.AddrOf(peer)
	if ok && len(text) <= protocol.MaxDatagram {
		if _, err := m.conn.WriteToUDPAddrPort(text, to); err == nil {
			m.count.PeerMessagesSent.Add(1)
			return
		}
	}
	m.count.PeerMessagesUnsent.Add(1)
}

// Receive passes on what peers send, until the socket is closed. What is not theirs, or can't be read, is
// counted and dropped. A socket that gives nothing but errors is asked again after a pause, as the listener is
// (Front.accept): without it this loop would take the whole core for as long as they last.
func (m *PeerSocket) Receive(heard func(from int, text []byte) bool) {
	buf := make([]byte, protocol.MaxDatagram+1)
	for {
		n, addr, err := m.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			m.count.PeerMessagesDropped.Add(1)
			time.Sleep(againSoon)
			continue
		}
		if from, ok := m.peers.NumberOf(addr, n); ok && heard(from, buf[:n]) {
			m.count.PeerMessagesReceived.Add(1)
		} else {
			m.count.PeerMessagesDropped.Add(1)
		}
	}
}
