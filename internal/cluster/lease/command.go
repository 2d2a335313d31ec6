package lease

import "fmt"

// Op is a kind of command. Its values are part of the log's format.
type Op string

// Commands that a gateway proposes for its own session.
const (
	OpOpenSession  Op = "open"
	OpCloseSession Op = "close"
	OpAcquire      Op = "claim"  // acquire a lease
	OpRelease      Op = "resign" // release a lease
	OpTransfer     Op = "move"   // ask the holder of a lease to release it to another member
	OpWrite        Op = "write"  // store a value under a lease
)

// Commands that only the leader proposes.
const (
	OpExpireSession  Op = "lapse"  // end a session that was not renewed
	OpAssign         Op = "assign" // grant a free lease to a session
	OpExpireOverride Op = "spend"  // record how long an override still lasts, or remove it
)

// Commands of operators and of housekeeping.
const (
	OpAddReplica     Op = "keep"    // make a gateway a replica
	OpRemoveReplica  Op = "leave"   // make it no replica
	OpDrainHost      Op = "drain"   // override a host: it gets no new requests
	OpUndrainHost    Op = "undrain" // remove the override
	OpCollectGarbage Op = "forget"  // remove a member or lease that is long out of use
)

// Command is an entry of the log. Which fields are set depends on Op.
type Command struct {
	Op       Op           `json:"op"`
	Session  uint64       `json:"s,omitempty"` // of the proposer, or the session that the command is about
	Request  uint64       `json:"r,omitempty"` // number within the session: a retried request has one effect
	Open     *OpenRequest `json:"open,omitempty"`
	Lease    string       `json:"duty,omitempty"`
	Token    uint64       `json:"token,omitempty"` // as known to the proposer
	Target   string       `json:"to,omitempty"`    // member that a lease is transferred to
	Key      string       `json:"key,omitempty"`
	Value    string       `json:"value,omitempty"`
	Name     string       `json:"name,omitempty"` // member or lease to collect, or gateway to add or remove as replica
	Override *Override    `json:"word,omitempty"`
}

// Code is the outcome of a command.
type Code string

// Outcomes.
const (
	OK            Code = "ok"
	LeaseHeld     Code = "held"       // another session holds the lease
	StaleToken    Code = "stale"      // the token is not that of the current grant
	NoSession     Code = "no session" // the session has expired or never existed
	NameTaken     Code = "taken"      // a live gateway with another disk has the name
	Rejected      Code = "refused"    // the command can't be carried out, see Result.Reason
	ResultExpired Code = "old"        // the result of so old a request is no longer known
	Superseded    Code = "late"       // a later command of the session was applied first: nothing was done
)

// Result is the outcome of a command with what the proposer needs to know.
type Result struct {
	Code    Code   `json:"code"`
	Session uint64 `json:"session,omitempty"`
	Token   uint64 `json:"token,omitempty"`
	Holder  string `json:"owner,omitempty"`
	Reason  string `json:"why,omitempty"`
}

// Reasons of results that a session keeps. They are part of the replicated state, which has to be the
// same at replicas of different builds: their texts change only with the format.
const (
	reasonLeaseNotCreated  = "no such duty can be made"
	reasonUnknownLease     = "there is no duty %s"
	reasonNoHolder         = "nobody holds %s"
	reasonNotLive          = "%s is no living member"
	reasonNoCandidate      = "%s does not offer to hold %s"
	reasonValueTooLong     = "a key has %d bytes at most, a value %d"
	reasonTooManyValues    = "a duty keeps %d values"
	reasonBadOverride      = "a word names a pool and a host, neither of them too long"
	reasonLongReason       = "a reason has %d bytes at most"
	reasonLongOverride     = "a word that ends by itself lasts %v at most"
	reasonTooManyOverrides = "the fleet keeps %d words at most"
	reasonNoOverride       = "there is no word on that host"
	reasonSuperseded       = "a later command of this gateway went before it, nothing was done"
	reasonUnknownOp        = "there is no command %q"
)

// rejectf returns a rejection with its reason.
func rejectf(format string, args ...any) Result {
	return Result{Code: Rejected, Reason: fmt.Sprintf(format, args...)}
}
