// Package drain computes the state of a gateway that is being taken out of service. It does no I/O, reads no clock
// and starts no goroutine: the state depends only on the time at which the drain began and the current time. So a
// drain advances without any event, and resuming a gateway leaves nothing to undo.
package drain

import "time"

// State is the stage of a drain.
type State uint8

// States in order. Each has the effects of those before it as well.
const (
	Serving            State = iota // there is no drain
	HealthCheckFailing              // the health check fails: load balancers send no new clients
	Leaving                         // connections end after the response to their current request
	Closing                         // connections without a request are closed
)

var stateNames = [...]string{"serving", "noticed", "leaving", "closing"}

// String returns the name that the state has in the health check and in the admin status.
func (s State) String() string { return stateNames[s] }

// Times are the times from the begin of a drain to its states.
type Times struct {
	Leave time.Duration // time to Leaving; clients may go on using their connections until then
	Close time.Duration // time to Closing; by then most connections in use have had a response since Leave and ended
}

// Drain is a drain, or the absence of one, which is the zero value. It is immutable: each method returns a new value.
// All times must be given on the same clock.
type Drain struct {
	inProgress bool
	began      time.Duration
	times      Times
}

// Quiesce begins a drain. A drain in progress is not changed: a caller that repeats the call, not knowing whether the
// first one succeeded, must not extend the drain by it.
func (d Drain) Quiesce(now time.Duration, t Times) Drain {
	if d.inProgress {
		return d
	}
	t.Leave = max(t.Leave, 0)
	t.Close = max(t.Close, t.Leave)
	return Drain{inProgress: true, began: now, times: t}
}

// Resume ends a drain in any state.
func (d Drain) Resume() Drain { return Drain{} }

// State returns the state at a time. A drain in progress is at least Noticed, even if the clock was set back to
// before its begin.
func (d Drain) State(now time.Duration) State {
	age := now - d.began
	switch {
	case !d.inProgress:
		return Serving
	case age >= d.times.Close:
		return Closing
	case age >= d.times.Leave:
		return Leaving
	default:
		return HealthCheckFailing
	}
}

// Next returns when the state changes next without a call; never is true if it does not.
func (d Drain) Next(now time.Duration) (at time.Duration, never bool) {
	switch d.State(now) {
	case HealthCheckFailing:
		return d.began + d.times.Leave, false
	case Leaving:
		return d.began + d.times.Close, false
	default:
		return 0, true
	}
}
