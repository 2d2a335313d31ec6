package balancer

const (
	// pollBackoffDivisor gives the mean of the first delay after a failed poll: PollTimeout divided by it.
	pollBackoffDivisor = 16
	// maxPollDoublings is how many times that delay doubles at most.
	maxPollDoublings = 2
	// pollJitterMin is the least factor of chance in the delay.
	pollJitterMin = 0.5
	// startSpreadDivisor gives the time over which the first polls of the instances are spread: PollTimeout
	// divided by it.
	startSpreadDivisor = 4
)

// endpointPoller decides when the gateway begins to poll discovery for the endpoint list. After a Poll
// action the gateway goes on receiving lists by itself, until it reports ListFailed. So nothing is decided
// here while lists arrive. A Poll that brings no list within PollTimeout is repeated; after a failure polling
// begins again with an exponential, jittered and bounded backoff. The backoff counts from the start of a poll
// that hung: a change counts as known 6 s after discovery can be reached, however often polls have failed.
type endpointPoller struct {
	listsArrive bool // a list was received since the last failure, and others follow
	pollAt      Time // when the next poll is due
	failures    int  // since the last list
}

// startPolling begins to poll, spread by rank so that a fleet that starts together does not overload
// discovery.
func (b *Balancer) startPolling() {
	spread := b.settings.PollTimeout / startSpreadDivisor
	b.schedulePoll(spread * Time(b.settings.Rank) / Time(b.settings.Instances))
}

// schedulePoll polls discovery for changes after a delay.
func (b *Balancer) schedulePoll(delay Time) {
	b.poller.pollAt = b.now + delay
	b.wake(b.poller.pollAt, tokenPoll<<tokenShift)
}

// pollDue polls discovery if that is due and no lists arrive. Another poll follows if this one hangs.
func (b *Balancer) pollDue() {
	if b.now < b.poller.pollAt || b.poller.listsArrive {
		return
	}
	b.act(Action{Kind: Poll})
	b.schedulePoll(b.settings.PollTimeout)
}

// pollFailed polls again after a backoff; the old list stays valid.
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

// pollBackoff returns the delay until the next poll.
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
