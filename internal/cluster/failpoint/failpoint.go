// Package failpoint lets tests disable one safeguard of the cluster's packages at a time, to show that a
// checker finds the resulting violation: a test that passes without the safeguard does not test it.
//
// Failpoints exist only in builds with the tag "failpoints". In other builds they are all disabled, at no cost.
package failpoint

// Name identifies a failpoint. Its text is the value of the environment variable DUNEMOOR_FAILPOINT that
// enables it. The comment on each failpoint describes what the process does while it is enabled.
type Name string

// Failpoints of package multiraft.
const (
	SkipPreVote     Name = "pre-vote"     // a replica that returns from a partition starts an election at once
	SkipCheckQuorum Name = "check-quorum" // a leader that has no contact with a quorum does not step down
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
	SkipWriteFence       Name = "token-record" // the replicated state accepts a write with any token
	SkipPublicationFence Name = "token-peer"   // a gateway accepts publications with any token
	ReuseToken           Name = "token-grows"  // a lease keeps its token when it is granted again
	IgnoreDeadline       Name = "deadline"     // a holder does not check its deadline
	DeadlineFromReply    Name = "sent-at"      // the deadline counts from the reply to a renewal, not from its request
	SkipLeaderCheck      Name = "confirm"      // a leader replies to renewals without confirmation by a quorum
	SkipGracePeriod      Name = "extension"    // a new leader does not extend sessions, so they have no time to reach it
	AssignBeforeRelease  Name = "stopped"      // a transferred lease is granted before its holder has stopped
	ReapplyDuplicates    Name = "repeat"       // a retried command is applied again
	ReacquireReleased    Name = "given"        // a lease is used again although a release of it may still be applied
	IgnoreLeaderLog      Name = "leader-seen"  // a leader's log index is not recorded, so an older copy of its disk is not recognized
	IgnoreLateObjection  Name = "late-word"    // an objection to a disk halts the replica, but the disk is not marked as outdated
	ApplySuperseded      Name = "late-command" // an override is applied after a later one of the same gateway
)

// Failpoints of package relay.
const (
	AcceptStaleStream         Name = "relay-epoch"   // records of an earlier stream and duplicate records are accepted
	KeepBothStreams           Name = "relay-both"    // gateway and relay keep a stream that the gateway has replaced
	DeliverAfterPause         Name = "relay-held"    // data that arrived while the process was paused is accepted
	StayWithUnresponsiveRelay Name = "relay-carries" // a gateway stays with a relay that is alive and forwards nothing
	DropRestOfBatch           Name = "relay-batch"   // the records after a malformed one are dropped
	SkipResync                Name = "relay-fanout"  // a gateway that has moved does not request what it may have missed
	RelayAnswersRenewals      Name = "relay-leader"  // a relay replies to renewals itself
)

// Failpoints of package idempotency, which the tests of that package detect.
const (
	SkipRequestFence      Name = "shelf-fence"  // a former gateway of a request may send or complete it
	SendToOtherScope      Name = "shelf-group"  // a request that may have run is sent into another scope
	SendAfterWindow       Name = "shelf-window" // a request that may have run is sent again after its deduplication window
	KeepIndeterminateOpen Name = "shelf-doubt"  // a non-idempotent request of an ended session does not become indeterminate
	SkipDigestCheck       Name = "shelf-digest" // a different request with the same key is treated as a duplicate
	OverwriteFinalState   Name = "shelf-final"  // a late response replaces the final state of a request
	SkipPartitionFence    Name = "shelf-token"  // a former holder takes over deferred requests
)

// Failpoints of package placement, which the tests of that package detect.
const (
	ShareMachine        Name = "copy-machine"  // two replicas may be on one machine
	SkipMajorityCheck   Name = "copy-majority" // a partition without a majority of live replicas is changed
	RemoveBeforePromote Name = "copy-first"    // a replica is removed before its replacement has a vote
)

// Failpoints that only tests with several processes detect.
const (
	UseWallClock     Name = "wall-clock" // deadlines use the wall clock, which can be set
	SkipOverrideLoad Name = "words-kept" // the saved overrides are not read at startup
)

// Cluster lists the failpoints that simulations of a fleet without relays detect.
var Cluster = []Name{
	SkipPreVote, SkipCheckQuorum, SkipFsync, ReuseDiskIdentity, AcceptOldDisk, SkipWriteFence, SkipPublicationFence, ReuseToken,
	IgnoreDeadline, DeadlineFromReply, SkipLeaderCheck, SkipGracePeriod, AssignBeforeRelease, ReapplyDuplicates, ReacquireReleased,
	IgnoreLeaderLog, IgnoreLateObjection, ApplySuperseded,
}

// Relay lists the failpoints that simulations of a fleet with relays detect.
var Relay = []Name{
	AcceptStaleStream, KeepBothStreams, DeliverAfterPause, StayWithUnresponsiveRelay, DropRestOfBatch, SkipResync, RelayAnswersRenewals,
}

// Idempotency lists the failpoints of package idempotency.
var Idempotency = []Name{
	SkipRequestFence, SendToOtherScope, SendAfterWindow, KeepIndeterminateOpen, SkipDigestCheck, OverwriteFinalState, SkipPartitionFence,
}

// Placement lists the failpoints of package placement.
var Placement = []Name{ShareMachine, SkipMajorityCheck, RemoveBeforePromote}
