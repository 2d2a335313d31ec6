package balancer

// The endpoint list, and polling for it.

// Backoff of polls, relative to PollTimeout: the first delay is a sixteenth of it on average, and doubles
// twice at most.
const (
	firstPollDelayShare = 16
	maxPollDoublings    = 2
)

// UpdateEndpoints takes an endpoint list, or the failure to get one.
func (b *Balancer) UpdateEndpoints(now Time, kind ListKind, list []Host) {
	b.now = now
	if kind == ListFailed {
		b.listFailed()
		return
	}
	if kind != ListSaved {
		b.listReceived()
	}
	b.touched = b.touched[:0]
	if kind != ListChanges {
		for _, h := range b.hosts {
			h.State = Removed
		}
		b.touched = append(b.touched, b.hosts...)
	}
	for _, e := range list {
		if h := b.updateEndpoint(e); h != nil {
			b.touched = append(b.touched, h)
		}
	}
	b.ringBuilt, b.scopesBuilt, b.subsetCurrent = false, false, false
	for _, h := range b.touched {
		b.updateRank(h)
	}
	for _, h := range b.touched {
		if h.concurrencyLimit == 0 { // it is new
			h.concurrencyLimit = initialLimit / b.sharingInstances()
		}
		if h.warming && h.nextSlowStartSend == 0 {
			b.paceSlowStart(h)
		}
		if h.State != Ready {
			b.removeFromSubset(h)
		}
		b.recheck(h)
		b.dropRemoved(h)
	}
	clear(b.touched)
	b.dispatchWaiting()
}

// updateEndpoint takes over one entry of the list. It returns nil for one that is removed and unknown.
func (b *Balancer) updateEndpoint(e Host) *host {
	h := b.byID[e.ID]
	if h == nil {
		if e.State == Removed {
			return nil
		}
		h = b.newHost(e)
	}
	if h.Kind != e.Kind {
		b.removeFromKind(h)
		h.Kind = e.Kind
		b.addToKind(h)
	}
	started := h.Started
	h.Host = e
	if e.Started > 0 && e.Started != started {
		b.startSlowStart(h, e.Started)
	}
	return h
}

// schedulePoll polls discovery for changes after a delay.
func (b *Balancer) schedulePoll(delay Time) {
	b.pollAt = b.now + delay
	b.wake(b.pollAt, tokenPoll<<tokenShift)
}

// listFailed polls again with exponential, jittered backoff; the old list stays valid. The backoff is
// bounded, and counts from the start of a poll that hung: a change counts as known 6 s after discovery
// can be reached, however often polls have failed.
func (b *Balancer) listFailed() {
	if b.polling || b.pollFailures == 0 {
		b.log(logLost, "host list lost, asking again")
	}
	b.polling = false
	if !b.set.Poll {
		return
	}
	first := Time(float64(b.set.PollTimeout) / firstPollDelayShare * (0.5 + b.float()))
	delay := first << min(b.pollFailures, maxPollDoublings)
	if hung := b.now - (b.pollAt - b.set.PollTimeout); hung > first { // since the last poll
		delay = max(first, delay-hung)
	}
	b.pollFailures++
	b.schedulePoll(delay)
}

func (b *Balancer) listReceived() {
	if b.pollFailures > 0 {
		b.log(logFound, "host list regained")
	}
	b.polling, b.pollFailures = true, 0
}
