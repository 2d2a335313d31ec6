package member

import (
	"fmt"
	"slices"
	"time"

	"dunemoor/internal/cluster/disk"
	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/cluster/lease"
)

// live is the gateway's own work: it keeps its session, and what it asked for going.
func (m *Member) live() {
	m.retry()
	if m.session == 0 {
		if m.opening == 0 {
			m.opening = m.enqueue(m.open())
		}
		return
	}
	if m.now >= m.renewed+m.renewGap {
		m.renew()
		for _, h := range m.holds {
			m.out.Held = m.out.Held || h.Release // who is to stop is told again
		}
	}
}

// open is the command for the next session: its number is above that of any before by this disk,
// so that one that comes late ends nothing.
func (m *Member) open() lease.Command {
	m.openings++
	return lease.Command{Op: lease.OpOpenSession, Open: &lease.OpenRequest{
		Name: m.cfg.Name, DiskID: m.cfg.Disk.Replica, OpenSequence: m.cfg.Disk.Boots<<32 | m.openings, Zone: m.cfg.Zone, Machine: m.cfg.Machine,
		Address: m.cfg.Address, CandidateLeases: m.offers, Role: m.part(),
	}}
}

// renew asks for the session to go on.
func (m *Member) renew() {
	m.nextTarget()
	m.lastSeq++
	m.renewed = m.now
	m.renewGap = askAgain + time.Duration(m.rng.Int64N(int64(askAgain))) // until it is answered
	m.sent[m.lastSeq] = m.now
	for seq := range m.sent {
		if seq+16 <= m.lastSeq {
			delete(m.sent, seq)
		}
	}
	m.out.Asked = true
	m.toTarget(&Talk{Renew: &Renew{m.session, m.lastSeq, m.heard, m.view.index, m.gateway()}})
}

// toTarget says something to whoever is taken to lead.
func (m *Member) toTarget(t *Talk) {
	if m.unheard == 0 {
		m.unheard = m.now
	}
	m.talk(m.target, t)
}

// aim takes a gateway for the leader.
func (m *Member) aim(at string) {
	if at != m.target {
		m.target, m.unheard = at, 0
	}
}

// nextTarget asks another of those that may lead, where the one that was asked says nothing: one
// that answers is not left for a command of ours that waits.
func (m *Member) nextTarget() {
	if m.unheard == 0 || m.now < m.unheard+askAgain {
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
		list = m.cfg.First
	}
	m.unheard = 0
	m.aim(list[m.rng.IntN(len(list))])
}

// answered takes note that a gateway is there; lead is whom it says to lead, "" where it does not
// know.
func (m *Member) answered(from string, leads bool, lead string) {
	switch {
	case from != m.target:
	case leads || lead != "" && lead != from:
		m.unheard = 0
	default:
		m.unheard = 1 // it is of no use to us: another is asked next
	}
}

// hearAck takes the leader's word on a renewal, or news.
func (m *Member) hearAck(from string, a *Ack) {
	if a.Session != m.session || m.session == 0 {
		return
	}
	if a.Seq == 0 {
		if a.View != nil {
			m.learnDuties(a.View.Leases)
			m.learnWords(a.View)
		}
		return
	}
	m.answered(from, a.View != nil || a.Gone || a.Again, a.Lead)
	sent, ok := m.sent[a.Seq]
	if !ok {
		return
	}
	if a.View != nil || a.Again { // a leader's word: any other's says nothing of whether we hear that
		m.heard = max(m.heard, a.Seq)
	}
	m.out.Answered = m.out.Answered || a.View != nil || a.Again || a.Gone
	if a.Again {
		m.renewGap = 0 // it is renewed once the leader knows that we hear it
		return
	}
	if a.Gone {
		m.lapsed("the record has it no more")
		return
	}
	if a.View == nil { // it does not lead
		delete(m.sent, a.Seq)
		if a.Lead != "" && a.Lead != m.target {
			m.aim(a.Lead)
			m.renewGap = TickEvery
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
		h.Deadline, m.out.Held = m.deadline, true
	}
}

// learn takes over what the record says.
func (m *Member) learn(from string, a *Ack) {
	v := a.View
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
func (m *Member) learnDuties(list []lease.LeaseView) {
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
			h = &Hold{Duty: d.Name, Token: d.Token, Deadline: m.deadline}
			m.holds[d.Name], m.out.Held = h, true
			m.line(false, "duty taken up", "duty", d.Name, "token", d.Token)
		}
		if release := d.TransferTo != "" && d.TransferTo != m.cfg.Name; release != h.Release {
			h.Release, m.out.Held = release, true
		}
	}
}

// learnWords takes over the operators' words, where they are newer than what is known, or of
// another fleet: a leader of before can't take one back.
func (m *Member) learnWords(v *lease.StateDelta) {
	if v.ClusterID == 0 || v.ClusterID == m.said.Birth && v.OverridesModRevision <= m.said.Mod {
		return
	}
	m.said = Words{v.ClusterID, v.OverridesModRevision, v.Overrides}
	told := m.said
	m.out.Words = &told
}

// Words are the operators' words as they are known here.
func (m *Member) Words() Words { return m.said }

// drop ends a hold.
func (m *Member) drop(duty string) {
	if h := m.holds[duty]; h != nil {
		delete(m.holds, duty)
		m.out.Held = true
		m.line(false, "duty laid down", "duty", duty, "token", h.Token)
	}
}

// lapsed ends the session as we know it; the next has another number.
func (m *Member) lapsed(why string) {
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
func (m *Member) expire() {
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
func (m *Member) Ask(now time.Duration, c lease.Command) uint64 {
	m.now = now
	if len(m.asks) >= asksMost {
		return 0
	}
	if c.Op != lease.OpAddReplica && c.Op != lease.OpRemoveReplica {
		if m.session == 0 {
			m.nextAsk++
			m.out.Done = append(m.out.Done, Done{ID: m.nextAsk, Known: true, Result: lease.Result{Code: lease.NoSession}})
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
func (m *Member) Released(now time.Duration, duty string, token uint64) uint64 {
	m.now = now
	h := m.holds[duty]
	if h == nil || h.Token != token {
		return 0
	}
	return m.Ask(now, lease.Command{Op: lease.OpRelease, Lease: duty, Token: token})
}

func (m *Member) enqueue(c lease.Command) uint64 {
	m.nextAsk++
	a := &ask{Ask: Ask{m.nextAsk, c}, began: m.now}
	m.asks = append(m.asks, a)
	m.send(a)
	return a.ID
}

func (m *Member) send(a *ask) {
	a.again = m.now + askAgain + time.Duration(m.rng.Int64N(int64(askAgain)))
	m.out.Asked = m.out.Asked || a.ID == m.opening || a.Command.Op == lease.OpOpenSession
	m.toTarget(&Talk{Ask: &a.Ask})
}

// retry asks again what was not answered, with the same id and number: it has one effect.
func (m *Member) retry() {
	for _, a := range slices.Clone(m.asks) {
		switch {
		case m.now >= a.began+askMost && a.Command.Op != lease.OpOpenSession && (a.Command.Op != lease.OpRelease || failpoint.Enabled(failpoint.ReacquireReleased)):
			m.finish(a, Done{ID: a.ID})
		case m.now >= a.again:
			if m.now >= a.began+askMost && a.Command.Op == lease.OpRelease && !a.told {
				// Who asked need not wait. But it may yet be carried out, so the duty is not
				// taken up again under that token, and the record is asked until it has said.
				a.told = true
				m.out.Done = append(m.out.Done, Done{ID: a.ID})
			}
			m.nextTarget()
			m.send(a)
		}
	}
}

func (m *Member) finish(a *ask, d Done) {
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
		m.out.Done = append(m.out.Done, d)
	}
}

// hearAnswer takes the answer to a command.
func (m *Member) hearAnswer(from string, r *Answer) {
	m.answered(from, !r.Not, r.Lead)
	m.out.Answered = m.out.Answered || !r.Not && r.Result != nil
	i := slices.IndexFunc(m.asks, func(a *ask) bool { return a.ID == r.ID })
	if i < 0 {
		return
	}
	a := m.asks[i]
	if r.Not || r.Result == nil {
		if r.Lead != "" && r.Lead != from {
			m.aim(r.Lead)
			a.again = min(a.again, m.now+TickEvery)
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
	m.finish(a, Done{ID: a.ID, Known: known, Result: *r.Result})
}

// opened is the answer to the opening of a session.
func (m *Member) opened(a *ask, r *lease.Result) {
	m.finish(a, Done{})
	if r.Code != lease.OK {
		m.line(true, "the fleet does not take this gateway", "why", r.Reason)
		// Asked again with the next number, and not at once.
		m.nextAsk++
		m.opening = m.nextAsk
		m.asks = append(m.asks, &ask{Ask: Ask{m.opening, m.open()}, began: m.now, again: m.now + lease.RenewInterval})
		return
	}
	m.session, m.request, m.view.index, m.lastSeq, m.heard = r.Session, 0, 0, 0, 0
	m.line(false, "session begun", "session", r.Session)
	m.renew()
}

// Tell has news of a duty sent to all other gateways that are known, or to one, as its owner. It
// says nothing of who has got it.
func (m *Member) Tell(now time.Duration, to, duty string, token, seq uint64, body []byte) {
	m.now = now
	b := talkBytes(&Talk{News: &News{duty, token, seq, body}})
	if m.cfg.Relayed {
		if to == "" {
			to = All
		}
		if to != m.cfg.Name {
			m.out.Sends = append(m.out.Sends, Send{To: to, Kind: KindTalk, Body: b})
		}
		return
	}
	for _, name := range m.cfg.Peers {
		if _, ok := m.hellos[name]; ok && (to == "" || to == name) {
			m.out.Sends = append(m.out.Sends, Send{To: name, Kind: KindTalk, Body: b})
		}
	}
}

// Want asks the owner of a duty, where one is known, for what it has.
func (m *Member) Want(now time.Duration, duty string, body []byte) {
	m.now = now
	if d := m.view.duties[duty]; d.Holder != "" && d.Holder != m.cfg.Name {
		m.talk(d.Holder, &Talk{Want: &Want{duty, body}})
	}
}

// hearNews is the fence at a gateway: news under an older token than is known are an old owner's.
func (m *Member) hearNews(from string, n *News) {
	f := m.fences[n.Duty]
	if m.view.at == 0 && !failpoint.Enabled(failpoint.SkipPublicationFence) {
		return // we don't know yet whose word counts
	}
	if (n.Token < f.token || n.Token == f.token && n.Seq <= f.seq) && !failpoint.Enabled(failpoint.SkipPublicationFence) {
		if n.Token < f.token {
			m.out.Fenced++
			if m.fenced[n.Duty] != n.Token { // said once
				m.fenced[n.Duty] = n.Token
				m.line(true, "word of an owner of before not taken", "duty", n.Duty, "token", n.Token, "from", from, "now", f.token)
			}
		}
		return
	}
	if len(m.fences) >= lease.MaxLeases && f.token == 0 {
		return
	}
	m.fences[n.Duty] = fence{n.Token, n.Seq}
	m.out.News = append(m.out.News, *n)
}

// Moved tells that the way to the others is new: what went by the one of before may be lost. The
// session is renewed and what is out is asked for again at once; Out.Moved has others do the same.
func (m *Member) Moved(now time.Duration) {
	m.now, m.unheard = now, 0 // who was asked may not have heard it
	m.out.Moved = true
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
func (m *Member) Copied(now time.Duration, why string) {
	m.now = now
	m.copied = fmt.Errorf("%w: %s", disk.ErrCopy, why)
	m.halt(m.copied)
}
