package balancer

// host is what this instance knows of one host. Each rule has its own part.
type host struct {
	Host         // as listed
	index        int
	inFlight     int                 // attempts of this instance
	attempts     linkedList[attempt] // in flight, in the order sent
	lastResponse Time                // of any kind

	rtt             rttEstimate
	limiter         concurrencyLimiter
	ejection        ejection
	brokenResponses int           // invalid responses and resets in a row
	errors          []classErrors // by class
	hasErrors       bool          // an error was counted in one of them, however long ago
	slowStart       slowStart
	ring            ringPosition

	sets    membership
	counted standing // what Balancer.counts has of it
	// nextUpdate is when the standing is updated without an event.
	nextUpdate dueEntry
}

// oldestNotOvertaken returns the attempt in flight longest that was not overtaken, and how many of those
// there are.
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

// addHost adds a host that was not known. The caller sets the rest of its entry.
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

// dropRemoved forgets a removed host without attempts in flight.
func (b *Balancer) dropRemoved(host *host) {
	known := b.byID[host.ID] == host
	if host.State != Removed || host.inFlight > 0 || !known {
		return
	}
	delete(b.byID, host.ID)
	last := len(b.hosts) - 1
	b.hosts[host.index] = b.hosts[last]
	b.hosts[host.index].index = host.index
	b.hosts[last] = nil // the slice must not keep a host that is gone
	b.hosts = b.hosts[:last]
	b.ring.remove(host)
	b.dueStandings.cancel(host)
	b.invalidateRing()
}
