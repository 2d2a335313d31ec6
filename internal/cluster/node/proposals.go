package node

import (
	"slices"
	"time"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/cluster/lease"
)

const (
	// commandTimeout is when the outcome of a command is given up as unknown.
	commandTimeout = 10 * time.Second
	// maxPendingProposals bounds the commands of this gateway without a reply.
	maxPendingProposals = 16
)

// proposals are the commands that this gateway has proposed and that have no reply yet. A retry has
// the same ID and request number, and so one effect.
type proposals struct {
	node   *Node
	list   []*pendingProposal
	lastID uint64
}

type pendingProposal struct {
	Proposal
	proposedAt, retryAt time.Duration
	reported            bool // the caller was told that the outcome is unknown
}

func newProposals(n *Node) *proposals {
	// A reply to a proposal of the previous process may still arrive: it must not be taken for a reply
	// to one of this process.
	disk := n.cfg.Disk
	return &proposals{node: n, lastID: uint64(uint16(disk.ReplicaID))<<48 | disk.Boots<<32}
}

// Propose has a command carried out. Its Outcome has the ID that is returned, which is 0 where too
// many commands are pending.
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
		// The grant ends before the command is sent: the next holder may act at once.
		n.view.released[c.Lease] = c.Token
		n.view.drop(c.Lease)
	}
	return p.add(c)
}

// ReleaseStopped reports that the work under a lease has stopped: the lease is released. It returns
// the ID of the Outcome, 0 where there is none.
func (n *Node) ReleaseStopped(now time.Duration, name string, token uint64) uint64 {
	n.now = now
	g := n.view.grants[name]
	if g == nil || g.Token != token {
		return 0
	}
	return n.Propose(now, lease.Command{Op: lease.OpRelease, Lease: name, Token: token})
}

// add proposes a command now.
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

func (p *proposals) send(x *pendingProposal) {
	n := p.node
	x.retryAt = n.now + n.retryDelay()
	n.out.RenewalSent = n.out.RenewalSent || x.Command.Op == lease.OpOpenSession
	n.session.sendToTarget(&Message{Proposal: &x.Proposal})
}

// retryNow lets all pending proposals be sent again by the next retry.
func (p *proposals) retryNow() {
	for _, x := range p.list {
		x.retryAt = p.node.now
	}
}

// retry sends proposals again that have had no reply for a while, and gives up those that are too
// old.
func (p *proposals) retry() {
	for _, x := range slices.Clone(p.list) {
		old := p.node.now >= x.proposedAt+commandTimeout
		switch {
		case old && x.mayGiveUp():
			p.finish(x, Outcome{ID: x.ID})
		case p.node.now >= x.retryAt:
			if old && x.Command.Op == lease.OpRelease && !x.reported {
				// The caller need not wait. But the command may still be carried out: the lease is
				// not taken up again under that token, and the command is retried until its outcome
				// is known.
				x.reported = true
				p.node.out.Outcomes = append(p.node.out.Outcomes, Outcome{ID: x.ID})
			}
			p.node.session.rotateTarget()
			p.send(x)
		}
	}
}

// mayGiveUp reports whether the outcome of a proposal may remain unknown.
func (x *pendingProposal) mayGiveUp() bool {
	switch x.Command.Op {
	case lease.OpOpenSession:
		return false
	case lease.OpRelease:
		return failpoint.Enabled(failpoint.ReacquireReleased)
	}
	return true
}

// receiveReply takes the reply to a proposal.
func (p *proposals) receiveReply(from string, r *ProposalReply) {
	n := p.node
	n.session.target.noteReply(from, !r.NotLeader, r.Leader)
	n.out.LeaderResponded = n.out.LeaderResponded || !r.NotLeader && r.Result != nil
	i := slices.IndexFunc(p.list, func(x *pendingProposal) bool { return x.ID == r.ID })
	if i < 0 {
		return
	}
	x := p.list[i]
	switch {
	case r.NotLeader || r.Result == nil:
		if r.Leader != "" && r.Leader != from {
			n.session.target.set(r.Leader)
			x.retryAt = min(x.retryAt, n.now+TickInterval)
		}
	case x.ID == n.session.openProposal:
		n.session.opened(x, r.Result)
	default:
		n.publications.raiseFence(x.Command.Lease, r.Result.Token)
		p.finish(x, Outcome{ID: x.ID, Known: x.outcomeKnown(r.Result), Result: *r.Result})
	}
}

// outcomeKnown reports whether a result tells what became of a command. The effects of a session
// outlive it: the command may have been carried out at the first attempt, and a retry be told that
// there is no such session.
func (x *pendingProposal) outcomeKnown(r *lease.Result) bool {
	switch x.Command.Op {
	case lease.OpWrite, lease.OpTransfer, lease.OpDrainHost, lease.OpUndrainHost:
		return r.Code != lease.NoSession
	}
	return true
}

// finish removes a proposal and reports its outcome.
func (p *proposals) finish(x *pendingProposal, o Outcome) {
	n := p.node
	p.list = slices.DeleteFunc(p.list, func(y *pendingProposal) bool { return y == x })
	if x.ID == n.session.openProposal {
		n.session.openProposal = 0
		return
	}
	c := &x.Command
	if c.Op == lease.OpRelease && n.view.released[c.Lease] == c.Token && o.Result.Code != lease.OK {
		delete(n.view.released, c.Lease)
		n.view.revision = 0 // a full delta says whether the lease is still held
	}
	if !x.reported {
		n.out.Outcomes = append(n.out.Outcomes, o)
	}
}
