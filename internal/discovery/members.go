package discovery

import "dunemoor/balancer"

// Sink receives the endpoint list. Calls come one at a time.
type Sink interface {
	UpdateEndpoints(kind balancer.ListKind, list MemberList)
}

// MemberList is the endpoint list, or changes of it, in discovery's form.
type MemberList struct {
	Version uint64   // of the list, with these changes
	Full    bool     // Servers is the whole list, and not changes of it
	Servers []Member // in changes, those that are new or that changed
}

// Member is a host of the list.
type Member struct {
	ID        string
	Addr      string
	Zone      string
	Kind      string
	Cell      int
	State     string
	StartedMS int64 `json:"started_ms"` // when its process started, in milliseconds; 0: long ago
}

// States of members.
const (
	StateReady    = "ready"
	StateDraining = "draining" // it gets nothing new
	StateGone     = "gone"     // it has left the list
)

// HostState returns the state of a member. A host with an unknown state gets no new requests.
func (m *Member) HostState() balancer.HostState {
	switch m.State {
	case StateReady:
		return balancer.Ready
	case StateGone:
		return balancer.Removed
	}
	return balancer.Draining
}
