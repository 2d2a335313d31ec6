package idempotency

import "time"

// Op is a kind of command. Its values are part of the log's format.
type Op string

// Commands. Those about a request with a Fence apply only for the gateway that was given it, as of now.
const (
	OpAdvanceClock Op = "clock"  // the leader advances the partition's clock
	OpEndSession   Op = "gone"   // the leader reports that a gateway's session has ended
	OpBegin        Op = "begin"  // a request with a key has arrived at a gateway
	OpSend         Op = "send"   // it is about to be sent into a scope: before the first byte
	OpComplete     Op = "end"    // it has its response
	OpAbandon      Op = "drop"   // no attempt of it has run: it is as if it had not arrived
	OpDefer        Op = "put"    // a request is to be delivered later
	OpTakeUp       Op = "take"   // the holder of the partition's lease delivers a deferred request
	OpCancel       Op = "cancel" // the client cancels a deferred request
)

// Command is an entry of a partition's log. Which fields are set depends on Op.
type Command struct {
	Op          Op          `json:"op"`
	Session     uint64      `json:"s,omitempty"` // of the gateway that proposes it; for OpEndSession the one that has ended
	Token       uint64      `json:"t,omitempty"` // of the partition's lease, for OpTakeUp
	Tenant      string      `json:"tenant,omitempty"`
	Key         string      `json:"key,omitempty"`
	Digest      string      `json:"digest,omitempty"` // of the request's contents
	Idempotency Idempotency `json:"effect,omitempty"`
	Fence       uint64      `json:"fence,omitempty"`
	Scope       string      `json:"group,omitempty"`
	Response    *Response   `json:"answer,omitempty"`
	Body        []byte      `json:"body,omitempty"`
	// Retention is how long the response is kept, DeliverWithin how long a deferred request may wait.
	Retention     time.Duration `json:"keep,omitempty"`
	DeliverWithin time.Duration `json:"last,omitempty"`
	Elapsed       time.Duration `json:"by,omitempty"` // for OpAdvanceClock
	// WindowLeft is set by the leader as it proposes: how long the deduplication window that began with
	// the request's first attempt is still open, by the leader's own clock; 0: it is over, or not known.
	WindowLeft     time.Duration `json:"left,omitempty"`
	PriorityWeight float64       `json:"worth,omitempty"`
}

// Response is what a client was answered.
type Response struct {
	Status int    `json:"status"`
	Header []byte `json:"head,omitempty"`
	Body   []byte `json:"body,omitempty"`
}

// Code is the outcome of a command.
type Code string

// Outcomes.
const (
	OK             Code = "ok"
	Execute        Code = "run"      // the proposer is to send the request, under Fence
	Retry          Code = "again"    // it is to send it again, in Scope and within the window only, under Fence
	InProgress     Code = "running"  // another gateway has it
	Completed      Code = "done"     // it has ended, with Response
	Indeterminate  Code = "in doubt" // it may have run, and is never sent again
	KeyMismatch    Code = "mismatch" // the key was used for another request
	Full           Code = "full"     // there is no capacity, for RetryAfter at least
	Stale          Code = "stale"    // the fence or token is not the current one
	UnknownRequest Code = "unknown"
	Rejected       Code = "refused" // see Reason
)

// Result is the outcome of a command with what the proposer needs to know.
type Result struct {
	Code       Code          `json:"code"`
	Fence      uint64        `json:"fence,omitempty"`
	Scope      string        `json:"group,omitempty"`
	Response   *Response     `json:"answer,omitempty"`
	RetryAfter time.Duration `json:"wait,omitempty"`
	// WindowLeft is how long Retry is valid, counted from before the command was proposed.
	WindowLeft time.Duration `json:"left,omitempty"`
	Reason     string        `json:"why,omitempty"`
}
