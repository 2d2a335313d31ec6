package overload

import "sync/atomic"

const (
	// mixWeight is the weight of the latest interval in the moving average of the mix of ranks, which covers about
	// half a second.
	mixWeight = 0.2
	// uniformWeight is the part of the mix that is distributed uniformly over the ranks. It gives ranks without
	// requests a small share, so that the pressure rises past them at once, but each rank still has a range of its
	// own.
	uniformWeight = 0.02
)

// rankMix is the recent mix of requests by rank, the lowest rank first. The last rank, which is never shed, is not
// part of the mix.
type rankMix []rankRequests

// rankRequests counts the requests of a rank.
type rankRequests struct {
	requests atomic.Uint64
	counted  uint64  // value of requests at the end of the last interval
	share    float64 // moving average of the share of the requests of all ranks but the last
}

// update updates the shares of the ranks with the requests since the last call.
func (m rankMix) update() {
	total := 0.0
	for i := range m[:len(m)-1] {
		total += float64(m[i].requests.Load() - m[i].counted)
	}
	if total == 0 {
		return
	}
	for i := range m[:len(m)-1] {
		counts := &m[i]
		requests := counts.requests.Load()
		counts.share += mixWeight * (float64(requests-counts.counted)/total - counts.share)
		counts.counted = requests
	}
}

// eachShare calls yield with the share of each rank but the last, until it returns false.
func (m rankMix) eachShare(yield func(rank int, share float64) bool) {
	ranks := float64(len(m) - 1)
	sum := 0.0
	for i := range m[:len(m)-1] {
		sum += m[i].share
	}
	for i := range m[:len(m)-1] {
		share := 1 / ranks
		if sum > 0 {
			share = uniformWeight/ranks + (1-uniformWeight)*m[i].share/sum
		}
		if !yield(i, share) {
			return
		}
	}
}

// maxPressure is the pressure that sheds all ranks but the last.
func (m rankMix) maxPressure() float64 { return float64(len(m) - 1) }

// pressureOf returns the pressure that sheds a share of the mix.
func (m rankMix) pressureOf(share float64) (pressure float64) {
	if share >= 1 {
		return m.maxPressure()
	}
	m.eachShare(func(_ int, ofRank float64) bool {
		if share < ofRank {
			pressure += max(share, 0) / ofRank
			return false
		}
		pressure++
		share -= ofRank
		return true
	})
	return min(pressure, m.maxPressure())
}

// shareOf returns the share of the mix that a pressure sheds.
func (m rankMix) shareOf(pressure float64) (share float64) {
	m.eachShare(func(rank int, ofRank float64) bool {
		share += ofRank * min(max(pressure-float64(rank), 0), 1)
		return true
	})
	return min(share, 1)
}
