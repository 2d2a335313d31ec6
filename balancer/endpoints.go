package balancer

// UpdateEndpoints applies an endpoint list, or with ListFailed reports that none was received.
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
	clear(b.touched) // avoids retaining removed hosts
	b.dispatchWaiting()
}

// updateHosts applies the entries of a list and collects the hosts that may have changed in b.touched.
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

// updateEndpoint applies one entry of the list. It returns nil for a removed host that is not known.
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

// applyUpdate updates the state of a host after all entries of a list were applied: the limit and the
// pacing of a new host depend on how many instances share it.
func (b *Balancer) applyUpdate(host *host) {
	if host.limiter.limit == 0 { // the host is new
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

// invalidateRing marks the ring, the scopes and the subset as outdated; they are rebuilt before the next
// use.
func (b *Balancer) invalidateRing() {
	b.ring.built = false
	b.scopes.built = false
	b.subset.current = false
}
