package body

import (
	"testing"
	"time"
)

// Waits are counted together, and only bytes that were passed on meanwhile allow further ones. Guards against short waits
// that add up while other streams wait.
func TestWaitBudgetBoundsAllWaits(t *testing.T) {
	const rounds = 1000
	const wait = 10 * time.Millisecond
	const part = 4 << 10 // a tenth of what must be passed on during a wait
	var b WaitBudget
	var waited time.Duration
	passed := 0
	for range rounds {
		w := min(wait, b.Left())
		b.Spend(w)
		waited += w
		b.Earn(part)
		passed += part
	}
	limit := maxReadDelay + time.Duration(float64(passed)/minSharedRate*float64(time.Second))
	if waited > limit || waited < maxReadDelay {
		t.Errorf("waited %v for %d bytes, want between %v and %v", waited, passed, maxReadDelay, limit)
	}
	b.Reset()
	if got := b.Left(); got != maxReadDelay {
		t.Errorf("after Reset %v are left, want %v", got, maxReadDelay)
	}
}
