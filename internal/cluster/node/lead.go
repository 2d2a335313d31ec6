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
	"dunemoor/internal/cluster/quorum"
)

// turned takes note of who leads the record.
func (m *Node) turned(t quorum.Turn) {
	if t.Group != CoordinationGroup {
		return
	}
	m.leadID = t.Lead
	if t.Ours == m.lead {
		return
	}
	m.lead = t.Ours
	clear(m.asked) // what became of the others' commands they ask again
	clear(m.proposed)
	m.renews, m.confirms, m.ready, m.reading = nil, nil, nil, 0
	m.watch = nil
	if m.lead {
		m.watch = lease.NewExpiryTracker(m.now)
		m.evened, m.kept, m.applied = m.now, m.now, 0
		m.line(false, "leading the record", "term", t.Term)
	} else {
		m.line(false, "not leading the record any more", "term", t.Term, "lead", m.replicas[t.Lead])
	}
}

// leader is the name of who leads, as this gateway's replica knows; "" where it does not.
func (m *Node) leader() string {
	if _, keeps := m.st.Replicas[m.cfg.Disk.Replica]; m.node.Halted() != nil || m.leadID == 0 || !keeps {
		return "" // a replica that was removed hears of nobody any more
	}
	return m.replicas[m.leadID]
}

// propose has a command of the leader's own written, once in a while for each key.
func (m *Node) propose(key string, c lease.Command) bool {
	if at, ok := m.proposed[key]; ok && m.now < at+reproposeInterval {
		return false
	}
	m.proposed[key] = m.now
	return m.write(c, asker{})
}

func (m *Node) write(c lease.Command, who asker) bool {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	m.number++
	if m.node.Propose(CoordinationGroup, m.number, b) != nil {
		return false
	}
	if who.from != "" {
		m.asked[m.number] = who
	}
	return true
}

// rule is the leader's work: ends sessions that were not renewed, gives away duties that are
// free, and sees to the keepers.
func (m *Node) rule() {
	if !m.lead || m.watch == nil {
		return
	}
	m.tellChanges()
	m.applied = m.st.Revision
	for key, at := range m.proposed {
		if m.now >= at+reproposeInterval {
			delete(m.proposed, key)
		}
	}
	for _, id := range m.watch.Expired(m.now, m.st) {
		m.write(lease.Command{Op: lease.OpExpireSession, Session: id}, asker{})
	}
	for _, c := range lease.AssignFree(m.st) {
		m.propose(fmt.Sprintf("assign %s %d %d", c.Lease, c.Token, c.Session), c)
	}
	for _, c := range m.watch.OverrideUpdates(m.now, m.st) {
		m.propose("spend "+c.Override.Key(), c)
	}
	if m.now >= m.evened+rebalanceInterval {
		m.evened = m.now
		for _, c := range lease.Rebalance(m.st) {
			m.propose("move "+c.Lease, c)
		}
	}
	if m.now >= m.kept+replicaCheckInterval {
		m.kept = m.now
		m.keepers()
	}
	if m.reading == 0 && len(m.renews) > 0 || m.reading != 0 && m.now >= m.readAt+retryInterval {
		m.ask4Quorum()
	}
}

// tellChanges pushes news of duties to the gateways that they are about, and logs them.
func (m *Node) tellChanges() {
	for _, c := range m.st.TakeTransfers() {
		m.line(false, "duty changed hands", "duty", c.Lease, "from", c.From, "to", c.To, "token", c.Token, "cause", c.Cause, "index", c.Revision)
	}
	if m.applied == 0 {
		return // we have just begun to lead: they come by themselves
	}
	news := m.st.DeltaSince(m.applied)
	for _, d := range news.Leases {
		if x := m.st.Sessions[d.HolderSession]; x != nil {
			m.talk(x.Name, &Message{RenewReply: &RenewReply{Session: x.ID, Delta: &lease.StateDelta{Leases: []lease.LeaseView{d}}}})
		}
	}
	if m.st.OverridesModRevision > m.applied {
		for _, id := range slices.Sorted(maps.Keys(m.st.Sessions)) {
			m.talk(m.st.Sessions[id].Name, &Message{RenewReply: &RenewReply{Session: id, Delta: &lease.StateDelta{ClusterID: news.ClusterID, OverridesModRevision: news.OverridesModRevision, Overrides: news.Overrides}}})
		}
	}
}

// keepers takes the next step towards the keepers that are wanted.
func (m *Node) keepers() {
	s, _ := m.node.Status(CoordinationGroup)
	if len(s.Conf.GetVotersOutgoing()) > 0 {
		return // a change is under way
	}
	c, ok := lease.NextReplicaChange(m.st, func(id uint64) bool { return s.Match[id]+maxLearnerLag >= s.Last && s.Match[id] > 0 })
	if !ok {
		return
	}
	var cc raftpb.ConfChangeV2
	add := func(t raftpb.ConfChangeType, id uint64) {
		cc.Changes = append(cc.Changes, &raftpb.ConfChangeSingle{Type: t.Enum(), NodeId: new(id)})
	}
	if c.AddLearner != 0 {
		add(raftpb.ConfChangeAddLearnerNode, c.AddLearner)
	}
	if c.Promote != 0 {
		add(raftpb.ConfChangeAddNode, c.Promote)
	}
	for _, id := range c.Remove {
		if id == m.cfg.Disk.Replica {
			// Another has to lead before we go.
			for other := range s.Match {
				if other != id && s.Match[other] >= s.Commit && !m.st.Replicas[other].Learner {
					m.node.Transfer(CoordinationGroup, other)
					return
				}
			}
			return
		}
		add(raftpb.ConfChangeRemoveNode, id)
	}
	names := replicaNames{map[uint64]string{}}
	for _, id := range []uint64{c.AddLearner, c.Promote} {
		if id != 0 {
			names.Names[id] = c.Member
		}
	}
	cc.Context, _ = json.Marshal(names)
	if m.node.Change(CoordinationGroup, &cc) == nil {
		m.line(false, "changing the keepers of the record", "gateway", c.Member, "learn", c.AddLearner, "promote", c.Promote, "remove", c.Remove)
	}
}

// hearAsk takes a command for the record.
func (m *Node) hearAsk(from string, a *Proposal) {
	if !m.lead {
		m.talk(from, &Message{ProposalReply: &ProposalReply{ID: a.ID, NotLeader: true, Leader: m.leader()}})
		return
	}
	switch a.Command.Op {
	case lease.OpExpireSession, lease.OpAssign, lease.OpExpireOverride:
		return // nobody's but the leader's
	}
	if len(m.asked) < maxQueuedRenewals && !m.write(a.Command, asker{from, a.ID}) {
		m.talk(from, &Message{ProposalReply: &ProposalReply{ID: a.ID, NotLeader: true, Leader: m.leader()}})
	} // what is over the bound is asked again
}

// result is what came of a command that we proposed.
func (m *Node) result(r *quorum.Result) {
	res, ok := r.Value.(lease.Result)
	who := m.asked[r.ID]
	delete(m.asked, r.ID)
	if !ok || who.from == "" {
		return
	}
	if res.Code == lease.OK && res.Session != 0 && m.watch != nil {
		m.watch.SessionOpened(m.now, res.Session)
	}
	m.talk(who.from, &Message{ProposalReply: &ProposalReply{ID: who.id, Result: &res}})
}

// HandOver gives the lead to the replica that is furthest, if it is ours: it is for one that ends
// in order, so that nobody waits for an election.
func (m *Node) TransferLeadership(now time.Duration) {
	m.now = now
	s, ok := m.node.Status(CoordinationGroup)
	if !ok || !s.Ours {
		return
	}
	var to uint64
	for _, id := range s.Conf.GetVoters() {
		if id != m.cfg.Disk.Replica && (to == 0 || s.Match[id] > s.Match[to]) {
			to = id
		}
	}
	if to != 0 {
		m.node.Transfer(CoordinationGroup, to)
	}
}

// hearRenew takes a renewal; it is answered once a quorum has confirmed that we lead: whoever
// leads after us gives the session its whole time from later than now.
func (m *Node) hearRenew(from string, r *RenewRequest) {
	if !m.lead {
		m.talk(from, &Message{RenewReply: &RenewReply{Session: r.Session, Seq: r.Seq, Leader: m.leader()}})
		return
	}
	w := renewal{from, *r, m.now}
	if failpoint.Enabled(failpoint.SkipLeaderCheck) {
		m.ackRenewal(&w)
		return
	}
	if len(m.renews) < maxQueuedRenewals {
		m.renews = append(m.renews, w)
	}
	if m.reading == 0 {
		m.ask4Quorum()
	}
}

// ask4Quorum asks a quorum whether we lead, for all renewals that wait.
func (m *Node) ask4Quorum() {
	m.number++
	if m.node.Read(CoordinationGroup, m.number) != nil {
		return
	}
	m.confirms = append(m.confirms, m.renews...)
	m.renews = nil
	m.reading, m.readAt = m.number, m.now
}

// read is a quorum's word.
func (m *Node) read(r quorum.Read) {
	if r.ID != m.reading {
		return
	}
	m.ready = append(m.ready, confirmed{r.Index, m.confirms})
	m.reading, m.confirms = 0, nil
	if len(m.renews) > 0 {
		m.ask4Quorum()
	}
}

// confirm answers renewals that a quorum has confirmed, as soon as the record is here up to where
// it was then.
func (m *Node) confirm() {
	for len(m.ready) > 0 {
		s, _ := m.node.Status(CoordinationGroup)
		if s.Applied < m.ready[0].index {
			return
		}
		list := m.ready[0].list
		m.ready = m.ready[1:]
		for i := range list {
			m.ackRenewal(&list[i])
		}
	}
}

func (m *Node) ackRenewal(w *renewal) {
	if m.watch == nil {
		return
	}
	s, _ := m.node.Status(CoordinationGroup)
	a := &RenewReply{Session: w.renew.Session, Seq: w.renew.Seq, Term: s.Term}
	switch {
	case m.st.Sessions[w.renew.Session] == nil:
		a.Expired = true
	case !m.watch.Acknowledge(w.renew.Session, w.renew.AckedSeq, w.heard):
		a.Unconfirmed = true
	case !m.watch.Renew(w.renew.Session, w.heard):
		a.Expired = true
	default:
		var v lease.StateDelta
		if w.renew.Compact {
			v = m.st.CompactDeltaSince(w.renew.KnownRevision, m.st.Sessions[w.renew.Session].Name)
		} else {
			v = m.st.DeltaSince(w.renew.KnownRevision)
		}
		a.Delta = &v
	}
	m.talk(w.from, &Message{RenewReply: a})
}
