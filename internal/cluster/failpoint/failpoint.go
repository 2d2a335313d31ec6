// Package failpoint lets tests disable one safeguard of the cluster's packages at a time, to show that a
// checker finds the violation that follows: a test that passes without the safeguard doesn't guard it.
//
// Failpoints exist only in builds with the tag "failpoints". In any other build all are disabled, at no
// cost.
package failpoint

// Name is a failpoint. Its text is the value of the environment variable DUNEMOOR_FAILPOINT that enables
// it. The comment on each says what the process does while it is enabled.
type Name string

// Failpoints of package multiraft.
const (
	SkipPreVote     Name = "pre-vote"     // a replica that returns from a partition campaigns at once
	SkipCheckQuorum Name = "check-quorum" // a leader that hears from no quorum does not step down
)

// Failpoints of package wal.
const (
	SkipFsync     Name = "fsync"    // a write is reported as durable before it is
	AcceptOldDisk Name = "old-copy" // a disk that was restored from an older copy is accepted
	// ReuseDiskIdentity is checked in package cluster: an emptied disk keeps its replica ID.
	ReuseDiskIdentity Name = "disk-identity"
)

// Failpoints of packages lease, node and leaseholder.
const (
	SkipWriteFence       Name = "token-record" // the state accepts a write with any token
	SkipPublicationFence Name = "token-peer"   // a gateway accepts publications with any token
	ReuseToken           Name = "token-grows"  // a lease keeps its token when it is granted again
	IgnoreDeadline       Name = "deadline"     // a holder does not check its deadline
	DeadlineFromReply    Name = "sent-at"      // the deadline counts from the reply to a renewal
	SkipLeaderCheck      Name = "confirm"      // a leader answers renewals without asking a quorum
	SkipGracePeriod      Name = "extension"    // a new leader gives sessions no time to reach it
	AssignBeforeRelease  Name = "stopped"      // a lease that is transferred is granted before its holder has stopped
	ReapplyDuplicates    Name = "repeat"       // a retried command is applied again
	ReacquireReleased    Name = "given"        // a lease is used again while a release of it may still be applied
	ForgetLeaderLog      Name = "leader-seen"  // what a leader's heartbeats say of its disk is not noted, so an older copy of it is not recognized
	IgnoreLateObjection  Name = "late-word"    // an objection to a disk halts the replica, but the disk is not marked as outdated
	ApplySuperseded      Name = "late-command" // an override is applied after a later one of the same gateway
)

// Failpoints of package relay.
const (
	AcceptStaleStream    Name = "relay-epoch"   // records of an earlier stream are accepted, and records that were accepted before
	KeepBothStreams      Name = "relay-both"    // gateway and relay keep the stream that the gateway has replaced by another
	DeliverAfterPause    Name = "relay-held"    // what arrived while the process was paused is accepted
	StayWithMuteRelay    Name = "relay-carries" // a gateway stays with a relay that is alive and forwards nothing
	DropRestOfBatch      Name = "relay-batch"   // the records after a malformed one are dropped
	SkipResync           Name = "relay-fanout"  // a gateway does not ask for what it may have missed after a move
	RelayAnswersRenewals Name = "relay-leader"  // a relay answers renewals itself
)

// Failpoints of package idempotency. The tests of that package find them.
const (
	SkipRequestFence      Name = "shelf-fence"  // a gateway that had a request before may send or complete it
	SendToOtherScope      Name = "shelf-group"  // a request that may have run is sent into another scope
	SendAfterWindow       Name = "shelf-window" // a request that may have run is sent again after its deduplication window
	KeepIndeterminateOpen Name = "shelf-doubt"  // a non-idempotent request whose gateway is gone does not become indeterminate
	SkipDigestCheck       Name = "shelf-digest" // a different request with the same key is treated as a duplicate
	OverwriteFinalState   Name = "shelf-final"  // a late response replaces the final state
	SkipPartitionFence    Name = "shelf-token"  // a former holder takes up deferred requests
)

// Failpoints of package placement. The tests of that package find them.
const (
	ShareMachine        Name = "copy-machine"  // two replicas are on one machine
	SkipMajorityCheck   Name = "copy-majority" // a partition without a majority of live replicas changes
	RemoveBeforePromote Name = "copy-first"    // a replica is removed before its successor has a vote
)

// Failpoints that only tests with several processes find.
const (
	UseWallClock    Name = "wall-clock" // deadlines use the wall clock, which can be set
	ForgetOverrides Name = "words-kept" // the saved overrides are not read at the start
)

// Cluster lists the failpoints that simulations of a fleet without relays find.
var Cluster = []Name{
	SkipPreVote, SkipCheckQuorum, SkipFsync, ReuseDiskIdentity, AcceptOldDisk, SkipWriteFence, SkipPublicationFence, ReuseToken,
	IgnoreDeadline, DeadlineFromReply, SkipLeaderCheck, SkipGracePeriod, AssignBeforeRelease, ReapplyDuplicates, ReacquireReleased,
	ForgetLeaderLog, IgnoreLateObjection, ApplySuperseded,
}

// Relay lists the failpoints that simulations of a fleet with relays find.
var Relay = []Name{
	AcceptStaleStream, KeepBothStreams, DeliverAfterPause, StayWithMuteRelay, DropRestOfBatch, SkipResync, RelayAnswersRenewals,
}

// Idempotency lists the failpoints of package idempotency.
var Idempotency = []Name{
	SkipRequestFence, SendToOtherScope, SendAfterWindow, KeepIndeterminateOpen, SkipDigestCheck, OverwriteFinalState, SkipPartitionFence,
}

// Placement lists the failpoints of package placement.
var Placement = []Name{ShareMachine, SkipMajorityCheck, RemoveBeforePromote}
