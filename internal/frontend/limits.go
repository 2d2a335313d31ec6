package frontend

import (
	"sync/atomic"
	"time"

	"dunemoor/internal/overload"
	"dunemoor/internal/ratelimit"
)

// Limits reject requests at admission, before significant resources are spent on them. They protect the gateway from
// overload, and each client and tenant from excessive use by others. A limit that is nil is not applied.
type Limits struct {
	Overload      *overload.Controller
	Clients       *ratelimit.Clients
	Tenants       *ratelimit.Tenants
	TenantIndex   map[string]int // index in Tenants by the value of TenantHeader
	TenantHeader  string         // name of the header that identifies the tenant
	MinRetryAfter time.Duration  // Retry-After when the gateway is not overloaded
	MaxRetryAfter time.Duration

	// rejected counts, by reason, the requests that were answered with a RejectedError since the process started. Other
	// 503 responses (no memory for bodies, too many tunnels, no endpoint list received yet) are RequestErrors, which
	// are not counted.
	rejected [rejectReasonCount]atomic.Int64
}

// RejectReason is the reason for which a request is rejected at admission.
type RejectReason uint8

// Reject reasons. The comment gives the result of String where it differs from the identifier.
const (
	RejectedByOverload          RejectReason = iota // the gateway sheds load
	RejectedByClientRate                            // the client exceeds its request rate
	RejectedByClientConcurrency                     // the client has too many requests in flight
	RejectedByClientDuplicates                      // the client sends too many duplicates; "client repeats"
	RejectedByTenantQuota                           // the tenant exceeds its quota; "tenant share"
	rejectReasonCount
)

var rejectReasonNames = [rejectReasonCount]string{
	"overload", "client rate", "client concurrency", "client repeats", "tenant share",
}

// String returns the name of the reason in metrics, in responses, and in the admin status under the key "refused".
func (r RejectReason) String() string { return rejectReasonNames[r] }

// RejectReasons returns all reject reasons.
func RejectReasons() []RejectReason {
	return []RejectReason{
		RejectedByOverload, RejectedByClientRate, RejectedByClientConcurrency, RejectedByClientDuplicates, RejectedByTenantQuota,
	}
}

// Rejected returns the number of requests that were rejected for a reason since the process started.
func (l *Limits) Rejected(r RejectReason) int64 { return l.rejected[r].Load() }

// retryAfter returns the Retry-After for a rejected request. It grows with the share of load that is shed and differs
// between clients, so that they don't retry at the same time.
func (l *Limits) retryAfter(clientKey uint64) time.Duration {
	level := 0.0
	if l.Overload != nil {
		level = l.Overload.BackoffLevel()
	}
	return overload.RetryAfter(level, l.MinRetryAfter, l.MaxRetryAfter, clientKey)
}
