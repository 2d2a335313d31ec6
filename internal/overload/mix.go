package overload

import "sync/atomic"

const (
	// mixWeight is the weight of an interval in the known mix of ranks: half a second of it counts.
	mixWeight = 0.2
	// evenWeight is the part of the mix that counts as even: ranks that nobody requests are passed over at once, and yet
	// have a place.
	evenWeight = 0.02
)

// rank counts the requests of a rank.
type rank struct {
	requests atomic.Uint64
	counted  uint64  // requests at the last interval
	share    float64 // of the requests of all ranks but the last, lately
}

// updateMix updates the shares of the ranks by the requests since the last time.
func updateMix(list []rank) {
	total := 0.0
	for i := range list[:len(list)-1] {
		total += float64(list[i].requests.Load() - list[i].counted)
	}
	if total == 0 {
		return
	}
	for i := range list[:len(list)-1] {
		r := &list[i]
		requests := r.requests.Load()
		r.share += mixWeight * (float64(requests-r.counted)/total - r.share)
		r.counted = requests
	}
}

// eachShare calls yield with the share of each rank, until it returns false.
func eachShare(list []rank, yield func(rank int, share float64) bool) {
	n, sum := float64(len(list)-1), 0.0
	for i := range list[:len(list)-1] {
		sum += list[i].share
	}
	for i := range list[:len(list)-1] {
		share := 1 / n
		if sum > 0 {
			share = evenWeight/n + (1-evenWeight)*list[i].share/sum
		}
		if !yield(i, share) {
			return
		}
	}
}

// pressureOf returns the pressure that sheds a share of the mix.
func pressureOf(list []rank, share float64) (pressure float64) {
	if share >= 1 {
		return float64(len(list) - 1)
	}
	eachShare(list, func(_ int, ofRank float64) bool {
		if share < ofRank {
			pressure += max(share, 0) / ofRank
			return false
		}
		pressure, share = pressure+1, share-ofRank
		return true
	})
	return min(pressure, float64(len(list)-1))
}

// shareOf returns the share of the mix that a pressure sheds.
func shareOf(list []rank, pressure float64) (share float64) {
	eachShare(list, func(rank int, ofRank float64) bool {
		share += ofRank * min(max(pressure-float64(rank), 0), 1)
		return true
	})
	return min(share, 1)
}
