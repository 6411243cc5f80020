package scale

import (
	"net"
	"net/netip"
	"sync/atomic"

	"cherrygap/internal/protocol"
)

// simulatedNode is an edge node without client sockets. It stays the same over restarts of the node.
type simulatedNode struct {
	fleet   *nodeFleet
	number  int                         // node number among all nodes, real ones first
	conn    *net.UDPConn                // socket for peer messages
	addr    netip.AddrPort              // local address of conn
	down    atomic.Bool                 // whether the node is stopped, between two incarnations
	current atomic.Pointer[incarnation] // latest incarnation
}

// send sends a peer message of an incarnation as a datagram to one node, or to all nodes if peer is below 0. A broadcast
// reaches the simulated nodes over the fleet's queue. send ignores write errors, as a node has to tolerate lost datagrams.
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

// receive passes a peer message to the engine. A node that is down drops the message.
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
