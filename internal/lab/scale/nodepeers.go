package scale

import (
	"net"
	"net/netip"
	"slices"
	"sync/atomic"

	"cherrygap/internal/protocol"
)

const (
	broadcastQueue   = 256  // messages to all that wait
	relayBufferBytes = 2048 // more than any node sends
)

// messageKind is the first byte of a peer message.
type messageKind struct {
	mark byte
	name string // in the result
}

// messageKinds are the kinds that are counted apart, and all others.
var messageKinds = [...]messageKind{{0xC8, "use"}, {0xC9, "grant"}, {0xCA, "doubts"}, {0xCB, "ask"}, {0, "other"}}

// kindName is the name of the kind of a mark.
func kindName(mark byte) string {
	i := slices.IndexFunc(messageKinds[:], func(k messageKind) bool { return k.mark == mark })
	if i < 0 {
		i = len(messageKinds) - 1
	}
	return messageKinds[i].name
}

// peerNetwork carries peer messages between simulated and real nodes, and counts those at simulated ones. Each real node
// knows the other real ones by a proxy's address here.
type peerNetwork struct {
	peerTable     *protocol.PeerTable
	realAddrs     []netip.AddrPort
	realNumbers   map[netip.AddrPort]int
	proxies       []*net.UDPConn // by real node
	broadcastConn *net.UDPConn   // what a real node sends here goes to all

	broadcasts     chan broadcastMessage // to simulated nodes
	broadcastsLost atomic.Int64
	traffic        [len(messageKinds)]struct{ in, inBytes, out, outBytes atomic.Int64 }
}

type broadcastMessage struct {
	from    int // number of the sending node
	payload []byte
}

func newPeerNetwork() peerNetwork {
	return peerNetwork{realNumbers: map[netip.AddrPort]int{}, broadcasts: make(chan broadcastMessage, broadcastQueue)}
}

// setPeers makes the table of all nodes: real ones first, then simulated ones.
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

func (p *peerNetwork) countMessage(payload []byte, in bool) {
	kind := slices.IndexFunc(messageKinds[:len(messageKinds)-1], func(k messageKind) bool { return k.mark == payload[0] })
	if kind < 0 {
		kind = len(messageKinds) - 1
	}
	count := &p.traffic[kind]
	if in {
		count.in.Add(1)
		count.inBytes.Add(int64(len(payload)))
	} else {
		count.out.Add(1)
		count.outBytes.Add(int64(len(payload)))
	}
}

// counts gives the messages counted so far, by kind.
func (p *peerNetwork) counts() (out []peerTraffic) {
	for i, kind := range messageKinds {
		t := &p.traffic[i]
		out = append(out, peerTraffic{
			Kind: kind.mark, In: t.in.Load(), InBytes: t.inBytes.Load(), Out: t.out.Load(), OutBytes: t.outBytes.Load(),
		})
	}
	return out
}

// queueBroadcast never waits: where the queue is full, the message is lost, and counted.
func (p *peerNetwork) queueBroadcast(from int, payload []byte) {
	select {
	case p.broadcasts <- broadcastMessage{from, slices.Clone(payload)}:
	default:
		p.broadcastsLost.Add(1)
	}
}

// deliverBroadcasts hands messages to all to each simulated node, without a socket. It ends with the process.
func (p *peerNetwork) deliverBroadcasts(nodes []*simulatedNode) {
	for message := range p.broadcasts {
		for _, n := range nodes {
			if n.number != message.from {
				n.receive(message.from, message.payload)
			}
		}
	}
}

// forwardForReal stands for the i-th real node before the other real ones, which know it by this address. What they send
// here is forwarded from the address by which the i-th node knows the sender, as a node tells its peers apart by where a
// datagram comes from. It ends with its socket.
func (p *peerNetwork) forwardForReal(i int) {
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

// relayBroadcasts stands for the address that reaches all. What a real node sends there is forwarded to the other real
// ones by their proxies, and to the simulated ones. It ends with its socket.
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
