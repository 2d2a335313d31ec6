// Package multiraft runs any number of Raft groups in one process, each with a state machine that its
// committed commands are applied to.
//
// A [Node] does no I/O and reads no clock: ticks, messages and finished writes come in as method
// calls, and what has to be written, sent and reported comes out of [Node.TakeOutput]. The algorithm
// is that of go.etcd.io/raft. Elections are timed here, as the library draws its timeouts from the
// system's random numbers and a simulation has to be repeatable.
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
	// ElectionTicks is how long a follower hears of no leader before it campaigns, at least; up to
	// twice as long, by chance. A leader that hears no quorum for as long steps down.
	ElectionTicks = 10
	// HeartbeatTicks lie between two heartbeats: five may be lost.
	HeartbeatTicks = 2
	// maxMessageBytes bounds the entries of one message, and of one read of the log.
	maxMessageBytes = 256 << 10
	// maxUncommittedBytes bounds the proposals that a leader accepts before a quorum has them: further
	// ones are rejected.
	maxUncommittedBytes = 4 << 20
	// maxInflightMessages and maxInflightBytes bound what is sent to one follower without a reply.
	maxInflightMessages = 64
	maxInflightBytes    = 2 << 20
	// maxPendingBytes bounds what waits while a write is under way. A replica over the limit drops
	// further entries of its leader, which sends them again.
	maxPendingBytes = 8 << 20
	// compactThreshold is how much of the log is applied before it is compacted. The last
	// retainedEntries stay, so that a replica that is a little behind needs no snapshot.
	compactThreshold = 1 << 20
	retainedEntries  = 256
)

// Group identifies a group within the fleet.
type Group uint32

// StateMachine is what the commands of a group act on. It has to be deterministic.
type StateMachine interface {
	// Apply carries out a command and returns its result.
	Apply(index uint64, command []byte) any
	// MembersChanged reports the members of the group after a change, with the context of that
	// change.
	MembersChanged(index uint64, context []byte, conf *raftpb.ConfState)
	// Snapshot returns the whole state, Restore replaces the state by it.
	Snapshot() []byte
	Restore(state []byte) error
}

// PersistedGroup is what a disk holds of a group.
type PersistedGroup struct {
	HardState *raftpb.HardState // nil: none
	Snapshot  *raftpb.Snapshot  // nil: none
	Entries   []*raftpb.Entry   // after the snapshot
}

// LogRecord is one change of what a disk holds of a group. The snapshot replaces everything up to its
// index; then the entries replace everything from the first of them on.
type LogRecord struct {
	Group    Group
	Snapshot *raftpb.Snapshot
	// LocalSnapshot reports that the snapshot was made here: entries after it stay.
	LocalSnapshot bool
	Entries       []*raftpb.Entry
	HardState     *raftpb.HardState
}

// Batch is to be made durable as a whole, before Node.Persisted is called with its ID. There is one
// batch at a time.
type Batch struct {
	ID      uint64
	Records []LogRecord

	writes []pendingWrite
}

// Envelope is a message to another replica.
type Envelope struct {
	Group   Group
	To      uint64
	Message *raftpb.Message
}

// Result is the result of a command that this node proposed.
type Result struct {
	Group Group
	ID    uint64 // as given to Propose
	Index uint64
	Value any
}

// ReadIndex confirms that this node was the leader when the index was requested, and that everything
// up to Index was committed then: whoever has applied as much sees the state as of then.
type ReadIndex struct {
	Group Group
	ID    uint64 // as given to RequestReadIndex
	Index uint64
}

// LeaderChange is a change of a group's leader as seen by this node.
type LeaderChange struct {
	Group  Group
	Leader uint64 // replica; 0: none is known
	Term   uint64
	IsSelf bool // this node leads
}

// Output is what a Node wants done.
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
	// ErrLogContradiction is why a node stops whose log is not what the others know of it.
	ErrLogContradiction = errors.New("the log contradicts itself")
)

// libraryLog takes the log of the Raft library, which is discarded: what matters is reported as a
// LeaderChange.
var libraryLog = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

// EnableDebugLog writes the log of the Raft library to slog, if that has debugging enabled.
func EnableDebugLog() {
	if slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		libraryLog.Logger = slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug)
	}
}

// BootstrapState returns what the first replica of a new group starts with: the members and the state
// that all begin with.
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
