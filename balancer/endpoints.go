package balancer

// UpdateEndpoints takes an endpoint list, or the failure to get one.
func (b *Balancer) UpdateEndpoints(now Time, kind ListKind, list []Host) {
	b.now = now
	if kind == ListFailed {
		b.pollFailed()
		return
	}
	if kind != ListSaved {
		b.pollSucceeded()
	}
	b.updateHosts(kind, list)
	b.invalidateRing()
	for _, host := range b.touched {
		b.updateRingStatus(host)
	}
	for _, host := range b.touched {
		b.applyUpdate(host)
	}
	clear(b.touched) // it must not keep hosts that are gone
	b.dispatchWaiting()
}

// updateHosts takes over the entries of a list. The hosts that may have changed are touched.
func (b *Balancer) updateHosts(kind ListKind, list []Host) {
	b.touched = b.touched[:0]
	if kind != ListChanges {
		for _, host := range b.hosts {
			host.State = Removed
		}
		b.touched = append(b.touched, b.hosts...)
	}
	for _, entry := range list {
		host := b.updateEndpoint(entry)
		if host != nil {
			b.touched = append(b.touched, host)
		}
	}
}

// updateEndpoint takes over one entry of the list. It returns nil for one that is removed and unknown.
func (b *Balancer) updateEndpoint(entry Host) *host {
	host := b.byID[entry.ID]
	if host == nil {
		if entry.State == Removed {
			return nil
		}
		host = b.addHost(entry)
	}
	if host.Kind != entry.Kind {
		b.ring.remove(host)
		host.Kind = entry.Kind
		b.ring.add(host)
	}
	restarted := entry.Started > 0 && entry.Started != host.Started
	host.Host = entry
	if restarted {
		b.startSlowStart(host, entry.Started)
	}
	return host
}

// applyUpdate draws the conclusions of a new list for a host, once all of the list is known: the limit
// and the pace of a new host depend on how many instances share it.
func (b *Balancer) applyUpdate(host *host) {
	if host.limiter.limit == 0 { // it is new
		host.limiter.limit = initialLimitAttempts / b.sharingInstances()
	}
	if host.slowStart.warming && host.slowStart.nextSend == 0 {
		b.paceSlowStart(host)
	}
	if host.State != Ready {
		b.removeFromSubset(host)
	}
	b.updateStanding(host)
	b.dropRemoved(host)
}

// invalidateRing has the ring, the scopes and the subset built again before they are next used.
func (b *Balancer) invalidateRing() {
	b.ring.built = false
	b.scopes.built = false
	b.subset.current = false
}
