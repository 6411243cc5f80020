package protocol

import "net/netip"

// MaxDatagram bounds a message between nodes, in bytes.
const MaxDatagram = 256

// PeerTable are the nodes of the tier by their datagram addresses, in the order of their numbers.
type PeerTable struct {
	addrs []netip.AddrPort
	all   netip.AddrPort
	from  map[netip.AddrPort]int
}

// NewPeerTable makes the table of peers.
func NewPeerTable(addrs []netip.AddrPort, all netip.AddrPort) *PeerTable {
	p := &PeerTable{addrs: addrs, all: all, from: map[netip.AddrPort]int{}}
	for i, a := range addrs {
		p.from[a] = i
	}
	return p
}

// AddrOf is where a message to a node goes; a number below 0 is every node.
func (p *PeerTable) AddrOf(peer int) (netip.AddrPort, bool) {
	if peer < 0 {
		return p.all, p.all.IsValid()
	}
	if peer >= len(p.addrs) {
		return netip.AddrPort{}, false
	}
	return p.addrs[peer], true
}

// NumberOf is the number of the node that sent a datagram; false where it is none of the tier or the
// datagram can't be one of theirs.
func (p *PeerTable) NumberOf(addr netip.AddrPort, size int) (int, bool) {
	i, ok := p.from[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]
	return i, ok && size > 0 && size <= MaxDatagram
}
