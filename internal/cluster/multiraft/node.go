package multiraft

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// Node contains the replicas of all groups in one process. It is not safe for concurrent use.
type Node struct {
	id      uint64
	rng     *rand.Rand
	groups  map[Group]*group
	order   []Group // sorted keys of groups
	out     Output
	pending []pendingWrite // writes for the next batch
	// pendingBytes is the size of the entries in pending.
	pendingBytes int
	writing      *Batch // batch being written, or nil
	lastBatch    uint64 // ID of the last batch
	halted       error
}

// pendingWrite is a record, and the messages that may be delivered once the record is durable.
type pendingWrite struct {
	group     *group
	responses []*raftpb.Message
	record    LogRecord
}

// New returns a Node without groups for the replica with the given ID, which must not be 0.
func New(id, seed uint64) *Node {
	return &Node{id: id, rng: rand.New(rand.NewPCG(seed, id)), groups: map[Group]*group{}}
}

// Add starts a group from its persisted state. For a replica that waits to be added by a leader, that is
// the zero value.
func (n *Node) Add(id Group, from PersistedGroup, m StateMachine) error {
	if n.groups[id] != nil {
		return fmt.Errorf("group %d already exists", id)
	}
	g, err := newGroup(id, n.id, from, m)
	if err != nil {
		return err
	}
	n.resetElectionTimer(g)
	n.groups[id] = g
	n.order = append(n.order, id)
	slices.Sort(n.order)
	return nil
}

// Bootstrap persists the initial state of a group that was added with the result of BootstrapState.
func (n *Node) Bootstrap(id Group) {
	g := n.groups[id]
	s, _ := g.storage.MemoryStorage.Snapshot()
	hard, _, _ := g.storage.InitialState()
	n.pending = append(n.pending, pendingWrite{group: g, record: LogRecord{Group: id, Snapshot: s, LocalSnapshot: true, HardState: hard}})
	n.resetElectionTimer(g)
	g.electionTimeout = 1 // no other replica can start an election yet
}

func (n *Node) resetElectionTimer(g *group) {
	g.ticksSinceLeader, g.electionTimeout = 0, ElectionTicks+n.rng.IntN(ElectionTicks)
}

// Halt stops all groups permanently. Nothing is sent, accepted or written afterwards.
func (n *Node) Halt(reason error) {
	if n.halted == nil {
		n.halted, n.out = reason, Output{}
		n.pending, n.writing = nil, nil
	}
}

// Halted returns the reason why the node has stopped, or nil while it runs.
func (n *Node) Halted() error { return n.halted }

// haltOnPanic recovers from a panic and stops the node. The Raft library panics if it finds an inconsistent
// log; the process must continue without the node.
func (n *Node) haltOnPanic() {
	if x := recover(); x != nil {
		n.Halt(fmt.Errorf("%w: %v", ErrInconsistentLog, x))
	}
}

// Tick advances the timers of all groups by one tick.
func (n *Node) Tick() {
	defer n.haltOnPanic()
	for _, id := range n.order {
		if n.halted != nil {
			return
		}
		n.tick(n.groups[id])
	}
}

func (n *Node) tick(g *group) {
	if g.isLeader() {
		g.raw.Tick()
		return
	}
	g.raw.TickQuiesced() // does not start an election by the library's own timeout
	g.ticksSinceLeader++
	if g.ticksSinceLeader >= g.electionTimeout {
		n.resetElectionTimer(g)
		if slices.Contains(g.conf.GetVoters(), n.id) || slices.Contains(g.conf.GetVotersOutgoing(), n.id) {
			g.raw.Campaign()
		}
	}
	n.reportChanges(g)
}

// Step handles a message from another replica.
func (n *Node) Step(id Group, m *raftpb.Message) {
	defer n.haltOnPanic()
	g := n.groups[id]
	if n.halted != nil || g == nil || m.GetTo() != n.id || raft.IsLocalMsg(m.GetType()) || raft.IsLocalMsgTarget(m.GetFrom()) {
		return // addressed to a former disk of this gateway, or to a group that does not exist here
	}
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgSnap:
		if n.pendingBytes > maxPendingBytes {
			return
		}
		fallthrough
	case raftpb.MsgHeartbeat:
		if m.GetTerm() >= g.term {
			n.resetElectionTimer(g)
		}
	case raftpb.MsgProp, raftpb.MsgReadIndex, raftpb.MsgReadIndexResp:
		return // never sent between replicas, as proposals and reads are not forwarded
	}
	g.raw.Step(m) // an error is ignored: a message that can't be processed is dropped
	n.reportChanges(g)
}

// reportChanges reports a change of the group's leader.
func (n *Node) reportChanges(g *group) {
	st := g.raw.BasicStatus()
	if st.RaftState == raft.StateFollower && g.state != raft.StateFollower {
		n.resetElectionTimer(g)
	}
	wonOrLost := st.RaftState != g.state && (st.RaftState == raft.StateLeader || g.state == raft.StateLeader)
	changed := st.Lead != g.leader || wonOrLost
	g.leader, g.state, g.term = st.Lead, st.RaftState, st.HardState.GetTerm()
	if !changed {
		return
	}
	if !g.isLeader() {
		clear(g.proposed) // the results of these commands will not be known to this node
	}
	n.out.LeaderChanges = append(n.out.LeaderChanges, LeaderChange{g.id, g.leader, g.term, g.isLeader()})
}

// ledGroup returns a group, or an error if this node does not lead it.
func (n *Node) ledGroup(id Group) (*group, error) {
	g := n.groups[id]
	switch {
	case n.halted != nil || g == nil:
		return nil, ErrHalted
	case !g.isLeader():
		return nil, ErrNotLeader
	}
	return g, nil
}

// Propose proposes a command to a group that this node leads. The command ID is returned in the Result and
// must be unique. If this node loses leadership before the command is applied, there is no Result, and it
// is unknown whether the command will be applied.
func (n *Node) Propose(id Group, commandID uint64, command []byte) (err error) {
	defer n.haltOnPanic()
	g, err := n.ledGroup(id)
	if err != nil {
		return err
	}
	if err := g.raw.Propose(append(commandHeader(n.id, commandID), command...)); err != nil {
		return err
	}
	g.proposed[commandID] = struct{}{}
	return nil
}

// RequestReadIndex requests confirmation from a quorum that this node leads, see ReadIndex.
func (n *Node) RequestReadIndex(id Group, readID uint64) error {
	defer n.haltOnPanic()
	g, err := n.ledGroup(id)
	if err != nil {
		return err
	}
	g.raw.ReadIndex(commandHeader(n.id, readID))
	return nil
}

// ChangeMembers proposes a change of a group's members, which uses joint consensus if more than one member
// changes. The context of the change is passed to the state machines. A change is rejected while another
// one is in progress.
func (n *Node) ChangeMembers(id Group, cc *raftpb.ConfChangeV2) error {
	defer n.haltOnPanic()
	g, err := n.ledGroup(id)
	if err != nil {
		return err
	}
	return g.raw.ProposeConfChange(cc)
}

// TransferLeadership transfers leadership of a group to another replica, if the replica is up to date.
func (n *Node) TransferLeadership(id Group, to uint64) {
	defer n.haltOnPanic()
	if g, err := n.ledGroup(id); err == nil {
		g.raw.TransferLeader(to)
		n.reportChanges(g)
	}
}

// Unreachable reports that messages to a replica can't be delivered.
func (n *Node) Unreachable(to uint64) {
	n.eachLedGroup(func(g *group) { g.raw.ReportUnreachable(to) })
}

// SnapshotSent reports whether a snapshot has reached a replica.
func (n *Node) SnapshotSent(to uint64, ok bool) {
	status := raft.SnapshotFailure
	if ok {
		status = raft.SnapshotFinish
	}
	n.eachLedGroup(func(g *group) { g.raw.ReportSnapshot(to, status) })
}

// eachLedGroup calls do for every group that this node leads.
func (n *Node) eachLedGroup(do func(*group)) {
	defer n.haltOnPanic()
	for _, id := range n.order {
		if g, err := n.ledGroup(id); err == nil {
			do(g)
		}
	}
}

// Persisted reports that a batch is durable.
func (n *Node) Persisted(batch uint64) {
	defer n.haltOnPanic()
	if n.halted != nil || n.writing == nil || n.writing.ID != batch {
		return
	}
	b := n.writing
	n.writing = nil
	for i := range b.writes {
		w := &b.writes[i]
		if err := w.group.persisted(&w.record); err != nil {
			n.Halt(err)
			return
		}
		for _, m := range w.responses {
			n.deliver(w.group, m)
		}
		n.reportChanges(w.group)
	}
}

// persisted updates the group's storage with a record that is now durable.
func (g *group) persisted(r *LogRecord) error {
	if s := r.Snapshot; s != nil && !r.LocalSnapshot && g.storage.ApplySnapshot(s) == nil {
		if err := g.restore(s); err != nil {
			return err
		}
		g.uncompactedBytes = 0
	}
	if len(r.Entries) > 0 {
		g.storage.Append(r.Entries)
	}
	if r.HardState != nil {
		g.storage.SetHardState(r.HardState)
	}
	return nil
}

// deliver delivers a message that had to wait for a write or for applied entries, to another replica or to
// this one.
func (n *Node) deliver(g *group, m *raftpb.Message) {
	if m.GetTo() == n.id {
		g.raw.Step(m)
		return
	}
	n.out.Messages = append(n.out.Messages, Envelope{g.id, m.GetTo(), m})
}

// TakeOutput returns the pending output and clears it.
func (n *Node) TakeOutput() Output {
	n.collect()
	out := n.out
	n.out = Output{}
	return out
}

// collect processes the Ready structs of all groups, and starts the next batch if none is in progress.
func (n *Node) collect() {
	defer n.haltOnPanic()
	for again := true; again && n.halted == nil; {
		again = false
		for _, id := range n.order {
			g := n.groups[id]
			for n.halted == nil && g.raw.HasReady() {
				n.processReady(g)
				again = true
			}
		}
	}
	if n.halted != nil || n.writing != nil || len(n.pending) == 0 {
		return
	}
	n.lastBatch++
	b := &Batch{ID: n.lastBatch, writes: n.pending}
	n.pending, n.pendingBytes = nil, 0
	for i := range b.writes {
		b.Records = append(b.Records, b.writes[i].record)
	}
	n.writing, n.out.Write = b, b
}

// processReady processes the next Ready struct of a group.
func (n *Node) processReady(g *group) {
	rd := g.raw.Ready()
	for _, s := range rd.ReadStates {
		if replica, id, _, ok := splitCommand(s.RequestCtx); ok && replica == n.id {
			n.out.ReadIndexes = append(n.out.ReadIndexes, ReadIndex{g.id, id, s.Index})
		}
	}
	for _, m := range rd.Messages {
		switch m.GetTo() {
		case raft.LocalAppendThread:
			n.addWrite(g, m)
		case raft.LocalApplyThread:
			n.apply(g, m.GetEntries())
			for _, r := range m.GetResponses() {
				n.deliver(g, r)
			}
		default:
			if m.GetType() == raftpb.MsgHeartbeat {
				g.addPersistedState(m)
			}
			n.out.Messages = append(n.out.Messages, Envelope{g.id, m.GetTo(), m})
		}
	}
	n.reportChanges(g)
}

// addWrite adds a storage write that the Raft library requests to the next batch.
func (n *Node) addWrite(g *group, m *raftpb.Message) {
	w := pendingWrite{group: g, responses: m.GetResponses(), record: LogRecord{Group: g.id, Entries: m.GetEntries()}}
	if m.Term != nil && m.Commit != nil {
		w.record.HardState = &raftpb.HardState{Term: new(m.GetTerm()), Vote: new(m.GetVote()), Commit: new(m.GetCommit())}
	}
	if s := m.GetSnapshot(); !raft.IsEmptySnap(s) {
		w.record.Snapshot = s
	}
	n.pendingBytes += proto.Size(m)
	n.pending = append(n.pending, w)
}

// apply applies committed entries.
func (n *Node) apply(g *group, entries []*raftpb.Entry) {
	for _, e := range entries {
		if e.GetIndex() <= g.applied {
			continue
		}
		g.applied = e.GetIndex()
		g.uncompactedBytes += len(e.GetData()) + commandHeaderBytes
		switch e.GetType() {
		case raftpb.EntryConfChange, raftpb.EntryConfChangeV2:
			g.applyConfChange(e)
		default:
			n.applyCommand(g, e)
		}
	}
	if g.uncompactedBytes < compactThreshold {
		return
	}
	if s, ok := g.compact(); ok {
		n.pending = append(n.pending, pendingWrite{group: g, record: LogRecord{Group: g.id, Snapshot: s, LocalSnapshot: true}})
	}
}

func (n *Node) applyCommand(g *group, e *raftpb.Entry) {
	replica, id, command, ok := splitCommand(e.GetData())
	if !ok {
		return
	}
	value := g.machine.Apply(e.GetIndex(), command)
	if _, mine := g.proposed[id]; mine && replica == n.id {
		delete(g.proposed, id)
		n.out.Results = append(n.out.Results, Result{g.id, id, e.GetIndex(), value})
	}
}

// Status is the status of a group on this node.
type Status struct {
	Leader, Term, Commit, Applied uint64
	// PersistedTerm and LastIndex are the term and the last log index that are persisted.
	PersistedTerm, LastIndex uint64
	IsLeader                 bool
	Conf                     *raftpb.ConfState
	// Match is the highest log index that each replica is known to have stored. It is set only at the leader.
	Match map[uint64]uint64
}

// Status returns the status of a group. It reports false if the group does not exist on this node.
func (n *Node) Status(id Group) (s Status, ok bool) {
	g := n.groups[id]
	if g == nil {
		return s, false
	}
	st := g.raw.BasicStatus()
	last, _ := g.storage.LastIndex()
	hard, _, _ := g.storage.InitialState()
	s = Status{
		Leader: st.Lead, Term: st.HardState.GetTerm(), Commit: st.HardState.GetCommit(), Applied: g.applied,
		PersistedTerm: hard.GetTerm(), LastIndex: last, IsLeader: g.isLeader() && n.halted == nil, Conf: g.conf,
	}
	if s.IsLeader {
		s.Match = map[uint64]uint64{}
		g.raw.WithProgress(func(id uint64, _ raft.ProgressType, p tracker.Progress) { s.Match[id] = p.Match })
	}
	return s, true
}
