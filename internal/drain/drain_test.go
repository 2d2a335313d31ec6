package drain

import (
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

var times = Times{Leave: 1600 * ms, Close: 1900 * ms}

func TestStates(t *testing.T) {
	d := Drain{}.Quiesce(time.Hour, times)
	for _, c := range []struct {
		after time.Duration
		want  State
		next  time.Duration // after the call; 0: none
	}{
		{0, Noticed, 1600 * ms}, {1599 * ms, Noticed, 1600 * ms}, {1600 * ms, Leaving, 1900 * ms},
		{1899 * ms, Leaving, 1900 * ms}, {1900 * ms, Closing, 0}, {time.Hour, Closing, 0},
		{-time.Minute, Noticed, 1600 * ms}, // a clock that was set back
	} {
		now := time.Hour + c.after
		if got := d.State(now); got != c.want {
			t.Errorf("after %v: %v, want %v", c.after, got, c.want)
		}
		at, never := d.Next(now)
		if never != (c.next == 0) || !never && at != time.Hour+c.next {
			t.Errorf("after %v: next at %v, %t", c.after, at, never)
		}
	}
	if got := (Drain{}).State(time.Hour); got != Serving {
		t.Errorf("before any call: %v", got)
	}
}

// A repeated call changes nothing: it guards against a drain that never ends as its caller repeats a call whose response
// was lost.
func TestRepeatedCall(t *testing.T) {
	d := Drain{}.Quiesce(0, times).Quiesce(1800*ms, times)
	if got := d.State(1900 * ms); got != Closing {
		t.Errorf("the second call returned it to %v", got)
	}
}

// Any order of calls, at any times: a drain only advances until Resume, Resume serves at once, and the next drain begins
// from its start.
func TestAnyOrder(t *testing.T) {
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 0))
		var d Drain
		var now, since time.Duration
		on, was := false, Serving
		for range 50 {
			now += time.Duration(rng.Int64N(int64(time.Second)))
			switch rng.IntN(4) {
			case 0:
				if d = d.Quiesce(now, times); !on {
					on, since, was = true, now, Noticed
				}
			case 1:
				d = d.Resume()
				on, was = false, Serving
			}
			got := d.State(now)
			want := Serving
			if on {
				want = Noticed
				if now-since >= times.Leave {
					want = Leaving
				}
				if now-since >= times.Close {
					want = Closing
				}
			}
			if got != want || got < was {
				t.Fatalf("seed %d: %v at %v, want %v, was %v", seed, got, now-since, want, was)
			}
			was = got
		}
	}
}
