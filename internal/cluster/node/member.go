// Package member is one gateway's part in a fleet: its replica of the record, its session and the
// duties that it holds by that, and the leader's work where it leads. It does no I/O and reads no
// clock: events come in with the time, and what is to be written, sent and told comes out.
package node

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"dunemoor/internal/cluster/disk"
	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/cluster/quorum"
)

// Record is the group that holds the fleet's record.
const CoordinationGroup quorum.Group = 0

// Times, beside those of leases.
const (
	// TickEvery is the time of one tick: heartbeats come every 100 ms, an election begins 0.5 to
	// 1 s behind the last. On loopback and in one hall a round trip takes a hundredth of that;
	// what is to be outlasted is a stalled disk or a busy core.
	TickInterval = 50 * time.Millisecond
	// askAgain is when what was asked and not answered is asked again, of another gateway; up to
	// twice as long by chance, so that 300 do not come together.
	retryInterval = 300 * time.Millisecond
	// askMost is when a command's outcome is given up on as unknown.
	commandTimeout = 10 * time.Second
	// commandAgain is when the leader proposes once more what has not shown in the record.
	reproposeInterval = time.Second
	// evenEvery lies between two duties that are moved only so that none holds far more.
	rebalanceInterval = 2 * time.Second
	// keepersEvery lies between two looks at who holds replicas.
	replicaCheckInterval = 500 * time.Millisecond
	// caughtUp is how many entries a learner may be behind when it gets a vote.
	maxLearnerLag = 64
	// stopped is a gap between two ticks by which a process must have stood still.
	pauseThreshold = 10 * TickInterval
	// greetEvery lies between two hellos of a replica that waits to be cleared.
	helloInterval = time.Second
	// asksMost bounds the commands of this gateway that are out, renewsMost the renewals that
	// wait for a quorum's word at a leader: 4,700 gateways renew in a second, and some come again.
	maxPendingProposals = 16
	maxQueuedRenewals   = 8192
)

// All is the name of all others, in a fleet with relays.
const Broadcast = "*"

// Config is what a member is told.
type Config struct {
	Fleet, Name, Zone, Machine, Address string

	BootstrapReplicas []string // who holds the record at first; the first of them forms the fleet
	Peers             []string // the other gateways
	CandidateLeases   []string // duties that it can hold
	Seed              uint64
	Disk              disk.Identity
	Stored            map[quorum.Group]quorum.Stored
	Overrides         OverrideSet // as they were last known here

	// Relayed says that the fleet has relays, which are First and, at a relay, Peers: what is sent to
	// anybody else goes by name, and what is for all in one Send to All.
	UsesRelays bool
}

// Send is a frame to another gateway.
type Frame struct {
	To   string
	Kind Kind
	Body []byte
	// Snapshot, where not 0, is the replica that a snapshot is for: it goes beside the others,
	// and what becomes of it is told by Snapshot.
	SnapshotTo uint64
}

// Hold is a duty that this gateway owns as far as it knows, until Deadline on its own clock.
type Grant struct {
	Lease     string
	Token     uint64
	Deadline  time.Duration
	Releasing bool // it is to be stopped and given back
}

// Done is what came of a command of this gateway; Known is false where that can't be told.
type Outcome struct {
	ID     uint64
	Known  bool
	Result lease.Result
}

// Line is one for the log.
type LogEntry struct {
	Warn    bool
	Message string
	Args    []any
}

// Out is what a member wants done, in this order.
type Output struct {
	Write          *quorum.Batch
	ClusterID      uint64 // to be noted on the disk; 0: nothing
	Frames         []Frame
	Outcomes       []Outcome
	Grants         []Grant // where Held: all that are held now
	GrantsChanged  bool
	Publications   []Publication
	ResyncRequests []ResyncCall
	Overrides      *OverrideSet // where they have changed
	// Fenced counts the words of owners of before that were not taken.
	StalePublications int
	Log               []LogEntry
	// Asked says that a renewal went out, or an opening, Answered that a leader's word came.
	RenewalSent, LeaderResponded bool
	// Moved says that what is known by version is to be asked for again: see Member.Moved.
	Reconnected bool
}

// Words are the operators' words as a gateway knows them; Mod grows with each change.
type OverrideSet struct {
	ClusterID   uint64           `json:"birth"` // of the fleet
	ModRevision uint64           `json:"mod"`
	List        []lease.Override `json:"list"`
}

// Asked is another gateway that wants to be told all of a duty that we own.
type ResyncCall struct {
	From, Lease string
	Body        []byte
}

// Member is one gateway's part. It is used by one goroutine.
type Node struct {
	cfg  Config
	rng  *rand.Rand
	node *quorum.Node
	st   *lease.State
	now  time.Duration
	out  Output

	ticked  time.Duration
	raft    map[string][]byte // frames of replicas' messages being put together
	birth   uint64
	boot    Hello
	greeted time.Duration

	// Of the others.
	hellos   map[string]Hello
	replicas map[uint64]string
	seen     map[uint64]*seen
	welcomed map[uint64]bool
	words    map[string]*HelloReply // ours on the others' last hellos
	cleared  bool                   // enough of the others know nothing against our disk
	copied   error                  // one of the others knows better than our disk

	// Of the leader.
	lead     bool
	leadID   uint64
	watch    *lease.ExpiryTracker
	number   uint64
	asked    map[uint64]asker // by number of the proposal
	renews   []renewal        // to be confirmed
	reading  uint64           // number of the read that is out; 0: none
	readAt   time.Duration
	confirms []renewal // waiting for it
	ready    []confirmed
	proposed map[string]time.Duration // of the leader's own commands
	evened   time.Duration
	kept     time.Duration
	applied  uint64 // index as of the last look at the duties

	// Of the session.
	session  uint64
	openings uint64
	lastSeq  uint64
	heard    uint64 // the last renewal that was answered
	sent     map[uint64]time.Duration
	deadline time.Duration
	renewed  time.Duration // when the last renewal was sent
	renewGap time.Duration
	opening  uint64        // id of the command that opens the session; 0: none is out
	target   string        // who is asked: the leader, as far as is known
	unheard  time.Duration // since when it was asked and has said nothing; 0: it has
	request  uint64
	asks     []*ask
	nextAsk  uint64
	view     view
	holds    map[string]*Grant
	resigned map[string]uint64 // token given back, by duty
	fences   map[string]fence
	fenced   map[string]uint64 // duty: the token of the owner of before that was turned away last
	offers   []string
	said     OverrideSet
}

type seen struct{ boots, term, last, lastTerm uint64 }

type asker struct {
	from string
	id   uint64
}

type renewal struct {
	from  string
	renew RenewRequest
	heard time.Duration
}

type confirmed struct {
	index uint64
	list  []renewal
}

type ask struct {
	Proposal
	began, again time.Duration
	told         bool // who asked knows that nothing is known yet
}

type fence struct{ token, seq uint64 }

// view is the record as this gateway was told of it.
type view struct {
	index   uint64
	members map[string]lease.Member
	duties  map[string]lease.LeaseView
	keepers []lease.Replica
	lead    string
	term    uint64
	at      time.Duration // when it was last confirmed
	count   int           // of sessions, where members are not told
}

// New brings a member up from its disk at now.
func New(now time.Duration, cfg Config) (*Node, error) {
	m := &Node{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Disk.Replica)), now: now, ticked: now,
		node: quorum.New(cfg.Disk.Replica, cfg.Seed), st: lease.NewState(0), birth: cfg.Disk.Birth,
		raft: map[string][]byte{}, hellos: map[string]Hello{}, replicas: map[uint64]string{}, seen: map[uint64]*seen{}, welcomed: map[uint64]bool{}, words: map[string]*HelloReply{},
		asked: map[uint64]asker{}, proposed: map[string]time.Duration{}, sent: map[uint64]time.Duration{},
		holds: map[string]*Grant{}, resigned: map[string]uint64{}, fences: map[string]fence{}, fenced: map[string]uint64{}, offers: slices.Clone(cfg.CandidateLeases),
		renewGap: lease.RenewInterval,
		// An answer to what the process before has asked may yet come: it answers nothing of ours.
		nextAsk: uint64(uint16(cfg.Disk.Replica))<<48 | cfg.Disk.Boots<<32,
		// And what the process before has proposed may yet be committed: it is no proposal of ours.
		number: cfg.Disk.Boots << 32,
	}
	m.view.members, m.view.duties = map[string]lease.Member{}, map[string]lease.LeaseView{}
	if m.birth == 0 || cfg.Overrides.ClusterID == m.birth {
		m.said = cfg.Overrides
	}
	stored := cfg.Stored[CoordinationGroup]
	if err := m.node.Add(CoordinationGroup, stored, (*stateMachine)(m)); err != nil {
		return nil, err
	}
	m.boot = Hello{Fleet: cfg.Fleet, Format: FormatVersion, Name: cfg.Name, ReplicaID: cfg.Disk.Replica, Boots: cfg.Disk.Boots, Address: cfg.Address}
	m.replicas[cfg.Disk.Replica] = cfg.Name
	m.target = cfg.BootstrapReplicas[m.rng.IntN(len(cfg.BootstrapReplicas))]
	m.clear()
	return m, nil
}

// gateway says whether this is a gateway of a fleet with relays: it has no peers.
func (m *Node) isGateway() bool {
	return m.cfg.UsesRelays && len(m.cfg.Peers) == 0 && !slices.Contains(m.cfg.BootstrapReplicas, m.cfg.Name)
}

// part is what it says of that as it opens a session.
func (m *Node) role() lease.Role {
	switch {
	case !m.cfg.UsesRelays:
		return ""
	case m.isGateway():
		return lease.RoleGateway
	}
	return lease.RoleRelay
}

// record is the Member as the machine of the record's group.
type stateMachine Node

// Apply is of quorum.Machine.
func (r *stateMachine) Apply(index uint64, b []byte) any {
	var c lease.Command
	if err := json.Unmarshal(b, &c); err != nil {
		return lease.Result{Code: lease.Rejected, Reason: "a command that can't be read"}
	}
	return r.st.Apply(index, &c)
}

// named is what goes with a change of keepers.
type replicaNames struct {
	Names map[uint64]string `json:"names"`
}

// Changed is of quorum.Machine.
func (r *stateMachine) Changed(index uint64, with []byte, conf *raftpb.ConfState) {
	var n replicaNames
	if len(with) > 0 {
		json.Unmarshal(with, &n) // names are for people; without they are shown empty
	}
	voters := slices.Clone(conf.GetVoters())
	for _, id := range conf.GetVotersOutgoing() {
		if !slices.Contains(voters, id) {
			voters = append(voters, id)
		}
	}
	r.st.SetReplicas(index, n.Names, voters, append(slices.Clone(conf.GetLearners()), conf.GetLearnersNext()...))
}

// Snapshot is of quorum.Machine.
func (r *stateMachine) Snapshot() []byte { return r.st.Encode() }

// Restore is of quorum.Machine.
func (r *stateMachine) Restore(b []byte) error { return r.st.Decode(b) }

// Hello is what this gateway tells others first, as of now: before anything that it sends later.
// It is held against the disk, should that come back older: only what the disk keeps is told.
func (m *Node) Hello() Hello {
	h := m.boot
	h.ClusterID = m.birth
	s, _ := m.node.Status(CoordinationGroup)
	h.Term, h.LastIndex = s.Kept, s.Last
	return h
}

// Judge says why a gateway with this hello is not talked with; "" means it is.
func (m *Node) ValidateHello(h *Hello) string {
	switch {
	case h.Fleet != m.cfg.Fleet:
		return fmt.Sprintf("it is of fleet %q, this is %q", h.Fleet, m.cfg.Fleet)
	case h.Format != FormatVersion:
		return fmt.Sprintf("it speaks format %d, this build %d", h.Format, FormatVersion)
	case h.Name == m.cfg.Name:
		return fmt.Sprintf("it has our own name, %s", h.Name)
	case !slices.Contains(m.cfg.Peers, h.Name):
		return fmt.Sprintf("%s is not among the peers of this gateway's file", h.Name)
	case h.ClusterID != 0 && m.birth != 0 && h.ClusterID != m.birth:
		return "its fleet has the same id and was formed another time"
	}
	return ""
}

// Greet takes the hello of another gateway that has connected to us, before anything else that
// comes on that connection.
func (m *Node) ReceiveHello(now time.Duration, h Hello) {
	m.now = now
	if m.ValidateHello(&h) != "" {
		return
	}
	m.hellos[h.Name] = h
	if h.ReplicaID == m.cfg.Disk.Replica && h.ReplicaID != 0 {
		m.halt(fmt.Errorf("%s has a disk with the identity of ours: one of the two is a copy", h.Name))
		return
	}
	m.replicas[h.ReplicaID] = h.Name
	w := &HelloReply{ReplicaID: h.ReplicaID}
	if s := m.seen[h.ReplicaID]; s != nil && !failpoint.Enabled(failpoint.AcceptOldDisk) {
		switch {
		case h.Boots < s.boots:
			w.Objection = fmt.Sprintf("it was started %d times, and is now said to have been %d times", s.boots, h.Boots)
		case h.Term < s.term:
			w.Objection = fmt.Sprintf("it was in term %d, and comes back in %d", s.term, h.Term)
		case h.Term == s.lastTerm && h.LastIndex < s.last:
			w.Objection = fmt.Sprintf("it had %d entries, and comes back with %d", s.last, h.LastIndex)
		}
	}
	if w.Objection == "" {
		s := m.seenOf(h.ReplicaID)
		s.boots, s.term = max(s.boots, h.Boots), max(s.term, h.Term)
	} else {
		m.line(true, "another gateway has an older copy of its disk", "gateway", h.Name, "why", w.Objection)
	}
	m.words[h.Name] = w
	m.talk(h.Name, &Message{HelloReply: w})
	m.found()
}

func (m *Node) seenOf(replica uint64) *seen {
	s := m.seen[replica]
	if s == nil {
		s = &seen{}
		m.seen[replica] = s
	}
	return s
}

// welcome takes what another says of our disk.
func (m *Node) welcome(from string, w *HelloReply) {
	if w.ReplicaID != m.cfg.Disk.Replica {
		return
	}
	if w.Objection != "" {
		// Also where the log was seen to contradict itself just before: a leader's word on what is
		// committed may come before its word on the disk, and only this one says what to do.
		copied := fmt.Errorf("%w: %s says that %s", disk.ErrCopy, from, w.Objection)
		if !failpoint.Enabled(failpoint.IgnoreLateObjection) {
			m.copied = copied
		}
		m.halt(copied)
		return
	}
	m.welcomed[m.hellos[from].ReplicaID] = true
	m.clear()
}

// clear has the replica take part once so many of the record's keepers know nothing against its
// disk that with it they are a quorum: fewer can't elect anyhow. What they do not know of is not
// seen by this; the disk itself knows most copies.
func (m *Node) clear() {
	if m.cleared {
		return
	}
	s, _ := m.node.Status(CoordinationGroup)
	voters := s.Conf.GetVoters()
	if !slices.Contains(voters, m.cfg.Disk.Replica) {
		m.cleared = true // it has promised nothing
		return
	}
	n := 1
	for _, id := range voters {
		if m.welcomed[id] {
			n++
		}
	}
	m.cleared = 2*n > len(voters)
}

// found forms the fleet, where that is for this gateway to do: once, with all of the first at
// hand and none of them in a fleet already.
func (m *Node) found() {
	s, _ := m.node.Status(CoordinationGroup)
	if m.birth != 0 || m.cfg.BootstrapReplicas[0] != m.cfg.Name || len(s.Conf.GetVoters()) > 0 || m.node.Halted() != nil {
		return
	}
	keepers := []lease.Replica{{ID: m.cfg.Disk.Replica, Name: m.cfg.Name}}
	voters := []uint64{m.cfg.Disk.Replica}
	for _, name := range m.cfg.BootstrapReplicas[1:] {
		h, ok := m.hellos[name]
		if !ok || h.ClusterID != 0 {
			return // not there yet; or the fleet stands, and we come back with another disk
		}
		keepers, voters = append(keepers, lease.Replica{ID: h.ReplicaID, Name: name}), append(voters, h.ReplicaID)
	}
	m.birth = m.rng.Uint64() | 1
	state := lease.NewState(m.birth, keepers...).Encode()
	// A new node: the one so far knew of no group.
	node := quorum.New(m.cfg.Disk.Replica, m.cfg.Seed)
	if err := node.Add(CoordinationGroup, quorum.Founding(voters, state), (*stateMachine)(m)); err != nil {
		m.halt(err)
		return
	}
	m.node = node
	m.node.Found(CoordinationGroup)
	m.cleared = true
	m.out.ClusterID = m.birth
	m.line(false, "fleet formed", "fleet", m.cfg.Fleet, "keepers", m.cfg.BootstrapReplicas)
}

func (m *Node) halt(why error) {
	if m.node.Halted() == nil {
		m.node.Halt(why)
		m.line(true, "this gateway's replica of the record has stopped, requests are served on", "why", why.Error())
		m.turned(quorum.Turn{Group: CoordinationGroup})
	}
}

// DiskFailed tells that a write has failed: the replica ends.
func (m *Node) DiskFailed(now time.Duration, err error) {
	m.now = now
	m.halt(err)
}

// Written tells that a batch will last.
func (m *Node) Persisted(now time.Duration, batch uint64) {
	m.now = now
	m.node.Written(batch)
}

// Lost tells that a gateway can't be reached.
func (m *Node) Unreachable(now time.Duration, name string) {
	m.now = now
	if h, ok := m.hellos[name]; ok {
		m.node.Lost(h.ReplicaID, false)
	}
}

// Snapshot tells what became of a snapshot that was to be sent to a replica.
func (m *Node) SnapshotSent(now time.Duration, replica uint64, ok bool) {
	m.now = now
	if ok {
		m.node.Delivered(replica)
	} else {
		m.node.Lost(replica, true)
	}
}

// Receive takes a frame of another gateway. What can't be read is said by the error; nothing else
// comes of it.
func (m *Node) Receive(now time.Duration, from string, kind Kind, body []byte) error {
	m.now = now
	switch kind {
	case KindRaft:
		return DecodeRaftFrame(body, func(g quorum.Group, msg *raftpb.Message) {
			if m.replicas[msg.GetFrom()] != from || !m.cleared {
				return // of a disk that the gateway has no more, or we can't be sure of our own
			}
			if g == CoordinationGroup {
				m.remember(msg)
			}
			m.node.Step(g, msg)
		})
	case KindMessage:
		t, err := DecodeMessage(body)
		if err != nil {
			return err
		}
		m.hear(from, t)
		return nil
	}
	return fmt.Errorf("a frame of kind %d", kind)
}

// remember notes what a replica has promised by a message, to know it by should its disk come
// back older. Only what was on its disk before it was sent counts: the answer to a heartbeat is
// not. A leader says by its heartbeats what its own disk keeps.
func (m *Node) remember(msg *raftpb.Message) {
	last := uint64(0)
	switch msg.GetType() {
	case raftpb.MsgAppResp:
		if !msg.GetReject() {
			last = msg.GetIndex()
		}
	case raftpb.MsgHeartbeat:
		if last = msg.GetIndex(); last == 0 || failpoint.Enabled(failpoint.ForgetLeaderLog) {
			return
		}
	case raftpb.MsgVoteResp:
	default:
		return
	}
	s := m.seenOf(msg.GetFrom())
	s.term = max(s.term, msg.GetTerm())
	if last > 0 {
		if s.lastTerm != msg.GetTerm() {
			s.last = 0
		}
		s.lastTerm, s.last = msg.GetTerm(), max(s.last, last)
	}
}

// hear takes what another gateway says.
func (m *Node) hear(from string, t *Message) {
	switch {
	case t.Hello != nil:
		// It waits for our word on the hello that came with its connection. This one is not
		// judged: it may be late, and what was promised since would be held against it.
		if w := m.words[from]; w != nil && w.ReplicaID == t.Hello.ReplicaID {
			m.talk(from, &Message{HelloReply: w})
		}
	case t.HelloReply != nil:
		m.welcome(from, t.HelloReply)
	case t.Renew != nil:
		m.hearRenew(from, t.Renew)
	case t.Proposal != nil:
		m.hearAsk(from, t.Proposal)
	case t.RenewReply != nil:
		m.hearAck(from, t.RenewReply)
	case t.ProposalReply != nil:
		m.hearAnswer(from, t.ProposalReply)
	case t.Publication != nil:
		m.hearNews(from, t.Publication)
	case t.ResyncRequest != nil:
		if m.holds[t.ResyncRequest.Lease] != nil {
			m.out.ResyncRequests = append(m.out.ResyncRequests, ResyncCall{from, t.ResyncRequest.Lease, t.ResyncRequest.Body})
		}
	}
}

// talk says something to another gateway, or to ourselves.
func (m *Node) talk(to string, t *Message) {
	if to == m.cfg.Name {
		m.hear(to, t)
		return
	}
	m.out.Frames = append(m.out.Frames, Frame{To: to, Kind: KindMessage, Body: encodeMessage(t)})
}

func (m *Node) line(warn bool, text string, args ...any) {
	m.out.Log = append(m.out.Log, LogEntry{warn, text, args})
}

// Tick is the passing of time; it is called every TickEvery, or later.
func (m *Node) Tick(now time.Duration) {
	m.now = now
	// After a stop the ticks that were missed are not made up for: the time was lost, and others
	// have had it. Nor can a leader tell then who has renewed meanwhile.
	if m.lead && m.watch != nil && now-m.ticked >= pauseThreshold {
		m.watch.Reset(now)
	}
	if now-m.ticked >= TickInterval {
		m.ticked = now
		if m.cleared {
			m.node.Tick()
		}
	}
	if !m.cleared && now >= m.greeted+helloInterval {
		m.greeted = now
		h := m.Hello()
		for _, name := range m.cfg.Peers {
			m.talk(name, &Message{Hello: &h})
		}
	}
	m.lookAtRecord()
	if !m.lead {
		m.st.TakeTransfers() // the leader's to tell
	}
	m.rule()
	m.live()
}

// lookAtRecord takes note of a birth that came with the record.
func (m *Node) lookAtRecord() {
	if b := m.st.ClusterID; b != 0 && b != m.birth {
		if m.birth != 0 {
			m.halt(fmt.Errorf("the record is of a fleet with the same id that was formed another time"))
			return
		}
		m.birth, m.out.ClusterID = b, b
	}
}

// Drain takes what is to be done.
func (m *Node) TakeOutput() Output {
	for again := true; again; {
		o := m.node.Drain()
		again = len(o.Results)+len(o.Reads)+len(o.Turns)+len(o.Send) > 0 || o.Write != nil
		if o.Write != nil {
			m.out.Write = o.Write
		}
		for _, t := range o.Turns {
			m.turned(t)
		}
		for i := range o.Send {
			m.envelope(&o.Send[i])
		}
		for i := range o.Results {
			m.result(&o.Results[i])
		}
		for _, r := range o.Reads {
			m.read(r)
		}
		if m.lead {
			m.confirm()
			if m.st.Revision != m.applied {
				m.rule()
				again = true
			}
		}
	}
	if err := m.node.Halted(); err != nil && m.lead {
		m.turned(quorum.Turn{Group: CoordinationGroup})
	}
	for _, to := range slices.Sorted(maps.Keys(m.raft)) {
		m.out.Frames = append(m.out.Frames, Frame{To: to, Kind: KindRaft, Body: m.raft[to]})
	}
	clear(m.raft)
	m.expire()
	if m.out.GrantsChanged {
		for _, duty := range slices.Sorted(maps.Keys(m.holds)) {
			m.out.Grants = append(m.out.Grants, *m.holds[duty])
		}
	}
	out := m.out
	m.out = Output{}
	return out
}

// envelope puts a replica's message into the frame for its gateway.
func (m *Node) envelope(e *quorum.Envelope) {
	to, ok := m.replicas[e.To]
	if h := m.hellos[to]; !ok || h.ReplicaID != e.To {
		if e.Message.GetType() == raftpb.MsgSnap {
			m.node.Lost(e.To, true)
		}
		return // its gateway has another disk now, or was not heard yet
	}
	if e.Message.GetType() == raftpb.MsgSnap {
		m.out.Frames = append(m.out.Frames, Frame{To: to, Kind: KindRaft, Body: appendRaftMessage(nil, e), SnapshotTo: e.To})
		return
	}
	m.raft[to] = appendRaftMessage(m.raft[to], e)
}
