package faulttest

// Converged reports whether the fleet is in its normal state: all gateways have a session and agree on sessions and lease
// holders, each lease has a holder, and there are Options.Replicas replicas, each on its gateway's current disk. In a
// fleet with relays, each gateway has a stream to a relay and the right number of sessions, and each relay lists all
// members, is connected with all other relays and has routes to all gateways. The gateways do not list members there, so
// only their number of sessions is checked.
func (f *Fleet) Converged() bool {
	statuses, ok := f.statuses()
	if !ok {
		return false
	}
	byName := map[string]*Status{}
	for _, s := range statuses {
		byName[s.Name] = s
	}
	for i, s := range statuses {
		connected := f.connected(i, s, len(statuses))
		if !connected || !f.agrees(s, statuses[0]) || !f.sessionsMatch(s, byName) || !f.replicasMatch(s, byName) {
			return false
		}
	}
	return true
}

// statuses returns the status of all gateways. It returns false if one of them is not running or has no session, no known
// leader or a stopped replica.
func (f *Fleet) statuses() ([]*Status, bool) {
	var statuses []*Status
	for _, g := range f.Gateways {
		if !g.IsRunning() {
			return nil, false
		}
		s, err := g.Status()
		if err != nil || s.Session == 0 || s.Leader == "" || s.Role == roleStopped {
			return nil, false
		}
		s.Name = g.Name
		statuses = append(statuses, s)
	}
	return statuses, true
}

// connected reports whether a gateway or relay has all its connections and routes.
func (f *Fleet) connected(index int, s *Status, gateways int) bool {
	switch {
	case f.Relays == 0:
		return len(s.Members) == gateways
	case index >= f.Relays:
		return s.Relay.Name != "" && s.Sessions == gateways
	default:
		hasAllRoutes := s.Streams.Routes == gateways-f.Relays && len(s.Streams.Relays) == f.Relays
		return len(s.Members) == gateways && hasAllRoutes
	}
}

// agrees reports whether a gateway has the same leader and lease holders as another, and all leases have a holder.
func (f *Fleet) agrees(s, other *Status) bool {
	if s.Leader != other.Leader || len(s.Leases) == 0 || len(s.Leases) != len(other.Leases) {
		return false
	}
	for i, l := range s.Leases {
		sameHolder := l.Holder == other.Leases[i].Holder && l.Token == other.Leases[i].Token
		if l.Holder == "" || !sameHolder {
			return false
		}
	}
	return true
}

// sessionsMatch reports whether the sessions in a gateway's status are the current ones.
func (f *Fleet) sessionsMatch(s *Status, byName map[string]*Status) bool {
	for _, m := range s.Members {
		if own := byName[m.Name]; own == nil || m.Session != own.Session {
			return false
		}
	}
	return true
}

// replicasMatch reports whether the replicas in a gateway's status are as many voters as configured, on the current disks.
func (f *Fleet) replicasMatch(s *Status, byName map[string]*Status) bool {
	if len(s.Replicas) != f.Replicas {
		return false
	}
	for _, r := range s.Replicas {
		if own := byName[r.Name]; r.Learner || own == nil || own.ReplicaID != r.ID {
			return false
		}
	}
	return true
}
