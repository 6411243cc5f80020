package protocol

import "net/netip"

// MaxDatagram is the maximum size of a peer message, in bytes.
const MaxDatagram = 256

// PeerTable maps the numbers of a fleet's nodes to their datagram addresses and back. It is immutable and safe for concurrent
// use.
type PeerTable struct {
	addrs   []netip.AddrPort       // addresses indexed by node number
	all     netip.AddrPort         // address that reaches every node; invalid if there is none
	numbers map[netip.AddrPort]int // node numbers by address
}

// NewPeerTable returns the table of the nodes with the given addresses, in the order of their numbers. all is the address
// that reaches every node, or the zero AddrPort if there is none. The table keeps addrs, so the caller must not
// modify it.
func NewPeerTable(addrs []netip.AddrPort, all netip.AddrPort) *PeerTable {
	t := &PeerTable{addrs: addrs, all: all, numbers: make(map[netip.AddrPort]int, len(addrs))}
	for i, addr := range addrs {
		t.numbers[addr] = i
	}
	return t
}

// AddrOf returns the address of a node. A negative number stands for every node. It returns false if there is no such
// address.
func (t *PeerTable) AddrOf(peer int) (netip.AddrPort, bool) {
	if peer < 0 {
		return t.all, t.all.IsValid()
	}
	if peer >= len(t.addrs) {
		return netip.AddrPort{}, false
	}
	return t.addrs[peer], true
}

// SenderOf returns the number of the node that sent a datagram from addr with size bytes. It returns false if addr is not a
// node's address, or if the datagram is empty or larger than MaxDatagram.
func (t *PeerTable) SenderOf(addr netip.AddrPort, size int) (int, bool) {
	peer, ok := t.numbers[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]
	return peer, ok && size > 0 && size <= MaxDatagram
}
