package body

import (
	"testing"
	"time"
)

// A peer's rate is measured over the time that is spent waiting for it: one byte at a time is too slow, and a pause
// of the other side doesn't count.
func TestMeterMeasuresRateOverTimeWaited(t *testing.T) {
	m := Meter{Pace: Pace{IdleTimeout: 30 * time.Second, MinRate: 100}}
	for i := range 9 {
		if err := m.Record(1, time.Second); err != nil {
			t.Fatalf("after %d s: got %v, want nil", i+1, err)
		}
	}
	if got := m.Timeout(); got != time.Second {
		t.Errorf("timeout in the last second of a window: got %v, want 1s", got)
	}
	if err := m.Record(1, time.Second); err != ErrTooSlow {
		t.Errorf("ten bytes in ten seconds: got %v, want %v", err, ErrTooSlow)
	}
	for range 100 {
		if err := m.Record(100, time.Second); err != nil {
			t.Fatalf("at the minimum rate: got %v, want nil", err)
		}
	}
	for range 1000 { // the time that the other side takes is not recorded
		if err := m.Record(1, time.Millisecond); err != nil {
			t.Fatalf("a byte in a millisecond: got %v, want nil", err)
		}
	}
}

func TestMeterWithoutMinRateAcceptsAnyRate(t *testing.T) {
	m := Meter{Pace: Pace{IdleTimeout: time.Minute}}
	if err := m.Record(0, time.Hour); err != nil {
		t.Errorf("no byte in an hour: got %v, want nil", err)
	}
	if got := m.Timeout(); got != time.Minute {
		t.Errorf("timeout: got %v, want 1m", got)
	}
}

// A deadline is set again only after a quarter of its time, and is never earlier than requested.
func TestLazyDeadlineIsSetAgainAfterAQuarter(t *testing.T) {
	calls := 0
	var deadline time.Time
	d := LazyDeadline{SetDeadline: func(at time.Time) error {
		calls++
		deadline = at
		return nil
	}}
	now := time.Unix(1000, 0)
	for range 10_000 {
		d.Reset(now, 10*time.Second)
		if left := deadline.Sub(now); left < 10*time.Second || left > 12500*time.Millisecond {
			t.Fatalf("deadline in %v, want 10s to 12.5s", left)
		}
		now = now.Add(time.Millisecond)
	}
	if calls < 4 || calls > 6 {
		t.Errorf("set %d times in 10 s, want 4 to 6", calls)
	}
	d.Reset(now, time.Second)
	if left := deadline.Sub(now); left > 1250*time.Millisecond {
		t.Errorf("after a shorter timeout: deadline in %v, want at most 1.25s", left)
	}
}
