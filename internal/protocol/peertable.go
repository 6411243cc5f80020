package protocol

import "net/netip"

// MaxDatagram bounds a message between nodes, in bytes.
const MaxDatagram = 256

// PeerTable has the nodes of the fleet by their datagram addresses, in the order of their numbers. It does not change, so
// that any goroutine may use it.
type PeerTable struct {
	addrs   []netip.AddrPort
	all     netip.AddrPort
	numbers map[netip.AddrPort]int
}

// NewPeerTable makes the table of the nodes at addrs. What is for every node goes to all, which may be invalid: then there
// is no such address.
func NewPeerTable(addrs []netip.AddrPort, all netip.AddrPort) *PeerTable {
	t := &PeerTable{addrs: addrs, all: all, numbers: make(map[netip.AddrPort]int, len(addrs))}
	for i, addr := range addrs {
		t.numbers[addr] = i
	}
	return t
}

// AddrOf is where a message to a node goes, and whether there is such an address; a number below 0 is every node.
func (t *PeerTable) AddrOf(peer int) (netip.AddrPort, bool) {
	if peer < 0 {
		return t.all, t.all.IsValid()
	}
	if peer >= len(t.addrs) {
		return netip.AddrPort{}, false
	}
	return t.addrs[peer], true
}

// NumberOf is the number of the node that sent a datagram; false where it is none of the fleet, or the
// datagram's size can't be that of one of theirs.
func (t *PeerTable) NumberOf(addr netip.AddrPort, size int) (int, bool) {
	peer, ok := t.numbers[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]
	return peer, ok && size > 0 && size <= MaxDatagram
}
