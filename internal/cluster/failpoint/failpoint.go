// Package failpoint lets tests take a safeguard out of the cluster's packages, one at a time, to show
// that a checker finds the fault that follows. A test of a safeguard that can't fail proves nothing.
//
// Failpoints exist only in builds with the tag "failpoints". In any other build all are disabled, at no
// cost.
package failpoint

// Name is a failpoint. Its text is what DUNEMOOR_FAILPOINT takes.
type Name string

// Failpoints of package multiraft.
const (
	SkipPreVote     Name = "pre-vote"     // a replica that returns from a partition campaigns at once
	SkipCheckQuorum Name = "check-quorum" // a leader that hears no quorum goes on leading
)

// Failpoints of package wal.
const (
	SkipFsync     Name = "fsync"    // a write is reported as durable before it is
	AcceptOldDisk Name = "old-copy" // an older copy of a disk is used as the disk
	// ReuseDiskIdentity is of package cluster: an emptied disk returns as the replica that it was.
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
	ReapplyDuplicates    Name = "repeat"       // a retried command is carried out again
	ReacquireReleased    Name = "given"        // a lease is taken up again though its release may still be carried out
	ForgetLeaderLog      Name = "leader-seen"  // what a leader's log had is not held against its disk
	IgnoreLateObjection  Name = "late-word"    // an objection to a disk counts only before a leader's messages
	ApplySuperseded      Name = "late-command" // an override counts behind a later one of the same gateway
)

// Failpoints of package relay.
const (
	AcceptStaleStream    Name = "relay-epoch"   // records of a former stream count, and records that came before
	KeepBothStreams      Name = "relay-both"    // a gateway and a relay keep the stream that the gateway has left
	DeliverAfterPause    Name = "relay-held"    // what arrived while a process was paused counts
	StayWithMuteRelay    Name = "relay-carries" // a gateway stays with a relay that is alive and forwards nothing
	DropRestOfBatch      Name = "relay-batch"   // a malformed record takes the following ones with it
	SkipResync           Name = "relay-fanout"  // a gateway does not ask for what it may have missed after a move
	RelayAnswersRenewals Name = "relay-leader"  // a relay answers renewals itself
)

// Failpoints of package idempotency. Its own tests find them.
const (
	SkipRequestFence      Name = "shelf-fence"  // a gateway that had a request before may send or complete it
	SendToOtherScope      Name = "shelf-group"  // a request that may have run is sent into another scope
	SendAfterWindow       Name = "shelf-window" // it is sent again after its deduplication window
	KeepIndeterminateOpen Name = "shelf-doubt"  // a non-idempotent one whose gateway is gone does not become indeterminate
	SkipDigestCheck       Name = "shelf-digest" // another request with the same key is taken for it
	OverwriteFinalState   Name = "shelf-final"  // a late response replaces the final phase
	SkipPartitionFence    Name = "shelf-token"  // a former holder takes up deferred requests
)

// Failpoints of package placement. Its own tests find them.
const (
	ShareMachine        Name = "copy-machine"  // two replicas are on one machine
	SkipMajorityCheck   Name = "copy-majority" // a partition without a majority of live replicas changes
	RemoveBeforePromote Name = "copy-first"    // a replica is removed before its successor has a vote
)

// Failpoints that only tests among processes find.
const (
	UseWallClock    Name = "wall-clock" // deadlines use a clock that people set
	ForgetOverrides Name = "words-kept" // the file with overrides is not read at a start
)

// Cluster lists the failpoints that the simulation of a full mesh finds.
var Cluster = []Name{
	SkipPreVote, SkipCheckQuorum, SkipFsync, ReuseDiskIdentity, AcceptOldDisk, SkipWriteFence, SkipPublicationFence, ReuseToken,
	IgnoreDeadline, DeadlineFromReply, SkipLeaderCheck, SkipGracePeriod, AssignBeforeRelease, ReapplyDuplicates, ReacquireReleased,
	ForgetLeaderLog, IgnoreLateObjection, ApplySuperseded,
}

// Relay lists the failpoints of relays.
var Relay = []Name{
	AcceptStaleStream, KeepBothStreams, DeliverAfterPause, StayWithMuteRelay, DropRestOfBatch, SkipResync, RelayAnswersRenewals,
}

// Idempotency lists the failpoints of package idempotency.
var Idempotency = []Name{
	SkipRequestFence, SendToOtherScope, SendAfterWindow, KeepIndeterminateOpen, SkipDigestCheck, OverwriteFinalState, SkipPartitionFence,
}

// Placement lists the failpoints of package placement.
var Placement = []Name{ShareMachine, SkipMajorityCheck, RemoveBeforePromote}
