package discovery

import "dunemoor/balancer"

// Sink receives the endpoint list. Calls come one at a time.
type Sink interface {
	UpdateEndpoints(kind balancer.ListKind, list MemberList)
}

// MemberList is the list of hosts, or changes of it, in discovery's form.
type MemberList struct {
	Version uint64
	Full    bool
	Servers []Member
}

// Member is one host of the list.
type Member struct {
	ID        string
	Addr      string
	Zone      string
	Kind      string
	Cell      int
	State     string
	StartedMS int64 `json:"started_ms"`
}

// HostState reads the state of a member; a host of which we cannot tell gets nothing new.
func (m *Member) HostState() balancer.HostState {
	switch m.State {
	case "ready":
		return balancer.Ready
	case "gone":
		return balancer.Removed
	}
	return balancer.Draining
}
