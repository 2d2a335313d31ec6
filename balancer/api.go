// Package balancer implements the decisions of an HTTP load balancer that runs in a fleet of one to about a
// thousand gateways: which host a request is sent to, when it is retried and when it is rejected.
//
// A [Balancer] is a state machine without I/O. The gateway that embeds it calls one method for each event
// (a request arrives, an attempt ends, a timer fires, the endpoint list changes), passes the current time,
// and then carries out the [Action] values that [Balancer.TakeActions] returns. The Balancer starts no
// goroutine, reads no clock and does no I/O; the same events and the same seed always produce the same
// actions.
//
// The Balancer does not retain slices that are passed to it, and the slice that TakeActions appends to
// belongs to the caller; in the steady state neither allocates. A request is kept until it has its final
// response and all its attempts have ended, and a removed host until its last attempt has ended. After a
// restart, pass the endpoint list that was last saved as ListSaved, right after Start.
//
// A Balancer is not safe for concurrent use. A gateway with several threads runs either one Balancer in one
// event loop, or one Balancer per thread with Instances raised accordingly.
//
// Each rule is a type or a few functions in a file of its own. The comment of [Balancer], in balancer.go,
// lists these files; the policy setting in deploy/balancer.toml lists them too. Start reading at the event
// methods in balancer.go. [Balancer.Views], [Balancer.Checkpoint] and [Restore] are for monitoring and
// replay.
package balancer

import (
	"strconv"
	"time"
)

// Time is an instant on the gateway's monotonic clock, given as the duration since an arbitrary start. It
// must not decrease from one event to the next.
type Time = time.Duration

// HostID identifies a host. The Balancer only compares and hashes IDs.
type HostID uint64

// RequestID identifies a client request and is below 1<<56. An ID must not be reused while a request or an
// attempt with it is open.
type RequestID uint64

// Idempotency specifies whether a request may be executed more than once.
type Idempotency uint8

// Values of Idempotency.
const (
	Idempotent        Idempotency = iota // may be executed any number of times
	IdempotentWithKey                    // the hosts of a DedupScope drop duplicates within DedupWindow
	NonIdempotent                        // must be executed at most once
)

// DedupScope specifies which hosts drop duplicates of a request with an idempotency key.
type DedupScope uint8

// Values of DedupScope.
const (
	ScopeAll  DedupScope = iota // all hosts
	ScopeZone                   // the hosts of one zone
	ScopeCell                   // the hosts of one cell
)

// Class describes one kind of request. The JSON tags of Class and Settings are the field names in
// recordings.
type Class struct {
	// LatencyObjective is the time within which a response should arrive. Limits and timeouts derive from
	// it. Zero means Deadline.
	LatencyObjective time.Duration `json:"Aim"`
	// Deadline is the maximum time that a client waits for the response, over all attempts.
	Deadline time.Duration
	// PriorityWeight is the weight of a response relative to those of other classes. Zero means 1.
	PriorityWeight float64     `json:"Worth"`
	Idempotency    Idempotency `json:"Effect"`
	// DedupScope and DedupWindow apply to IdempotentWithKey: which hosts drop duplicates, and for how long
	// after the Send of the first attempt that may have run.
	DedupScope  DedupScope    `json:"Group"`
	DedupWindow time.Duration `json:"Window"`
	// Retired is set for a class that receives no new requests and is kept for open ones.
	Retired bool
}

// Tenant describes a customer with a request quota.
type Tenant struct {
	// Quota is the rate in requests per second over all instances. Zero means no quota.
	Quota float64
}

// Settings configures a Balancer. The zero value of an optional field means the default named in its
// comment.
type Settings struct {
	// Instances is the number of balancers in the fleet, including this one; at least 1.
	Instances int
	// Rank is the index of this balancer among the Instances, starting at 0.
	Rank    int
	Classes []Class
	// Tenants are the customers with quotas. Optional.
	Tenants []Tenant
	// Step is the minimum time between two instants at which the gateway handles events. Zero means that it
	// handles events as they arrive.
	Step time.Duration

	// MaxAttempts is the maximum number of attempts of a request; at most one is in flight at a time. Zero
	// means 3.
	MaxAttempts int
	// Cancel enables Cancel actions.
	Cancel bool
	// MaxRetryAfter is the longest Retry-After that clients honor. Zero means that none is sent.
	MaxRetryAfter time.Duration
	// OverQuotaWeight is the factor applied to the priority weight of a request over its tenant's quota.
	// Zero gives such a request the weight 0.
	OverQuotaWeight float64 `json:"OverQuotaWorth"`

	// Poll is set if the gateway polls discovery for the endpoint list instead of receiving it by push.
	Poll bool `json:"Ask"`
	// PollTimeout is the time after which a poll without a result is repeated; retry delays derive from it.
	// Zero means 10 s, which is also the maximum.
	PollTimeout time.Duration `json:"AskWithin"`

	// SlowStartShare is the share of its capacity that a host is assumed to have right after its start.
	// Zero means 1, which disables slow start.
	SlowStartShare float64 `json:"ColdFrom"`
	// SlowStartWindow is the time from its start until a host has its full capacity. Zero means that it has
	// it at once.
	SlowStartWindow time.Duration `json:"WarmAfter"`
	// OverloadFactor is the multiple of its current capacity that overloads a warming host if the load
	// persists for OverloadWindow. Zero means 2.
	OverloadFactor float64
	// OverloadWindow is the time for which a load must persist to overload a warming host, and the unit of
	// the time constants of measured rates. Zero means 1 s.
	OverloadWindow time.Duration `json:"Fall"`
}

// HostState is the state of a host in the endpoint list.
type HostState uint8

// Values of HostState.
const (
	Ready    HostState = iota // accepts requests
	Draining                  // finishes its requests and receives no new ones
	Removed                   // no longer part of the pool; occurs only in ListChanges
)

// Host is an entry of the endpoint list.
type Host struct {
	ID      HostID
	Zone    int
	Cell    int
	Kind    int // hosts of the same kind have similar capacity
	State   HostState
	Started Time // time at which the host last started; 0 if that was long ago
}

// ListKind specifies how to interpret an endpoint list.
type ListKind uint8

// Values of ListKind.
const (
	ListFull    ListKind = iota // the complete list; hosts missing from it are removed
	ListChanges                 // only the entries that changed
	ListSaved                   // the complete list as saved before a restart, possibly stale
	ListFailed                  // a poll failed or a watch ended; the list is empty
)

// Request is a client's request. It gets exactly one final response.
type Request struct {
	ID        RequestID
	Class     int           // index in Settings.Classes
	Tenant    int           // index in Settings.Tenants
	Remaining time.Duration // time until the client gives up, minus ClientMargin; 0 if it is due now
	Duplicate bool          // the client has sent this request before
}

// Result is the outcome of an attempt.
type Result uint8

// Values of Result. After those marked "never ran" the host has certainly not executed the attempt; after
// any other it may have. A quoted name is the text of String in logs and recordings where it differs.
const (
	OK              Result = iota
	Failed                 // the host answered with an error
	Full                   // the host rejected it without executing it (never ran)
	TimedOut               // no response in time
	ConnectFailed          // the connection could not be established (never ran)
	Reset                  // the connection was closed before the response was complete
	Canceled               // canceled by a Cancel action, or because the client disconnected
	NotSent                // the gateway did not send it (never ran)
	InvalidResponse        // "Spoilt": the response is malformed
)

// MayHaveRun reports whether the host may have executed an attempt that ended with this result.
func (r Result) MayHaveRun() bool { return r != Full && r != ConnectFailed && r != NotSent }

// Outcome reports the end of one attempt. Each Send action leads to exactly one Outcome.
type Outcome struct {
	Request RequestID
	Attempt int // index among the attempts of the request, in the order of their Send actions
	Result  Result
	Elapsed time.Duration // time since the Send action
	Closed  bool          // the client has its response; no further response is needed
}

// Cause is the reason why a request got a final response from the balancer, or why a host is ejected. The
// causes of final responses are informational; the cause of an ejection determines whether failing open may
// use the host.
type Cause uint8

// Values of Cause, each with the text of String, which logs and recordings contain.
const (
	CauseNone              Cause = iota // "none"
	CauseArrivedLate                    // "late": it arrived too late to be sent
	CauseQueueTimeout                   // "wait": it reached its maximum time in the queue
	CauseDeadlineExceeded               // "deadline": its deadline passed, attempt in flight or not
	CauseNoMoreAttempts                 // "spent": its attempts ended and it may not be retried
	CauseConnectionsFailed              // "connections fail": a host whose connections fail or are reset
	CauseSilent                         // "silent": a host that accepts requests and does not respond
	CauseLowerPriority                  // "worth less": it was rejected in favor of a higher priority
)

// ActionKind is the kind of an Action.
type ActionKind uint8

// Values of ActionKind. A quoted name is the text of String in logs and recordings where it differs.
const (
	Send   ActionKind = iota // start an attempt of Request at Host; a nonzero At is the latest time to send
	Cancel                   // cancel Attempt of Request
	Reject                   // "Refuse": final response to Request; safe to retry; RetryAfter is advice or 0
	Fail                     // final response to Request: an error; it may have run
	Wake                     // call Timer with Token at At or shortly after
	Close                    // close the idle connections to Host
	Poll                     // "Watch": poll or watch discovery from now on, until ListFailed
	Log                      // log Text; Host is the host that it is about, or 0
)

// Names for logs and recordings, in the order of the constants.
var (
	resultNames = [...]string{
		"OK", "Failed", "Full", "TimedOut", "ConnectFailed", "Reset", "Canceled", "NotSent", "Spoilt",
	}
	actionNames = [...]string{
		"Send", "Cancel", "Refuse", "Fail", "Wake", "Close", "Watch", "Log",
	}
	causeNames = [...]string{
		"none", "late", "wait", "deadline", "spent", "connections fail", "silent", "worth less",
	}
)

// String returns the name of the result as in logs and recordings.
func (r Result) String() string { return nameOf(resultNames[:], int(r)) }

// String returns the name of the kind as in logs and recordings.
func (k ActionKind) String() string { return nameOf(actionNames[:], int(k)) }

// String returns the name of the cause as in logs and recordings.
func (c Cause) String() string { return nameOf(causeNames[:], int(c)) }

// nameOf returns names[i], or the number if i has no name.
func nameOf(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return strconv.Itoa(i)
}

// Action is an operation for the gateway to carry out. Only Kind, the fields that the comment of the kind
// names, and Cause are set.
type Action struct {
	Kind       ActionKind
	Request    RequestID
	Attempt    int // index among the attempts of the request
	Host       HostID
	At         Time
	RetryAfter time.Duration
	Token      uint64
	Text       string
	Cause      Cause // set for Reject and Fail
}
