package upstream

import (
	"time"

	"dunemoor/internal/body"
)

// MaxBufferTime is how long a response is buffered, in the hope that all of it arrives, before any of it is passed on.
// Which responses are is up to the transport.
const MaxBufferTime = 25 * time.Millisecond

// defaultBodyBudgetBytes is the memory limit of the budget of a transport that is given none. Buffers of streams take a
// share of it.
const defaultBodyBudgetBytes = 64 << 20

// BodyBudget returns the budget of a transport: the given one or, if that is nil, a new one.
func BodyBudget(given *body.Budget) *body.Budget {
	if given != nil {
		return given
	}
	return body.NewBudget(defaultBodyBudgetBytes)
}
