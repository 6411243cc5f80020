package scale

import (
	"net"
	"net/netip"
	"sync/atomic"

	"cherrygap/internal/protocol"
)

// simulatedNode is one edge node without client sockets, over its restarts.
type simulatedNode struct {
	fleet   *nodeFleet
	number  int // among all nodes
	conn    *net.UDPConn
	addr    netip.AddrPort
	away    atomic.Bool // between two incarnations
	current atomic.Pointer[incarnation]
}

// send sends a message for an incarnation: to one node as a datagram, and to all (peer below 0) over the fleet's queue
// and as datagrams to the real nodes. A lost datagram is nothing unusual, so that errors are passed over.
func (n *simulatedNode) send(from *incarnation, peer int, payload []byte) {
	if len(payload) > protocol.MaxDatagram || from.ended.Load() {
		return
	}
	n.fleet.countMessage(payload, false)
	if peer < 0 {
		for _, addr := range n.fleet.realAddrs {
			_, _ = n.conn.WriteToUDPAddrPort(payload, addr)
		}
		n.fleet.queueBroadcast(n.number, payload)
		return
	}
	if to, ok := n.fleet.peerTable.AddrOf(peer); ok {
		_, _ = n.conn.WriteToUDPAddrPort(payload, to)
	}
}

func (n *simulatedNode) receive(from int, payload []byte) {
	if !n.away.Load() {
		n.fleet.countMessage(payload, true)
		n.current.Load().router.ReceivePeerMessage(from, payload)
	}
}

// readDatagrams passes on what comes in, until the socket fails.
func (n *simulatedNode) readDatagrams() {
	buffer := make([]byte, protocol.MaxDatagram+1)
	for {
		size, addr, err := n.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if from, ok := n.fleet.peerTable.NumberOf(addr, size); ok {
			n.receive(from, buffer[:size])
		}
	}
}
