package scale

import (
	"net"
	"net/netip"
	"slices"
	"sync/atomic"

	"cherrygap/internal/protocol"
)

const (
	broadcastQueueSize = 256  // largest number of queued messages
	relayBufferBytes   = 2048 // more than the size of any datagram that a node sends
)

// messageKind is a kind of peer message.
type messageKind struct {
	firstByte byte   // first byte of the message
	name      string // key of the kind in the result
}

// messageKinds lists the kinds of messages that peerNetwork counts separately. The last element stands for all other kinds.
var messageKinds = [...]messageKind{{0xC8, "use"}, {0xC9, "grant"}, {0xCA, "doubts"}, {0xCB, "ask"}, {0, "other"}}

// messageDirection is the direction of a peer message at a simulated node.
type messageDirection int

const (
	incoming messageDirection = iota
	outgoing
)

// kindName returns the name of the kind whose messages begin with firstByte, or "other".
func kindName(firstByte byte) string {
	i := slices.IndexFunc(messageKinds[:], func(k messageKind) bool { return k.firstByte == firstByte })
	if i < 0 {
		i = len(messageKinds) - 1
	}
	return messageKinds[i].name
}

// peerNetwork carries peer messages between simulated and real nodes, and counts the messages of simulated nodes. Real
// nodes send to each other through proxies.
type peerNetwork struct {
	peerTable     *protocol.PeerTable
	realAddrs     []netip.AddrPort       // peer addresses of the real nodes, by node number
	realNumbers   map[netip.AddrPort]int // numbers of the real nodes, by peer address
	proxies       []*net.UDPConn         // sockets of the real nodes' proxies, by node number
	broadcastConn *net.UDPConn           // socket that receives the real nodes' broadcasts

	broadcasts     chan broadcastMessage // queue of the messages to all simulated nodes
	broadcastsLost atomic.Int64          // number of messages that found the queue full

	// traffic counts messages and bytes in both directions, by index of messageKinds.
	traffic [len(messageKinds)]struct{ in, inBytes, out, outBytes atomic.Int64 }
}

// broadcastMessage is a peer message to all nodes.
type broadcastMessage struct {
	from    int // number of the sending node
	payload []byte
}

// newPeerNetwork returns a network without nodes and sockets.
func newPeerNetwork() peerNetwork {
	return peerNetwork{realNumbers: map[netip.AddrPort]int{}, broadcasts: make(chan broadcastMessage, broadcastQueueSize)}
}

// setPeers sets the table of all nodes, which holds the real nodes first and then the simulated ones. realNodes holds the
// real nodes' peer addresses.
func (p *peerNetwork) setPeers(realNodes []string, simulated []*simulatedNode) error {
	for i, s := range realNodes {
		addr, err := netip.ParseAddrPort(s)
		if err != nil {
			return err
		}
		p.realAddrs = append(p.realAddrs, addr)
		p.realNumbers[addr] = i
	}
	addrs := slices.Clone(p.realAddrs)
	for _, n := range simulated {
		addrs = append(addrs, n.addr)
	}
	p.peerTable = protocol.NewPeerTable(addrs, netip.AddrPort{})
	return nil
}

// countMessage counts a peer message by its kind. The payload must not be empty.
func (p *peerNetwork) countMessage(payload []byte, direction messageDirection) {
	kind := slices.IndexFunc(messageKinds[:len(messageKinds)-1], func(k messageKind) bool { return k.firstByte == payload[0] })
	if kind < 0 {
		kind = len(messageKinds) - 1
	}
	count := &p.traffic[kind]
	if direction == incoming {
		count.in.Add(1)
		count.inBytes.Add(int64(len(payload)))
	} else {
		count.out.Add(1)
		count.outBytes.Add(int64(len(payload)))
	}
}

// messageCounts returns the counts of messages so far, in the order of messageKinds.
func (p *peerNetwork) messageCounts() (counts []peerTraffic) {
	for i, kind := range messageKinds {
		t := &p.traffic[i]
		counts = append(counts, peerTraffic{
			Kind: kind.firstByte, In: t.in.Load(), InBytes: t.inBytes.Load(), Out: t.out.Load(), OutBytes: t.outBytes.Load(),
		})
	}
	return counts
}

// queueBroadcast queues a copy of a message for all simulated nodes but the sender. It does not block: if the queue is full,
// it counts the message as lost.
func (p *peerNetwork) queueBroadcast(from int, payload []byte) {
	select {
	case p.broadcasts <- broadcastMessage{from, slices.Clone(payload)}:
	default:
		p.broadcastsLost.Add(1)
	}
}

// deliverBroadcasts delivers each queued message to all simulated nodes but the sender. It ends with the process.
func (p *peerNetwork) deliverBroadcasts(nodes []*simulatedNode) {
	for message := range p.broadcasts {
		for _, n := range nodes {
			if n.number != message.from {
				n.receive(message.from, message.payload)
			}
		}
	}
}

// forwardToRealNode forwards the datagrams that other real nodes send to the i-th real node's proxy. A node identifies a peer
// by the datagram's source address, so the sender's proxy sends the datagram on. The loop ends when the socket of the i-th
// proxy is closed.
func (p *peerNetwork) forwardToRealNode(i int) {
	buffer := make([]byte, relayBufferBytes)
	for {
		size, addr, err := p.proxies[i].ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if from, ok := p.realNumbers[addr]; ok && from != i {
			_, _ = p.proxies[from].WriteToUDPAddrPort(buffer[:size], p.realAddrs[i])
		}
	}
}

// relayBroadcasts forwards the real nodes' broadcasts to the other real nodes from the sender's proxy, and to the simulated
// nodes through the queue. It ends when the broadcast socket is closed.
func (p *peerNetwork) relayBroadcasts() {
	buffer := make([]byte, relayBufferBytes)
	for {
		size, addr, err := p.broadcastConn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		from, ok := p.realNumbers[addr]
		if !ok || size == 0 || size > protocol.MaxDatagram {
			continue
		}
		for i, to := range p.realAddrs {
			if i != from {
				_, _ = p.proxies[from].WriteToUDPAddrPort(buffer[:size], to)
			}
		}
		p.queueBroadcast(from, buffer[:size])
	}
}
