package idempotency

import "time"

// Idempotency says what a request may do when it is executed more than once.
type Idempotency string

// Values of Idempotency.
const (
	Idempotent        Idempotency = "safe"
	IdempotentWithKey Idempotency = "keyed"  // the hosts of a scope drop duplicates within the deduplication window
	NonIdempotent     Idempotency = "unsafe" // it must be executed once at most
)

func (i Idempotency) valid() bool {
	return i == Idempotent || i == IdempotentWithKey || i == NonIdempotent
}

// Phase is how far a request is.
type Phase string

// Phases. From PhaseCompleted on they are final.
const (
	PhaseWaiting       Phase = "waiting" // deferred, and not taken up
	PhaseBegun         Phase = "begun"   // a gateway has it, and has sent nothing
	PhaseSending       Phase = "sending" // it may have run
	PhaseCompleted     Phase = "ended"   // it has a response
	PhaseIndeterminate Phase = "in doubt"
	PhaseCancelled     Phase = "cancelled"
	PhaseExpired       Phase = "lapsed" // it was not taken up in time
)

// Final reports whether a request in this phase does not change any more.
func (p Phase) Final() bool {
	return p == PhaseCompleted || p == PhaseIndeterminate || p == PhaseCancelled || p == PhaseExpired
}

// Request is one request with an idempotency key, or a deferred one.
type Request struct {
	Tenant      string      `json:"tenant,omitempty"`
	Key         string      `json:"key"`
	Digest      string      `json:"digest"`
	Idempotency Idempotency `json:"effect"`
	Phase       Phase       `json:"phase"`
	Session     uint64      `json:"session,omitempty"` // of the gateway that has it
	Token       uint64      `json:"token,omitempty"`   // under which it was taken up, if it is deferred
	Fence       uint64      `json:"fence"`             // log index of the command that gave it to its gateway
	Scope       string      `json:"group,omitempty"`   // into which it was sent; "": into none yet
	Sends       int         `json:"sends,omitempty"`   // attempts begun, over all gateways
	Response    *Response   `json:"answer,omitempty"`
	Body        []byte      `json:"body,omitempty"` // of a deferred request, until it is final
	// Deferred reports that the client was told that the request will be delivered.
	Deferred       bool    `json:"promised,omitempty"`
	PriorityWeight float64 `json:"worth,omitempty"`
	// ExpiresAt is when a final request is removed, or a waiting one expires, by the partition's clock.
	ExpiresAt time.Duration `json:"until"`
	Retention time.Duration `json:"keep,omitempty"`
	// LateResponse reports that a response arrived after the request was final. It changed nothing.
	LateResponse bool `json:"late,omitempty"`
}

// MaxSends is how often a request may be sent, over all gateways.
const MaxSends = 4

// size returns what a request counts for. It includes the largest response until that is known, so that
// a request that was begun can always be completed.
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
