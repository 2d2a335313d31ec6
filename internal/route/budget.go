package route

import "time"

// The retries that a route may save up: those of a route that was quiet must not come all at once.
const (
	maxSavedTime     = 10 * time.Second // of the floor
	maxSavedAttempts = 100              // first attempts whose share is saved up
)

// Budget bounds the retries of a route: a share of its first attempts, and a floor. It only denies retries that the
// balancer allows. It guards against retries that feed the overload that causes them.
type Budget struct {
	share    float64 // retries for each first attempt
	floor    float64 // retries a second beside that
	tokens   float64 // retries saved up at filledAt
	filledAt Time
	began    bool // filledAt is set
}

// NewBudget returns a Budget that has the floor of one second saved up. share is in retries for each first attempt, floor
// in retries a second.
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

// fill adds the floor for the time since the last call. An earlier time adds nothing.
func (b *Budget) fill(now Time) {
	if !b.began {
		b.began = true
		b.filledAt = now
	}
	if now > b.filledAt {
		b.tokens = min(b.tokens+b.floor*(now-b.filledAt).Seconds(), b.capacity())
		b.filledAt = now
	}
}
