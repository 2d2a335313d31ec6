package upstream

import (
	"testing"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/body"
	"dunemoor/internal/engine"
)

// A host may pause for half of the time that is left if another attempt may follow, and otherwise for all of it.
func TestMaxStall(t *testing.T) {
	route := &engine.Route{Classes: []balancer.Class{{}, {Idempotency: balancer.NonIdempotent}, {Idempotency: balancer.IdempotentWithKey}}}
	const tolerance = 100 * time.Millisecond
	for _, test := range []struct {
		class     int
		remaining time.Duration
		want      time.Duration
	}{
		{0, 3 * time.Second, 1500 * time.Millisecond},
		{2, 3 * time.Second, 1500 * time.Millisecond},
		{0, time.Minute, maxRetryableStall},
		{0, 300 * time.Millisecond, minStall},
		{1, 3 * time.Second, 3 * time.Second},
		{1, 0, minStall},
	} {
		x := &engine.Request{Route: route, Class: test.class, Deadline: time.Now().Add(test.remaining), Body: body.NewBuffered(nil)}
		if got := MaxStall(x); got > test.want || got < test.want-tolerance {
			t.Errorf("class %d with %v left: got %v, want %v", test.class, test.remaining, got, test.want)
		}
	}
}
