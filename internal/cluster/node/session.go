package node

import (
	"fmt"
	"slices"
	"time"

	"dunemoor/internal/cluster/disk"
	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/cluster/lease"
)

// live is the gateway's own work: it keeps its session, and what it asked for going.
func (m *Node) live() {
	m.retry()
	if m.session == 0 {
		if m.opening == 0 {
			m.opening = m.enqueue(m.openCommand())
		}
		return
	}
	if m.now >= m.renewed+m.renewGap {
		m.renew()
		for _, h := range m.holds {
			m.out.GrantsChanged = m.out.GrantsChanged || h.Releasing // who is to stop is told again
		}
	}
}

// open is the command for the next session: its number is above that of any before by this disk,
// so that one that comes late ends nothing.
func (m *Node) openCommand() lease.Command {
	m.openings++
	return lease.Command{Op: lease.OpOpenSession, Open: &lease.OpenRequest{
		Name: m.cfg.Name, DiskID: m.cfg.Disk.Replica, OpenSequence: m.cfg.Disk.Boots<<32 | m.openings, Zone: m.cfg.Zone, Machine: m.cfg.Machine,
		Address: m.cfg.Address, CandidateLeases: m.offers, Role: m.role(),
	}}
}

// renew asks for the session to go on.
func (m *Node) renew() {
	m.nextTarget()
	m.lastSeq++
	m.renewed = m.now
	m.renewGap = retryInterval + time.Duration(m.rng.Int64N(int64(retryInterval))) // until it is answered
	m.sent[m.lastSeq] = m.now
	for seq := range m.sent {
		if seq+16 <= m.lastSeq {
			delete(m.sent, seq)
		}
	}
	m.out.RenewalSent = true
	m.toTarget(&Message{Renew: &RenewRequest{m.session, m.lastSeq, m.heard, m.view.index, m.isGateway()}})
}

// toTarget says something to whoever is taken to lead.
func (m *Node) toTarget(t *Message) {
	if m.unheard == 0 {
		m.unheard = m.now
	}
	m.talk(m.target, t)
}

// aim takes a gateway for the leader.
func (m *Node) aim(at string) {
	if at != m.target {
		m.target, m.unheard = at, 0
	}
}

// nextTarget asks another of those that may lead, where the one that was asked says nothing: one
// that answers is not left for a command of ours that waits.
func (m *Node) nextTarget() {
	if m.unheard == 0 || m.now < m.unheard+retryInterval {
		return
	}
	if lead := m.leader(); lead != "" && lead != m.target {
		m.aim(lead)
		return
	}
	var list []string
	for _, k := range m.view.keepers {
		if !k.Learner && k.Name != "" && k.Name != m.target {
			list = append(list, k.Name)
		}
	}
	if len(list) == 0 {
		list = m.cfg.BootstrapReplicas
	}
	m.unheard = 0
	m.aim(list[m.rng.IntN(len(list))])
}

// answered takes note that a gateway is there; lead is whom it says to lead, "" where it does not
// know.
func (m *Node) answered(from string, leads bool, lead string) {
	switch {
	case from != m.target:
	case leads || lead != "" && lead != from:
		m.unheard = 0
	default:
		m.unheard = 1 // it is of no use to us: another is asked next
	}
}

// hearAck takes the leader's word on a renewal, or news.
func (m *Node) hearAck(from string, a *RenewReply) {
	if a.Session != m.session || m.session == 0 {
		return
	}
	if a.Seq == 0 {
		if a.Delta != nil {
			m.learnDuties(a.Delta.Leases)
			m.learnWords(a.Delta)
		}
		return
	}
	m.answered(from, a.Delta != nil || a.Expired || a.Unconfirmed, a.Leader)
	sent, ok := m.sent[a.Seq]
	if !ok {
		return
	}
	if a.Delta != nil || a.Unconfirmed { // a leader's word: any other's says nothing of whether we hear that
		m.heard = max(m.heard, a.Seq)
	}
	m.out.LeaderResponded = m.out.LeaderResponded || a.Delta != nil || a.Unconfirmed || a.Expired
	if a.Unconfirmed {
		m.renewGap = 0 // it is renewed once the leader knows that we hear it
		return
	}
	if a.Expired {
		m.lapsed("the record has it no more")
		return
	}
	if a.Delta == nil { // it does not lead
		delete(m.sent, a.Seq)
		if a.Leader != "" && a.Leader != m.target {
			m.aim(a.Leader)
			m.renewGap = TickInterval
		}
		return
	}
	if failpoint.Enabled(failpoint.DeadlineFromReply) {
		sent = m.now
	}
	clear(m.sent)
	m.aim(from)
	m.renewGap = lease.RenewInterval
	m.deadline = max(m.deadline, lease.HolderDeadline(sent))
	m.learn(from, a)
	for _, h := range m.holds {
		h.Deadline, m.out.GrantsChanged = m.deadline, true
	}
}

// learn takes over what the record says.
func (m *Node) learn(from string, a *RenewReply) {
	v := a.Delta
	if v.Full {
		clear(m.view.members)
		clear(m.view.duties)
	}
	for _, x := range v.Members {
		m.view.members[x.Name] = x
	}
	if v.Replicas != nil {
		m.view.keepers = v.Replicas
	}
	if v.Full || m.view.index > 0 {
		// Else it is the answer to a question from before all was to be learnt anew.
		m.view.index = max(m.view.index, v.Revision)
	}
	if v.SessionCount > 0 {
		m.view.count = v.SessionCount
	}
	m.view.lead, m.view.term, m.view.at = from, a.Term, m.now
	m.learnDuties(v.Leases)
	m.learnWords(v)
	for duty := range m.holds {
		if d := m.view.duties[duty]; d.HolderSession != m.session {
			m.drop(duty)
		}
	}
}

// learnDuties takes over who holds what. Older news than what is known changes nothing: tokens
// only grow.
func (m *Node) learnDuties(list []lease.LeaseView) {
	for _, d := range list {
		if d.Token < m.fences[d.Name].token {
			continue
		}
		m.view.duties[d.Name] = d
		if f := m.fences[d.Name]; d.Token > f.token {
			m.fences[d.Name] = fence{token: d.Token}
		}
		h := m.holds[d.Name]
		if d.HolderSession != m.session || m.resigned[d.Name] >= d.Token && d.Token > 0 && !failpoint.Enabled(failpoint.ReuseToken) {
			if h != nil && h.Token <= d.Token && d.HolderSession != m.session {
				m.drop(d.Name)
			}
			continue
		}
		if h == nil || h.Token != d.Token {
			h = &Grant{Lease: d.Name, Token: d.Token, Deadline: m.deadline}
			m.holds[d.Name], m.out.GrantsChanged = h, true
			m.line(false, "duty taken up", "duty", d.Name, "token", d.Token)
		}
		if release := d.TransferTo != "" && d.TransferTo != m.cfg.Name; release != h.Releasing {
			h.Releasing, m.out.GrantsChanged = release, true
		}
	}
}

// learnWords takes over the operators' words, where they are newer than what is known, or of
// another fleet: a leader of before can't take one back.
func (m *Node) learnWords(v *lease.StateDelta) {
	if v.ClusterID == 0 || v.ClusterID == m.said.ClusterID && v.OverridesModRevision <= m.said.ModRevision {
		return
	}
	m.said = OverrideSet{v.ClusterID, v.OverridesModRevision, v.Overrides}
	told := m.said
	m.out.Overrides = &told
}

// Words are the operators' words as they are known here.
func (m *Node) Overrides() OverrideSet { return m.said }

// drop ends a hold.
func (m *Node) drop(duty string) {
	if h := m.holds[duty]; h != nil {
		delete(m.holds, duty)
		m.out.GrantsChanged = true
		m.line(false, "duty laid down", "duty", duty, "token", h.Token)
	}
}

// lapsed ends the session as we know it; the next has another number.
func (m *Node) lapsed(why string) {
	m.line(true, "session lapsed", "session", m.session, "why", why)
	m.session, m.deadline, m.opening = 0, 0, 0
	clear(m.sent)
	for duty := range m.holds {
		m.drop(duty)
	}
	clear(m.resigned)
}

// expire lays down what is past its deadline: whoever acts by it looks at that by itself, this is
// for those who look on. The duty may still be ours by the record, and is taken up again with the
// next renewal.
func (m *Node) expire() {
	if m.deadline <= 0 || m.now < m.deadline || failpoint.Enabled(failpoint.IgnoreDeadline) {
		return
	}
	for duty, h := range m.holds {
		if m.now >= h.Deadline {
			m.drop(duty)
			delete(m.view.duties, duty) // to be learnt anew
			m.view.index = 0
		}
	}
}

// Ask has a command carried out in the record; Done tells what came of it, by the id. 0: too many
// are out.
func (m *Node) Propose(now time.Duration, c lease.Command) uint64 {
	m.now = now
	if len(m.asks) >= maxPendingProposals {
		return 0
	}
	if c.Op != lease.OpAddReplica && c.Op != lease.OpRemoveReplica {
		if m.session == 0 {
			m.nextAsk++
			m.out.Outcomes = append(m.out.Outcomes, Outcome{ID: m.nextAsk, Known: true, Result: lease.Result{Code: lease.NoSession}})
			return m.nextAsk
		}
		m.request++
		c.Session, c.Request = m.session, m.request
	}
	if c.Op == lease.OpRelease {
		// It is laid down before the record hears of it: the next owner may act at once.
		m.resigned[c.Lease] = c.Token
		m.drop(c.Lease)
	}
	return m.enqueue(c)
}

// Released tells that the work of a duty has stopped: it is given back.
func (m *Node) ReleaseStopped(now time.Duration, duty string, token uint64) uint64 {
	m.now = now
	h := m.holds[duty]
	if h == nil || h.Token != token {
		return 0
	}
	return m.Propose(now, lease.Command{Op: lease.OpRelease, Lease: duty, Token: token})
}

func (m *Node) enqueue(c lease.Command) uint64 {
	m.nextAsk++
	a := &ask{Proposal: Proposal{m.nextAsk, c}, began: m.now}
	m.asks = append(m.asks, a)
	m.send(a)
	return a.ID
}

func (m *Node) send(a *ask) {
	a.again = m.now + retryInterval + time.Duration(m.rng.Int64N(int64(retryInterval)))
	m.out.RenewalSent = m.out.RenewalSent || a.ID == m.opening || a.Command.Op == lease.OpOpenSession
	m.toTarget(&Message{Proposal: &a.Proposal})
}

// retry asks again what was not answered, with the same id and number: it has one effect.
func (m *Node) retry() {
	for _, a := range slices.Clone(m.asks) {
		switch {
		case m.now >= a.began+commandTimeout && a.Command.Op != lease.OpOpenSession && (a.Command.Op != lease.OpRelease || failpoint.Enabled(failpoint.ReacquireReleased)):
			m.finish(a, Outcome{ID: a.ID})
		case m.now >= a.again:
			if m.now >= a.began+commandTimeout && a.Command.Op == lease.OpRelease && !a.told {
				// Who asked need not wait. But it may yet be carried out, so the duty is not
				// taken up again under that token, and the record is asked until it has said.
				a.told = true
				m.out.Outcomes = append(m.out.Outcomes, Outcome{ID: a.ID})
			}
			m.nextTarget()
			m.send(a)
		}
	}
}

func (m *Node) finish(a *ask, d Outcome) {
	m.asks = slices.DeleteFunc(m.asks, func(x *ask) bool { return x == a })
	if a.ID == m.opening {
		m.opening = 0
		return
	}
	if a.Command.Op == lease.OpRelease && m.resigned[a.Command.Lease] == a.Command.Token && d.Result.Code != lease.OK {
		delete(m.resigned, a.Command.Lease)
		m.view.index = 0 // whether it is ours is to be learnt anew
	}
	if !a.told {
		m.out.Outcomes = append(m.out.Outcomes, d)
	}
}

// hearAnswer takes the answer to a command.
func (m *Node) hearAnswer(from string, r *ProposalReply) {
	m.answered(from, !r.NotLeader, r.Leader)
	m.out.LeaderResponded = m.out.LeaderResponded || !r.NotLeader && r.Result != nil
	i := slices.IndexFunc(m.asks, func(a *ask) bool { return a.ID == r.ID })
	if i < 0 {
		return
	}
	a := m.asks[i]
	if r.NotLeader || r.Result == nil {
		if r.Leader != "" && r.Leader != from {
			m.aim(r.Leader)
			a.again = min(a.again, m.now+TickInterval)
		}
		return
	}
	if a.ID == m.opening {
		m.opened(a, r.Result)
		return
	}
	if duty := a.Command.Lease; r.Result.Token > m.fences[duty].token {
		// Word of an older token may yet come, late.
		m.fences[duty] = fence{token: r.Result.Token}
	}
	known := true
	switch a.Command.Op {
	case lease.OpWrite, lease.OpTransfer, lease.OpDrainHost, lease.OpUndrainHost:
		// What a session has done outlives it: the command may have been carried out when it was
		// asked first, and be told that there is no such session as it came again.
		known = r.Result.Code != lease.NoSession
	}
	m.finish(a, Outcome{ID: a.ID, Known: known, Result: *r.Result})
}

// opened is the answer to the opening of a session.
func (m *Node) opened(a *ask, r *lease.Result) {
	m.finish(a, Outcome{})
	if r.Code != lease.OK {
		m.line(true, "the fleet does not take this gateway", "why", r.Reason)
		// Asked again with the next number, and not at once.
		m.nextAsk++
		m.opening = m.nextAsk
		m.asks = append(m.asks, &ask{Proposal: Proposal{m.opening, m.openCommand()}, began: m.now, again: m.now + lease.RenewInterval})
		return
	}
	m.session, m.request, m.view.index, m.lastSeq, m.heard = r.Session, 0, 0, 0, 0
	m.line(false, "session begun", "session", r.Session)
	m.renew()
}

// Tell has news of a duty sent to all other gateways that are known, or to one, as its owner. It
// says nothing of who has got it.
func (m *Node) Publish(now time.Duration, to, duty string, token, seq uint64, body []byte) {
	m.now = now
	b := encodeMessage(&Message{Publication: &Publication{duty, token, seq, body}})
	if m.cfg.UsesRelays {
		if to == "" {
			to = Broadcast
		}
		if to != m.cfg.Name {
			m.out.Frames = append(m.out.Frames, Frame{To: to, Kind: KindMessage, Body: b})
		}
		return
	}
	for _, name := range m.cfg.Peers {
		if _, ok := m.hellos[name]; ok && (to == "" || to == name) {
			m.out.Frames = append(m.out.Frames, Frame{To: name, Kind: KindMessage, Body: b})
		}
	}
}

// Want asks the owner of a duty, where one is known, for what it has.
func (m *Node) RequestResync(now time.Duration, duty string, body []byte) {
	m.now = now
	if d := m.view.duties[duty]; d.Holder != "" && d.Holder != m.cfg.Name {
		m.talk(d.Holder, &Message{ResyncRequest: &ResyncRequest{duty, body}})
	}
}

// hearNews is the fence at a gateway: news under an older token than is known are an old owner's.
func (m *Node) hearNews(from string, n *Publication) {
	f := m.fences[n.Lease]
	if m.view.at == 0 && !failpoint.Enabled(failpoint.SkipPublicationFence) {
		return // we don't know yet whose word counts
	}
	if (n.Token < f.token || n.Token == f.token && n.Seq <= f.seq) && !failpoint.Enabled(failpoint.SkipPublicationFence) {
		if n.Token < f.token {
			m.out.StalePublications++
			if m.fenced[n.Lease] != n.Token { // said once
				m.fenced[n.Lease] = n.Token
				m.line(true, "word of an owner of before not taken", "duty", n.Lease, "token", n.Token, "from", from, "now", f.token)
			}
		}
		return
	}
	if len(m.fences) >= lease.MaxLeases && f.token == 0 {
		return
	}
	m.fences[n.Lease] = fence{n.Token, n.Seq}
	m.out.Publications = append(m.out.Publications, *n)
}

// Moved tells that the way to the others is new: what went by the one of before may be lost. The
// session is renewed and what is out is asked for again at once; Out.Moved has others do the same.
func (m *Node) Reconnected(now time.Duration) {
	m.now, m.unheard = now, 0 // who was asked may not have heard it
	m.out.Reconnected = true
	if m.view.lead != "" {
		m.target = m.view.lead // others were asked as it did not answer, which was not its fault
	}
	m.renewGap = 0
	for _, a := range m.asks {
		a.again = now
	}
	m.live()
}

// Copied tells that others know better than our disk, which is an older copy: the replica ends.
func (m *Node) DiskOutdated(now time.Duration, why string) {
	m.now = now
	m.copied = fmt.Errorf("%w: %s", disk.ErrCopy, why)
	m.halt(m.copied)
}
