package overload

import (
	"math/rand/v2"
	"testing"
	"time"
)

// 10,000 clients are rejected within 100 ms. Each returns when its Retry-After ends, and is rejected again, with a
// longer one, while more clients arrive than can be served. With the spread of RetryAfter the peak of arrivals in 100
// ms falls from all clients to near the mean; without it, it does not.
func TestRetryAfterSpreadsReturningClients(t *testing.T) {
	const clients, capacity = 10_000, 100 // served in 100 ms
	peak := func(retryAfter func(level float64, client uint64) time.Duration) (highest int, servedAll time.Duration) {
		rng := rand.New(rand.NewPCG(20261201, 1))
		due := map[int][]uint64{}
		for i := range clients {
			due[0] = append(due[0], uint64(i)+rng.Uint64N(1<<40)<<20)
		}
		level := 0.0
		for slot := 0; slot < 100_000; slot++ {
			arriving := due[slot]
			delete(due, slot)
			if len(arriving) > capacity {
				level = min(level+0.5, 5)
			} else {
				level = max(level-0.02, 0)
			}
			if slot >= 100 { // ten seconds have passed, as a slot is 100 ms
				highest = max(highest, len(arriving))
			}
			for i, id := range arriving {
				if i >= capacity {
					at := slot + 1 + int(retryAfter(level, id)/(100*time.Millisecond))
					due[at] = append(due[at], id)
				}
			}
			if len(due) == 0 {
				return highest, time.Duration(slot) * 100 * time.Millisecond
			}
		}
		return highest, time.Hour
	}
	spread, took := peak(func(p float64, id uint64) time.Duration { return RetryAfter(p, time.Second, 30*time.Second, id) })
	unspread, tookUnspread := peak(func(p float64, _ uint64) time.Duration { return 2 * time.Second })
	// The Retry-After header has whole seconds, and clients return at the same fraction of a second at which they
	// came, so a longer base is needed to spread them over several seconds.
	whole, _ := peak(func(p float64, id uint64) time.Duration {
		return (RetryAfter(p, 4*time.Second, 30*time.Second, id) + time.Second - 1).Truncate(time.Second)
	})
	if whole > 20*capacity {
		t.Errorf("most in 100 ms with whole seconds: %d, want at most %d", whole, 20*capacity)
	}
	t.Logf("most in 100 ms with whole seconds: %d", whole)
	t.Logf("most in 100 ms from 10 s on: %d with the spread, %d without; all served after %v and %v",
		spread, unspread, took, tookUnspread)
	if spread > 4*capacity || unspread < 20*capacity {
		t.Errorf("most in 100 ms: %d with the spread, %d without, want at most %d and at least %d",
			spread, unspread, 4*capacity, 20*capacity)
	}
	if a, b := RetryAfter(2, time.Second, 30*time.Second, 7), RetryAfter(2, time.Second, 30*time.Second, 7); a != b {
		t.Errorf("Retry-After of one client is %v, then %v, want the same", a, b)
	}
	for p := range 20 {
		if d := RetryAfter(float64(p), time.Second, 30*time.Second, uint64(p)); d > 30*time.Second || d < 500*time.Millisecond {
			t.Errorf("level %d: Retry-After of %v, want 500 ms to 30 s", p, d)
		}
	}
}
