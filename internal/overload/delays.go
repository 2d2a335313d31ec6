package overload

import (
	"math"
	"math/bits"
	"sync/atomic"
	"time"
)

// Delays is a histogram of durations, whose quantiles are exact to within an eighth. Add does not allocate and never
// blocks. Its methods may be called by any goroutine. The zero value is ready to use.
type Delays struct {
	counts [delayBuckets]atomic.Uint64
	max    atomic.Int64
}

const (
	// stepBits divides each power of two into 8 buckets. A quantile is the upper end of a bucket.
	stepBits = 3
	// delayBits bounds the durations with a bucket of their own at 2^40 ns, or 18 minutes; no request waits that
	// long. Longer durations are counted in the last bucket.
	delayBits    = 40
	delayBuckets = (delayBits - stepBits + 1) << stepBits
)

// Add counts a duration. A negative one, caused by a clock that was set back, counts as 0.
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

// bucketOf returns the index of the bucket of a duration. Each nanosecond below 2^stepBits has its own bucket, and
// above that each power of two has 2^stepBits buckets.
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

// Quantile returns an upper bound of the q-quantile of the durations, at most the longest of them. It returns 0 if
// there are none.
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
