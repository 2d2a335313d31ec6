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

// helloInterval is the time between two hellos of a replica that does not take part in the Raft group yet
// (checkCleared).
const helloInterval = time.Second

// replica is this gateway's replica of the coordination state, and its record of the states of the other
// replicas' disks. Raft requires that a disk never loses what it has reported as written. A disk that was
// restored from an older copy must therefore not take part; the other replicas detect it, as they have
// recorded a later state of the disk.
type replica struct {
	node      *Node
	raft      *multiraft.Node
	state     *lease.State
	clusterID uint64
	hello     Hello  // fields that do not change; Node.Hello adds the others
	leaderID  uint64 // replica ID of the known leader, or 0
	// proposalNumber is the number of the last proposal or read. It never decreases, so that the numbers
	// of different terms in which this gateway leads do not overlap.
	proposalNumber uint64
	helloSentAt    time.Duration
	frames         map[string][]byte // bodies of the frames of Raft messages to be sent, by gateway

	// State of the other gateways.
	hellos     map[string]Hello       // by gateway: the last hello
	names      map[uint64]string      // by replica: the name of its gateway
	diskStates map[uint64]*diskState  // by replica
	replies    map[string]*HelloReply // by gateway: the reply to its last hello

	// State of this gateway's disk.
	approvals map[uint64]bool // replicas that have no objection to the disk
	cleared   bool            // the replica may take part in the Raft group
	outdated  error           // why the disk must be an older copy, or nil
}

// diskState is the latest known state of a replica's disk.
type diskState struct{ boots, term, lastIndex, lastIndexTerm uint64 }

func newReplica(n *Node) *replica {
	identity := n.cfg.Disk
	return &replica{
		node: n, raft: multiraft.New(identity.ReplicaID, n.cfg.Seed), state: lease.NewState(0), clusterID: identity.ClusterID,
		hello: Hello{
			Fleet: n.cfg.Fleet, Format: FormatVersion, Name: n.cfg.Name, ReplicaID: identity.ReplicaID, Boots: identity.Boots,
			Address: n.cfg.Address,
		},
		// A proposal of the previous process may still be committed and must not be mistaken for one of
		// this process.
		proposalNumber: identity.Boots << 32,
		frames:         map[string][]byte{}, hellos: map[string]Hello{}, names: map[uint64]string{identity.ReplicaID: n.cfg.Name},
		diskStates: map[uint64]*diskState{}, replies: map[string]*HelloReply{}, approvals: map[uint64]bool{},
	}
}

// load starts the coordination group from the state stored on the disk.
func (r *replica) load() error {
	return r.raft.Add(CoordinationGroup, r.node.cfg.Stored[CoordinationGroup], (*stateMachine)(r))
}

// status returns the status of the coordination group.
func (r *replica) status() multiraft.Status {
	s, _ := r.raft.Status(CoordinationGroup)
	return s
}

// stateMachine implements multiraft.StateMachine for the coordination group.
type stateMachine replica

// Apply implements multiraft.StateMachine.
func (m *stateMachine) Apply(index uint64, command []byte) any {
	var c lease.Command
	if err := json.Unmarshal(command, &c); err != nil {
		return lease.Result{Code: lease.Rejected, Reason: fmt.Sprintf("decode command: %v", err)}
	}
	return m.state.Apply(index, &c)
}

// replicaNames is the context of a configuration change: the gateway names of the added replicas.
type replicaNames struct {
	Names map[uint64]string `json:"names"`
}

// MembersChanged implements multiraft.StateMachine.
func (m *stateMachine) MembersChanged(index uint64, context []byte, conf *raftpb.ConfState) {
	var names replicaNames
	if len(context) > 0 {
		json.Unmarshal(context, &names) // an error is ignored, as names are only displayed and may be empty
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

// Hello returns the current first message to another gateway. It must be sent before any later output of
// the node. It contains only persisted data, as the receivers use it to detect whether the disk is later
// replaced by an older copy.
func (n *Node) Hello() Hello {
	h := n.replica.hello
	h.ClusterID = n.replica.clusterID
	s := n.replica.status()
	h.Term, h.LastIndex = s.PersistedTerm, s.LastIndex
	return h
}

// HelloError is returned if a gateway's hello is rejected.
type HelloError struct{ Reason string }

func (e *HelloError) Error() string { return e.Reason }

func helloErrorf(format string, args ...any) *HelloError {
	return &HelloError{fmt.Sprintf(format, args...)}
}

// CheckFleet returns an error if the hello is from a gateway that belongs to another fleet, uses another
// format version, or has the same name as this gateway, whose hello is own.
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

// CheckClusterID returns an error if the hello is from a gateway of a fleet with the same name that was
// bootstrapped separately.
func (own *Hello) CheckClusterID(h *Hello) error {
	if h.ClusterID != 0 && own.ClusterID != 0 && h.ClusterID != own.ClusterID {
		return helloErrorf("its fleet has the same id but was bootstrapped another time")
	}
	return nil
}

// ValidateHello checks whether a gateway with the hello own and the given peers accepts a connection from
// the sender of h. If not, it returns an error of type *HelloError.
func ValidateHello(own, h *Hello, peers []string) error {
	if err := own.CheckFleet(h); err != nil {
		return err
	}
	if !slices.Contains(peers, h.Name) {
		return helloErrorf("%s is not among the peers in this gateway's configuration", h.Name)
	}
	return own.CheckClusterID(h)
}

// ValidateHello calls the function ValidateHello with the hello and the peers of this gateway.
func (n *Node) ValidateHello(h *Hello) error {
	own := n.replica.hello
	own.ClusterID = n.replica.clusterID
	return ValidateHello(&own, h, n.cfg.Peers)
}

// ReceiveHello handles the hello of another gateway that has connected. It must be called before any
// other frame of that connection is passed to Receive.
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

// objectionTo returns the reason why the disk of the sender must be an older copy, or "" if there is no
// evidence that it is one.
func (r *replica) objectionTo(h *Hello) string {
	s := r.diskStates[h.ReplicaID]
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

// receiveRepeatedHello handles a repeated hello of a gateway that waits for the reply to the hello of its
// connection. The repeated hello is not checked: it may be delayed, and later writes of the same disk would
// then make the disk look like an older copy.
func (r *replica) receiveRepeatedHello(from string, h *Hello) {
	if reply := r.replies[from]; reply != nil && reply.ReplicaID == h.ReplicaID {
		r.node.send(from, &Message{HelloReply: reply})
	}
}

// receiveHelloReply handles another gateway's reply about this gateway's disk.
func (r *replica) receiveHelloReply(from string, reply *HelloReply) {
	if reply.ReplicaID != r.node.cfg.Disk.ReplicaID {
		return
	}
	if reply.Objection == "" {
		r.approvals[r.hellos[from].ReplicaID] = true
		r.checkCleared()
		return
	}
	// The disk is marked as outdated even if the replica has already halted because of an inconsistent log:
	// a leader's messages may arrive before its objection, and only the objection identifies the disk as an
	// older copy that has to be replaced.
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

// halted returns the reason why the replica has stopped, or nil while it runs.
func (r *replica) halted() error {
	if r.outdated != nil {
		return r.outdated
	}
	return r.raft.Halted()
}

// repeatHello sends the hello again while the replica is not cleared.
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

// checkCleared clears the replica to take part in the Raft group once this replica and the voters without
// an objection to its disk form a quorum; fewer voters can't elect a leader anyway. Most copies of a disk
// are already detected when the disk is opened; this check detects copies whose later state other replicas
// have recorded.
func (r *replica) checkCleared() {
	if r.cleared {
		return
	}
	voters := r.status().Conf.GetVoters()
	if !slices.Contains(voters, r.node.cfg.Disk.ReplicaID) {
		r.cleared = true // a replica that is not a voter has cast no votes that could be lost
		return
	}
	votes := 1
	for _, id := range voters {
		if r.approvals[id] {
			votes++
		}
	}
	r.cleared = 2*votes > len(voters)
}

// bootstrap creates the fleet if this gateway is the first bootstrap replica. This happens once, when all
// bootstrap replicas are connected and none of them belongs to a fleet yet.
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
			return // that gateway is not connected yet, or the fleet already exists and this gateway has lost its disk
		}
		replicas = append(replicas, lease.Replica{ID: h.ReplicaID, Name: name})
		voters = append(voters, h.ReplicaID)
	}
	r.clusterID = r.node.rng.Uint64() | 1
	state := lease.NewState(r.clusterID, replicas...).Encode()
	// A new Raft node is needed, as the current one was started without the members of the group.
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

// adoptClusterID adopts the cluster ID of the replicated state.
func (r *replica) adoptClusterID() {
	id := r.state.ClusterID
	if id == 0 || id == r.clusterID {
		return
	}
	if r.clusterID != 0 {
		r.halt(fmt.Errorf("the replicated state belongs to a fleet with the same id that was bootstrapped separately"))
		return
	}
	r.clusterID, r.node.out.ClusterID = id, id
}

// halt stops the replica permanently.
func (r *replica) halt(err error) {
	if r.raft.Halted() != nil {
		return
	}
	r.raft.Halt(err)
	r.node.logWarn("replica stopped, requests are still served", "why", err.Error())
	r.node.leaderChanged(multiraft.LeaderChange{Group: CoordinationGroup})
}

// tick advances the timers of the Raft groups, once the replica is cleared.
func (r *replica) tick() {
	if r.cleared {
		r.raft.Tick()
	}
}

// receive handles a Raft message from another replica.
func (r *replica) receive(from string, g multiraft.Group, m *raftpb.Message) {
	if r.names[m.GetFrom()] != from || !r.cleared {
		return // the sender is a former disk of that gateway, or this replica is not cleared
	}
	if g == CoordinationGroup {
		r.recordDiskState(m)
	}
	r.raft.Step(g, m)
}

// recordDiskState records the state of the sender's disk from a message, so that an older copy of that disk
// can be detected. Only messages whose contents were persisted before they were sent are used, which does
// not hold for replies to heartbeats. A leader's heartbeats contain the last index persisted on its disk,
// see multiraft.
func (r *replica) recordDiskState(m *raftpb.Message) {
	lastIndex := uint64(0)
	switch m.GetType() {
	case raftpb.MsgAppResp:
		if !m.GetReject() {
			lastIndex = m.GetIndex()
		}
	case raftpb.MsgHeartbeat:
		if lastIndex = m.GetIndex(); lastIndex == 0 || failpoint.Enabled(failpoint.IgnoreLeaderLog) {
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
	s := r.diskStates[replica]
	if s == nil {
		s = &diskState{}
		r.diskStates[replica] = s
	}
	return s
}

// queueMessage adds a Raft message to the frame for its gateway. A snapshot is sent in a separate frame.
func (r *replica) queueMessage(e *multiraft.Envelope) {
	to, known := r.names[e.To]
	isSnapshot := e.Message.GetType() == raftpb.MsgSnap
	if h := r.hellos[to]; !known || h.ReplicaID != e.To {
		if isSnapshot {
			r.raft.SnapshotSent(e.To, false)
		}
		return // the gateway has a different disk now, or has not connected yet
	}
	if isSnapshot {
		r.node.out.Frames = append(r.node.out.Frames, Frame{To: to, Kind: KindRaft, Body: appendRaftMessage(nil, e), SnapshotTo: e.To})
		return
	}
	r.frames[to] = appendRaftMessage(r.frames[to], e)
}

// flushFrames moves the collected frames to the output.
func (r *replica) flushFrames() {
	for _, to := range slices.Sorted(maps.Keys(r.frames)) {
		r.node.out.Frames = append(r.node.out.Frames, Frame{To: to, Kind: KindRaft, Body: r.frames[to]})
	}
	clear(r.frames)
}

// unreachable reports to the Raft library that messages to a gateway are lost.
func (r *replica) unreachable(name string) {
	if h, ok := r.hellos[name]; ok {
		r.raft.Unreachable(h.ReplicaID)
	}
}

// leaderName returns the name of the leader, or "" if this replica does not know it.
func (r *replica) leaderName() string {
	if _, member := r.state.Replicas[r.node.cfg.Disk.ReplicaID]; r.raft.Halted() != nil || r.leaderID == 0 || !member {
		return "" // a replica that was removed no longer learns of new leaders
	}
	return r.names[r.leaderID]
}
