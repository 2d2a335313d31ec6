package flightrecorder

import "time"

// Trigger fires when a dump is due because too many requests are rejected.
type Trigger struct {
	RejectedShare float64       // minimum share of rejections among the responses in a window; 0: it never fires
	Window        time.Duration // length of a window; the next one begins with the first response after its end
	MinResponses  int           // minimum number of responses in a window
	MinInterval   time.Duration // minimum time between two firings

	windowStart     time.Duration
	responses       int           // number of responses in the current window
	rejected        int           // number of rejections among responses
	suppressedUntil time.Duration // time before which the trigger doesn't fire again
}

// ObserveResponse counts a response; now must not decrease between calls. It reports whether the trigger fires.
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
	if t.responses < t.MinResponses || !tooMany || now < t.suppressedUntil {
		return false
	}
	t.suppressedUntil = now + t.MinInterval
	return true
}
