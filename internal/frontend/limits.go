package frontend

import (
	"sync/atomic"
	"time"

	"dunemoor/internal/overload"
	"dunemoor/internal/ratelimit"
)

// Limits reject requests at admission, before they cost much: to protect the gateway itself, and so that no client or
// tenant takes what others need. A part that is nil rejects none.
type Limits struct {
	Overload      *overload.Controller
	Clients       *ratelimit.Clients
	Tenants       *ratelimit.Tenants
	TenantIndex   map[string]int // index in Tenants by the value of TenantHeader
	TenantHeader  string
	MinRetryAfter time.Duration // Retry-After without pressure
	MaxRetryAfter time.Duration

	// rejected counts requests since the start: those with a RejectedError. Other responses with 503, for lack of memory
	// for bodies, too many tunnels or before the first endpoint list, are RequestErrors and are in no counter.
	rejected [rejectReasonCount]atomic.Int64
}

// RejectReason is why a request is rejected at admission.
type RejectReason uint8

// Reasons, with the names of String where they differ.
const (
	RejectedByOverload          RejectReason = iota // the gateway sheds load
	RejectedByClientRate                            // the client sends more requests a second than it may
	RejectedByClientConcurrency                     // the client has too many requests in flight
	RejectedByClientDuplicates                      // the client sends too many duplicates; "client repeats"
	RejectedByTenantQuota                           // the tenant is over its quota; "tenant share"
	rejectReasonCount
)

var rejectReasonNames = [rejectReasonCount]string{
	"overload", "client rate", "client concurrency", "client repeats", "tenant share",
}

// String returns the name that the reason has in metrics, in responses and, under the key "refused", in the admin status.
func (r RejectReason) String() string { return rejectReasonNames[r] }

// RejectReasons returns all reasons.
func RejectReasons() []RejectReason {
	return []RejectReason{
		RejectedByOverload, RejectedByClientRate, RejectedByClientConcurrency, RejectedByClientDuplicates, RejectedByTenantQuota,
	}
}

// Rejected returns how many requests were rejected for a reason since the start.
func (l *Limits) Rejected(r RejectReason) int64 { return l.rejected[r].Load() }

// retryAfter returns the Retry-After of a rejected request: it grows with the load that is shed, and differs by client.
func (l *Limits) retryAfter(clientKey uint64) time.Duration {
	level := 0.0
	if l.Overload != nil {
		level = l.Overload.BackoffLevel()
	}
	return overload.RetryAfter(level, l.MinRetryAfter, l.MaxRetryAfter, clientKey)
}
