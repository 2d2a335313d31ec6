package route

import "time"

// Retries may be saved up for maxSavedTime, and of maxSavedAttempts first attempts: those of a route that was quiet must
// not come all at once.
const (
	maxSavedTime     = 10 * time.Second
	maxSavedAttempts = 100
)

// Budget bounds the retries of a route: a share of its first attempts, and a floor. It only denies retries that the
// balancer allows. It guards against retries that feed the overload that causes them.
type Budget struct {
	share  float64 // retries for each first attempt
	floor  float64 // retries a second beside that
	tokens float64
	filled Time
	began  bool
}

// NewBudget returns a Budget that has the floor of one second saved up.
func NewBudget(share, floor float64) *Budget {
	return &Budget{share: share, floor: floor, tokens: floor}
}

// FirstAttempt counts a first attempt.
func (b *Budget) FirstAttempt(now Time) {
	b.fill(now)
	b.tokens = min(b.tokens+b.share, b.capacity())
}

// capacity returns how many retries may be saved up, one at least.
func (b *Budget) capacity() float64 {
	return max(1, b.floor*maxSavedTime.Seconds(), b.share*maxSavedAttempts)
}

// Retry reports whether there may be a retry now, and counts it.
func (b *Budget) Retry(now Time) bool {
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) fill(now Time) {
	if !b.began {
		b.began, b.filled = true, now
	}
	if now > b.filled {
		b.tokens = min(b.tokens+b.floor*(now-b.filled).Seconds(), b.capacity())
		b.filled = now
	}
}
