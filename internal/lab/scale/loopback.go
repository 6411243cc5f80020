package scale

import "net/netip"

// Blocks of loopback addresses, one for each kind of socket. A block holds the addresses 127.BLOCK.x.y; after 65,535
// addresses it continues in the next block.
const (
	serverBlock        = 32
	simulatedNodeBlock = 64
	proxyBlock         = 80
	broadcastBlock     = 81
	realNodeBlock      = 96
)

// loopbackAddress returns the i-th address of a block, from 0, with port 0.
func loopbackAddress(block, i int) string {
	i++
	addr := netip.AddrFrom4([4]byte{127, byte(block + i>>16), byte(i >> 8), byte(i)})
	return netip.AddrPortFrom(addr, 0).String()
}
