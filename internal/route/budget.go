package route

import "time"

// Bounds of the retries that a route may accumulate. They guard against many retries at once after a quiet time.
const (
	maxSavedTime     = 10 * time.Second // time for which the floor accumulates
	maxSavedAttempts = 100              // first attempts whose share accumulates
)

// Budget bounds the retries of a route to a share of its first attempts and, in addition, a floor: a constant rate.
// It can only deny retries that the balancer allows. It guards against retries that add to the overload that causes
// them.
type Budget struct {
	share    float64 // retries for each first attempt
	floor    float64 // additional retries a second
	tokens   float64 // retries accumulated at filledAt
	filledAt Time
	began    bool // filledAt is set
}

// NewBudget returns a Budget that starts with the retries of one second of the floor. share is in retries for each
// first attempt, floor in retries a second.
func NewBudget(share, floor float64) *Budget {
	return &Budget{share: share, floor: floor, tokens: floor}
}

// FirstAttempt counts a first attempt.
func (b *Budget) FirstAttempt(now Time) {
	b.fill(now)
	b.tokens = min(b.tokens+b.share, b.capacity())
}

// capacity returns how many retries may accumulate, which is at least one.
func (b *Budget) capacity() float64 {
	return max(1, b.floor*maxSavedTime.Seconds(), b.share*maxSavedAttempts)
}

// Retry reports whether a retry is allowed now, and if so takes it from the budget.
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
