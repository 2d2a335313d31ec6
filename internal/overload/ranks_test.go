package overload

import (
	"testing"
	"time"
)

func TestRanksOrderByWeightThenLatencyObjective(t *testing.T) {
	first, duplicate, count := Ranks([]RankedClass{
		{Weight: 1, LatencyObjective: 2 * time.Second},
		{Weight: 5, LatencyObjective: time.Second},
		{Weight: 2, LatencyObjective: 2 * time.Second},
		{Weight: 1, LatencyObjective: time.Second},
		{Weight: 1, LatencyObjective: 2 * time.Second},
	})
	// Duplicates of classes of weight 1, 2 and 5 have weights of 0.25, 0.5 and 1.25.
	for i, want := range []int{3, 7, 6, 4, 3} {
		if first[i] != want {
			t.Errorf("class %d: rank %d, want %d", i, first[i], want)
		}
	}
	for i, want := range []int{0, 5, 2, 1, 0} {
		if duplicate[i] != want {
			t.Errorf("duplicates of class %d: rank %d, want %d", i, duplicate[i], want)
		}
	}
	if count != 8 {
		t.Errorf("%d ranks, want 8", count)
	}
}
