// Package balancer makes the decisions of an HTTP load balancer that runs as a fleet of gateways, one or a
// thousand: which host gets a request, when it is retried, when it is rejected.
//
// A [Balancer] is a state machine without I/O. The gateway that embeds it reports what happens (a request
// arrives, an attempt ends, a timer fires, the endpoint list changes) by calling one method for each event,
// with the current time, and then carries out the [Action] values that [Balancer.TakeActions] returns. The
// Balancer starts no goroutine, reads no clock and does no I/O; the same events and seed always lead to the
// same actions.
//
// The Balancer keeps no slice that it is given, and what TakeActions appends belongs to the caller; in
// steady state neither side allocates. A request is kept until it has its response and all its attempts have
// ended, and a removed host until its last attempt has. After a restart, pass the endpoint list that was
// saved last as ListSaved, right after Start.
//
// A Balancer is not safe for concurrent use. A gateway with several threads runs one Balancer in one event
// loop, or one for each thread with Instances raised accordingly.
//
// Each rule is a type, or a few functions, in a file of its own; the comment of [Balancer], in
// balancer.go, lists them, and policy in deploy/balancer.toml names the files. The events in balancer.go
// are where to start reading. For observers there are [Balancer.Views], and [Balancer.Checkpoint] with
// [Restore].
package balancer

import (
	"strconv"
	"time"
)

// Time is an instant on the gateway's own monotonic clock, as the time since an arbitrary start. It must
// never go back.
type Time = time.Duration

// HostID identifies a host. The Balancer only compares IDs.
type HostID uint64

// RequestID identifies a client request, below 1<<56. An ID must not be used again while a request or an
// attempt with it is open.
type RequestID uint64

// Idempotency says what a request may do when it is executed more than once.
type Idempotency uint8

// Values of Idempotency.
const (
	Idempotent        Idempotency = iota // it may be executed any number of times
	IdempotentWithKey                    // the hosts of a scope drop duplicates within a window
	NonIdempotent                        // it must be executed once at most
)

// DedupScope says which hosts drop duplicates of a request with an idempotency key.
type DedupScope uint8

// Scopes.
const (
	ScopeAll  DedupScope = iota // all hosts
	ScopeZone                   // the hosts of one zone
	ScopeCell                   // the hosts of one cell
)

// Class describes one kind of request. The tags of Class and Settings are their names in recordings.
type Class struct {
	// LatencyObjective is the time within which a response earns the full weight. 0: the Deadline.
	LatencyObjective time.Duration `json:"Aim"`
	// Deadline is how long a client waits in all.
	Deadline time.Duration
	// PriorityWeight is the weight of a response, relative to those of other classes. 0: 1.
	PriorityWeight float64     `json:"Worth"`
	Idempotency    Idempotency `json:"Effect"`
	// DedupScope and DedupWindow are for IdempotentWithKey: which hosts drop duplicates, and for how long
	// after the first attempt that may have run.
	DedupScope  DedupScope    `json:"Group"`
	DedupWindow time.Duration `json:"Window"`
	// Retired means that no more requests of the class arrive: it is kept for open ones.
	Retired bool
}

// Tenant describes one customer.
type Tenant struct {
	// Quota is its requests a second over all instances. 0: no quota.
	Quota float64
}

// Settings is what a Balancer knows of its deployment. The zero value of an optional field stands for the
// default named beside it.
type Settings struct {
	// Instances is the number of balancers in the fleet, this one included; at least 1.
	Instances int
	// Rank is the number of this one, from 0.
	Rank    int
	Classes []Class
	// Tenants is optional.
	Tenants []Tenant
	// Step is the least time between two instants at which events are handled. 0: they are handled as
	// they come.
	Step time.Duration

	// MaxAttempts is how many attempts a request may have, one at a time. 0: 3.
	MaxAttempts int
	// Cancel allows Cancel actions.
	Cancel bool
	// MaxRetryAfter is the longest Retry-After that a client heeds. 0: none is sent.
	MaxRetryAfter time.Duration
	// OverQuotaWeight is the weight of a request beyond its tenant's quota, as a share of its class's. 0:
	// none.
	OverQuotaWeight float64 `json:"OverQuotaWorth"`

	// Poll means that the endpoint list has to be polled, as it is not pushed.
	Poll bool `json:"Ask"`
	// PollTimeout is the longest time without a poll under way. 0: 10 s, which is also the maximum.
	PollTimeout time.Duration `json:"AskWithin"`

	// SlowStartShare is the share of its capacity that a host starts with. 0: 1, there is no slow start.
	SlowStartShare float64 `json:"ColdFrom"`
	// SlowStartWindow is how long after its start a host has its full capacity. 0: at once.
	SlowStartWindow time.Duration `json:"WarmAfter"`
	// OverloadFactor is the multiple of its present capacity that overloads a warming host, if it is kept
	// up for OverloadWindow. 0: 2.
	OverloadFactor float64
	// OverloadWindow is in addition the unit of the spans of rates. 0: 1 s.
	OverloadWindow time.Duration `json:"Fall"`
}

// HostState is what the endpoint list says of a host.
type HostState uint8

// States of a host.
const (
	Ready    HostState = iota // it takes requests
	Draining                  // it finishes its work and gets nothing new
	Removed                   // it is gone; only among changes
)

// Host is an entry of the endpoint list.
type Host struct {
	ID      HostID
	Zone    int
	Cell    int
	Kind    int // machines of one kind have a similar capacity
	State   HostState
	Started Time // when it last started; 0: long ago
}

// ListKind says how an endpoint list is to be read.
type ListKind uint8

// Kinds of lists.
const (
	ListFull    ListKind = iota // the complete list; hosts that it lacks are gone
	ListChanges                 // only entries that changed
	ListSaved                   // the complete list as saved earlier, perhaps stale
	ListFailed                  // a poll failed or a watch broke; no entries
)

// Request is a client's request, which is owed one final response.
type Request struct {
	ID        RequestID
	Class     int           // index in Settings.Classes
	Tenant    int           // index in Settings.Tenants
	Remaining time.Duration // until the client gives up, less ClientMargin; 0: it is due now
	Duplicate bool          // the client has sent it before
}

// Result says how an attempt ended.
type Result uint8

// Results. Those marked as proof prove that the attempt never ran; after any other it may have. Quoted is the
// text of String, which logs and recordings have, where it is another word.
const (
	OK              Result = iota
	Failed                 // the host answered with an error
	Full                   // the host rejected it unseen (proof)
	TimedOut               // no response in time
	ConnectFailed          // no connection (proof)
	Reset                  // the connection broke
	Canceled               // canceled by a Cancel action, or as its client has left
	NotSent                // the gateway did not send it (proof)
	InvalidResponse        // "Spoilt": what arrived is no valid response
)

// MayHaveRun reports whether an attempt with this result may have run.
func (r Result) MayHaveRun() bool { return r != Full && r != ConnectFailed && r != NotSent }

// Outcome is the end of one attempt. Each Send action has exactly one.
type Outcome struct {
	Request RequestID
	Attempt int // attempts of a request count from 0 in the order of their Send actions
	Result  Result
	Elapsed time.Duration // since the Send action
	Closed  bool          // the client has its response, nothing more is owed
}

// Cause says why a request got a final response without being served, or why a host is ejected. Causes of
// final responses are for observers; that of an ejection decides when failing open uses the host.
type Cause uint8

// Causes. Quoted is the text of String, which logs and recordings have.
const (
	CauseNone              Cause = iota // "none"
	CauseArrivedLate                    // "late": it arrived with no time left to be sent
	CauseQueueTimeout                   // "wait": it waited for a host as long as it may
	CauseDeadlineExceeded               // "deadline": its deadline has come, an attempt in flight or not
	CauseNoMoreAttempts                 // "spent": its attempts have ended and it may not be retried
	CauseConnectionsFailed              // "connections fail": of a host, also after resets (Balancer.observe)
	CauseSilent                         // "silent": of a host, it takes requests and answers none
	CauseLowerPriority                  // "worth less": it left capacity to a class of higher priority
)

// ActionKind says what the gateway is to do.
type ActionKind uint8

// Kinds of actions. Quoted is the text of String, which logs and recordings have, where it is another word.
const (
	Send   ActionKind = iota // start an attempt of Request at Host; At: the latest time to send, if not 0
	Cancel                   // cancel Attempt of Request
	Reject                   // "Refuse": final response, a retry is harmless; RetryAfter: advice or 0
	Fail                     // final response: an error that does not say whether the request ran
	Wake                     // call Timer with Token at At or soon after
	Close                    // close the idle connections to Host
	Poll                     // "Watch": poll discovery for changes from now on, until ListFailed
	Log                      // log Text, which is about Host if that is not 0
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

// String returns the name of the result, for logs.
func (r Result) String() string { return nameOf(resultNames[:], int(r)) }

// String returns the name of the kind, for logs.
func (k ActionKind) String() string { return nameOf(actionNames[:], int(k)) }

// String returns the name of the cause, for logs.
func (c Cause) String() string { return nameOf(causeNames[:], int(c)) }

func nameOf(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return strconv.Itoa(i)
}

// Action is one thing for the gateway to do. Only the fields that its kind names have a meaning.
type Action struct {
	Kind       ActionKind
	Request    RequestID
	Attempt    int
	Host       HostID
	At         Time
	RetryAfter time.Duration
	Token      uint64
	Text       string
	Cause      Cause // of Reject and Fail
}
