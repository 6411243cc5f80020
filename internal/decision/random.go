package decision

// mwc is a multiply-with-carry generator.
type mwc struct{ x, c uint32 }

// unit is a number from 0 up to 1.
func (m *mwc) unit() float64 {
	v := uint64(4294957665)*uint64(m.x) + uint64(m.c)
	m.x, m.c = uint32(v), uint32(v>>32)
	return float64(m.x) / (1 << 32)
}

// mix is a hash of two numbers, by the steps of splitmix64.
func mix(a, b uint32) uint32 {
	x := (uint64(a)<<32 | uint64(b)) + 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return uint32(x >> 32)
}
