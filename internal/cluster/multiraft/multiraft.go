// Package multiraft runs any number of Raft groups in one process, each with a state machine to which its
// committed commands are applied.
//
// A [Node] does no I/O and reads no clock: ticks, messages and completed writes are passed in by method
// calls, and [Node.TakeOutput] returns the data to write and send and the events to report. The Raft
// implementation is go.etcd.io/raft. This package implements its own election timers, because the library
// takes its timeouts from the system's random number generator and simulations must be repeatable.
package multiraft

import (
	"context"
	"errors"
	"io"
	"log"
	"log/slog"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Parameters of a group.
const (
	// ElectionTicks is the minimum number of ticks without a message from a leader after which a follower
	// starts an election. The timeout is randomized between this number and its double. A leader that has
	// no contact with a quorum for this number of ticks steps down.
	ElectionTicks = 10
	// HeartbeatTicks is the number of ticks between two heartbeats. Five heartbeats fit into the minimum
	// election timeout.
	HeartbeatTicks = 2
	// maxMessageBytes bounds the entries of one message, and of one read of the log.
	maxMessageBytes = 256 << 10
	// maxUncommittedBytes bounds the uncommitted proposals of a leader. Further proposals are rejected.
	maxUncommittedBytes = 4 << 20
	// maxInflightMessages and maxInflightBytes bound the entries sent to one follower without a reply.
	maxInflightMessages = 64
	maxInflightBytes    = 2 << 20
	// maxPendingBytes bounds the entries that wait while a write is in progress. A replica over the limit
	// drops further entries from its leader, which sends them again.
	maxPendingBytes = 8 << 20
	// compactThreshold is the number of bytes of applied entries after which the log is compacted. The
	// last retainedEntries entries are kept, so that a replica that is slightly behind needs no snapshot.
	compactThreshold = 1 << 20
	retainedEntries  = 256
)

// Group identifies a group within the fleet.
type Group uint32

// StateMachine is the state machine of a group. It must be deterministic.
type StateMachine interface {
	// Apply applies a command and returns its result.
	Apply(index uint64, command []byte) any
	// MembersChanged reports the members of the group after a configuration change, and the context of
	// that change.
	MembersChanged(index uint64, context []byte, conf *raftpb.ConfState)
	// Snapshot returns the whole state in encoded form.
	Snapshot() []byte
	// Restore replaces the state with one that Snapshot returned.
	Restore(state []byte) error
}

// PersistedGroup is the persisted state of a group.
type PersistedGroup struct {
	HardState *raftpb.HardState // nil if there is none
	Snapshot  *raftpb.Snapshot  // nil if there is none
	Entries   []*raftpb.Entry   // entries after the snapshot
}

// LogRecord is one change to the persisted state of a group. The snapshot replaces all entries up to its
// index; then Entries replaces all entries from the index of its first entry on.
type LogRecord struct {
	Group    Group
	Snapshot *raftpb.Snapshot
	// LocalSnapshot reports that this replica created the snapshot, so entries after it are kept.
	LocalSnapshot bool
	Entries       []*raftpb.Entry
	HardState     *raftpb.HardState
}

// Batch is a set of records to be made durable together. The caller calls Node.Persisted with its ID
// afterwards. Only one batch is in progress at a time.
type Batch struct {
	ID      uint64
	Records []LogRecord

	writes []pendingWrite
}

// Envelope is a Raft message with its group and the replica that receives it.
type Envelope struct {
	Group   Group
	To      uint64
	Message *raftpb.Message
}

// Result is the result of a command that this node proposed.
type Result struct {
	Group Group
	ID    uint64 // ID passed to Propose
	Index uint64
	Value any // result of StateMachine.Apply
}

// ReadIndex confirms that this node was the leader when the read index was requested, and that all entries
// up to Index were committed at that time. A state machine that has applied the log up to Index is at least
// as recent as the request.
type ReadIndex struct {
	Group Group
	ID    uint64 // ID passed to RequestReadIndex
	Index uint64
}

// LeaderChange is a change of a group's leader as observed by this node.
type LeaderChange struct {
	Group  Group
	Leader uint64 // replica ID, or 0 if no leader is known
	Term   uint64
	IsSelf bool // this node is the leader
}

// Output is the set of actions that a Node requests from its caller.
type Output struct {
	Write         *Batch
	Messages      []Envelope
	Results       []Result
	ReadIndexes   []ReadIndex
	LeaderChanges []LeaderChange
}

// Errors of a node.
var (
	// ErrHalted is returned by a node that has stopped.
	ErrHalted = errors.New("the replica has stopped")
	// ErrNotLeader is returned by a node that does not lead the group.
	ErrNotLeader = errors.New("the replica does not lead")
	// ErrInconsistentLog is the reason why a node has stopped whose log is inconsistent with the
	// messages of other replicas or with itself.
	ErrInconsistentLog = errors.New("the log contradicts itself")
)

// raftLogger receives the log of the Raft library, which is discarded by default: changes of the leader are
// reported as LeaderChange.
var raftLogger = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

// EnableDebugLog writes the log of the Raft library to slog, if slog's debug level is enabled.
func EnableDebugLog() {
	if slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		raftLogger.Logger = slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug)
	}
}

// BootstrapState returns the initial persisted state of the first replica of a new group, with the initial
// members and the initial state of the state machine.
func BootstrapState(voters []uint64, state []byte) PersistedGroup {
	conf := &raftpb.ConfState{Voters: slices.Sorted(slices.Values(voters))}
	return PersistedGroup{
		HardState: &raftpb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))},
		Snapshot: &raftpb.Snapshot{
			Data:     state,
			Metadata: &raftpb.SnapshotMetadata{ConfState: conf, Index: new(uint64(1)), Term: new(uint64(1))},
		},
	}
}
