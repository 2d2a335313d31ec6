package node

import (
	"slices"
	"time"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/cluster/lease"
)

const (
	// commandTimeout is the time after which the outcome of a command without a reply is reported as
	// unknown.
	commandTimeout = 10 * time.Second
	// maxPendingProposals bounds the proposals of this gateway that have no reply yet.
	maxPendingProposals = 16
)

// proposals are the commands that this gateway has proposed and that have no reply yet. A retry has the
// same ID and request number as the first attempt, so the command is applied only once.
type proposals struct {
	node   *Node
	list   []*pendingProposal
	lastID uint64
}

type pendingProposal struct {
	Proposal
	proposedAt, retryAt time.Duration
	reported            bool // the outcome was reported to the caller as unknown
}

func newProposals(n *Node) *proposals {
	// A reply to a proposal of the previous process may still arrive and must not match a proposal of this
	// process, so the IDs start from the number of boots.
	disk := n.cfg.Disk
	return &proposals{node: n, lastID: uint64(uint16(disk.ReplicaID))<<48 | disk.Boots<<32}
}

// Propose proposes a command and returns the ID of its Outcome. It returns 0 and does nothing if too many
// commands are pending.
func (n *Node) Propose(now time.Duration, c lease.Command) uint64 {
	n.now = now
	p := n.proposals
	if len(p.list) >= maxPendingProposals {
		return 0
	}
	if c.Op != lease.OpAddReplica && c.Op != lease.OpRemoveReplica {
		if n.session.id == 0 {
			p.lastID++
			n.out.Outcomes = append(n.out.Outcomes, Outcome{ID: p.lastID, Known: true, Result: lease.Result{Code: lease.NoSession}})
			return p.lastID
		}
		n.session.lastRequest++
		c.Session, c.Request = n.session.id, n.session.lastRequest
	}
	if c.Op == lease.OpRelease {
		// The grant ends before the command is sent, as the next holder may act as soon as it is applied.
		n.view.released[c.Lease] = c.Token
		n.view.drop(c.Lease)
	}
	return p.add(c)
}

// ReleaseStopped releases a lease after the work under it has stopped. It returns the ID of the Outcome, or
// 0 if this gateway no longer holds the lease with that token or too many commands are pending.
func (n *Node) ReleaseStopped(now time.Duration, name string, token uint64) uint64 {
	n.now = now
	g := n.view.grants[name]
	if g == nil || g.Token != token {
		return 0
	}
	return n.Propose(now, lease.Command{Op: lease.OpRelease, Lease: name, Token: token})
}

// add proposes a command immediately.
func (p *proposals) add(c lease.Command) uint64 {
	id := p.addAt(0, c)
	p.send(p.list[len(p.list)-1])
	return id
}

// addAt proposes a command at a later time.
func (p *proposals) addAt(at time.Duration, c lease.Command) uint64 {
	p.lastID++
	p.list = append(p.list, &pendingProposal{Proposal: Proposal{p.lastID, c}, proposedAt: p.node.now, retryAt: at})
	return p.lastID
}

func (p *proposals) send(pending *pendingProposal) {
	n := p.node
	pending.retryAt = n.now + n.retryDelay()
	n.out.RenewalSent = n.out.RenewalSent || pending.Command.Op == lease.OpOpenSession
	n.session.sendToTarget(&Message{Proposal: &pending.Proposal})
}

// retryNow makes the next call of retry send all pending proposals again.
func (p *proposals) retryNow() {
	for _, pending := range p.list {
		pending.retryAt = p.node.now
	}
}

// retry sends proposals without a reply again after their retry delay, and gives up those that are older
// than commandTimeout.
func (p *proposals) retry() {
	for _, pending := range slices.Clone(p.list) {
		old := p.node.now >= pending.proposedAt+commandTimeout
		switch {
		case old && pending.mayGiveUp():
			p.finish(pending, Outcome{ID: pending.ID})
		case p.node.now >= pending.retryAt:
			if old && pending.Command.Op == lease.OpRelease && !pending.reported {
				// The caller no longer waits, but the command may still be applied. Therefore the lease is
				// not used again under this token, and the command is retried until its outcome is known.
				pending.reported = true
				p.node.out.Outcomes = append(p.node.out.Outcomes, Outcome{ID: pending.ID})
			}
			p.node.session.rotateTarget()
			p.send(pending)
		}
	}
}

// mayGiveUp reports whether a proposal may be given up with an unknown outcome.
func (pending *pendingProposal) mayGiveUp() bool {
	switch pending.Command.Op {
	case lease.OpOpenSession:
		return false
	case lease.OpRelease:
		return failpoint.Enabled(failpoint.ReacquireReleased)
	}
	return true
}

// receiveReply handles the reply to a proposal.
func (p *proposals) receiveReply(from string, r *ProposalReply) {
	n := p.node
	n.session.target.recordReply(from, !r.NotLeader, r.Leader)
	n.out.LeaderResponded = n.out.LeaderResponded || !r.NotLeader && r.Result != nil
	i := slices.IndexFunc(p.list, func(pending *pendingProposal) bool { return pending.ID == r.ID })
	if i < 0 {
		return
	}
	pending := p.list[i]
	switch {
	case r.NotLeader || r.Result == nil:
		if r.Leader != "" && r.Leader != from {
			n.session.target.set(r.Leader)
			pending.retryAt = min(pending.retryAt, n.now+TickInterval)
		}
	case pending.ID == n.session.openProposal:
		n.session.handleOpenResult(pending, r.Result)
	default:
		n.publications.raiseFence(pending.Command.Lease, r.Result.Token)
		p.finish(pending, Outcome{ID: pending.ID, Known: pending.outcomeKnown(r.Result), Result: *r.Result})
	}
}

// outcomeKnown reports whether a result determines the outcome of a command. NoSession does not for
// commands whose effects outlive the session: the first attempt may have been applied before the session
// ended, and a retry after that.
func (pending *pendingProposal) outcomeKnown(r *lease.Result) bool {
	switch pending.Command.Op {
	case lease.OpWrite, lease.OpTransfer, lease.OpDrainHost, lease.OpUndrainHost:
		return r.Code != lease.NoSession
	}
	return true
}

// finish removes a proposal. It reports the outcome, unless the proposal opens a session or its outcome was
// already reported as unknown. After a failed release, the lease may be used again.
func (p *proposals) finish(pending *pendingProposal, o Outcome) {
	n := p.node
	p.list = slices.DeleteFunc(p.list, func(y *pendingProposal) bool { return y == pending })
	if pending.ID == n.session.openProposal {
		n.session.openProposal = 0
		return
	}
	c := &pending.Command
	if c.Op == lease.OpRelease && n.view.released[c.Lease] == c.Token && o.Result.Code != lease.OK {
		delete(n.view.released, c.Lease)
		n.view.revision = 0 // request a full delta, which shows whether the lease is still held
	}
	if !pending.reported {
		n.out.Outcomes = append(n.out.Outcomes, o)
	}
}
