package drain

import (
	"math/rand/v2"
	"testing"
	"time"
)

// testTimes are the times of the drains in all tests.
var testTimes = Times{Leave: 1600 * time.Millisecond, Close: 1900 * time.Millisecond}

func TestDrainAdvancesWithTime(t *testing.T) {
	const (
		began = time.Hour
		ms    = time.Millisecond
	)
	d := Drain{}.Quiesce(began, testTimes)
	for _, tt := range []struct {
		after time.Duration
		want  State
		next  time.Duration // time of the next state after the call of Quiesce; 0: none
	}{
		{0, HealthCheckFailing, 1600 * ms},
		{1599 * ms, HealthCheckFailing, 1600 * ms},
		{1600 * ms, Leaving, 1900 * ms},
		{1899 * ms, Leaving, 1900 * ms},
		{1900 * ms, Closing, 0},
		{time.Hour, Closing, 0},
		{-time.Minute, HealthCheckFailing, 1600 * ms}, // a clock that was set back
	} {
		now := began + tt.after
		if got := d.State(now); got != tt.want {
			t.Errorf("after %v: got state %v, want %v", tt.after, got, tt.want)
		}
		at, never := d.Next(now)
		if wantNever := tt.next == 0; never != wantNever {
			t.Errorf("after %v: got never %t, want %t", tt.after, never, wantNever)
		} else if !never && at != began+tt.next {
			t.Errorf("after %v: got the next state after %v, want %v", tt.after, at-began, tt.next)
		}
	}
	if got := (Drain{}).State(time.Hour); got != Serving {
		t.Errorf("before any call: got state %v, want %v", got, Serving)
	}
}

// A repeated call has no effect. The test guards against a drain that never ends because its caller repeats a call
// whose response was lost.
func TestRepeatedQuiesceDoesNotExtendDrain(t *testing.T) {
	d := Drain{}.Quiesce(0, testTimes).Quiesce(1800*time.Millisecond, testTimes)
	if got := d.State(1900 * time.Millisecond); got != Closing {
		t.Errorf("after a second call: got state %v, want %v", got, Closing)
	}
}

// Random calls at random times: a drain only advances until Resume, Resume returns to Serving at once, and the next
// drain starts with its first state.
func TestDrainOnlyAdvancesUntilResume(t *testing.T) {
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 0))
		var d Drain
		var now, began time.Duration
		draining := false
		last := Serving
		for range 50 {
			now += time.Duration(rng.Int64N(int64(time.Second)))
			switch rng.IntN(4) {
			case 0:
				d = d.Quiesce(now, testTimes)
				if !draining {
					draining = true
					began = now
					last = HealthCheckFailing
				}
			case 1:
				d = d.Resume()
				draining = false
				last = Serving
			}
			got := d.State(now)
			if want := wantState(draining, now-began); got != want || got < last {
				t.Fatalf("seed %d: got state %v after %v, want %v, and no less than %v", seed, got, now-began, want, last)
			}
			last = got
		}
	}
}

// wantState returns the state of a drain that began the given time ago.
func wantState(draining bool, age time.Duration) State {
	switch {
	case !draining:
		return Serving
	case age >= testTimes.Close:
		return Closing
	case age >= testTimes.Leave:
		return Leaving
	default:
		return HealthCheckFailing
	}
}
