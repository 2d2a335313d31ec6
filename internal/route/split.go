package route

import "math"

// weightedPool is a pool of a split with a weight above 0.
type weightedPool struct {
	pool   int // index in Split
	weight float64
	hash   uint64 // hash of the pool's name
}

// weightedPools returns the pools of a split with a weight above 0.
func weightedPools(split []Share) (pools []weightedPool) {
	for i, share := range split {
		if share.Weight > 0 {
			pools = append(pools, weightedPool{pool: i, weight: float64(share.Weight), hash: hash(share.Pool)})
		}
	}
	return pools
}

// Pool returns the pool that a request of the route goes to, as an index in Split. The same key always gives the same
// pool while the weights do not change, at every gateway and after every restart. Without a key the random number
// chance selects the pool.
//
// The method is weighted rendezvous hashing: each pool gets a score by the key, its name and its weight, and the one
// with the lowest score is chosen. So a change of weights moves only the keys that the changed pools gain or lose,
// whatever the number and order of the pools: a change from 1 and 99 to 5 and 95 moves four keys in a hundred.
func (r *Route) Pool(key string, chance uint64) int {
	if len(r.pools) == 1 {
		return r.pools[0].pool
	}
	keyHash := chance
	if key != "" {
		keyHash = hash(key)
	}
	best := 0
	lowest := math.Inf(1)
	for i := range r.pools {
		candidate := &r.pools[i]
		unit := (float64(mixBits(keyHash^candidate.hash)>>11) + 0.5) / (1 << 53) // above 0 and below 1
		score := -math.Log(unit) / candidate.weight
		if score < lowest {
			best = candidate.pool
			lowest = score
		}
	}
	return best
}

// hash is FNV-1a with its bits mixed. It must be the same in all builds and processes, as a key has to give the same
// pool after a restart. A client that chooses its key deliberately affects only the choice of its own pool.
func hash(s string) uint64 {
	h := uint64(0xcbf29ce484222325)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 0x100000001b3
	}
	return mixBits(h)
}

// mixBits spreads the bits of z (the finalizer of splitmix64).
func mixBits(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
