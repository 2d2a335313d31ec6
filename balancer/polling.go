package balancer

const (
	// pollBackoffDivisor gives the mean of the first delay after a failed poll: PollTimeout divided by it.
	pollBackoffDivisor = 16
	// maxPollDoublings is how many times that delay doubles at most.
	maxPollDoublings = 2
	// pollJitterMin is the least factor of chance in the delay.
	pollJitterMin = 0.5
	// pollStartSpreadDivisor gives the time over which the first polls of the instances are spread:
	// PollTimeout divided by it.
	pollStartSpreadDivisor = 4
)

// endpointPoller decides when the gateway begins to poll discovery for the endpoint list. A Poll action is
// the beginning: from then on the gateway polls or watches by itself and reports each list, until it reports
// ListFailed. So nothing is decided here while lists arrive. A Poll that brings no list within PollTimeout
// is repeated; after a failure the next one follows an exponential, jittered and bounded backoff. The
// backoff counts from the start of a poll that hung, as an instance has to know the list 6 s after discovery
// can be reached again, however often polls have failed.
type endpointPoller struct {
	listsArrive bool // a list was received since the last failure, and others follow
	pollAt      Time // when the next Poll action is due
	failures    int  // since the last list
}

// startPolling schedules the first Poll action, spread by rank so that a fleet that starts together does not
// overload discovery.
func (b *Balancer) startPolling() {
	spread := b.settings.PollTimeout / pollStartSpreadDivisor
	b.schedulePoll(spread * Time(b.settings.Rank) / Time(b.settings.Instances))
}

// schedulePoll schedules a Poll action after a delay.
func (b *Balancer) schedulePoll(delay Time) {
	b.poller.pollAt = b.now + delay
	b.wake(b.poller.pollAt, tokenPoll<<tokenShift)
}

// pollDue decides on a Poll action if one is due and no lists arrive. Another follows if this one hangs.
func (b *Balancer) pollDue() {
	if b.now < b.poller.pollAt || b.poller.listsArrive {
		return
	}
	b.act(Action{Kind: Poll})
	b.schedulePoll(b.settings.PollTimeout)
}

// pollFailed notes that no list was received, and schedules the next Poll action; the old list stays valid.
func (b *Balancer) pollFailed() {
	poller := &b.poller
	if poller.listsArrive || poller.failures == 0 {
		b.log(logEndpointsLost, "endpoint list unavailable, polling again")
	}
	poller.listsArrive = false
	if !b.settings.Poll {
		return
	}
	delay := b.pollBackoff()
	poller.failures++
	b.schedulePoll(delay)
}

// pollBackoff returns the delay until the next Poll action.
func (b *Balancer) pollBackoff() Time {
	timeout := b.settings.PollTimeout
	first := Time(float64(timeout) / pollBackoffDivisor * (pollJitterMin + b.random.unit()))
	delay := first << min(b.poller.failures, maxPollDoublings)
	lastPoll := b.poller.pollAt - timeout
	sinceLastPoll := b.now - lastPoll
	if sinceLastPoll > first {
		delay = max(first, delay-sinceLastPoll)
	}
	return delay
}

// pollSucceeded notes that a list was received.
func (b *Balancer) pollSucceeded() {
	if b.poller.failures > 0 {
		b.log(logEndpointsRegained, "endpoint list available again")
	}
	b.poller.listsArrive = true
	b.poller.failures = 0
}
