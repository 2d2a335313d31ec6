package balancer

// randomSource is a splitmix64 generator. It is seeded and platform-independent, so that a recording can be
// replayed.
type randomSource struct{ state uint64 }

// next returns 64 random bits.
func (r *randomSource) next() uint64 {
	r.state += 0x9e3779b97f4a7c15
	return mixBits(r.state)
}

// below returns a random number in [0, n).
func (r *randomSource) below(n int) int { return int(r.next() >> 33 % uint64(n)) }

// unit returns a random number in [0, 1).
func (r *randomSource) unit() float64 { return float64(r.next()>>11) / (1 << 53) }

// twoBelow returns two different random numbers in [0, n), or 0 twice if n is 1.
func (r *randomSource) twoBelow(n int) (first, second int) {
	first = r.below(n)
	if n == 1 {
		return first, first
	}
	second = r.below(n - 1)
	if second >= first {
		second++
	}
	return first, second
}

// mixBits is the output function of splitmix64. It is also the hash function for the order of hosts on the
// ring.
func mixBits(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
