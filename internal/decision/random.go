package decision

// random is a multiply-with-carry generator (G. Marsaglia). Its numbers are the same on every host, so that a run can be
// repeated.
type random struct{ x, carry uint32 }

// randomMultiplier is the generator's multiplier. The carry is always below it.
const randomMultiplier = 4294957665

// newRandom returns a generator. Any seed is valid.
func newRandom(seed uint64) random {
	return random{uint32(seed) | 1, uint32(seed>>32)%(randomMultiplier-1) + 1}
}

// unit returns a number in [0, 1).
func (r *random) unit() float64 {
	v := randomMultiplier*uint64(r.x) + uint64(r.carry)
	r.x, r.carry = uint32(v), uint32(v>>32)
	return float64(r.x) / (1 << 32)
}

// hashPair returns a hash of two numbers, by the finalizer of splitmix64.
func hashPair(a, b uint32) uint32 {
	x := (uint64(a)<<32 | uint64(b)) + 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return uint32(x >> 32)
}
