package engine

import (
	"testing"
	"time"

	"dunemoor/balancer"
)

// A host's started_ms is Unix time, and converts to the balancers' clock to within a millisecond.
func TestClockAgreesWithUnixTime(t *testing.T) {
	c := clock{time.Now()}
	at := time.Now().Add(-3 * time.Second)
	started := balancer.Time(at.UnixMilli()) * balancer.Time(time.Millisecond)
	if got := c.at(at) - started; got < 0 || got >= time.Millisecond {
		t.Errorf("difference for a host started 3 s ago: got %v, want 0 to 1ms", got)
	}
	if got := c.time(c.at(at)); !got.Equal(at) {
		t.Errorf("conversion to the balancers' clock and back: got %v, want %v", got, at)
	}
}
