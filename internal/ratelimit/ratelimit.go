// Package ratelimit keeps one client or tenant from using what others need. It does no I/O and reads no clock. Its methods
// may be called by any goroutine.
package ratelimit

import "time"

// Time is an instant on the gateway's own clock.
type Time = time.Duration

// Decision is what becomes of a request.
type Decision uint8

// Decisions.
const (
	Admitted   Decision = iota
	Rate                // it is over its rate
	Concurrent          // it has too many requests in flight
	Duplicates          // it has sent more duplicates than its first requests allow
)

var decisionNames = [...]string{"admitted", "rate", "concurrent", "repeats"}

// String returns the name of the decision, for counters.
func (d Decision) String() string { return decisionNames[d] }
