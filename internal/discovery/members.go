package discovery

import "dunemoor/balancer"

// Sink receives an endpoint list and its updates. It is not called concurrently.
type Sink interface {
	UpdateEndpoints(kind balancer.ListKind, list MemberList)
}

// MemberList is an endpoint list, or an update of it, in the format of the discovery service.
type MemberList struct {
	Version uint64   // version of the list; in an update, the version after it
	Full    bool     // Servers is the complete list, not an update
	Servers []Member // all hosts, or in an update those that are new or have changed
}

// Member is a host in an endpoint list.
type Member struct {
	ID        string
	Addr      string
	Zone      string
	Kind      string
	Cell      int
	State     string
	StartedMS int64 `json:"started_ms"` // start time of its process in milliseconds; 0 if it started long ago
}

// States of members.
const (
	StateReady    = "ready"
	StateDraining = "draining" // the host gets no new requests
	StateGone     = "gone"     // the host was removed from the list
)

// HostState returns the state of a member for the balancer. An unknown state counts as draining, so that the host gets no
// new requests.
func (m *Member) HostState() balancer.HostState {
	switch m.State {
	case StateReady:
		return balancer.Ready
	case StateGone:
		return balancer.Removed
	}
	return balancer.Draining
}
