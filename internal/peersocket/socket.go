package peersocket

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"cherrygap/internal/netio"
	"cherrygap/internal/protocol"
)

// Socket is the UDP socket for the messages between nodes. It is safe for concurrent use.
type Socket struct {
	conn     *net.UDPConn
	table    *protocol.PeerTable
	counters *Counters
}

// Open opens the socket at an address of this node. table has the addresses of the peers. Open returns an error if the
// address is not available.
func Open(addr netip.AddrPort, table *protocol.PeerTable, counters *Counters) (*Socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err // The error names the address.
	}
	return &Socket{conn: conn, table: table, counters: counters}, nil
}

// Send sends a message to one peer, or to all peers if peer is negative. It counts and drops a message that it can't send.
// The protocols tolerate that, because the network may drop any datagram as well.
func (s *Socket) Send(peer int, payload []byte) {
	to, ok := s.table.AddrOf(peer)
	if ok && len(payload) <= protocol.MaxDatagram {
		if _, err := s.conn.WriteToUDPAddrPort(payload, to); err == nil {
			s.counters.Sent.Add(1)
			return
		}
	}
	s.counters.Unsent.Add(1)
}

// Receive passes each message of a peer to handle, on the caller's goroutine, until Close. handle reports whether the
// message was well-formed. payload is valid until handle returns. Receive counts and drops malformed messages, and datagrams
// from other senders. After a read error it waits for netio.ErrorRetryDelay.
func (s *Socket) Receive(handle func(from int, payload []byte) bool) {
	buf := make([]byte, protocol.MaxDatagram+1) // The extra byte reveals a datagram that is too long.
	for {
		n, addr, err := s.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.counters.Dropped.Add(1)
			time.Sleep(netio.ErrorRetryDelay)
			continue
		}
		if from, ok := s.table.SenderOf(addr, n); ok && handle(from, buf[:n]) {
			s.counters.Received.Add(1)
		} else {
			s.counters.Dropped.Add(1)
		}
	}
}

// Close closes the socket, which ends Receive.
func (s *Socket) Close() { netio.CloseConn(s.conn) }
