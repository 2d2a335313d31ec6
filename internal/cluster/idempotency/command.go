package idempotency

import "time"

// Op is the type of a command. Its values are part of the log format.
type Op string

// Values of Op. A command with a Fence is applied only if the Fence is the request's current one, that is,
// if the proposer is still the gateway that was last given the request.
const (
	OpAdvanceClock Op = "clock"  // advances the partition's clock; proposed by the leader
	OpEndSession   Op = "gone"   // frees the requests of an ended session; proposed by the leader
	OpBegin        Op = "begin"  // starts a request with a key that has arrived at a gateway
	OpSend         Op = "send"   // records an attempt in a scope, before its first byte is sent
	OpComplete     Op = "end"    // records the response of a request
	OpAbandon      Op = "drop"   // removes a request of which no attempt has run, or defers it again
	OpDefer        Op = "put"    // stores a request for later delivery
	OpClaim        Op = "take"   // claims a deferred request for delivery by the holder of the partition's lease
	OpCancel       Op = "cancel" // cancels a deferred request on behalf of the client
)

// Command is an entry of a partition's log. The fields that are set depend on Op.
type Command struct {
	Op          Op          `json:"op"`
	Session     uint64      `json:"s,omitempty"` // session of the proposer, or the ended session for OpEndSession
	Token       uint64      `json:"t,omitempty"` // fencing token of the partition's lease, for OpClaim
	Tenant      string      `json:"tenant,omitempty"`
	Key         string      `json:"key,omitempty"`
	Digest      string      `json:"digest,omitempty"` // digest of the request's contents
	Idempotency Idempotency `json:"effect,omitempty"`
	Fence       uint64      `json:"fence,omitempty"`
	Scope       string      `json:"group,omitempty"`
	Response    *Response   `json:"answer,omitempty"`
	Body        []byte      `json:"body,omitempty"`
	// Retention is how long the response is kept, DeliverWithin how long a deferred request may wait.
	Retention     time.Duration `json:"keep,omitempty"`
	DeliverWithin time.Duration `json:"last,omitempty"`
	Elapsed       time.Duration `json:"by,omitempty"` // time by which OpAdvanceClock advances the clock
	// WindowLeft is the remaining time of the deduplication window that began with the request's first
	// attempt. The leader sets it by its own clock when it proposes the command. It is 0 if the window has
	// ended or its start is not known.
	WindowLeft     time.Duration `json:"left,omitempty"`
	PriorityWeight float64       `json:"worth,omitempty"`
}

// Response is the response that the client received.
type Response struct {
	Status int    `json:"status"`
	Header []byte `json:"head,omitempty"`
	Body   []byte `json:"body,omitempty"`
}

// Code is the outcome of a command.
type Code string

// Values of Code.
const (
	OK      Code = "ok"
	Execute Code = "run" // the proposer must send the request, using Fence
	// Retry tells the proposer to send the request again, using Fence. If Scope is set, it must be sent into
	// Scope and within WindowLeft.
	Retry          Code = "again"
	InProgress     Code = "running"  // a gateway is executing the request, or the request is deferred
	Completed      Code = "done"     // the request is final, with Response if it has one
	Indeterminate  Code = "in doubt" // the request may have been executed, and is never sent again
	KeyMismatch    Code = "mismatch" // the key was used for a different request
	Full           Code = "full"     // the partition or the tenant's share is full, for at least RetryAfter
	Stale          Code = "stale"    // the fence or token is not the current one, or the request is final
	UnknownRequest Code = "unknown"  // no request with this key is stored
	Rejected       Code = "refused"  // the command is invalid, see Reason
)

// Result is the outcome of a command, as returned to the proposer.
type Result struct {
	Code       Code          `json:"code"`
	Fence      uint64        `json:"fence,omitempty"`
	Scope      string        `json:"group,omitempty"`
	Response   *Response     `json:"answer,omitempty"`
	RetryAfter time.Duration `json:"wait,omitempty"`
	// WindowLeft is how long the result Retry is valid, counted from a time before the command was proposed.
	WindowLeft time.Duration `json:"left,omitempty"`
	Reason     string        `json:"why,omitempty"`
}
