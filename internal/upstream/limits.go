package upstream

import (
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/engine"
)

// MaxBufferTime is how long a response is buffered before any of it is forwarded, in case the whole response arrives in
// that time. Each transport decides which responses it buffers.
const MaxBufferTime = 25 * time.Millisecond

const (
	// minStall is the least value of MaxStall. TCP retransmits a lost segment after some 200 ms.
	minStall = 250 * time.Millisecond
	// maxRetryableStall is the greatest value of MaxStall for a request that can have another attempt.
	maxRetryableStall = 2 * time.Second
)

// MaxStall returns how long a host may pause within the header section of a response in the platform's protocol, and within
// a body that is buffered as a whole. It is half of the time that is left, so that a request whose host stops there has
// time for another attempt, and all of it if the request can't have one.
func MaxStall(x *engine.Request) time.Duration {
	remaining := x.Remaining()
	if !x.MayRunTwice() {
		return max(minStall, remaining)
	}
	return max(minStall, min(remaining/2, maxRetryableStall))
}

// defaultBodyBudgetBytes is the memory limit for which BodyBudget creates a budget. Stream buffers may use a share of it.
const defaultBodyBudgetBytes = 64 << 20

// BodyBudget returns the budget of a transport: given or, if that is nil, a new one.
func BodyBudget(given *body.Budget) *body.Budget {
	if given != nil {
		return given
	}
	return body.NewBudget(defaultBodyBudgetBytes)
}
