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
	// reproposeInterval is when the leader proposes a command of its own again that was not applied.
	reproposeInterval = time.Second
	// rebalanceInterval lies between two rounds of moving leases only for balance.
	rebalanceInterval = 2 * time.Second
	// replicaCheckInterval lies between two checks of the set of replicas.
	replicaCheckInterval = 500 * time.Millisecond
	// maxLearnerLag is how many entries a learner may be behind when it gets a vote.
	maxLearnerLag = 64
	// maxQueuedRenewals bounds the renewals that wait for a read index, and the proposals of others that
	// wait to be applied: 4,700 gateways renew within a second, and some retry.
	maxQueuedRenewals = 8192
)

// leader is the work of the gateway that leads the coordination group. A new one is made with each
// election that this gateway wins, and dropped when it loses the lead.
type leader struct {
	node              *Node
	expiry            *lease.ExpiryTracker
	proposers         map[uint64]proposer      // by number of the proposal
	proposedAt        map[string]time.Duration // the leader's own commands, by key
	rebalancedAt      time.Duration
	replicasCheckedAt time.Duration
	seenRevision      uint64 // of the state when runDuties was last run; 0: it was not yet

	// Renewals are answered once a quorum has confirmed that this gateway leads (read index).
	queued      []renewal // to be confirmed by the next read
	readNumber  uint64    // of the read under way; 0: none
	readAt      time.Duration
	unconfirmed []renewal // that the read under way confirms
	confirmed   []confirmedRenewals
}

// proposer is the gateway that proposed a command, and its own ID for it.
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

// confirmedRenewals are renewals that may be answered once the state has been applied up to an index.
type confirmedRenewals struct {
	index uint64
	list  []renewal
}

// leaderChanged takes a change of the group's leader.
func (n *Node) leaderChanged(t multiraft.LeaderChange) {
	if t.Group != CoordinationGroup {
		return
	}
	n.replica.leaderID = t.Leader
	if t.IsSelf == (n.leader != nil) {
		return
	}
	if t.IsSelf {
		n.leader = &leader{
			node: n, expiry: lease.NewExpiryTracker(n.now), proposers: map[uint64]proposer{}, proposedAt: map[string]time.Duration{},
			rebalancedAt: n.now, replicasCheckedAt: n.now,
		}
		n.logInfo("became leader", "term", t.Term)
		return
	}
	n.leader = nil // others retry the commands that were under way
	n.logInfo("lost leadership", "term", t.Term, "leader", n.replica.names[t.Leader])
}

// proposeOnce proposes a command of the leader's own, at most once in reproposeInterval for each key.
func (l *leader) proposeOnce(key string, c lease.Command) {
	if at, ok := l.proposedAt[key]; ok && l.node.now < at+reproposeInterval {
		return
	}
	l.proposedAt[key] = l.node.now
	l.propose(c, proposer{})
}

// propose appends a command to the log. It reports false where this gateway does not lead any more.
func (l *leader) propose(c lease.Command, from proposer) bool {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err) // it consists of strings and numbers
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

// runDuties does the leader's work: it ends sessions that were not renewed, assigns free leases,
// balances them, and adjusts the set of replicas.
func (l *leader) runDuties() {
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
		l.proposeOnce("expire override "+c.Override.Key(), c)
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

// publishChanges logs lease transfers, and sends changed leases to their holders and changed overrides
// to all.
func (l *leader) publishChanges() {
	n, state := l.node, l.node.replica.state
	for _, t := range state.TakeTransfers() {
		n.logInfo(LogLeaseTransferred, "lease", t.Lease, "from", t.From, "to", t.To, "token", t.Token, "cause", t.Cause, "index", t.Revision)
	}
	if l.seenRevision == 0 {
		return // newly elected: gateways get the changes with their renewals
	}
	delta := state.DeltaSince(l.seenRevision)
	for _, v := range delta.Leases {
		if x := state.Sessions[v.HolderSession]; x != nil {
			update := &lease.StateDelta{Leases: []lease.LeaseView{v}}
			n.send(x.Name, &Message{RenewReply: &RenewReply{Session: x.ID, Delta: update}})
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

// changeReplicas takes the next step towards the desired replicas.
func (l *leader) changeReplicas() {
	n, r := l.node, l.node.replica
	s := r.status()
	if len(s.Conf.GetVotersOutgoing()) > 0 {
		return // a change is under way
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

// confChange returns a step as Raft takes it.
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
	cc.Context, _ = json.Marshal(names) // numbers and strings
	return &cc
}

// yieldLeadership transfers the lead to any voter that is up to date, as this replica is to be
// removed.
func (l *leader) yieldLeadership(s multiraft.Status) {
	r := l.node.replica
	for id, match := range s.Match {
		if id != l.node.cfg.Disk.ReplicaID && match >= s.Commit && !r.state.Replicas[id].Learner {
			r.raft.TransferLeadership(CoordinationGroup, id)
			return
		}
	}
}

// TransferLeadership gives the lead to the voter with the longest log, where this gateway has it: for
// a gateway that shuts down, so that nobody waits for an election.
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

// receiveProposal takes a command that a gateway proposes.
func (n *Node) receiveProposal(from string, p *Proposal) {
	notLeader := &Message{ProposalReply: &ProposalReply{ID: p.ID, NotLeader: true, Leader: n.replica.leaderName()}}
	if n.leader == nil {
		n.send(from, notLeader)
		return
	}
	switch p.Command.Op {
	case lease.OpExpireSession, lease.OpAssign, lease.OpExpireOverride:
		return // only the leader's own
	}
	if len(n.leader.proposers) >= maxQueuedRenewals {
		return // it is retried
	}
	if !n.leader.propose(p.Command, proposer{from, p.ID}) {
		n.send(from, notLeader)
	}
}

// commandApplied answers the gateway whose command was applied.
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

// receiveRenew takes a request to renew a session. It is answered once a quorum has confirmed that
// this gateway leads: the next leader gives the session a full TTL from a later moment.
func (n *Node) receiveRenew(from string, r *RenewRequest) {
	if n.leader == nil {
		n.send(from, &Message{RenewReply: &RenewReply{Session: r.Session, Seq: r.Seq, Leader: n.replica.leaderName()}})
		return
	}
	l, w := n.leader, renewal{from, *r, n.now}
	if failpoint.Enabled(failpoint.SkipLeaderCheck) {
		l.answerRenewal(&w)
		return
	}
	if len(l.queued) < maxQueuedRenewals {
		l.queued = append(l.queued, w)
	}
	if l.readNumber == 0 {
		l.requestReadIndex()
	}
}

// requestReadIndex asks a quorum whether this gateway leads, for all queued renewals.
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

// readIndexConfirmed takes the confirmation of a quorum.
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

// answerConfirmed answers confirmed renewals, as soon as the state is applied up to the read index.
func (l *leader) answerConfirmed() {
	for len(l.confirmed) > 0 {
		if l.node.replica.status().Applied < l.confirmed[0].index {
			return
		}
		list := l.confirmed[0].list
		l.confirmed = l.confirmed[1:]
		for i := range list {
			l.answerRenewal(&list[i])
		}
	}
}

func (l *leader) answerRenewal(w *renewal) {
	n, state, request := l.node, l.node.replica.state, &w.request
	reply := &RenewReply{Session: request.Session, Seq: request.Seq, Term: n.replica.status().Term}
	x := state.Sessions[request.Session]
	switch {
	case x == nil:
		reply.Expired = true
	case !l.expiry.Acknowledge(request.Session, request.AckedSeq, w.receivedAt):
		reply.Unconfirmed = true
	case !l.expiry.Renew(request.Session, w.receivedAt):
		reply.Expired = true
	case request.Compact:
		reply.Delta = new(state.CompactDeltaSince(request.KnownRevision, x.Name))
	default:
		reply.Delta = new(state.DeltaSince(request.KnownRevision))
	}
	n.send(w.from, &Message{RenewReply: reply})
}
