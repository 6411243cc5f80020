package scale

import (
	"net"
	"net/netip"
	"sync/atomic"

	"cherrygap/internal/protocol"
)

// simulatedNode is an edge node without client sockets, over its restarts.
type simulatedNode struct {
	fleet   *nodeFleet
	number  int            // among all nodes
	conn    *net.UDPConn   // of peer messages
	addr    netip.AddrPort // of conn
	down    atomic.Bool    // between two incarnations
	current atomic.Pointer[incarnation]
}

// send sends a peer message of an incarnation: as a datagram to one node, or to all nodes if peer is below 0. A broadcast
// reaches the simulated nodes over the fleet's queue. Send errors are ignored, as datagrams may be lost.
func (n *simulatedNode) send(from *incarnation, peer int, payload []byte) {
	if len(payload) > protocol.MaxDatagram || from.ended.Load() {
		return
	}
	n.fleet.countMessage(payload, outgoing)
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

// receive passes a peer message to the engine, unless the node is away.
func (n *simulatedNode) receive(from int, payload []byte) {
	if !n.down.Load() {
		n.fleet.countMessage(payload, incoming)
		n.current.Load().router.ReceivePeerMessage(from, payload)
	}
}

// readDatagrams receives peer messages until the socket is closed.
func (n *simulatedNode) readDatagrams() {
	buffer := make([]byte, protocol.MaxDatagram+1)
	for {
		size, addr, err := n.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if from, ok := n.fleet.peerTable.SenderOf(addr, size); ok {
			n.receive(from, buffer[:size])
		}
	}
}
