package balancer

// dedupScopes maps each zone and cell to its hosts, which drop duplicates of each other's requests with an
// idempotency key. It is built when it is first used after a change of the endpoint list.
type dedupScopes struct {
	hosts map[scopeKey][]*host
	built bool // hosts is up to date
}

// scopeKey identifies a zone or a cell.
type scopeKey struct {
	scope  DedupScope
	number int
}

// hostsInScope returns the hosts that drop duplicates of a request, given its first attempt that may
// have run.
func (b *Balancer) hostsInScope(scope DedupScope, first *attempt) []*host {
	if scope == ScopeAll {
		return b.hosts
	}
	if !b.scopes.built {
		b.scopes.build(b.hosts)
	}
	if scope == ScopeZone {
		return b.scopes.hosts[scopeKey{scope, first.zone}]
	}
	return b.scopes.hosts[scopeKey{scope, first.cell}]
}

// build groups the hosts by scope. It reuses the slices of the previous build, except those of scopes that
// had no hosts.
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
