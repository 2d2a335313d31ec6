package node

import (
	"time"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/cluster/lease"
)

// maxSentRenewals bounds the renewals whose times are kept until a reply arrives.
const maxSentRenewals = 16

// session is this gateway's session with its fleet: it is opened, renewed until it is found to have
// expired, and then opened anew.
type session struct {
	node         *Node
	id           uint64 // 0: there is none
	openProposal uint64 // ID of the proposal that opens it; 0: none is pending
	opens        uint64 // how often this process has tried to open one
	target       leaderTarget

	lastSeq     uint64                   // of the last renewal sent
	ackedSeq    uint64                   // of the last renewal that was replied to
	sentAt      map[uint64]time.Duration // of renewals without a reply
	renewedAt   time.Duration            // when the last renewal was sent
	renewDelay  time.Duration            // from there to the next
	deadline    time.Duration            // until which the leases may be held
	lastRequest uint64                   // number of the last command within the session
}

func newSession(n *Node) *session {
	replicas := n.cfg.BootstrapReplicas
	return &session{
		node: n, target: leaderTarget{name: replicas[n.rng.IntN(len(replicas))]}, sentAt: map[uint64]time.Duration{},
		renewDelay: lease.RenewInterval,
	}
}

// requestOpen proposes to open a session, unless that is pending.
func (s *session) requestOpen() {
	if s.openProposal == 0 {
		s.openProposal = s.node.proposals.add(s.openCommand())
	}
}

// openCommand returns the command that opens the next session. Its sequence is above that of any
// earlier one from this disk, so that a command that arrives late ends nothing.
func (s *session) openCommand() lease.Command {
	s.opens++
	cfg := &s.node.cfg
	return lease.Command{Op: lease.OpOpenSession, Open: &lease.OpenRequest{
		Name: cfg.Name, DiskID: cfg.Disk.ReplicaID, OpenSequence: cfg.Disk.Boots<<32 | s.opens, Zone: cfg.Zone, Machine: cfg.Machine,
		Address: cfg.Address, CandidateLeases: cfg.CandidateLeases, Role: s.node.role(),
	}}
}

// opened takes the result of the command that opens the session.
func (s *session) opened(p *pendingProposal, r *lease.Result) {
	n := s.node
	n.proposals.finish(p, Outcome{})
	if r.Code != lease.OK {
		n.logWarn("session rejected by the fleet", "why", r.Reason)
		s.openProposal = n.proposals.addAt(n.now+lease.RenewInterval, s.openCommand())
		return
	}
	s.id, s.lastRequest, s.lastSeq, s.ackedSeq = r.Session, 0, 0, 0
	n.view.revision = 0
	n.logInfo("session opened", "session", r.Session)
	s.renew()
}

// renew sends a request to renew the session.
func (s *session) renew() {
	n := s.node
	s.rotateTarget()
	s.lastSeq++
	s.renewedAt = n.now
	s.renewDelay = n.retryDelay() // unless a reply arrives
	s.sentAt[s.lastSeq] = n.now
	for seq := range s.sentAt {
		if seq+maxSentRenewals <= s.lastSeq {
			delete(s.sentAt, seq)
		}
	}
	n.out.RenewalSent = true
	s.sendToTarget(&Message{Renew: &RenewRequest{s.id, s.lastSeq, s.ackedSeq, n.view.revision, n.isGateway()}})
}

// receiveReply takes the reply to a renewal, or changes that a leader sends by itself.
func (s *session) receiveReply(from string, r *RenewReply) {
	n := s.node
	if r.Session != s.id || s.id == 0 {
		return
	}
	if r.Seq == 0 {
		if r.Delta != nil {
			n.view.applyLeases(r.Delta.Leases)
			n.view.applyOverrides(r.Delta)
		}
		return
	}
	fromLeader := r.Delta != nil || r.Unconfirmed || r.Expired
	s.target.noteReply(from, fromLeader, r.Leader)
	sentAt, ok := s.sentAt[r.Seq]
	if !ok {
		return
	}
	if r.Delta != nil || r.Unconfirmed { // replies of others do not show that the leader is heard
		s.ackedSeq = max(s.ackedSeq, r.Seq)
	}
	n.out.LeaderResponded = n.out.LeaderResponded || fromLeader
	switch {
	case r.Unconfirmed:
		s.renewDelay = 0 // renewed once the leader knows that its replies arrive
	case r.Expired:
		s.expired("the leader does not know it")
	case r.Delta == nil:
		s.redirected(r)
	default:
		s.renewed(from, sentAt, r)
	}
}

// redirected takes the reply of a gateway that does not lead.
func (s *session) redirected(r *RenewReply) {
	delete(s.sentAt, r.Seq)
	if r.Leader != "" && r.Leader != s.target.name {
		s.target.set(r.Leader)
		s.renewDelay = TickInterval
	}
}

// renewed takes a leader's confirmation of the renewal that was sent at sentAt.
func (s *session) renewed(from string, sentAt time.Duration, r *RenewReply) {
	if failpoint.Enabled(failpoint.DeadlineFromReply) {
		sentAt = s.node.now
	}
	clear(s.sentAt)
	s.target.set(from)
	s.renewDelay = lease.RenewInterval
	s.deadline = max(s.deadline, lease.HolderDeadline(sentAt))
	s.node.view.apply(from, r)
	s.node.view.extendGrants(s.deadline)
}

// expired ends the session as this gateway knows it.
func (s *session) expired(reason string) {
	s.node.logWarn("session expired", "session", s.id, "why", reason)
	s.id, s.deadline, s.openProposal = 0, 0, 0
	clear(s.sentAt)
	s.node.view.dropAll()
}

// leaderTarget is the gateway that is taken for the leader.
type leaderTarget struct {
	name string
	// unansweredSince is when the first request was sent that it has not replied to; 0: none.
	unansweredSince time.Duration
}

// abandoned is an unansweredSince so long ago that another gateway is asked next.
const abandoned time.Duration = 1

func (t *leaderTarget) set(name string) {
	if name != t.name {
		t.name, t.unansweredSince = name, 0
	}
}

// noteReply notes a reply of a gateway, which leads or names the leader; leader is "" where it knows
// none.
func (t *leaderTarget) noteReply(from string, leads bool, leader string) {
	switch {
	case from != t.name:
	case leads || leader != "" && leader != from:
		t.unansweredSince = 0
	default:
		t.unansweredSince = abandoned
	}
}

// reconnected notes a new connection: that there was no reply by the previous one says nothing of the
// leader, "" where it is not known.
func (t *leaderTarget) reconnected(leader string) {
	t.unansweredSince = 0
	if leader != "" {
		t.name = leader
	}
}

// sendToTarget sends a message to the gateway that is taken for the leader.
func (s *session) sendToTarget(m *Message) {
	if s.target.unansweredSince == 0 {
		s.target.unansweredSince = s.node.now
	}
	s.node.send(s.target.name, m)
}

// rotateTarget chooses another gateway that may lead where the present one does not reply.
func (s *session) rotateTarget() {
	n, t := s.node, &s.target
	if t.unansweredSince == 0 || n.now < t.unansweredSince+retryInterval {
		return
	}
	if leader := n.replica.leaderName(); leader != "" && leader != t.name {
		t.set(leader)
		return
	}
	var voters []string
	for _, r := range n.view.replicas {
		if !r.Learner && r.Name != "" && r.Name != t.name {
			voters = append(voters, r.Name)
		}
	}
	if len(voters) == 0 {
		voters = n.cfg.BootstrapReplicas
	}
	t.unansweredSince = 0
	t.set(voters[n.rng.IntN(len(voters))])
}
