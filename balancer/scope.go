package balancer

// dedupScopes is the hosts of each zone and cell: those that drop duplicates of each other's requests with an
// idempotency key. They are built when they are needed after the endpoint list has changed.
type dedupScopes struct {
	hosts map[scopeKey][]*host
	built bool // they are up to date
}

// scopeKey identifies a zone or a cell.
type scopeKey struct {
	scope  DedupScope
	number int
}

// hostsInScope returns the hosts that drop duplicates of a request that was first sent to a host.
func (b *Balancer) hostsInScope(scope DedupScope, first *host) []*host {
	if scope == ScopeAll {
		return b.hosts
	}
	if !b.scopes.built {
		b.scopes.build(b.hosts)
	}
	if scope == ScopeZone {
		return b.scopes.hosts[scopeKey{scope, first.Zone}]
	}
	return b.scopes.hosts[scopeKey{scope, first.Cell}]
}

// build sorts hosts into scopes. It reuses the memory of the last build, except of scopes that were empty
// then.
func (s *dedupScopes) build(hosts []*host) {
	s.built = true
	for key, list := range s.hosts {
		if len(list) == 0 {
			delete(s.hosts, key)
			continue
		}
		clear(list)
		s.hosts[key] = list[:0]
	}
	for _, host := range hosts {
		s.add(scopeKey{ScopeZone, host.Zone}, host)
		s.add(scopeKey{ScopeCell, host.Cell}, host)
	}
}

func (s *dedupScopes) add(key scopeKey, host *host) {
	s.hosts[key] = append(s.hosts[key], host)
}
