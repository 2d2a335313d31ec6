package lease

import "fmt"

// Op is the type of a command. Its values are part of the log format.
type Op string

// Commands that a gateway proposes within its own session. The leader also proposes OpTransfer, without a
// session, to rebalance leases.
const (
	OpOpenSession  Op = "open"
	OpCloseSession Op = "close"
	OpAcquire      Op = "claim"  // acquire a lease
	OpRelease      Op = "resign" // release a lease
	OpTransfer     Op = "move"   // request that the holder of a lease releases it to another member
	OpWrite        Op = "write"  // store a value under a lease
)

// Commands that only the leader proposes.
const (
	OpExpireSession  Op = "lapse"  // end a session that was not renewed in time
	OpAssign         Op = "assign" // grant a free lease to a session
	OpUpdateOverride Op = "spend"  // record the remaining duration of an override, or remove the override
)

// Commands that operators issue, and OpCollectGarbage, which the holder of the housekeeping lease issues.
const (
	OpAddReplica     Op = "keep"    // add a gateway to the desired replicas
	OpRemoveReplica  Op = "leave"   // remove a gateway from the desired replicas
	OpDrainHost      Op = "drain"   // add an override that stops new requests to a host
	OpUndrainHost    Op = "undrain" // remove the override of a host
	OpCollectGarbage Op = "forget"  // remove a member or lease that has been unused for a long time
)

// Command is a log entry. The fields that are set depend on Op.
type Command struct {
	Op       Op           `json:"op"`
	Session  uint64       `json:"s,omitempty"` // session of the proposer, or the session that the command acts on
	Request  uint64       `json:"r,omitempty"` // request number within the session, which deduplicates retries
	Open     *OpenRequest `json:"open,omitempty"`
	Lease    string       `json:"duty,omitempty"`
	Token    uint64       `json:"token,omitempty"` // fencing token of Lease as known to the proposer
	Target   string       `json:"to,omitempty"`    // member to which the lease is transferred
	Key      string       `json:"key,omitempty"`
	Value    string       `json:"value,omitempty"`
	Name     string       `json:"name,omitempty"` // member or lease to remove, or gateway to add or remove as a replica
	Override *Override    `json:"word,omitempty"`
}

// Code is the outcome of a command.
type Code string

// Values of Code.
const (
	OK            Code = "ok"
	LeaseHeld     Code = "held"       // another session holds the lease
	StaleToken    Code = "stale"      // the token or an override's revision is not current, or there is no such lease or override
	NoSession     Code = "no session" // there is no such session or, for OpAssign, no such lease
	NameTaken     Code = "taken"      // a live gateway with another disk uses the name
	Rejected      Code = "refused"    // the command is invalid in the current state, see Result.Reason
	ResultExpired Code = "old"        // the request is so old that its result is no longer stored
	Superseded    Code = "late"       // a later command of the session was applied first; this one had no effect
)

// Result is the outcome of a command, as returned to the proposer.
type Result struct {
	Code    Code   `json:"code"`
	Session uint64 `json:"session,omitempty"`
	Token   uint64 `json:"token,omitempty"`
	Holder  string `json:"owner,omitempty"`
	Reason  string `json:"why,omitempty"`
}

// Reasons of results that a session stores. They are part of the replicated state, which must be
// identical on replicas that run different builds, so the texts may change only with the log format.
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

// rejectf returns a Rejected result with a formatted reason.
func rejectf(format string, args ...any) Result {
	return Result{Code: Rejected, Reason: fmt.Sprintf(format, args...)}
}
