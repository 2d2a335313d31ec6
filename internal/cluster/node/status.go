package node

import (
	"maps"
	"slices"
	"time"

	"dunemoor/internal/cluster/lease"
)

// Status describes a gateway and its view of the fleet.
type Status struct {
	Fleet       string                `json:"id"`
	Name        string                `json:"name"`
	ReplicaID   uint64                `json:"disk"`
	Role        string                `json:"role"` // one of the values below
	Reason      string                `json:"why,omitempty"`
	Leader      string                `json:"leader"`
	Term        uint64                `json:"term"`
	Commit      uint64                `json:"commit"`
	Applied     uint64                `json:"applied"`
	ClusterID   uint64                `json:"birth"`
	Session     uint64                `json:"session"`
	ExpiresInMS int64                 `json:"expires_in_ms"` // time until this gateway's holder deadline
	FreshMS     int64                 `json:"fresh_ms"`      // time since a leader last confirmed the view, or -1 if never
	Members     []MemberStatus        `json:"members"`
	Leases      []LeaseStatus         `json:"duties"`
	Replicas    []lease.Replica       `json:"keepers"`
	Transfers   []lease.LeaseTransfer `json:"changes,omitempty"` // last transfers; set only at a replica
	Sessions    int                   `json:"sessions"`
	Overrides   []OverrideStatus      `json:"words"` // overrides that this gateway applies
}

// Values of Status.Role.
const (
	statusLeader  = "leader"
	statusReplica = "keeper"
	statusLearner = "learner"
	statusMember  = "member"  // the gateway has no replica
	statusStopped = "stopped" // the replica has stopped, see Status.Reason
)

// OverrideStatus is an operator's override of a host.
type OverrideStatus struct {
	Pool            string `json:"pool"`
	Host            string `json:"host"`
	Reason          string `json:"reason,omitempty"`
	CreatedBy       string `json:"by"` // gateway that received the operator's request
	CreatedRevision uint64 `json:"since"`
	// RemainingMS is Override.Remaining as last received. The leader records that value every minute. It is 0
	// if the override does not expire.
	RemainingMS int64 `json:"left_ms"`
}

// MemberStatus is the status of one gateway of the fleet.
type MemberStatus struct {
	Name      string `json:"name"`
	Session   uint64 `json:"session"`
	ReplicaID uint64 `json:"disk"`
	Zone      string `json:"zone,omitempty"`
	Machine   string `json:"machine,omitempty"`
	// ExpiresInMS is the time until the session expires by the leader's clock. It is set only at the leader.
	ExpiresInMS *int64 `json:"expires_in_ms,omitempty"`
}

// LeaseStatus is the status of one lease.
type LeaseStatus struct {
	Name          string `json:"name"`
	Holder        string `json:"owner"`
	Token         uint64 `json:"token"`
	SinceRevision uint64 `json:"since,omitempty"`
	TransferTo    string `json:"to,omitempty"`
}

// maxShownTransfers bounds the lease transfers in a Status.
const maxShownTransfers = 16

// Status returns the status as of now.
func (n *Node) Status(now time.Duration) *Status {
	raft := n.replica.status()
	s := &Status{
		Fleet: n.cfg.Fleet, Name: n.cfg.Name, ReplicaID: n.cfg.Disk.ReplicaID, Role: statusMember, Leader: n.replica.leaderName(),
		Term: raft.Term, Commit: raft.Commit, Applied: raft.Applied, ClusterID: n.replica.clusterID, Session: n.session.id, FreshMS: -1,
		Members: []MemberStatus{}, Leases: []LeaseStatus{}, Replicas: []lease.Replica{}, Overrides: []OverrideStatus{},
	}
	for _, o := range n.view.overrides.List {
		s.Overrides = append(s.Overrides, OverrideStatus{o.Pool, o.Host, o.Reason, o.CreatedBy, o.CreatedRevision, o.Remaining.Milliseconds()})
	}
	if n.view.confirmedAt > 0 {
		s.FreshMS = (now - n.view.confirmedAt).Milliseconds()
	}
	if n.session.id != 0 {
		s.ExpiresInMS = max(0, n.session.deadline-now).Milliseconds()
	}
	isReplica := n.setRole(s)
	if !isReplica && s.Role != statusStopped || s.Leader == "" {
		s.Leader, s.Term = n.view.leader, max(s.Term, n.view.term)
	}
	if isReplica && n.replica.state.ClusterID != 0 {
		n.addReplicaStatus(s, now)
	} else {
		n.addViewStatus(s)
	}
	return s
}

// setRole sets the role, and reports whether this gateway has an active replica.
func (n *Node) setRole(s *Status) (isReplica bool) {
	id := n.cfg.Disk.ReplicaID
	own, isReplica := n.replica.state.Replicas[id]
	if n.view.revision >= n.replica.state.Revision && len(n.view.replicas) > 0 &&
		!slices.ContainsFunc(n.view.replicas, func(r lease.Replica) bool { return r.ID == id }) {
		isReplica = false // the replica was removed, but its copy of the state does not contain the removal
	}
	switch err := n.Halted(); {
	case err != nil:
		s.Role, s.Reason = statusStopped, err.Error()
		return false
	case n.leader != nil:
		s.Role = statusLeader
	case isReplica && own.Learner:
		s.Role = statusLearner
	case isReplica:
		s.Role = statusReplica
	}
	return isReplica
}

// addReplicaStatus adds the data of this gateway's replica of the coordination state.
func (n *Node) addReplicaStatus(s *Status, now time.Duration) {
	state := n.replica.state
	for _, name := range state.MemberNames() {
		m := state.Members[name]
		status := MemberStatus{Name: name, Session: m.Session, ReplicaID: m.DiskID, Zone: m.Zone, Machine: m.Machine}
		if n.leader != nil && m.Session != 0 {
			status.ExpiresInMS = new(n.leader.expiry.Remaining(now, m.Session).Milliseconds())
		}
		s.Members = append(s.Members, status)
	}
	for _, name := range slices.Sorted(maps.Keys(state.Leases)) {
		l := state.Leases[name]
		s.Leases = append(s.Leases, LeaseStatus{name, l.Holder, l.Token, l.SinceRevision, l.TransferTo})
	}
	for _, id := range slices.Sorted(maps.Keys(state.Replicas)) {
		s.Replicas = append(s.Replicas, state.Replicas[id])
	}
	s.Transfers = slices.Clone(state.Transfers[max(0, len(state.Transfers)-maxShownTransfers):])
	s.Sessions = len(state.Sessions)
}

// addViewStatus adds the data that leaders have sent to this gateway.
func (n *Node) addViewStatus(s *Status) {
	for _, name := range slices.Sorted(maps.Keys(n.view.members)) {
		m := n.view.members[name]
		s.Members = append(s.Members, MemberStatus{Name: name, Session: m.Session, ReplicaID: m.DiskID, Zone: m.Zone, Machine: m.Machine})
		if m.Session != 0 {
			s.Sessions++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(n.view.leases)) {
		l := n.view.leases[name]
		s.Leases = append(s.Leases, LeaseStatus{Name: name, Holder: l.Holder, Token: l.Token, TransferTo: l.TransferTo})
	}
	if n.view.sessionCount > 0 {
		s.Sessions = n.view.sessionCount
	}
	s.Replicas = append(s.Replicas, n.view.replicas...)
}

// IsLeader reports whether this gateway leads the coordination group.
func (n *Node) IsLeader() bool { return n.leader != nil }

// Halted returns the reason why the replica has stopped, or nil while it runs.
func (n *Node) Halted() error { return n.replica.halted() }

// Session returns the ID of this gateway's session, or 0 if it has none.
func (n *Node) Session() uint64 { return n.session.id }

// State returns the replica's copy of the coordination state, for tests. It must not be modified.
func (n *Node) State() *lease.State { return n.replica.state }

// Cleared reports whether the replica may take part in the Raft group, see HelloReply.
func (n *Node) Cleared() bool { return n.replica.cleared }
