package node

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/cluster/multiraft"
	"dunemoor/internal/cluster/wal"
)

// helloInterval lies between two hellos of a replica that waits to be cleared.
const helloInterval = time.Second

// replica is this gateway's copy of the coordination state, with what it knows of the disks of the
// other replicas. Raft relies on each disk keeping what was written: a disk that was restored from an
// older copy must not take part, and is recognized by what the others have seen of it.
type replica struct {
	node      *Node
	raft      *multiraft.Node
	state     *lease.State
	clusterID uint64
	hello     Hello  // without what changes, see Node.Hello
	leaderID  uint64 // replica that leads, as far as is known; 0: none
	// proposalNumber numbers proposals and reads over all times that this gateway leads.
	proposalNumber uint64
	helloSentAt    time.Duration
	frames         map[string][]byte // Raft messages that are being collected, by gateway

	// Of the other gateways.
	hellos  map[string]Hello      // the last of each
	names   map[uint64]string     // of gateways, by replica
	seen    map[uint64]*diskState // by replica
	replies map[string]*HelloReply

	// Of this disk.
	vouched  map[uint64]bool // replicas that have nothing against it
	cleared  bool            // the replica may take part
	outdated error           // another replica knows of later writes
}

// diskState is the latest that is known of a replica's disk.
type diskState struct{ boots, term, lastIndex, lastIndexTerm uint64 }

func newReplica(n *Node) *replica {
	identity := n.cfg.Disk
	return &replica{
		node: n, raft: multiraft.New(identity.ReplicaID, n.cfg.Seed), state: lease.NewState(0), clusterID: identity.ClusterID,
		hello: Hello{
			Fleet: n.cfg.Fleet, Format: FormatVersion, Name: n.cfg.Name, ReplicaID: identity.ReplicaID, Boots: identity.Boots,
			Address: n.cfg.Address,
		},
		// A proposal of the previous process may still be committed: it must not be taken for one of
		// this process.
		proposalNumber: identity.Boots << 32,
		frames:         map[string][]byte{}, hellos: map[string]Hello{}, names: map[uint64]string{identity.ReplicaID: n.cfg.Name},
		seen: map[uint64]*diskState{}, replies: map[string]*HelloReply{}, vouched: map[uint64]bool{},
	}
}

// load starts the coordination group from what the disk holds.
func (r *replica) load() error {
	return r.raft.Add(CoordinationGroup, r.node.cfg.Stored[CoordinationGroup], (*stateMachine)(r))
}

// status returns the status of the coordination group.
func (r *replica) status() multiraft.Status {
	s, _ := r.raft.Status(CoordinationGroup)
	return s
}

// stateMachine is the replica as the state machine of its Raft group.
type stateMachine replica

// Apply implements multiraft.StateMachine.
func (m *stateMachine) Apply(index uint64, command []byte) any {
	var c lease.Command
	if err := json.Unmarshal(command, &c); err != nil {
		return lease.Result{Code: lease.Rejected, Reason: fmt.Sprintf("decode command: %v", err)}
	}
	return m.state.Apply(index, &c)
}

// replicaNames is the context of a change of the group's members.
type replicaNames struct {
	Names map[uint64]string `json:"names"`
}

// MembersChanged implements multiraft.StateMachine.
func (m *stateMachine) MembersChanged(index uint64, context []byte, conf *raftpb.ConfState) {
	var names replicaNames
	if len(context) > 0 {
		json.Unmarshal(context, &names) // names are for display: without them they are empty
	}
	voters := slices.Clone(conf.GetVoters())
	for _, id := range conf.GetVotersOutgoing() {
		if !slices.Contains(voters, id) {
			voters = append(voters, id)
		}
	}
	m.state.SetReplicas(index, names.Names, voters, append(slices.Clone(conf.GetLearners()), conf.GetLearnersNext()...))
}

// Snapshot implements multiraft.StateMachine.
func (m *stateMachine) Snapshot() []byte { return m.state.Encode() }

// Restore implements multiraft.StateMachine.
func (m *stateMachine) Restore(b []byte) error { return m.state.Decode(b) }

// Hello returns the first message to another gateway, as of now. It is to be sent before anything
// that the node sends later: others hold it against the disk, should that come back as an older copy,
// and so it has only what the disk keeps.
func (n *Node) Hello() Hello {
	h := n.replica.hello
	h.ClusterID = n.replica.clusterID
	s := n.replica.status()
	h.Term, h.LastIndex = s.PersistedTerm, s.LastIndex
	return h
}

// HelloError is why a gateway's hello is rejected.
type HelloError struct{ Reason string }

func (e *HelloError) Error() string { return e.Reason }

func helloErrorf(format string, args ...any) *HelloError {
	return &HelloError{fmt.Sprintf(format, args...)}
}

// CheckFleet rejects the hello of a gateway that is of another fleet, uses another format or has the
// name of this gateway, whose hello is own.
func (own *Hello) CheckFleet(h *Hello) error {
	switch {
	case h.Fleet != own.Fleet:
		return helloErrorf("its fleet is %q, this gateway's is %q", h.Fleet, own.Fleet)
	case h.Format != own.Format:
		return helloErrorf("it uses format %d, this gateway uses %d", h.Format, own.Format)
	case h.Name == own.Name:
		return helloErrorf("it has this gateway's own name, %s", h.Name)
	}
	return nil
}

// CheckClusterID rejects the hello of a gateway whose fleet has the same name and was bootstrapped
// another time.
func (own *Hello) CheckClusterID(h *Hello) error {
	if h.ClusterID != 0 && own.ClusterID != 0 && h.ClusterID != own.ClusterID {
		return helloErrorf("its fleet has the same id but was bootstrapped another time")
	}
	return nil
}

// ValidateHello returns an error of type *HelloError for a gateway that a gateway with the hello own and
// these peers makes no connection with.
func ValidateHello(own, h *Hello, peers []string) error {
	if err := own.CheckFleet(h); err != nil {
		return err
	}
	if !slices.Contains(peers, h.Name) {
		return helloErrorf("%s is not among the peers in this gateway's configuration", h.Name)
	}
	return own.CheckClusterID(h)
}

// ValidateHello is the function of that name for this gateway.
func (n *Node) ValidateHello(h *Hello) error {
	own := n.replica.hello
	own.ClusterID = n.replica.clusterID
	return ValidateHello(&own, h, n.cfg.Peers)
}

// ReceiveHello takes the hello of another gateway that has connected, before anything else that
// arrives on that connection.
func (n *Node) ReceiveHello(now time.Duration, h Hello) {
	n.now = now
	if n.ValidateHello(&h) != nil {
		return
	}
	n.replica.receiveHello(h)
}

func (r *replica) receiveHello(h Hello) {
	r.hellos[h.Name] = h
	if own := r.node.cfg.Disk.ReplicaID; h.ReplicaID == own && own != 0 {
		r.halt(fmt.Errorf("%s has a disk with the identity of this one: one of the two is a copy", h.Name))
		return
	}
	r.names[h.ReplicaID] = h.Name
	reply := &HelloReply{ReplicaID: h.ReplicaID, Objection: r.objectionTo(&h)}
	if reply.Objection == "" {
		s := r.diskStateOf(h.ReplicaID)
		s.boots, s.term = max(s.boots, h.Boots), max(s.term, h.Term)
	} else {
		r.node.logWarn("another gateway's disk is an older copy", "gateway", h.Name, "why", reply.Objection)
	}
	r.replies[h.Name] = reply
	r.node.send(h.Name, &Message{HelloReply: reply})
	r.bootstrap()
}

// objectionTo returns why the disk of a replica must be an older copy; "" where it need not be.
func (r *replica) objectionTo(h *Hello) string {
	s := r.seen[h.ReplicaID]
	if s == nil || failpoint.Enabled(failpoint.AcceptOldDisk) {
		return ""
	}
	switch {
	case h.Boots < s.boots:
		return fmt.Sprintf("it was started %d times, and now reports %d", s.boots, h.Boots)
	case h.Term < s.term:
		return fmt.Sprintf("it was in term %d, and now reports %d", s.term, h.Term)
	case h.Term == s.lastIndexTerm && h.LastIndex < s.lastIndex:
		return fmt.Sprintf("it had %d entries, and now reports %d", s.lastIndex, h.LastIndex)
	}
	return ""
}

// receiveHelloAgain takes the repeated hello of a gateway that waits for a reply to the one that came
// with its connection. The repeated one is not checked: it may be late, and what was written since
// would be held against it.
func (r *replica) receiveHelloAgain(from string, h *Hello) {
	if reply := r.replies[from]; reply != nil && reply.ReplicaID == h.ReplicaID {
		r.node.send(from, &Message{HelloReply: reply})
	}
}

// receiveHelloReply takes what another gateway says of this disk.
func (r *replica) receiveHelloReply(from string, reply *HelloReply) {
	if reply.ReplicaID != r.node.cfg.Disk.ReplicaID {
		return
	}
	if reply.Objection == "" {
		r.vouched[r.hellos[from].ReplicaID] = true
		r.checkCleared()
		return
	}
	// This counts also where the log was found to contradict itself just before: a leader's messages
	// may arrive before its objection, and only the objection says what to do.
	outdated := fmt.Errorf("%w: %s reports that %s", wal.ErrCopied, from, reply.Objection)
	if failpoint.Enabled(failpoint.IgnoreLateObjection) {
		r.halt(outdated)
		return
	}
	r.markOutdated(outdated)
}

// markOutdated stops the replica, whose disk is an older copy.
func (r *replica) markOutdated(err error) {
	r.outdated = err
	r.halt(err)
}

// halted returns why the replica has stopped; nil while it runs.
func (r *replica) halted() error {
	if r.outdated != nil {
		return r.outdated
	}
	return r.raft.Halted()
}

// repeatHello repeats the hello while the replica is not cleared.
func (r *replica) repeatHello() {
	if r.cleared || r.node.now < r.helloSentAt+helloInterval {
		return
	}
	r.helloSentAt = r.node.now
	h := r.node.Hello()
	for _, name := range r.node.cfg.Peers {
		r.node.send(name, &Message{Hello: &h})
	}
}

// checkCleared lets the replica take part once enough voters have nothing against its disk that they
// are a quorum with it: fewer can't elect a leader anyway. The disk itself recognizes most copies;
// this finds those of which the others have seen a later state.
func (r *replica) checkCleared() {
	if r.cleared {
		return
	}
	voters := r.status().Conf.GetVoters()
	if !slices.Contains(voters, r.node.cfg.Disk.ReplicaID) {
		r.cleared = true // it has never voted
		return
	}
	votes := 1
	for _, id := range voters {
		if r.vouched[id] {
			votes++
		}
	}
	r.cleared = 2*votes > len(voters)
}

// bootstrap creates the fleet where that is up to this gateway: once, when all bootstrap replicas are
// connected and none of them is in a fleet yet.
func (r *replica) bootstrap() {
	cfg := &r.node.cfg
	if r.clusterID != 0 || cfg.BootstrapReplicas[0] != cfg.Name || len(r.status().Conf.GetVoters()) > 0 || r.raft.Halted() != nil {
		return
	}
	replicas := []lease.Replica{{ID: cfg.Disk.ReplicaID, Name: cfg.Name}}
	voters := []uint64{cfg.Disk.ReplicaID}
	for _, name := range cfg.BootstrapReplicas[1:] {
		h, ok := r.hellos[name]
		if !ok || h.ClusterID != 0 {
			return // not connected yet; or the fleet exists, and this gateway has lost its disk
		}
		replicas = append(replicas, lease.Replica{ID: h.ReplicaID, Name: name})
		voters = append(voters, h.ReplicaID)
	}
	r.clusterID = r.node.rng.Uint64() | 1
	state := lease.NewState(r.clusterID, replicas...).Encode()
	// A new Raft node, as the present one was started without the group's members.
	raft := multiraft.New(cfg.Disk.ReplicaID, cfg.Seed)
	if err := raft.Add(CoordinationGroup, multiraft.BootstrapState(voters, state), (*stateMachine)(r)); err != nil {
		r.halt(err)
		return
	}
	r.raft = raft
	r.raft.Bootstrap(CoordinationGroup)
	r.cleared = true
	r.node.out.ClusterID = r.clusterID
	r.node.logInfo("fleet bootstrapped", "fleet", cfg.Fleet, "replicas", cfg.BootstrapReplicas)
}

// adoptClusterID notes the cluster ID that came with the state.
func (r *replica) adoptClusterID() {
	id := r.state.ClusterID
	if id == 0 || id == r.clusterID {
		return
	}
	if r.clusterID != 0 {
		r.halt(fmt.Errorf("the state is of a fleet with the same id that was bootstrapped another time"))
		return
	}
	r.clusterID, r.node.out.ClusterID = id, id
}

// halt stops the replica for good.
func (r *replica) halt(err error) {
	if r.raft.Halted() != nil {
		return
	}
	r.raft.Halt(err)
	r.node.logWarn("replica stopped, requests are still served", "why", err.Error())
	r.node.leaderChanged(multiraft.LeaderChange{Group: CoordinationGroup})
}

// tick advances the time of the Raft groups.
func (r *replica) tick() {
	if r.cleared {
		r.raft.Tick()
	}
}

// receive takes a Raft message of another replica.
func (r *replica) receive(from string, g multiraft.Group, m *raftpb.Message) {
	if r.names[m.GetFrom()] != from || !r.cleared {
		return // from a former disk of that gateway, or this replica may not take part
	}
	if g == CoordinationGroup {
		r.noteDiskState(m)
	}
	r.raft.Step(g, m)
}

// noteDiskState notes what a message says of its sender's disk, by which an older copy of that disk is
// recognized. Only what was on the disk before the message was sent counts, which is not so for the
// reply to a heartbeat. A leader's heartbeats say what its own disk keeps.
func (r *replica) noteDiskState(m *raftpb.Message) {
	lastIndex := uint64(0)
	switch m.GetType() {
	case raftpb.MsgAppResp:
		if !m.GetReject() {
			lastIndex = m.GetIndex()
		}
	case raftpb.MsgHeartbeat:
		if lastIndex = m.GetIndex(); lastIndex == 0 || failpoint.Enabled(failpoint.ForgetLeaderLog) {
			return
		}
	case raftpb.MsgVoteResp:
	default:
		return
	}
	s := r.diskStateOf(m.GetFrom())
	s.term = max(s.term, m.GetTerm())
	if lastIndex == 0 {
		return
	}
	if s.lastIndexTerm != m.GetTerm() {
		s.lastIndex = 0
	}
	s.lastIndexTerm, s.lastIndex = m.GetTerm(), max(s.lastIndex, lastIndex)
}

func (r *replica) diskStateOf(replica uint64) *diskState {
	s := r.seen[replica]
	if s == nil {
		s = &diskState{}
		r.seen[replica] = s
	}
	return s
}

// queueMessage adds a Raft message to the frame for its gateway. A snapshot is a frame of its own.
func (r *replica) queueMessage(e *multiraft.Envelope) {
	to, known := r.names[e.To]
	isSnapshot := e.Message.GetType() == raftpb.MsgSnap
	if h := r.hellos[to]; !known || h.ReplicaID != e.To {
		if isSnapshot {
			r.raft.SnapshotSent(e.To, false)
		}
		return // its gateway has another disk now, or has not connected yet
	}
	if isSnapshot {
		r.node.out.Frames = append(r.node.out.Frames, Frame{To: to, Kind: KindRaft, Body: appendRaftMessage(nil, e), SnapshotTo: e.To})
		return
	}
	r.frames[to] = appendRaftMessage(r.frames[to], e)
}

// flushFrames puts the collected frames into the output.
func (r *replica) flushFrames() {
	for _, to := range slices.Sorted(maps.Keys(r.frames)) {
		r.node.out.Frames = append(r.node.out.Frames, Frame{To: to, Kind: KindRaft, Body: r.frames[to]})
	}
	clear(r.frames)
}

// unreachable reports to Raft that messages to a gateway are lost.
func (r *replica) unreachable(name string) {
	if h, ok := r.hellos[name]; ok {
		r.raft.Unreachable(h.ReplicaID)
	}
}

// leaderName returns the name of the leader as this replica knows it; "" where it does not.
func (r *replica) leaderName() string {
	if _, member := r.state.Replicas[r.node.cfg.Disk.ReplicaID]; r.raft.Halted() != nil || r.leaderID == 0 || !member {
		return "" // a replica that was removed is not told of leaders any more
	}
	return r.names[r.leaderID]
}
