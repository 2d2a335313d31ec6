package multiraft

import (
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"dunemoor/internal/cluster/failpoint"
)

// group is this node's replica of one Raft group.
type group struct {
	id      Group
	raw     *raft.RawNode
	storage storage
	machine StateMachine
	conf    *raftpb.ConfState
	applied uint64
	// uncompactedBytes is the size of the entries applied since the log was last compacted.
	uncompactedBytes int

	// State of the election timer.
	ticksSinceLeader int
	electionTimeout  int // in ticks

	// Status of the group as last read by reportChanges.
	leader uint64
	state  raft.StateType
	term   uint64

	proposed map[uint64]struct{} // IDs of pending commands that this node proposed as the leader
}

// storage is the persisted part of the log. A snapshot for another replica is created when it is sent: an
// older one may not list that replica as a member, and the replica would ignore it.
type storage struct {
	*raft.MemoryStorage
	g *group
}

// Snapshot implements raft.Storage.
func (s storage) Snapshot() (*raftpb.Snapshot, error) {
	term, err := s.Term(s.g.applied)
	if err != nil {
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	conf := proto.Clone(s.g.conf).(*raftpb.ConfState)
	return &raftpb.Snapshot{
		Data:     s.g.machine.Snapshot(),
		Metadata: &raftpb.SnapshotMetadata{ConfState: conf, Index: new(s.g.applied), Term: new(term)},
	}, nil
}

// newGroup starts a group from its persisted state.
func newGroup(id Group, replica uint64, from PersistedGroup, m StateMachine) (*group, error) {
	g := &group{id: id, machine: m, conf: &raftpb.ConfState{}, proposed: map[uint64]struct{}{}}
	g.storage = storage{raft.NewMemoryStorage(), g}
	if from.Snapshot != nil {
		if err := g.storage.ApplySnapshot(from.Snapshot); err != nil {
			return nil, err
		}
		if err := g.restore(from.Snapshot); err != nil {
			return nil, err
		}
	}
	if err := g.storage.Append(from.Entries); err != nil {
		return nil, err
	}
	if from.HardState != nil {
		// All entries up to the snapshot are committed.
		if from.HardState.GetCommit() < g.applied {
			from.HardState.Commit = new(g.applied)
		}
		g.storage.SetHardState(from.HardState)
	}
	var err error
	g.raw, err = raft.NewRawNode(&raft.Config{
		ID: replica, ElectionTick: ElectionTicks, HeartbeatTick: HeartbeatTicks, Storage: g.storage, Applied: g.applied,
		AsyncStorageWrites: true, MaxSizePerMsg: maxMessageBytes, MaxUncommittedEntriesSize: maxUncommittedBytes,
		MaxInflightMsgs: maxInflightMessages, MaxInflightBytes: maxInflightBytes,
		CheckQuorum: !failpoint.Enabled(failpoint.SkipCheckQuorum), PreVote: !failpoint.Enabled(failpoint.SkipPreVote),
		StepDownOnRemoval: true, DisableProposalForwarding: true, Logger: raftLogger,
	})
	return g, err
}

// restore replaces the state with that of a snapshot.
func (g *group) restore(s *raftpb.Snapshot) error {
	if err := g.machine.Restore(s.GetData()); err != nil {
		return fmt.Errorf("group %d: restore snapshot: %w", g.id, err)
	}
	g.conf, g.applied = s.GetMetadata().GetConfState(), s.GetMetadata().GetIndex()
	return nil
}

func (g *group) isLeader() bool { return g.state == raft.StateLeader }

// applyConfChange applies a change of the group's members.
func (g *group) applyConfChange(e *raftpb.Entry) {
	if e.GetType() == raftpb.EntryConfChange {
		var cc raftpb.ConfChange
		mustUnmarshal(e.GetData(), &cc)
		g.conf = g.raw.ApplyConfChange(&cc)
		g.machine.MembersChanged(e.GetIndex(), cc.GetContext(), g.conf)
		return
	}
	var cc raftpb.ConfChangeV2
	mustUnmarshal(e.GetData(), &cc)
	g.conf = g.raw.ApplyConfChange(&cc)
	g.machine.MembersChanged(e.GetIndex(), cc.GetContext(), g.conf)
}

// mustUnmarshal decodes a committed entry. It panics if that fails, as the log is then corrupt.
func mustUnmarshal(b []byte, m proto.Message) {
	if err := proto.Unmarshal(b, m); err != nil {
		panic(err)
	}
}

// compact creates a snapshot and compacts the log. It reports false if a newer snapshot exists.
func (g *group) compact() (s *raftpb.Snapshot, ok bool) {
	g.uncompactedBytes = 0
	s, err := g.storage.CreateSnapshot(g.applied, g.conf, g.machine.Snapshot())
	if err != nil {
		return nil, false
	}
	if first, err := g.storage.FirstIndex(); err == nil && g.applied > first+retainedEntries {
		g.storage.Compact(g.applied - retainedEntries)
	}
	return s, true
}

// addPersistedState sets the last persisted index of the leader's own disk in its heartbeat. It uses the
// field Index, which the Raft library leaves unused in heartbeats. The other replicas record the index, and
// use it to detect whether the leader's disk is later replaced by an older copy.
func (g *group) addPersistedState(heartbeat *raftpb.Message) {
	hard, _, _ := g.storage.InitialState()
	if last, err := g.storage.LastIndex(); err == nil && hard.GetTerm() == heartbeat.GetTerm() {
		heartbeat.Index = new(last)
	}
}
