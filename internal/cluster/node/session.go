package node

import (
	"time"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/cluster/lease"
)

// maxSentRenewals bounds the renewals whose send times are stored until a reply arrives.
const maxSentRenewals = 16

// session is this gateway's session with its fleet. It is opened, renewed until the leader reports that it
// has expired, and then opened again.
type session struct {
	node         *Node
	id           uint64 // session ID, or 0 if no session is open
	openProposal uint64 // ID of the pending proposal that opens a session, or 0
	opens        uint64 // number of attempts of this process to open a session
	target       leaderTarget

	lastSeq     uint64                   // sequence number of the last renewal sent
	ackedSeq    uint64                   // sequence number of the last renewal with a reply from the leader
	sentAt      map[uint64]time.Duration // send times of renewals without a reply, by sequence number
	renewedAt   time.Duration            // time at which the last renewal was sent
	renewDelay  time.Duration            // delay from renewedAt to the next renewal
	deadline    time.Duration            // time until which this gateway may act as the holder of its leases
	lastRequest uint64                   // request number of the last command of the session
}

func newSession(n *Node) *session {
	replicas := n.cfg.BootstrapReplicas
	return &session{
		node: n, target: leaderTarget{name: replicas[n.rng.IntN(len(replicas))]}, sentAt: map[uint64]time.Duration{},
		renewDelay: lease.RenewInterval,
	}
}

// requestOpen proposes to open a session, unless such a proposal is pending.
func (s *session) requestOpen() {
	if s.openProposal == 0 {
		s.openProposal = s.node.proposals.add(s.openCommand())
	}
}

// openCommand returns the command that opens the next session. Its OpenSequence is higher than that of all
// earlier ones from this disk, so that a delayed earlier command can't end the session.
func (s *session) openCommand() lease.Command {
	s.opens++
	cfg := &s.node.cfg
	return lease.Command{Op: lease.OpOpenSession, Open: &lease.OpenRequest{
		Name: cfg.Name, DiskID: cfg.Disk.ReplicaID, OpenSequence: cfg.Disk.Boots<<32 | s.opens, Zone: cfg.Zone, Machine: cfg.Machine,
		Address: cfg.Address, CandidateLeases: cfg.CandidateLeases, Role: s.node.role(),
	}}
}

// handleOpenResult handles the result of the command that opens the session.
func (s *session) handleOpenResult(p *pendingProposal, r *lease.Result) {
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
	s.renewDelay = n.retryDelay() // receiveReply changes it when a reply arrives
	s.sentAt[s.lastSeq] = n.now
	for seq := range s.sentAt {
		if seq+maxSentRenewals <= s.lastSeq {
			delete(s.sentAt, seq)
		}
	}
	n.out.RenewalSent = true
	s.sendToTarget(&Message{Renew: &RenewRequest{s.id, s.lastSeq, s.ackedSeq, n.view.revision, n.isGateway()}})
}

// receiveReply handles the reply to a renewal, or changes that a leader has sent unsolicited.
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
	s.target.recordReply(from, fromLeader, r.Leader)
	sentAt, ok := s.sentAt[r.Seq]
	if !ok {
		return
	}
	if r.Delta != nil || r.Unconfirmed { // other replies are no proof that the leader's messages arrive
		s.ackedSeq = max(s.ackedSeq, r.Seq)
	}
	n.out.LeaderResponded = n.out.LeaderResponded || fromLeader
	switch {
	case r.Unconfirmed:
		s.renewDelay = 0 // renew immediately to acknowledge this reply
	case r.Expired:
		s.handleExpiry("the leader has no such session")
	case r.Delta == nil:
		s.handleRedirect(r)
	default:
		s.handleConfirmation(from, sentAt, r)
	}
}

// handleRedirect handles the reply of a gateway that does not lead.
func (s *session) handleRedirect(r *RenewReply) {
	delete(s.sentAt, r.Seq)
	if r.Leader != "" && r.Leader != s.target.name {
		s.target.set(r.Leader)
		s.renewDelay = TickInterval
	}
}

// handleConfirmation handles a leader's confirmation of the renewal that was sent at sentAt.
func (s *session) handleConfirmation(from string, sentAt time.Duration, r *RenewReply) {
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

// handleExpiry clears the local state of a session that has expired.
func (s *session) handleExpiry(reason string) {
	s.node.logWarn("session expired", "session", s.id, "why", reason)
	s.id, s.deadline, s.openProposal = 0, 0, 0
	clear(s.sentAt)
	s.node.view.dropAll()
}

// leaderTarget is the gateway that is assumed to be the leader, and receives requests for the leader.
type leaderTarget struct {
	name string
	// unansweredSince is the time at which the first request without a reply was sent, or 0 if there is
	// none.
	unansweredSince time.Duration
}

// unansweredLongAgo is a value of unansweredSince that is long past, so that the next request goes to another
// gateway.
const unansweredLongAgo time.Duration = 1

func (t *leaderTarget) set(name string) {
	if name != t.name {
		t.name, t.unansweredSince = name, 0
	}
}

// recordReply records a reply from a gateway. leads reports whether the gateway is the leader; otherwise
// leader is the leader's name, or empty if the gateway does not know it.
func (t *leaderTarget) recordReply(from string, leads bool, leader string) {
	switch {
	case from != t.name:
	case leads || leader != "" && leader != from:
		t.unansweredSince = 0
	default:
		t.unansweredSince = unansweredLongAgo
	}
}

// reconnected records a new connection. A missing reply on the previous connection does not indicate that
// the leader has failed. The name leader is empty if it is not known.
func (t *leaderTarget) reconnected(leader string) {
	t.unansweredSince = 0
	if leader != "" {
		t.name = leader
	}
}

// sendToTarget sends a message to the gateway that is assumed to be the leader.
func (s *session) sendToTarget(m *Message) {
	if s.target.unansweredSince == 0 {
		s.target.unansweredSince = s.node.now
	}
	s.node.send(s.target.name, m)
}

// rotateTarget chooses another gateway that may be the leader, if the current target does not reply.
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
