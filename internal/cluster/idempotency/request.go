package idempotency

import "time"

// Idempotency specifies whether a request may be executed more than once.
type Idempotency string

// Values of Idempotency.
const (
	Idempotent        Idempotency = "safe"   // the request may be executed any number of times
	IdempotentWithKey Idempotency = "keyed"  // the hosts of a scope drop duplicates within the deduplication window
	NonIdempotent     Idempotency = "unsafe" // the request must be executed at most once
)

func (i Idempotency) valid() bool {
	return i == Idempotent || i == IdempotentWithKey || i == NonIdempotent
}

// Phase is the phase of a request's life cycle.
type Phase string

// Values of Phase. PhaseCompleted and those after it are final.
const (
	PhaseWaiting       Phase = "waiting"   // the request is deferred and has not been claimed
	PhaseBegun         Phase = "begun"     // the request is assigned to a gateway, which has not sent it yet
	PhaseSending       Phase = "sending"   // the request may have been executed
	PhaseCompleted     Phase = "ended"     // the request has a response
	PhaseIndeterminate Phase = "in doubt"  // the request may have been executed, and is never sent again
	PhaseCancelled     Phase = "cancelled" // the client has cancelled the deferred request
	PhaseExpired       Phase = "lapsed"    // the deferred request was not claimed in time
)

// Final reports whether the phase of a request can no longer change.
func (p Phase) Final() bool {
	return p == PhaseCompleted || p == PhaseIndeterminate || p == PhaseCancelled || p == PhaseExpired
}

// Request is a request with an idempotency key, or a deferred request.
type Request struct {
	Tenant      string      `json:"tenant,omitempty"`
	Key         string      `json:"key"`
	Digest      string      `json:"digest"`
	Idempotency Idempotency `json:"effect"`
	Phase       Phase       `json:"phase"`
	Session     uint64      `json:"session,omitempty"` // session of the gateway to which the request is assigned
	Token       uint64      `json:"token,omitempty"`   // token with which a deferred request was claimed
	Fence       uint64      `json:"fence"`             // log index at which the request was last assigned or freed
	Scope       string      `json:"group,omitempty"`   // scope of the attempts; empty before the first one
	Sends       int         `json:"sends,omitempty"`   // number of attempts of all gateways
	Response    *Response   `json:"answer,omitempty"`
	Body        []byte      `json:"body,omitempty"` // body of a deferred request; removed when it is final
	// Deferred reports that the client was informed that the request will be delivered later.
	Deferred       bool    `json:"promised,omitempty"`
	PriorityWeight float64 `json:"worth,omitempty"`
	// ExpiresAt is the time at which a final request is removed or a waiting one expires, by the partition's
	// clock.
	ExpiresAt time.Duration `json:"until"`
	Retention time.Duration `json:"keep,omitempty"`
	// LateResponse reports that a response was ignored because it had a stale fence or the request was
	// already final.
	LateResponse bool `json:"late,omitempty"`
}

// MaxSends is the maximum number of attempts to send a request, over all gateways.
const MaxSends = 4

// size returns the size in bytes that is counted for a request. It includes MaxResponseBytes until the
// request is final, so that there is always capacity to complete a request that was begun.
func (r *Request) size() int {
	n := requestOverhead + len(r.Tenant) + 2*len(r.Key) + len(r.Digest) + len(r.Body)
	switch {
	case r.Response != nil:
		n += len(r.Response.Header) + len(r.Response.Body)
	case !r.Phase.Final():
		n += MaxResponseBytes
	}
	return n
}
