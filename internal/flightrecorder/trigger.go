package flightrecorder

import "time"

// Trigger decides when too many requests are rejected, so that a dump is due.
type Trigger struct {
	RejectedShare float64       // of the responses in a window, from which it fires; 0: never
	Window        time.Duration // windows follow each other without a gap in traffic
	MinResponses  int           // of a window, below which it doesn't fire
	MinInterval   time.Duration // between two times that it fires

	windowStart time.Duration
	responses   int // in the window
	rejected    int // of responses
	quietUntil  time.Duration
}

// ObserveResponse counts a response at a time that never goes back. It returns whether the trigger fires.
func (t *Trigger) ObserveResponse(now time.Duration, rejected bool) bool {
	if t.RejectedShare <= 0 {
		return false
	}
	if now-t.windowStart >= t.Window {
		t.windowStart = now
		t.responses = 0
		t.rejected = 0
	}
	t.responses++
	if rejected {
		t.rejected++
	}
	tooMany := float64(t.rejected) >= t.RejectedShare*float64(t.responses)
	if t.responses < t.MinResponses || !tooMany || now < t.quietUntil {
		return false
	}
	t.quietUntil = now + t.MinInterval
	return true
}
