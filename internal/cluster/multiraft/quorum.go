// Package quorum keeps replicated logs: any number of groups in one node, each a Raft group with
// a machine that its committed commands are applied to. It does no I/O and reads no clock: ticks,
// messages and finished writes come in as calls, and what is to be written, sent and told comes
// out of Drain. The algorithm is the library's; elections are timed here, as the library draws
// its timeouts from the system's randomness and a simulation has to repeat itself.
package multiraft

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"math/rand/v2"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"

	"dunemoor/internal/cluster/failpoint"
)

// Bounds of a group.
const (
	// ElectionTicks is how long a follower hears nothing before it asks for votes, at least; up
	// to twice as long, by chance. A leader that hears no quorum for as long steps down.
	ElectionTicks = 10
	// HeartbeatTicks lie between two heartbeats: five may be lost.
	HeartbeatTicks = 2
	// entriesMost bounds the entries of one message, and of one read of the log.
	maxMessageBytes = 256 << 10
	// uncommittedMost bounds what a leader takes on before a quorum has it: beyond, proposals
	// are turned away.
	maxUncommittedBytes = 4 << 20
	// inflightMost bounds what is out to one follower without its word.
	maxInflightMessages = 64
	maxInflightBytes    = 2 << 20
	// pendingBytes bounds what waits for the disk while a write is out; a replica that is over
	// it takes no further entries from its leader, who sends them again.
	maxPendingBytes = 8 << 20
	// compactBytes is how much of the log is applied before it is cut; keepEntries of it stay,
	// so that one who is a little behind needs no snapshot.
	compactThreshold = 1 << 20
	retainedEntries  = 256
)

// Group numbers a group within the fleet.
type Group uint32

// Machine is what a group's commands act on. Same commands, same state, everywhere.
type StateMachine interface {
	// Apply carries out a command and returns what came of it.
	Apply(index uint64, command []byte) any
	// Changed tells of the members of the group behind a change, with what came with it.
	MembersChanged(index uint64, with []byte, conf *pb.ConfState)
	// Snapshot is the whole state as bytes, Restore takes it back.
	Snapshot() []byte
	Restore(state []byte) error
}

// Stored is what a disk holds of a group.
type PersistedGroup struct {
	HardState *pb.HardState // nil: none
	Snapshot  *pb.Snapshot  // nil: none
	Entries   []*pb.Entry   // behind the snapshot
}

// Record is one change of what a disk holds of a group, in this order: the snapshot takes the
// place of all up to its index, the entries that of all from their first on.
type LogRecord struct {
	Group    Group
	Snapshot *pb.Snapshot
	// Ours says that the snapshot was made here: entries behind it stay.
	Local     bool
	Entries   []*pb.Entry
	HardState *pb.HardState
}

// Batch is what is to be written and made to last, all or nothing of it being told. One is out at
// a time.
type Batch struct {
	ID      uint64
	Records []LogRecord

	replies []reply
}

type reply struct {
	group *group
	msgs  []*pb.Message
	rec   LogRecord
}

// Envelope is a message to another replica.
type Envelope struct {
	Group   Group
	To      uint64
	Message *pb.Message
}

// Result is what came of a command of this node.
type Result struct {
	Group Group
	ID    uint64 // as given to Propose
	Index uint64
	Value any
}

// Read says that all up to Index was committed when it was asked for: a reader that has applied
// as much sees the state as of then.
type ReadIndex struct {
	Group Group
	ID    uint64
	Index uint64
}

// Turn is a change of a group's leader as seen here.
type LeaderChange struct {
	Group  Group
	Leader uint64 // 0: none is known
	Term   uint64
	IsSelf bool // we lead
}

// Out is what a node wants done.
type Output struct {
	Write         *Batch
	Messages      []Envelope
	Results       []Result
	ReadIndexes   []ReadIndex
	LeaderChanges []LeaderChange
}

// Node is one gateway's replicas. It is used by one goroutine.
type Node struct {
	id      uint64
	rng     *rand.Rand
	groups  map[Group]*group
	order   []Group
	out     Output
	waiting []reply // for the write that is out
	bytes   int     // of entries in waiting
	writing *Batch
	batch   uint64
	halted  error
}

type group struct {
	id       Group
	raw      *raft.RawNode
	store    storage
	machine  StateMachine
	conf     *pb.ConfState
	applied  uint64
	since    int // bytes applied since the last snapshot
	elapsed  int // ticks since a leader was heard
	timeout  int
	lead     uint64
	state    raft.StateType
	term     uint64
	proposed map[uint64]uint64 // id by number of the command, of what we proposed
}

// storage is the log as it lasts. The snapshot for a replica is made when one is to be sent: one
// from before may not know that the replica is a member, and would not be taken.
type storage struct {
	*raft.MemoryStorage
	g *group
}

// Snapshot is of raft.Storage.
func (s storage) Snapshot() (*pb.Snapshot, error) {
	term, err := s.Term(s.g.applied)
	if err != nil {
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	return &pb.Snapshot{
		Data:     s.g.machine.Snapshot(),
		Metadata: &pb.SnapshotMetadata{ConfState: proto.Clone(s.g.conf).(*pb.ConfState), Index: new(s.g.applied), Term: new(term)},
	}, nil
}

// ErrHalted is what a node answers that has stopped.
var ErrHalted = errors.New("the replica has stopped")

// ErrNotLeader is the answer of a replica that does not lead.
var ErrNotLeader = errors.New("this replica does not lead")

// New returns a Node for the replica id; 0 is none.
func New(id, seed uint64) *Node {
	return &Node{id: id, rng: rand.New(rand.NewPCG(seed, id)), groups: map[Group]*group{}}
}

// quiet takes what the library logs: what matters is told in Turns.
var quiet = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

// Chatty has the library's log go to slog, as debugging.
func EnableDebugLog() {
	if slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		quiet.Logger = slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug)
	}
}

// Add brings a group up from what the disk holds of it; nothing for a replica that waits for a
// leader to bring it in.
func (n *Node) Add(id Group, from PersistedGroup, m StateMachine) error {
	if n.groups[id] != nil {
		return fmt.Errorf("group %d is there", id)
	}
	g := &group{id: id, machine: m, conf: &pb.ConfState{}, proposed: map[uint64]uint64{}}
	g.store = storage{raft.NewMemoryStorage(), g}
	if s := from.Snapshot; s != nil {
		if err := g.store.ApplySnapshot(s); err != nil {
			return err
		}
		if err := m.Restore(s.GetData()); err != nil {
			return fmt.Errorf("group %d: snapshot: %w", id, err)
		}
		g.conf, g.applied = s.GetMetadata().GetConfState(), s.GetMetadata().GetIndex()
	}
	if err := g.store.Append(from.Entries); err != nil {
		return err
	}
	if from.HardState != nil {
		// What is behind the snapshot is committed at least up to it.
		if from.HardState.GetCommit() < g.applied {
			from.HardState.Commit = new(g.applied)
		}
		g.store.SetHardState(from.HardState)
	}
	var err error
	g.raw, err = raft.NewRawNode(&raft.Config{
		ID: n.id, ElectionTick: ElectionTicks, HeartbeatTick: HeartbeatTicks, Storage: g.store, Applied: g.applied,
		AsyncStorageWrites: true, MaxSizePerMsg: maxMessageBytes, MaxUncommittedEntriesSize: maxUncommittedBytes,
		MaxInflightMsgs: maxInflightMessages, MaxInflightBytes: maxInflightBytes,
		CheckQuorum: !failpoint.Enabled(failpoint.SkipCheckQuorum), PreVote: !failpoint.Enabled(failpoint.SkipPreVote), StepDownOnRemoval: true, DisableProposalForwarding: true, Logger: quiet,
	})
	if err != nil {
		return err
	}
	n.rest(g)
	n.groups[id] = g
	n.order = append(n.order, id)
	slices.Sort(n.order)
	return nil
}

// Founding is what the founder of a group has on disk at first: its members, and the state that
// all begin with.
func BootstrapState(voters []uint64, state []byte) PersistedGroup {
	conf := &pb.ConfState{Voters: slices.Sorted(slices.Values(voters))}
	return PersistedGroup{
		HardState: &pb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))},
		Snapshot:  &pb.Snapshot{Data: state, Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: new(uint64(1)), Term: new(uint64(1))}},
	}
}

// rest begins the wait for a leader anew.
func (n *Node) rest(g *group) {
	g.elapsed, g.timeout = 0, ElectionTicks+n.rng.IntN(ElectionTicks)
}

// Halt ends all replicas here, for good: nothing is sent, taken or written from now on.
func (n *Node) Halt(why error) {
	if n.halted == nil {
		n.halted, n.out = why, Output{}
		n.waiting, n.writing = nil, nil
	}
}

// Halted says why the node has stopped; nil while it has not.
func (n *Node) Halted() error { return n.halted }

// ErrContradicts is of a replica whose log is not what the others know of it.
var ErrLogContradiction = errors.New("the log contradicts itself")

// guard keeps a fault of the library, which panics where a log contradicts itself, to the
// replicas: the gateway serves on.
func (n *Node) guard() {
	if x := recover(); x != nil {
		n.Halt(fmt.Errorf("%w: %v", ErrLogContradiction, x))
	}
}

// Tick is the passing of one tick.
func (n *Node) Tick() {
	defer n.guard()
	for _, id := range n.order {
		g := n.groups[id]
		if n.halted != nil {
			return
		}
		if g.state == raft.StateLeader {
			g.raw.Tick()
			continue
		}
		// The library would draw a timeout of its own: it is told of the time only.
		g.raw.TickQuiesced()
		if g.elapsed++; g.elapsed >= g.timeout {
			n.rest(g)
			if slices.Contains(g.conf.GetVoters(), n.id) || slices.Contains(g.conf.GetVotersOutgoing(), n.id) {
				g.raw.Campaign()
			}
		}
		n.look(g)
	}
}

// Step takes a message of another replica.
func (n *Node) Step(id Group, m *pb.Message) {
	defer n.guard()
	g := n.groups[id]
	if n.halted != nil || g == nil || m.GetTo() != n.id || raft.IsLocalMsg(m.GetType()) || raft.IsLocalMsgTarget(m.GetFrom()) {
		return // of another disk of ours, or of a group that we have not
	}
	switch m.GetType() {
	case pb.MsgApp, pb.MsgSnap:
		if n.bytes > maxPendingBytes {
			return
		}
		fallthrough
	case pb.MsgHeartbeat:
		if m.GetTerm() >= g.term {
			n.rest(g)
		}
	case pb.MsgProp, pb.MsgReadIndex, pb.MsgReadIndexResp:
		return // asked for at the leader by other means
	}
	g.raw.Step(m) // what it can't use it drops
	n.look(g)
}

// look takes note of a change of leader, term or state.
func (n *Node) look(g *group) {
	st := g.raw.BasicStatus()
	if st.RaftState == raft.StateFollower && g.state != raft.StateFollower {
		n.rest(g)
	}
	turned := st.Lead != g.lead || st.RaftState != g.state && (st.RaftState == raft.StateLeader || g.state == raft.StateLeader)
	g.lead, g.state, g.term = st.Lead, st.RaftState, st.HardState.GetTerm()
	if turned {
		if g.state != raft.StateLeader {
			clear(g.proposed) // what becomes of them is not known here
		}
		n.out.LeaderChanges = append(n.out.LeaderChanges, LeaderChange{g.id, g.lead, g.term, g.state == raft.StateLeader})
	}
}

// commandHead is what stands before a command: the proposer's number for it and its replica, so
// that who proposed knows its own. 16 bytes.
func commandHead(replica, id uint64) []byte {
	b := make([]byte, 16, 256)
	for i := range 8 {
		b[i], b[8+i] = byte(replica>>(8*i)), byte(id>>(8*i))
	}
	return b
}

func readHead(b []byte) (replica, id uint64, rest []byte, ok bool) {
	if len(b) < 16 {
		return 0, 0, nil, false
	}
	for i := range 8 {
		replica, id = replica|uint64(b[i])<<(8*i), id|uint64(b[8+i])<<(8*i)
	}
	return replica, id, b[16:], true
}

// Propose has a command appended, where we lead; its Result carries the id, which is not used
// twice. No Result comes where the lead is lost meanwhile: whether it took effect is not known.
func (n *Node) Propose(id Group, number uint64, command []byte) (err error) {
	defer n.guard()
	g := n.groups[id]
	if n.halted != nil || g == nil {
		return ErrHalted
	}
	if g.state != raft.StateLeader {
		return ErrNotLeader
	}
	if err := g.raw.Propose(append(commandHead(n.id, number), command...)); err != nil {
		return err
	}
	g.proposed[number] = 0
	return nil
}

// Read asks up to where the log is committed, confirmed by a quorum from now on.
func (n *Node) RequestReadIndex(id Group, number uint64) error {
	defer n.guard()
	g := n.groups[id]
	if n.halted != nil || g == nil {
		return ErrHalted
	}
	if g.state != raft.StateLeader {
		return ErrNotLeader
	}
	g.raw.ReadIndex(commandHead(n.id, number))
	return nil
}

// Change has the members of a group changed, jointly where more than one changes; with goes to
// the machines beside it. One is under way at a time: another is refused.
func (n *Node) ChangeMembers(id Group, cc *pb.ConfChangeV2) error {
	defer n.guard()
	g := n.groups[id]
	if n.halted != nil || g == nil {
		return ErrHalted
	}
	if g.state != raft.StateLeader {
		return ErrNotLeader
	}
	return g.raw.ProposeConfChange(cc)
}

// Transfer hands the lead to another replica, if that is up to date.
func (n *Node) TransferLeadership(id Group, to uint64) {
	defer n.guard()
	if g := n.groups[id]; n.halted == nil && g != nil && g.state == raft.StateLeader {
		g.raw.TransferLeader(to)
		n.look(g)
	}
}

// Lost tells that messages to a replica can't be delivered, or that a snapshot to it was not.
func (n *Node) Unreachable(to uint64, snapshot bool) {
	defer n.guard()
	for _, id := range n.order {
		g := n.groups[id]
		if n.halted != nil || g.state != raft.StateLeader {
			continue
		}
		if snapshot {
			g.raw.ReportSnapshot(to, raft.SnapshotFailure)
		} else {
			g.raw.ReportUnreachable(to)
		}
	}
}

// Delivered tells that a snapshot has reached a replica whole.
func (n *Node) SnapshotSent(to uint64) {
	defer n.guard()
	for _, id := range n.order {
		if g := n.groups[id]; n.halted == nil && g.state == raft.StateLeader {
			g.raw.ReportSnapshot(to, raft.SnapshotFinish)
		}
	}
}

// Written tells that a batch will last.
func (n *Node) Persisted(id uint64) {
	defer n.guard()
	if n.halted != nil || n.writing == nil || n.writing.ID != id {
		return
	}
	b := n.writing
	n.writing = nil
	for i := range b.replies {
		r := &b.replies[i]
		if s := r.rec.Snapshot; s != nil && !r.rec.Local {
			if r.group.store.ApplySnapshot(s) == nil {
				if err := r.group.machine.Restore(s.GetData()); err != nil {
					n.Halt(fmt.Errorf("group %d: snapshot: %w", r.group.id, err))
					return
				}
				r.group.conf, r.group.applied, r.group.since = s.GetMetadata().GetConfState(), s.GetMetadata().GetIndex(), 0
			}
		}
		if len(r.rec.Entries) > 0 {
			r.group.store.Append(r.rec.Entries)
		}
		if r.rec.HardState != nil {
			r.group.store.SetHardState(r.rec.HardState)
		}
		for _, m := range r.msgs {
			n.deliver(r.group, m)
		}
		n.look(r.group)
	}
}

// deliver passes on what was to wait for a write or for being applied.
func (n *Node) deliver(g *group, m *pb.Message) {
	if m.GetTo() == n.id {
		g.raw.Step(m)
		return
	}
	n.out.Messages = append(n.out.Messages, Envelope{g.id, m.GetTo(), m})
}

// Drain takes what is to be done.
func (n *Node) TakeOutput() Output {
	n.collect()
	out := n.out
	n.out = Output{}
	return out
}

func (n *Node) collect() {
	defer n.guard()
	for again := true; again && n.halted == nil; {
		again = false
		for _, id := range n.order {
			g := n.groups[id]
			for n.halted == nil && g.raw.HasReady() {
				n.ready(g)
				again = true
			}
		}
	}
	if n.halted != nil || n.writing != nil || len(n.waiting) == 0 {
		return
	}
	n.batch++
	b := &Batch{ID: n.batch, replies: n.waiting}
	n.waiting, n.bytes = nil, 0
	for i := range b.replies {
		b.Records = append(b.Records, b.replies[i].rec)
	}
	n.writing, n.out.Write = b, b
}

func (n *Node) ready(g *group) {
	rd := g.raw.Ready()
	for _, s := range rd.ReadStates {
		if replica, id, _, ok := readHead(s.RequestCtx); ok && replica == n.id {
			n.out.ReadIndexes = append(n.out.ReadIndexes, ReadIndex{g.id, id, s.Index})
		}
	}
	for _, m := range rd.Messages {
		switch m.GetTo() {
		case raft.LocalAppendThread:
			r := reply{group: g, msgs: m.GetResponses(), rec: LogRecord{Group: g.id, Entries: m.GetEntries()}}
			if m.Term != nil && m.Commit != nil {
				r.rec.HardState = &pb.HardState{Term: new(m.GetTerm()), Vote: new(m.GetVote()), Commit: new(m.GetCommit())}
			}
			if s := m.GetSnapshot(); !raft.IsEmptySnap(s) {
				r.rec.Snapshot = s
			}
			n.bytes += proto.Size(m)
			n.waiting = append(n.waiting, r)
		case raft.LocalApplyThread:
			n.apply(g, m.GetEntries())
			for _, r := range m.GetResponses() {
				n.deliver(g, r)
			}
		default:
			if m.GetType() == pb.MsgHeartbeat {
				n.tellKept(g, m)
			}
			n.out.Messages = append(n.out.Messages, Envelope{g.id, m.GetTo(), m})
		}
	}
	n.look(g)
}

// tellKept puts into a leader's heartbeat what its own disk keeps, where the library leaves Index
// unused: the others hold it against that disk, should it come back older.
func (n *Node) tellKept(g *group, m *pb.Message) {
	hard, _, _ := g.store.InitialState()
	if last, err := g.store.LastIndex(); err == nil && hard.GetTerm() == m.GetTerm() {
		m.Index = new(last)
	}
}

// apply carries committed entries out.
func (n *Node) apply(g *group, entries []*pb.Entry) {
	for _, e := range entries {
		if e.GetIndex() <= g.applied {
			continue
		}
		g.applied = e.GetIndex()
		g.since += len(e.GetData()) + 16
		switch e.GetType() {
		case pb.EntryConfChange, pb.EntryConfChangeV2:
			var cc pb.ConfChangeV2
			var v1 pb.ConfChange
			if e.GetType() == pb.EntryConfChange {
				if err := proto.Unmarshal(e.GetData(), &v1); err != nil {
					panic(err)
				}
				g.conf = g.raw.ApplyConfChange(&v1)
				g.machine.MembersChanged(e.GetIndex(), v1.GetContext(), g.conf)
				continue
			}
			if err := proto.Unmarshal(e.GetData(), &cc); err != nil {
				panic(err)
			}
			g.conf = g.raw.ApplyConfChange(&cc)
			g.machine.MembersChanged(e.GetIndex(), cc.GetContext(), g.conf)
		default:
			replica, id, command, ok := readHead(e.GetData())
			if !ok {
				continue // a leader's first entry is empty
			}
			value := g.machine.Apply(e.GetIndex(), command)
			if _, ours := g.proposed[id]; ours && replica == n.id {
				delete(g.proposed, id)
				n.out.Results = append(n.out.Results, Result{g.id, id, e.GetIndex(), value})
			}
		}
	}
	if g.since >= compactThreshold {
		n.compact(g)
	}
}

// compact cuts the log behind a snapshot made now.
func (n *Node) compact(g *group) {
	g.since = 0
	s, err := g.store.CreateSnapshot(g.applied, g.conf, g.machine.Snapshot())
	if err != nil {
		return // there is a newer one
	}
	if first, err := g.store.FirstIndex(); err == nil && g.applied > first+retainedEntries {
		g.store.Compact(g.applied - retainedEntries)
	}
	n.waiting = append(n.waiting, reply{group: g, rec: LogRecord{Group: g.id, Snapshot: s, Local: true}})
}

// Status is how a group stands here.
type Status struct {
	Leader, Term, Commit, Applied uint64
	// Kept is the term, and Last the last entry, that are on the disk.
	PersistedTerm, LastIndex uint64
	IsLeader                 bool
	Conf                     *pb.ConfState
	Match                    map[uint64]uint64 // where we lead: how far each replica is known to be
}

// Status tells how a group stands.
func (n *Node) Status(id Group) (s Status, ok bool) {
	g := n.groups[id]
	if g == nil {
		return s, false
	}
	b := g.raw.BasicStatus()
	last, _ := g.store.LastIndex()
	hard, _, _ := g.store.InitialState()
	s = Status{
		Leader: b.Lead, Term: b.HardState.GetTerm(), Commit: b.HardState.GetCommit(), Applied: g.applied, PersistedTerm: hard.GetTerm(), LastIndex: last,
		IsLeader: g.state == raft.StateLeader && n.halted == nil, Conf: g.conf,
	}
	if s.IsLeader {
		s.Match = map[uint64]uint64{}
		g.raw.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker.Progress) { s.Match[id] = pr.Match })
	}
	return s, true
}

// Found has what a founder begins with written first: Add was given what no disk holds yet.
func (n *Node) Bootstrap(id Group) {
	g := n.groups[id]
	s, _ := g.store.MemoryStorage.Snapshot()
	hard, _, _ := g.store.InitialState()
	n.waiting = append(n.waiting, reply{group: g, rec: LogRecord{Group: id, Snapshot: s, Local: true, HardState: hard}})
	n.rest(g)
	g.timeout = 1 // nobody else can begin
}
