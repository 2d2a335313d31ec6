package node

import (
	"maps"
	"slices"
	"time"

	"dunemoor/internal/cluster/lease"
)

// Status is how a gateway stands in the fleet, as it knows.
type Status struct {
	Fleet       string                `json:"id"` // of the fleet
	Name        string                `json:"name"`
	ReplicaID   uint64                `json:"disk"`
	Role        string                `json:"role"` // leader, keeper, learner, member, stopped
	Reason      string                `json:"why,omitempty"`
	Leader      string                `json:"leader"`
	Term        uint64                `json:"term"`
	Commit      uint64                `json:"commit"`
	Applied     uint64                `json:"applied"`
	ClusterID   uint64                `json:"birth"`
	Session     uint64                `json:"session"`
	ExpiresInMS int64                 `json:"expires_in_ms"` // of our own session, by our own deadline
	FreshMS     int64                 `json:"fresh_ms"`      // since the leader last confirmed what is shown; -1: never
	Members     []MemberStatus        `json:"members"`
	Leases      []LeaseStatus         `json:"duties"`
	Replicas    []lease.Replica       `json:"keepers"`
	Transfers   []lease.LeaseTransfer `json:"changes,omitempty"` // the last changes of hands, where this gateway keeps the record
	Sessions    int                   `json:"sessions"`
	Overrides   []OverrideStatus      `json:"words"` // operators', as this gateway goes by them
}

// WordStatus is an operator's word on a host.
type OverrideStatus struct {
	Pool            string `json:"pool"`
	Host            string `json:"host"`
	Reason          string `json:"reason,omitempty"`
	CreatedBy       string `json:"by"`      // the gateway that was asked
	CreatedRevision uint64 `json:"since"`   // index of the record
	RemainingMS     int64  `json:"left_ms"` // as last written down, by the minute; 0: until it is taken back
}

// MemberStatus is one gateway of the fleet.
type MemberStatus struct {
	Name      string `json:"name"`
	Session   uint64 `json:"session"`
	ReplicaID uint64 `json:"disk"`
	Zone      string `json:"zone,omitempty"`
	Machine   string `json:"machine,omitempty"`
	// Expires is by the leader's clock, and known there only.
	ExpiresInMS *int64 `json:"expires_in_ms,omitempty"`
}

// DutyStatus is one duty.
type LeaseStatus struct {
	Name          string `json:"name"`
	Holder        string `json:"owner"`
	Token         uint64 `json:"token"`
	SinceRevision uint64 `json:"since,omitempty"` // index of the record
	TransferTo    string `json:"to,omitempty"`
}

// changesShown bounds the changes of hands in a Status.
const maxShownTransfers = 16

// Status tells how the gateway stands.
func (m *Node) Status(now time.Duration) *Status {
	n, _ := m.node.Status(CoordinationGroup)
	s := &Status{
		Fleet: m.cfg.Fleet, Name: m.cfg.Name, ReplicaID: m.cfg.Disk.Replica, Role: "member", Leader: m.leader(), Term: n.Term,
		Commit: n.Commit, Applied: n.Applied, ClusterID: m.birth, Session: m.session, FreshMS: -1,
		Members: []MemberStatus{}, Leases: []LeaseStatus{}, Replicas: []lease.Replica{}, Overrides: []OverrideStatus{},
	}
	for _, w := range m.said.List {
		s.Overrides = append(s.Overrides, OverrideStatus{w.Pool, w.Host, w.Reason, w.CreatedBy, w.CreatedRevision, w.Remaining.Milliseconds()})
	}
	if m.view.at > 0 {
		s.FreshMS = (now - m.view.at).Milliseconds()
	}
	if m.session != 0 {
		s.ExpiresInMS = max(0, m.deadline-now).Milliseconds()
	}
	k, keeps := m.st.Replicas[m.cfg.Disk.Replica]
	if m.view.index >= m.st.Revision && len(m.view.keepers) > 0 && !slices.ContainsFunc(m.view.keepers, func(k lease.Replica) bool { return k.ID == m.cfg.Disk.Replica }) {
		keeps = false // it was removed, and what it held of the record stands still since
	}
	switch err := m.Halted(); {
	case err != nil:
		s.Role, s.Reason, keeps = "stopped", err.Error(), false
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
			o := MemberStatus{Name: name, Session: x.Session, ReplicaID: x.DiskID, Zone: x.Zone, Machine: x.Machine}
			if m.watch != nil && x.Session != 0 {
				o.ExpiresInMS = new(m.watch.Remaining(now, x.Session).Milliseconds())
			}
			s.Members = append(s.Members, o)
		}
		for _, name := range slices.Sorted(maps.Keys(m.st.Leases)) {
			d := m.st.Leases[name]
			s.Leases = append(s.Leases, LeaseStatus{name, d.Holder, d.Token, d.SinceRevision, d.TransferTo})
		}
		for _, id := range slices.Sorted(maps.Keys(m.st.Replicas)) {
			s.Replicas = append(s.Replicas, m.st.Replicas[id])
		}
		s.Transfers = slices.Clone(m.st.Transfers[max(0, len(m.st.Transfers)-maxShownTransfers):])
		s.Sessions = len(m.st.Sessions)
		return s
	}
	for _, name := range slices.Sorted(maps.Keys(m.view.members)) {
		x := m.view.members[name]
		s.Members = append(s.Members, MemberStatus{Name: name, Session: x.Session, ReplicaID: x.DiskID, Zone: x.Zone, Machine: x.Machine})
		if x.Session != 0 {
			s.Sessions++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.view.duties)) {
		d := m.view.duties[name]
		s.Leases = append(s.Leases, LeaseStatus{Name: name, Holder: d.Holder, Token: d.Token, TransferTo: d.TransferTo})
	}
	if m.view.count > 0 {
		s.Sessions = m.view.count
	}
	s.Replicas = append(s.Replicas, m.view.keepers...)
	return s
}

// Holds returns the duties that are held now.
func (m *Node) Grants() (list []Grant) {
	for _, duty := range slices.Sorted(maps.Keys(m.holds)) {
		list = append(list, *m.holds[duty])
	}
	return list
}

// Hold returns what is held of one duty.
func (m *Node) Grant(duty string) (h Grant, ok bool) {
	if x := m.holds[duty]; x != nil {
		return *x, true
	}
	return h, false
}

// Leads says whether this gateway leads the record.
func (m *Node) IsLeader() bool { return m.lead }

// Halted says why the replica here has stopped; nil while it has not.
func (m *Node) Halted() error {
	if m.copied != nil {
		return m.copied
	}
	return m.node.Halted()
}

// Session is the session that this gateway has; 0: none.
func (m *Node) Session() uint64 { return m.session }

// State is the record as the replica here has it, for whoever checks it; it is not to be changed.
func (m *Node) State() *lease.State { return m.st }

// Cleared says whether the replica here takes part: see Welcome.
func (m *Node) Cleared() bool { return m.cleared }
