// Package ratelimit limits the requests of each client and tenant, so that none of them uses the capacity that others
// need. It does no I/O and reads no clock. Its methods may be called by any goroutine.
package ratelimit

import "time"

// Time is an instant on the gateway's own clock.
type Time = time.Duration

// Decision is the result of checking a request against the limits.
type Decision uint8

// Decisions.
const (
	Admitted   Decision = iota
	Rate                // the client or the tenant exceeds its rate
	Concurrent          // the client or the tenant has too many requests in flight
	Duplicates          // the client has sent more duplicates than its first requests allow
)

var decisionNames = [...]string{"admitted", "rate", "concurrent", "repeats"}

// String returns the name of the decision, for counters.
func (d Decision) String() string { return decisionNames[d] }
