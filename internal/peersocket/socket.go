package peersocket

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"cherrygap/internal/netio"
	"cherrygap/internal/protocol"
)

// Socket is the UDP socket of the messages between nodes.
type Socket struct {
	conn     *net.UDPConn
	table    *protocol.PeerTable
	counters *Counters
}

// Open opens the socket at an address of the node's own.
func Open(addr netip.AddrPort, table *protocol.PeerTable, counters *Counters) (*Socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err // which names the address
	}
	return &Socket{conn: conn, table: table, counters: counters}, nil
}

// Send sends a message to one peer, or to all (below 0). What can't be sent is counted and lost, as any datagram may be.
func (s *Socket) Send(peer int, text []byte) {
	to, ok := s.table.AddrOf(peer)
	if ok && len(text) <= protocol.MaxDatagram {
		if _, err := s.conn.WriteToUDPAddrPort(text, to); err == nil {
			s.counters.Sent.Add(1)
			return
		}
	}
	s.counters.Unsent.Add(1)
}

// Receive passes each message of a peer to handle, on the caller's goroutine, until the socket is closed. handle
// reports whether it could be read; text is good until it returns. What no peer sent, or can't be read, is counted and
// dropped. A socket that gives nothing but errors is asked again after a pause, as the listener is
// (Server.acceptLoop): without it this loop would take the whole core for as long as they last.
func (s *Socket) Receive(handle func(from int, text []byte) bool) {
	buf := make([]byte, protocol.MaxDatagram+1) // one more, so that a longer one is seen to be
	for {
		n, addr, err := s.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.counters.Dropped.Add(1)
			time.Sleep(netio.ErrorPause)
			continue
		}
		if from, ok := s.table.NumberOf(addr, n); ok && handle(from, buf[:n]) {
			s.counters.Received.Add(1)
		} else {
			s.counters.Dropped.Add(1)
		}
	}
}

// Close closes the socket, which ends Receive.
func (s *Socket) Close() { netio.CloseConn(s.conn) }
