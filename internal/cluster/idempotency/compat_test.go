package idempotency

import (
	"testing"

	"dunemoor/internal/testutil/compat"
)

func TestCompatFormats(t *testing.T) {
	compat.JSON(t, "command.json", &Command{})
	compat.JSON(t, "result.json", &Result{})
	compat.JSON(t, "state.json", &Partition{})
	compat.Values(t, "ops.txt", OpAdvanceClock, OpEndSession, OpBegin, OpSend, OpComplete, OpAbandon, OpDefer, OpClaim, OpCancel)
	compat.Values(t, "codes.txt", OK, Execute, Retry, InProgress, Completed, Indeterminate, KeyMismatch, Full, Stale, UnknownRequest, Rejected)
	compat.Values(t, "phases.txt", PhaseWaiting, PhaseBegun, PhaseSending, PhaseCompleted, PhaseIndeterminate, PhaseCancelled, PhaseExpired)
	compat.Values(t, "effects.txt", Idempotent, IdempotentWithKey, NonIdempotent)
}
