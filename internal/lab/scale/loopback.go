package scale

import "net/netip"

// Each kind of socket has a block of loopback addresses of its own: 127.BLOCK.x.y and, past 65,535, the blocks behind it.
const (
	serverBlock        = 32
	simulatedNodeBlock = 64
	proxyBlock         = 80
	broadcastBlock     = 81
	realNodeBlock      = 96
)

// loopbackAddress is the i-th address of a block, with any port.
func loopbackAddress(block, i int) string {
	i++
	addr := netip.AddrFrom4([4]byte{127, byte(block + i>>16), byte(i >> 8), byte(i)})
	return netip.AddrPortFrom(addr, 0).String()
}
