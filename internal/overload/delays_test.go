package overload

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A quantile is at least that of the sorted values and at most an eighth above it: each value is counted in its own
// bucket and not in a neighbouring one.
func TestDelaysQuantileIsAtMostAnEighthAbove(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, limit := range []int64{6, 100, 1e6, 1e12} {
		var h Delays
		var values []time.Duration
		for range 5000 {
			d := time.Duration(rng.Int64N(limit))
			h.Add(d)
			values = append(values, d)
		}
		slices.Sort(values)
		for _, q := range []float64{0, 0.5, 0.9, 0.99, 1} {
			want := values[max(int(q*float64(len(values)))-1, 0)]
			if got := h.Quantile(q); got < want || got > want+want/8 {
				t.Errorf("values up to %d: quantile %v is %d, want %d to %d", limit, q, got, want, want+want/8)
			}
		}
		if h.Max() != values[len(values)-1] {
			t.Errorf("values up to %d: maximum %d, want %d", limit, h.Max(), values[len(values)-1])
		}
	}
}

// Values out of range count as the nearest bound.
func TestDelaysClampValuesOutOfRange(t *testing.T) {
	var h Delays
	if h.Quantile(0.99) != 0 || h.Max() != 0 {
		t.Errorf("without values: quantile %v, maximum %v, want 0 each", h.Quantile(0.99), h.Max())
	}
	h.Add(-time.Second)
	h.Add(1 << 62)
	if low, high := h.Quantile(0.5), h.Quantile(1); low != 0 || high != 1<<delayBits-1 || h.Max() != 1<<62 {
		t.Errorf("quantiles %v and %v, maximum %v, want 0, %v and %v",
			low, high, h.Max(), time.Duration(1<<delayBits-1), time.Duration(1<<62))
	}
	for d := time.Duration(1); d < 1<<delayBits; d += d/9 + 1 {
		if i := bucketOf(d); longestIn(i) < d || i > 0 && longestIn(i-1) >= d {
			t.Fatalf("%d is in bucket %d with the upper bound %d, want the lowest bucket that holds it",
				d, i, longestIn(i))
		}
	}
}

func BenchmarkDelaysAdd(b *testing.B) {
	var h Delays
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		h.Add(time.Duration(i&1023) * time.Microsecond)
	}
}
