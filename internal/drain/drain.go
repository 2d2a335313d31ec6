// Package drain tracks how far a gateway is on its way out of service, and back. It does no I/O, reads no clock and
// starts no goroutine: the state follows from when the drain began and the current time, so nothing has to happen for it
// to advance, and a resumed gateway has nothing to undo.
package drain

import "time"

// State is how far a drain has gone.
type State uint8

// States. Each does what the one before does.
const (
	Serving State = iota // there is no drain
	Noticed              // the health check fails: load balancers send no new clients
	Leaving              // connections end with their responses
	Closing              // connections without a request are closed
)

var stateNames = [...]string{"serving", "noticed", "leaving", "closing"}

// String returns the name that the state has in the health check and in the admin status.
func (s State) String() string { return stateNames[s] }

// Times are how long after its begin a drain enters its states.
type Times struct {
	Leave time.Duration // clients use the connections that they have until then
	Close time.Duration // most connections in use have had a response since Leave
}

// Drain is a drain, or none. The zero value is Serving. It is immutable: each call returns another. Times are given on
// any one clock.
type Drain struct {
	inProgress bool
	began      time.Duration
	times      Times
}

// Quiesce begins a drain. One in progress goes on as it was: a caller that repeats the call, not knowing whether the first
// came through, must not gain time by it.
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

// State returns the state at a time. A clock that goes backward leaves it at Noticed at least.
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
		return Noticed
	}
}

// Next returns when the state changes next by itself; never is true if it does not.
func (d Drain) Next(now time.Duration) (at time.Duration, never bool) {
	switch d.State(now) {
	case Noticed:
		return d.began + d.times.Leave, false
	case Leaving:
		return d.began + d.times.Close, false
	default:
		return 0, true
	}
}
