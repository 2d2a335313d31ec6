package overload

import "sync/atomic"

const (
	// mixWeight is the weight of an interval in the known mix of ranks: half a second of it counts.
	mixWeight = 0.2
	// evenWeight is the part of the mix that counts as even: ranks that nobody requests are passed over at once, and yet
	// have a place.
	evenWeight = 0.02
)

// rankMix is the ranks with what is known of their requests, the lowest first. The last rank, which is never shed, does
// not count in the mix.
type rankMix []rankRequests

// rankRequests counts the requests of a rank.
type rankRequests struct {
	requests atomic.Uint64
	counted  uint64  // requests at the last interval
	share    float64 // of the requests of all ranks but the last, lately
}

// update updates the shares of the ranks by the requests since the last time.
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
			share = evenWeight/ranks + (1-evenWeight)*m[i].share/sum
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
