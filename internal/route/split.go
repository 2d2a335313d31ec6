package route

import "math"

// share is a pool's part of a route, ready to be weighed.
type share struct {
	pool   int // index in Split
	weight float64
	mark   uint64 // of the pool's name
}

func compileShares(split []Share) (list []share) {
	for i, s := range split {
		if s.Weight > 0 {
			list = append(list, share{i, float64(s.Weight), hash(s.Pool)})
		}
	}
	return list
}

// Pool is the pool that a request of the route goes to, as an index in Split. The same key
// always goes to the same pool while the weights stand, at every gateway and after every
// restart. Without a key chance decides, by r.
//
// It is rendezvous hashing with weights: each pool draws a number from the key and its name,
// and the best one for its weight has it. So a change of weights moves only the keys that
// the changed pools gain or lose, whatever their number and order: from 1 and 99 to 5 and
// 95, four keys in a hundred.
func (r *Route) Pool(key string, chance uint64) int {
	if len(r.shares) == 1 {
		return r.shares[0].pool
	}
	h := chance
	if key != "" {
		h = hash(key)
	}
	best, least := 0, math.Inf(1)
	for i := range r.shares {
		s := &r.shares[i]
		u := (float64(mix(h^s.mark)>>11) + 0.5) / (1 << 53) // above 0 and below 1
		if x := -math.Log(u) / s.weight; x < least {
			best, least = s.pool, x
		}
	}
	return best
}

// hash is FNV-1a with its bits spread: the same everywhere and for good, as keys must go
// the same way after a restart. Whoever picks keys on purpose picks only their own pool.
func hash(s string) uint64 {
	h := uint64(0xcbf29ce484222325)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 0x100000001b3
	}
	return mix(h)
}

// mix spreads the bits of z (splitmix64's finalizer).
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
