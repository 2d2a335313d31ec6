package shelf

import (
	"testing"

	"dunemoor/internal/testkit/compat"
)

func TestCompatFormats(t *testing.T) {
	compat.JSON(t, "command.json", &Command{})
	compat.JSON(t, "result.json", &Result{})
	compat.JSON(t, "state.json", &State{})
	compat.Values(t, "ops.txt", Clock, Gone, Begin, Send, End, Drop, Put, Take, Cancel)
	compat.Values(t, "codes.txt", OK, Run, Again, Running, Done, InDoubt, Mismatch, Full, Stale, Unknown, Refused)
	compat.Values(t, "phases.txt", Waiting, Begun, Sending, Ended, Doubt, Cancelled, Lapsed)
	compat.Values(t, "effects.txt", Safe, Keyed, Unsafe)
}
