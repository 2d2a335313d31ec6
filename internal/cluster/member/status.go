package member

import (
	"maps"
	"slices"
	"time"

	"dunemoor/internal/cluster/lease"
)

// Status is how a gateway stands in the fleet, as it knows.
type Status struct {
	ID       string                `json:"id"` // of the fleet
	Name     string                `json:"name"`
	Disk     uint64                `json:"disk"`
	Role     string                `json:"role"` // leader, keeper, learner, member, stopped
	Why      string                `json:"why,omitempty"`
	Leader   string                `json:"leader"`
	Term     uint64                `json:"term"`
	Commit   uint64                `json:"commit"`
	Applied  uint64                `json:"applied"`
	Birth    uint64                `json:"birth"`
	Session  uint64                `json:"session"`
	Expires  int64                 `json:"expires_in_ms"` // of our own session, by our own deadline
	FreshMS  int64                 `json:"fresh_ms"`      // since the leader last confirmed what is shown; -1: never
	Members  []MemberStatus        `json:"members"`
	Duties   []DutyStatus          `json:"duties"`
	Keepers  []lease.Replica       `json:"keepers"`
	Changes  []lease.LeaseTransfer `json:"changes,omitempty"` // the last changes of hands, where this gateway keeps the record
	Sessions int                   `json:"sessions"`
	Words    []WordStatus          `json:"words"` // operators', as this gateway goes by them
}

// WordStatus is an operator's word on a host.
type WordStatus struct {
	Pool   string `json:"pool"`
	Host   string `json:"host"`
	Reason string `json:"reason,omitempty"`
	By     string `json:"by"`      // the gateway that was asked
	Since  uint64 `json:"since"`   // index of the record
	LeftMS int64  `json:"left_ms"` // as last written down, by the minute; 0: until it is taken back
}

// MemberStatus is one gateway of the fleet.
type MemberStatus struct {
	Name    string `json:"name"`
	Session uint64 `json:"session"`
	Disk    uint64 `json:"disk"`
	Zone    string `json:"zone,omitempty"`
	Machine string `json:"machine,omitempty"`
	// Expires is by the leader's clock, and known there only.
	Expires *int64 `json:"expires_in_ms,omitempty"`
}

// DutyStatus is one duty.
type DutyStatus struct {
	Name  string `json:"name"`
	Owner string `json:"owner"`
	Token uint64 `json:"token"`
	Since uint64 `json:"since,omitempty"` // index of the record
	To    string `json:"to,omitempty"`
}

// changesShown bounds the changes of hands in a Status.
const changesShown = 16

// Status tells how the gateway stands.
func (m *Member) Status(now time.Duration) *Status {
	n, _ := m.node.Status(Record)
	s := &Status{
		ID: m.cfg.Fleet, Name: m.cfg.Name, Disk: m.cfg.Disk.Replica, Role: "member", Leader: m.leader(), Term: n.Term,
		Commit: n.Commit, Applied: n.Applied, Birth: m.birth, Session: m.session, FreshMS: -1,
		Members: []MemberStatus{}, Duties: []DutyStatus{}, Keepers: []lease.Replica{}, Words: []WordStatus{},
	}
	for _, w := range m.said.List {
		s.Words = append(s.Words, WordStatus{w.Pool, w.Host, w.Reason, w.CreatedBy, w.CreatedRevision, w.Remaining.Milliseconds()})
	}
	if m.view.at > 0 {
		s.FreshMS = (now - m.view.at).Milliseconds()
	}
	if m.session != 0 {
		s.Expires = max(0, m.deadline-now).Milliseconds()
	}
	k, keeps := m.st.Replicas[m.cfg.Disk.Replica]
	if m.view.index >= m.st.Revision && len(m.view.keepers) > 0 && !slices.ContainsFunc(m.view.keepers, func(k lease.Replica) bool { return k.ID == m.cfg.Disk.Replica }) {
		keeps = false // it was removed, and what it held of the record stands still since
	}
	switch err := m.Halted(); {
	case err != nil:
		s.Role, s.Why, keeps = "stopped", err.Error(), false
	case m.lead:
		s.Role = "leader"
	case keeps && k.Learner:
		s.Role = "learner"
	case keeps:
		s.Role = "keeper"
	}
	if !keeps && s.Role != "stopped" || s.Leader == "" {
		s.Leader, s.Term = m.view.lead, max(s.Term, m.view.term)
	}
	if keeps && m.st.ClusterID != 0 {
		for _, name := range m.st.MemberNames() {
			x := m.st.Members[name]
			o := MemberStatus{Name: name, Session: x.Session, Disk: x.DiskID, Zone: x.Zone, Machine: x.Machine}
			if m.watch != nil && x.Session != 0 {
				o.Expires = new(m.watch.Remaining(now, x.Session).Milliseconds())
			}
			s.Members = append(s.Members, o)
		}
		for _, name := range slices.Sorted(maps.Keys(m.st.Leases)) {
			d := m.st.Leases[name]
			s.Duties = append(s.Duties, DutyStatus{name, d.Holder, d.Token, d.SinceRevision, d.TransferTo})
		}
		for _, id := range slices.Sorted(maps.Keys(m.st.Replicas)) {
			s.Keepers = append(s.Keepers, m.st.Replicas[id])
		}
		s.Changes = slices.Clone(m.st.Transfers[max(0, len(m.st.Transfers)-changesShown):])
		s.Sessions = len(m.st.Sessions)
		return s
	}
	for _, name := range slices.Sorted(maps.Keys(m.view.members)) {
		x := m.view.members[name]
		s.Members = append(s.Members, MemberStatus{Name: name, Session: x.Session, Disk: x.DiskID, Zone: x.Zone, Machine: x.Machine})
		if x.Session != 0 {
			s.Sessions++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.view.duties)) {
		d := m.view.duties[name]
		s.Duties = append(s.Duties, DutyStatus{Name: name, Owner: d.Holder, Token: d.Token, To: d.TransferTo})
	}
	if m.view.count > 0 {
		s.Sessions = m.view.count
	}
	s.Keepers = append(s.Keepers, m.view.keepers...)
	return s
}

// Holds returns the duties that are held now.
func (m *Member) Holds() (list []Hold) {
	for _, duty := range slices.Sorted(maps.Keys(m.holds)) {
		list = append(list, *m.holds[duty])
	}
	return list
}

// Hold returns what is held of one duty.
func (m *Member) Hold(duty string) (h Hold, ok bool) {
	if x := m.holds[duty]; x != nil {
		return *x, true
	}
	return h, false
}

// Leads says whether this gateway leads the record.
func (m *Member) Leads() bool { return m.lead }

// Halted says why the replica here has stopped; nil while it has not.
func (m *Member) Halted() error {
	if m.copied != nil {
		return m.copied
	}
	return m.node.Halted()
}

// Session is the session that this gateway has; 0: none.
func (m *Member) Session() uint64 { return m.session }

// State is the record as the replica here has it, for whoever checks it; it is not to be changed.
func (m *Member) State() *lease.State { return m.st }

// Cleared says whether the replica here takes part: see Welcome.
func (m *Member) Cleared() bool { return m.cleared }
