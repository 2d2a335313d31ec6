package balancer

// host is the state of one host in this instance. Each rule has a part of its own.
type host struct {
	Host                             // the entry of the endpoint list
	index        int                 // index in Balancer.hosts
	inFlight     int                 // attempts of this instance in flight
	attempts     linkedList[attempt] // the attempts in flight in the order they were sent
	lastResponse Time                // time of the last response of any kind

	rtt             rttEstimate
	limiter         concurrencyLimiter
	ejection        ejection
	brokenResponses int           // malformed responses and resets in a row
	errors          []classErrors // error state by class
	hasErrors       bool          // at least one error was ever recorded in errors
	slowStart       slowStart
	ring            ringPosition

	sets    membership
	counted standing // standing as last added to Balancer.counts
	// nextUpdate is the next time at which the standing must be updated without an event.
	nextUpdate dueEntry
}

// oldestNotOvertaken returns the oldest attempt in flight that was not overtaken, or nil, and the number of
// such attempts.
func (h *host) oldestNotOvertaken() (oldest *attempt, count int) {
	for node := h.attempts.head; node != nil; node = node.next {
		if node.item.overtaken() {
			continue
		}
		if oldest == nil {
			oldest = node.item
		}
		count++
	}
	return oldest, count
}

// addHost adds a host that is not known yet. The caller copies the rest of the entry.
func (b *Balancer) addHost(entry Host) *host {
	added := &host{
		Host:         Host{ID: entry.ID, Kind: entry.Kind},
		index:        len(b.hosts),
		lastResponse: b.now,
		rtt:          rttEstimate{at: b.now},
		errors:       make([]classErrors, len(b.settings.Classes)),
		ring:         ringPosition{hash: mixBits(uint64(entry.ID))},
		sets:         membership{selectionSet: setNone},
		nextUpdate:   dueEntry{at: forever},
	}
	b.byID[entry.ID] = added
	b.hosts = append(b.hosts, added)
	b.ring.add(added)
	return added
}

// dropRemoved deletes a removed host once it has no attempts in flight.
func (b *Balancer) dropRemoved(host *host) {
	known := b.byID[host.ID] == host
	if host.State != Removed || host.inFlight > 0 || !known {
		return
	}
	delete(b.byID, host.ID)
	last := len(b.hosts) - 1
	b.hosts[host.index] = b.hosts[last]
	b.hosts[host.index].index = host.index
	b.hosts[last] = nil // avoids retaining a removed host
	b.hosts = b.hosts[:last]
	b.ring.remove(host)
	b.dueStandings.cancel(host)
	b.invalidateRing()
}
