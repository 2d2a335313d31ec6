package overload

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Quantiles of what was counted are those of the list of it, to within an eighth above: it
// guards against a bucket that takes what belongs to its neighbour.
func TestDelaysTellQuantiles(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, most := range []int64{6, 100, 1e6, 1e12} {
		var h Delays
		var all []time.Duration
		for range 5000 {
			d := time.Duration(rng.Int64N(most))
			h.Add(d)
			all = append(all, d)
		}
		slices.Sort(all)
		for _, q := range []float64{0, 0.5, 0.9, 0.99, 1} {
			want := all[max(int(q*float64(len(all)))-1, 0)]
			if got := h.Quantile(q); got < want || got > want+want/8 {
				t.Errorf("up to %d, quantile %v: %d, want %d to %d", most, q, got, want, want+want/8)
			}
		}
		if h.Max() != all[len(all)-1] {
			t.Errorf("up to %d: most %d, want %d", most, h.Max(), all[len(all)-1])
		}
	}
}

// What is out of bounds is counted at them.
func TestDelaysBounds(t *testing.T) {
	var h Delays
	if h.Quantile(0.99) != 0 || h.Max() != 0 {
		t.Error("none were counted, and yet there is a quantile")
	}
	h.Add(-time.Second)
	h.Add(1 << 62)
	if low, high := h.Quantile(0.5), h.Quantile(1); low != 0 || high != 1<<delayBits-1 || h.Max() != 1<<62 {
		t.Errorf("%v, %v, %v", low, high, h.Max())
	}
	for d := time.Duration(1); d < 1<<delayBits; d += d/9 + 1 {
		if i := bucket(d); upper(i) < d || i > 0 && upper(i-1) >= d {
			t.Fatalf("%d is in bucket %d, up to %d", d, i, upper(i))
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
