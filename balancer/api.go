// Package balancer makes the decisions of an HTTP load balancer that runs as
// a bank of proxies, one or a thousand: where each request goes, when it is tried
// again, when it is turned away.
//
// A [Balancer] is a state machine without I/O. The gateway that embeds it
// reports what happens (a request arrives, an attempt ends, a timer rings, the
// host list changes) by calling one method per event, each with the current
// time, and then carries out the [Action] values it collects with
// [Balancer.Drain]. The balancer starts no goroutine, reads no clock and does
// no I/O; the same events and seed always lead to the same actions.
//
// The balancer keeps no slice that it is given, and what Drain appends belongs to
// the caller; in steady state neither side allocates. A balancer keeps a request
// until it has its answer and all its attempts have ended, and a removed host until
// its last attempt has. To start again after a restart, pass the host list saved
// last as ListSaved right after Start.
//
// A Balancer is not safe for concurrent use. A gateway with several threads
// runs one Balancer in one event loop, or one Balancer a thread with Instances
// raised accordingly.
//
// This file is the interface of a gateway; every decision is in balancer.go. For those who
// look on there are [Balancer.Views], and [Balancer.Checkpoint] with [Restore].
package balancer

import (
	"strconv"
	"time"
)

// Time is an instant on the gateway's own monotonic clock, as the time since
// an arbitrary start. It must never go backward.
type Time = time.Duration

// HostID names a host. The balancer compares IDs and reads nothing into them.
type HostID uint64

// RequestID names a client request, below 1<<56. An ID must not be used again
// while the gateway still holds a request or an attempt under it.
type RequestID uint64

// Effect says what a repeat of a request may do.
type Idempotency uint8

// Effects of a class.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // hosts of one Group drop repeats for a Window
	NonIdempotent                        // must never run twice
)

// Group says which hosts drop the repeats of a keyed request.
type DedupScope uint8

// Groups of a keyed class.
const (
	ScopeAll  DedupScope = iota // every host
	ScopeZone                   // the hosts of one zone
	ScopeCell                   // the hosts of one cell
)

// Class describes one kind of request.
type Class struct {
	LatencyObjective time.Duration // an answer within it earns the full worth; 0: the Deadline
	Deadline         time.Duration // how long a client waits in all
	PriorityWeight   float64       // worth of an answer; 0 counts as 1
	Idempotency      Idempotency
	DedupScope       DedupScope    // for Keyed
	DedupWindow      time.Duration // for Keyed: counted from the first attempt that may have run
	Retired          bool          // no more of it come: it is kept for requests under way
}

// Tenant describes one customer. Quota is its requests a second over all
// instances; 0 means no quota.
type Tenant struct {
	Quota float64
}

// Settings is what a Balancer knows of its deployment. The zero value of an
// optional field gives the default named beside it.
type Settings struct {
	Instances int // balancers in the bank, this one included; at least 1
	Rank      int // this one's number, from 0
	Classes   []Class
	Tenants   []Tenant      // optional
	Step      time.Duration // events are handled at most this often; 0: as they come

	MaxAttempts     int           // attempts a request may have, one at a time; 0: 3
	Cancel          bool          // Cancel actions are allowed
	MaxRetryAfter   time.Duration // longest advice a client heeds; 0: advise nothing
	OverQuotaWeight float64       // worth of a request beyond its tenant's quota, as a share; 0: none

	Poll        bool          // the host list must be asked for (Watch), it is not pushed
	PollTimeout time.Duration // longest time without a watch or a question; 0: 10 s

	SlowStartShare  float64       // share of its capacity a host starts with; 0: 1, hosts start warm
	SlowStartWindow time.Duration // a host is warm this long after its start; 0: at once
	OverloadFactor  float64       // a cold host falls over at this multiple of its present capacity; 0: 2
	OverloadWindow  time.Duration // kept up for this long; 0: 1 s
}

// HostState is what the host list says of a host.
type HostState uint8

// Listed states.
const (
	Ready    HostState = iota // takes requests
	Draining                  // finishes its work, gets nothing new
	Removed                   // gone; only among changes
)

// Host is an entry of the host list.
type Host struct {
	ID      HostID
	Zone    int
	Cell    int
	Kind    int // machines of one kind are of like size
	State   HostState
	Started Time // when it last started; 0: long ago
}

// ListKind says how a host list is to be read.
type ListKind uint8

// Kinds of list.
const (
	ListFull    ListKind = iota // the whole list; hosts not on it are gone
	ListChanges                 // only entries that changed
	ListSaved                   // the whole list as saved earlier, maybe stale
	ListFailed                  // a question failed or a watch broke; no entries
)

// Request is a client's request that now awaits one final answer.
type Request struct {
	ID        RequestID
	Class     int           // index in Settings.Classes
	Tenant    int           // index in Settings.Tenants
	Remaining time.Duration // until the client gives up on this try; 0: it is due now
	Duplicate bool          // the client marks it as a repeat
}

// Result says how an attempt ended.
type Result uint8

// Results. Those marked so prove that the attempt never ran; after any other
// it may have.
const (
	OK            Result = iota
	Failed               // the host answered with an error
	Full                 // turned away unseen (proves it never ran)
	TimedOut             // no answer in time
	ConnectFailed        // no connection (proves it never ran)
	Reset                // the connection broke
	Canceled             // called off by a Cancel action
	NotSent              // the gateway did not send it (proves it never ran)
	Spoilt               // what came is no answer to pass on
)

// MayHaveRun says whether an attempt that ended so may have run.
func (r Result) MayHaveRun() bool { return r != Full && r != ConnectFailed && r != NotSent }

// Outcome is the end of one attempt. Each Send has exactly one.
type Outcome struct {
	Request RequestID
	Attempt int // attempts of a request count from 0 in the order of their Send
	Result  Result
	Elapsed time.Duration // since the Send
	Closed  bool          // the client has its answer, nothing more is owed
}

// Cause says why a request got a final answer without being served, or why a host is
// out of the draw. It is for those who look on: nothing is decided by it.
type Cause uint8

// Causes.
const (
	CauseNone        Cause = iota
	CauseLate              // it came with no time left to be sent
	CauseWait              // it waited for a host as long as it may
	CauseDeadline          // its time was up, with an attempt out or none
	CauseSpent             // its attempts have ended and it may have no other
	CauseConnections       // of a host: connections fail
	CauseSilent            // of a host: it takes requests and answers none
	CauseYield             // it left room for what is worth more
)

// ActionKind says what the gateway is asked to do.
type ActionKind uint8

// Kinds of action.
const (
	Send   ActionKind = iota // start an attempt of Request at Host; none of it may go out behind At (0: at any time)
	Cancel                   // call off Attempt of Request
	Reject                   // final answer: turned away, trying again is harmless; After is advice (0: none)
	Fail                     // final answer: an error that promises nothing
	Wake                     // call Timer with Token at At or soon after
	Close                    // close the idle connections to Host
	Poll                     // ask discovery for changes from now on
	Log                      // a line for those on call, about Host if it is not 0
)

var (
	resultNames = [...]string{"OK", "Failed", "Full", "TimedOut", "ConnectFailed", "Reset", "Canceled", "NotSent", "Spoilt"}
	actionNames = [...]string{"Send", "Cancel", "Refuse", "Fail", "Wake", "Close", "Watch", "Log"}
	causeNames  = [...]string{"none", "late", "wait", "deadline", "spent", "connections fail", "silent", "worth less"}
)

// String names the result, for logs.
func (r Result) String() string { return nameOf(resultNames[:], int(r)) }

// String names the kind, for logs.
func (k ActionKind) String() string { return nameOf(actionNames[:], int(k)) }

// String names the cause, for logs.
func (c Cause) String() string { return nameOf(causeNames[:], int(c)) }

func nameOf(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return strconv.Itoa(i)
}

// Action is one thing for the gateway to do. Only the fields named at its kind
// mean anything.
type Action struct {
	Kind       ActionKind
	Request    RequestID
	Attempt    int
	Host       HostID
	At         Time
	RetryAfter time.Duration
	Token      uint64
	Text       string
	Cause      Cause // of Refuse and Fail
}
