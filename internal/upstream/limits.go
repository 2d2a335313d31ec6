package upstream

import (
	"time"

	"dunemoor/internal/body"
)

// MaxBufferTime is how long a response is buffered before any of it is forwarded, in case the whole response arrives in
// that time. Each transport decides which responses it buffers.
const MaxBufferTime = 25 * time.Millisecond

// defaultBodyBudgetBytes is the memory limit for which BodyBudget creates a budget. Stream buffers may use a share of it.
const defaultBodyBudgetBytes = 64 << 20

// BodyBudget returns the budget of a transport: given or, if that is nil, a new one.
func BodyBudget(given *body.Budget) *body.Budget {
	if given != nil {
		return given
	}
	return body.NewBudget(defaultBodyBudgetBytes)
}
