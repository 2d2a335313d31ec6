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
)

const (
	// reproposeInterval is the time after which the leader proposes one of its own commands again if the
	// command has not been applied.
	reproposeInterval = time.Second
	// rebalanceInterval is the time between two rounds of rebalancing leases.
	rebalanceInterval = 2 * time.Second
	// replicaCheckInterval is the time between two checks of the set of replicas.
	replicaCheckInterval = 500 * time.Millisecond
	// maxLearnerLag is the number of entries that a learner may lag behind when it is promoted.
	maxLearnerLag = 64
	// maxQueuedRequests bounds the renewals that are queued for the next read index and, separately, the
	// proposals of other gateways that have not been applied yet. 4,700 gateways renew every second, and
	// some requests are retries.
	maxQueuedRequests = 8192
)

// leader is the state of this gateway while it leads the coordination group. It is created when the
// gateway wins an election and discarded when the gateway loses leadership.
type leader struct {
	node              *Node
	expiry            *lease.ExpiryTracker
	proposers         map[uint64]proposer      // by proposal number
	proposedAt        map[string]time.Duration // times at which the leader's own commands were last proposed, by key
	rebalancedAt      time.Duration
	replicasCheckedAt time.Duration
	seenRevision      uint64 // revision of the state in the last call of runTasks, or 0 before the first

	// Renewals are answered after a quorum has confirmed that this gateway leads, by a read index.
	queued      []renewal // renewals to be confirmed by the next read
	readNumber  uint64    // number of the pending read, or 0
	readAt      time.Duration
	unconfirmed []renewal // renewals to be confirmed by the pending read
	confirmed   []confirmedRenewals
}

// proposer identifies the gateway that proposed a command, and the ID that it gave to the proposal.
type proposer struct {
	name string
	id   uint64
}

// renewal is a request to renew a session.
type renewal struct {
	from       string
	request    RenewRequest
	receivedAt time.Duration
}

// confirmedRenewals are renewals that may be answered once the log has been applied up to an index.
type confirmedRenewals struct {
	index uint64
	list  []renewal
}

// leaderChanged handles a change of the leader of a group.
func (n *Node) leaderChanged(change multiraft.LeaderChange) {
	if change.Group != CoordinationGroup {
		return
	}
	n.replica.leaderID = change.Leader
	if change.IsSelf == (n.leader != nil) {
		return
	}
	if change.IsSelf {
		n.leader = &leader{
			node: n, expiry: lease.NewExpiryTracker(n.now), proposers: map[uint64]proposer{}, proposedAt: map[string]time.Duration{},
			rebalancedAt: n.now, replicasCheckedAt: n.now,
		}
		n.logInfo("became leader", "term", change.Term)
		return
	}
	n.leader = nil // the proposers retry the pending commands
	n.logInfo("lost leadership", "term", change.Term, "leader", n.replica.names[change.Leader])
}

// proposeOnce proposes one of the leader's own commands, at most once per reproposeInterval for each key.
func (l *leader) proposeOnce(key string, c lease.Command) {
	if at, ok := l.proposedAt[key]; ok && l.node.now < at+reproposeInterval {
		return
	}
	l.proposedAt[key] = l.node.now
	l.propose(c, proposer{})
}

// propose proposes a command to the Raft group. It reports false if the group did not accept it, usually
// because this gateway no longer leads.
func (l *leader) propose(c lease.Command, from proposer) bool {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err) // unreachable: a command consists of strings and numbers
	}
	r := l.node.replica
	r.proposalNumber++
	if r.raft.Propose(CoordinationGroup, r.proposalNumber, b) != nil {
		return false
	}
	if from.name != "" {
		l.proposers[r.proposalNumber] = from
	}
	return true
}

// runTasks publishes changes of the state and runs the leader's tasks that are due: it ends expired
// sessions, assigns free leases, records the remaining durations of overrides, rebalances leases, adjusts
// the set of replicas, and requests the read index for renewals. It is called in each tick and after each
// change of the state.
func (l *leader) runTasks() {
	n, state := l.node, l.node.replica.state
	l.publishChanges()
	l.seenRevision = state.Revision
	for key, at := range l.proposedAt {
		if n.now >= at+reproposeInterval {
			delete(l.proposedAt, key)
		}
	}
	for _, id := range l.expiry.Expired(n.now, state) {
		l.propose(lease.Command{Op: lease.OpExpireSession, Session: id}, proposer{})
	}
	for _, c := range lease.AssignFree(state) {
		l.proposeOnce(fmt.Sprintf("assign %s %d %d", c.Lease, c.Token, c.Session), c)
	}
	for _, c := range l.expiry.OverrideUpdates(n.now, state) {
		l.proposeOnce("update override "+c.Override.Key(), c)
	}
	if n.now >= l.rebalancedAt+rebalanceInterval {
		l.rebalancedAt = n.now
		for _, c := range lease.Rebalance(state) {
			l.proposeOnce("transfer "+c.Lease, c)
		}
	}
	if n.now >= l.replicasCheckedAt+replicaCheckInterval {
		l.replicasCheckedAt = n.now
		l.changeReplicas()
	}
	readIsLate := l.readNumber != 0 && n.now >= l.readAt+retryInterval
	if l.readNumber == 0 && len(l.queued) > 0 || readIsLate {
		l.requestReadIndex()
	}
}

// publishChanges logs lease transfers, and sends changed leases to their holders and changed overrides to
// all gateways with a session.
func (l *leader) publishChanges() {
	n, state := l.node, l.node.replica.state
	for _, t := range state.TakeTransfers() {
		n.logInfo(LogLeaseTransferred, "lease", t.Lease, "from", t.From, "to", t.To, "token", t.Token, "cause", t.Cause, "index", t.Revision)
	}
	if l.seenRevision == 0 {
		return // newly elected: gateways receive the changes in the replies to their renewals
	}
	delta := state.DeltaSince(l.seenRevision)
	for _, v := range delta.Leases {
		if sess := state.Sessions[v.HolderSession]; sess != nil {
			update := &lease.StateDelta{Leases: []lease.LeaseView{v}}
			n.send(sess.Name, &Message{RenewReply: &RenewReply{Session: sess.ID, Delta: update}})
		}
	}
	if state.OverridesModRevision <= l.seenRevision {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(state.Sessions)) {
		update := &lease.StateDelta{ClusterID: delta.ClusterID, OverridesModRevision: delta.OverridesModRevision, Overrides: delta.Overrides}
		n.send(state.Sessions[id].Name, &Message{RenewReply: &RenewReply{Session: id, Delta: update}})
	}
}

// changeReplicas starts the next step towards the desired set of replicas.
func (l *leader) changeReplicas() {
	n, r := l.node, l.node.replica
	s := r.status()
	if len(s.Conf.GetVotersOutgoing()) > 0 {
		return // a joint configuration change is in progress
	}
	caughtUp := func(id uint64) bool { return s.Match[id]+maxLearnerLag >= s.LastIndex && s.Match[id] > 0 }
	c, ok := lease.NextReplicaChange(r.state, caughtUp)
	if !ok {
		return
	}
	if slices.Contains(c.Remove, n.cfg.Disk.ReplicaID) {
		l.yieldLeadership(s)
		return
	}
	if r.raft.ChangeMembers(CoordinationGroup, confChange(c)) == nil {
		n.logInfo("changing replicas", "gateway", c.Member, "add_learner", c.AddLearner, "promote", c.Promote, "remove", c.Remove)
	}
}

// confChange returns a step as a configuration change of the Raft group.
func confChange(c lease.ReplicaChange) *raftpb.ConfChangeV2 {
	var cc raftpb.ConfChangeV2
	names := replicaNames{map[uint64]string{}}
	add := func(t raftpb.ConfChangeType, id uint64) {
		cc.Changes = append(cc.Changes, &raftpb.ConfChangeSingle{Type: t.Enum(), NodeId: new(id)})
	}
	if c.AddLearner != 0 {
		add(raftpb.ConfChangeAddLearnerNode, c.AddLearner)
		names.Names[c.AddLearner] = c.Member
	}
	if c.Promote != 0 {
		add(raftpb.ConfChangeAddNode, c.Promote)
		names.Names[c.Promote] = c.Member
	}
	for _, id := range c.Remove {
		add(raftpb.ConfChangeRemoveNode, id)
	}
	cc.Context, _ = json.Marshal(names) // can't fail: names consists of numbers and strings
	return &cc
}

// yieldLeadership transfers leadership to any voter that is up to date. It is called when this replica is
// to be removed.
func (l *leader) yieldLeadership(s multiraft.Status) {
	r := l.node.replica
	for id, match := range s.Match {
		if id != l.node.cfg.Disk.ReplicaID && match >= s.Commit && !r.state.Replicas[id].Learner {
			r.raft.TransferLeadership(CoordinationGroup, id)
			return
		}
	}
}

// TransferLeadership transfers leadership to the voter with the longest log, if this gateway leads. It is
// for a gateway that shuts down, so that the fleet does not wait for an election timeout.
func (n *Node) TransferLeadership(now time.Duration) {
	n.now = now
	s := n.replica.status()
	if !s.IsLeader {
		return
	}
	var target uint64
	for _, id := range s.Conf.GetVoters() {
		if id != n.cfg.Disk.ReplicaID && (target == 0 || s.Match[id] > s.Match[target]) {
			target = id
		}
	}
	if target != 0 {
		n.replica.raft.TransferLeadership(CoordinationGroup, target)
	}
}

// receiveProposal handles a command that a gateway has proposed.
func (n *Node) receiveProposal(from string, p *Proposal) {
	notLeader := &Message{ProposalReply: &ProposalReply{ID: p.ID, NotLeader: true, Leader: n.replica.leaderName()}}
	if n.leader == nil {
		n.send(from, notLeader)
		return
	}
	switch p.Command.Op {
	case lease.OpExpireSession, lease.OpAssign, lease.OpUpdateOverride:
		return // only the leader may propose these
	}
	if len(n.leader.proposers) >= maxQueuedRequests {
		return // the proposer retries it
	}
	if !n.leader.propose(p.Command, proposer{from, p.ID}) {
		n.send(from, notLeader)
	}
}

// commandApplied sends the result of an applied command to the gateway that proposed it.
func (n *Node) commandApplied(r *multiraft.Result) {
	if n.leader == nil {
		return
	}
	result, ok := r.Value.(lease.Result)
	from := n.leader.proposers[r.ID]
	delete(n.leader.proposers, r.ID)
	if !ok || from.name == "" {
		return
	}
	if result.Code == lease.OK && result.Session != 0 {
		n.leader.expiry.SessionOpened(n.now, result.Session)
	}
	n.send(from.name, &Message{ProposalReply: &ProposalReply{ID: from.id, Result: &result}})
}

// receiveRenew handles a request to renew a session. The reply is sent after a quorum has confirmed that
// this gateway still leads. Any later leader is then elected after the request was received, and gives the
// session a full TTL from its election, so the session can't expire before the holder's deadline.
func (n *Node) receiveRenew(from string, r *RenewRequest) {
	if n.leader == nil {
		n.send(from, &Message{RenewReply: &RenewReply{Session: r.Session, Seq: r.Seq, Leader: n.replica.leaderName()}})
		return
	}
	l, pending := n.leader, renewal{from, *r, n.now}
	if failpoint.Enabled(failpoint.SkipLeaderCheck) {
		l.replyToRenewal(&pending)
		return
	}
	if len(l.queued) < maxQueuedRequests {
		l.queued = append(l.queued, pending)
	}
	if l.readNumber == 0 {
		l.requestReadIndex()
	}
}

// requestReadIndex requests confirmation from a quorum that this gateway leads, for all queued renewals.
func (l *leader) requestReadIndex() {
	r := l.node.replica
	r.proposalNumber++
	if r.raft.RequestReadIndex(CoordinationGroup, r.proposalNumber) != nil {
		return
	}
	l.unconfirmed = append(l.unconfirmed, l.queued...)
	l.queued = nil
	l.readNumber, l.readAt = r.proposalNumber, l.node.now
}

// readIndexConfirmed handles the confirmation by a quorum.
func (l *leader) readIndexConfirmed(r multiraft.ReadIndex) {
	if r.ID != l.readNumber {
		return
	}
	l.confirmed = append(l.confirmed, confirmedRenewals{r.Index, l.unconfirmed})
	l.readNumber, l.unconfirmed = 0, nil
	if len(l.queued) > 0 {
		l.requestReadIndex()
	}
}

// replyToConfirmed replies to confirmed renewals, once the log has been applied up to their read index.
func (l *leader) replyToConfirmed() {
	for len(l.confirmed) > 0 {
		if l.node.replica.status().Applied < l.confirmed[0].index {
			return
		}
		list := l.confirmed[0].list
		l.confirmed = l.confirmed[1:]
		for i := range list {
			l.replyToRenewal(&list[i])
		}
	}
}

func (l *leader) replyToRenewal(pending *renewal) {
	n, state, request := l.node, l.node.replica.state, &pending.request
	reply := &RenewReply{Session: request.Session, Seq: request.Seq, Term: n.replica.status().Term}
	sess := state.Sessions[request.Session]
	switch {
	case sess == nil:
		reply.Expired = true
	case !l.expiry.Acknowledge(request.Session, request.AckedSeq, pending.receivedAt):
		reply.Unconfirmed = true
	case !l.expiry.Renew(request.Session, pending.receivedAt):
		reply.Expired = true
	case request.Compact:
		reply.Delta = new(state.CompactDeltaSince(request.KnownRevision, sess.Name))
	default:
		reply.Delta = new(state.DeltaSince(request.KnownRevision))
	}
	n.send(pending.from, &Message{RenewReply: reply})
}
