package overload

import (
	"math"
	"math/bits"
	"sync/atomic"
	"time"
)

// Delays counts durations in buckets, for quantiles to within an eighth. Add allocates
// nothing and never waits. Its methods may be called by any goroutine. The zero value is ready to use.
type Delays struct {
	counts [delayBuckets]atomic.Uint64
	max    atomic.Int64
}

const (
	// stepBits gives each power of two 8 buckets: a quantile is the upper end of one.
	stepBits = 3
	// delayBits gives the longest duration with a bucket, 2^40 ns or 18 minutes: no request waits so long. Longer ones
	// count as that.
	delayBits    = 40
	delayBuckets = (delayBits - stepBits + 1) << stepBits
)

// Add counts a duration. A negative one, of a clock that was set back, counts as 0.
func (h *Delays) Add(d time.Duration) {
	d = max(d, 0)
	h.counts[bucketOf(d)].Add(1)
	for {
		longest := h.max.Load()
		if int64(d) <= longest || h.max.CompareAndSwap(longest, int64(d)) {
			return
		}
	}
}

// bucketOf returns the index of the bucket of a duration: each nanosecond below 2^stepBits has one, and above that each
// power of two has 2^stepBits.
func bucketOf(d time.Duration) int {
	n := uint64(min(d, 1<<delayBits-1))
	if n < 1<<stepBits {
		return int(n)
	}
	shift := bits.Len64(n) - stepBits - 1
	return (shift+1)<<stepBits + int(n>>shift)&(1<<stepBits-1)
}

// longestIn returns the longest duration in a bucket.
func longestIn(bucket int) time.Duration {
	if bucket < 1<<stepBits {
		return time.Duration(bucket)
	}
	shift := bucket>>stepBits - 1
	return time.Duration((uint64(bucket&(1<<stepBits-1)|1<<stepBits)+1)<<shift - 1)
}

// Quantile returns what the share q of the durations stayed within, at most the longest of all.
// It returns 0 when there is none.
func (h *Delays) Quantile(q float64) time.Duration {
	var counts [delayBuckets]uint64
	total := uint64(0)
	for i := range counts {
		counts[i] = h.counts[i].Load()
		total += counts[i]
	}
	need := uint64(math.Ceil(q * float64(total)))
	seen := uint64(0)
	for bucket, n := range counts {
		seen += n
		if n > 0 && seen >= need {
			return min(longestIn(bucket), h.Max())
		}
	}
	return h.Max()
}

// Max returns the longest duration.
func (h *Delays) Max() time.Duration { return time.Duration(h.max.Load()) }
