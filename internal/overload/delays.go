package overload

import (
	"math"
	"math/bits"
	"sync/atomic"
	"time"
)

// Delays counts durations by size, to tell quantiles of them to within an eighth. Add allocates
// nothing and never waits; any goroutine may call any of it. The zero value counts none.
type Delays struct {
	counts [delayBuckets]atomic.Uint64
	most   atomic.Int64
}

const (
	// stepBits gives each power of two 8 buckets: a quantile is told as the upper end of one.
	stepBits = 3
	// delayBits is of the longest that is told apart, 2^40 ns or 18 minutes: no request waits so
	// long. All above count as that.
	delayBits    = 40
	delayBuckets = (delayBits - stepBits + 1) << stepBits
)

// Add counts a duration; one below 0, of a clock that was set back, counts as 0.
func (h *Delays) Add(d time.Duration) {
	d = max(d, 0)
	h.counts[bucket(d)].Add(1)
	for old := h.most.Load(); int64(d) > old && !h.most.CompareAndSwap(old, int64(d)); old = h.most.Load() {
	}
}

// bucket is the number of the one that takes d.
func bucket(d time.Duration) int {
	n := uint64(min(d, 1<<delayBits-1))
	if n < 1<<stepBits {
		return int(n)
	}
	shift := bits.Len64(n) - stepBits - 1
	return (shift+1)<<stepBits + int(n>>shift)&(1<<stepBits-1)
}

// upper is the longest that a bucket takes.
func upper(i int) time.Duration {
	if i < 1<<stepBits {
		return time.Duration(i)
	}
	shift := i>>stepBits - 1
	return time.Duration((uint64(i&(1<<stepBits-1)|1<<stepBits)+1)<<shift - 1)
}

// Quantile is what the part q of all that was counted stayed within, the longest of all at most.
// It is 0 when nothing was.
func (h *Delays) Quantile(q float64) time.Duration {
	var counts [delayBuckets]uint64
	total := uint64(0)
	for i := range counts {
		counts[i] = h.counts[i].Load()
		total += counts[i]
	}
	need, seen := uint64(math.Ceil(q*float64(total))), uint64(0)
	for i, n := range counts {
		if seen += n; n > 0 && seen >= need {
			return min(upper(i), h.Most())
		}
	}
	return h.Most()
}

// Most is the longest that was counted.
func (h *Delays) Most() time.Duration { return time.Duration(h.most.Load()) }
