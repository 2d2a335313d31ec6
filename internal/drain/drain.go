// Package drain says how far a gateway is on its way out of service, and back. It is a state
// machine without I/O, clock or goroutine: what holds follows from when the drain was asked
// for and what time it is, so that nothing has to happen for it to go on, and a change of mind
// needs no undoing.
package drain

import "time"

// State is how far a drain has gone.
type State uint8

// States, each with all that the one before has.
const (
	Serving State = iota // no drain is on
	Noticed              // health says no: whoever deals out clients sends no new ones
	Leaving              // connections end with their answers
	Closing              // connections without a request are closed
)

var names = [...]string{"serving", "noticed", "leaving", "closing"}

// String names the state.
func (s State) String() string { return names[s] }

// Times are how long after it was asked for a drain comes to its states.
type Times struct {
	Leave time.Duration // clients use the connections that they have until then
	Close time.Duration // most of those in use have had an answer since Leave
}

// Drain is what was asked for. The zero value is Serving. It is not changed: each call gives
// another.
type Drain struct {
	on    bool
	since time.Duration
	times Times
}

// Quiesce asks for a drain. One that is on goes on as it was: a caller who asks twice, not
// knowing whether the first call came through, must not gain time by it.
func (d Drain) Quiesce(now time.Duration, t Times) Drain {
	if d.on {
		return d
	}
	t.Leave = max(t.Leave, 0)
	t.Close = max(t.Close, t.Leave)
	return Drain{on: true, since: now, times: t}
}

// Resume ends a drain at any state.
func (d Drain) Resume() Drain { return Drain{} }

// State is the state at a time. A clock that goes backward leaves it Noticed at least.
func (d Drain) State(now time.Duration) State {
	switch age := now - d.since; {
	case !d.on:
		return Serving
	case age >= d.times.Close:
		return Closing
	case age >= d.times.Leave:
		return Leaving
	}
	return Noticed
}

// Next is when the state changes by itself; never is true where it will not.
func (d Drain) Next(now time.Duration) (at time.Duration, never bool) {
	switch d.State(now) {
	case Noticed:
		return d.since + d.times.Leave, false
	case Leaving:
		return d.since + d.times.Close, false
	}
	return 0, true
}
