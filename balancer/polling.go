package balancer

const (
	// pollBackoffDivisor determines the mean delay after a first failed poll: PollTimeout divided by it.
	pollBackoffDivisor = 16
	// maxPollDoublings is the maximum number of times that this delay doubles.
	maxPollDoublings = 2
	// pollJitterMin is the lower bound of the random factor applied to the delay.
	pollJitterMin = 0.5
	// pollStartSpreadDivisor determines the time over which the first polls of all instances are spread:
	// PollTimeout divided by it.
	pollStartSpreadDivisor = 4
)

// endpointPoller decides when the gateway starts to poll discovery for the endpoint list. After a Poll
// action the gateway polls or watches on its own and reports each list until it reports ListFailed, so no
// decision is needed while lists arrive. A Poll that yields no list within PollTimeout is repeated; after a
// failure the next one follows with an exponential, jittered and bounded backoff. The time that a hung poll
// took is subtracted from the backoff, because an instance must have the list within 6 s after discovery is
// reachable again, however often polls have failed.
type endpointPoller struct {
	listsArrive bool // a list was received after the last failure, and the gateway continues to receive them
	pollAt      Time // time at which the next Poll action is due
	failures    int  // failed polls since the last list
}

// startPolling schedules the first Poll action. The delay depends on the rank, so that a fleet that starts
// all at once does not overload discovery.
func (b *Balancer) startPolling() {
	spread := b.settings.PollTimeout / pollStartSpreadDivisor
	b.schedulePoll(spread * Time(b.settings.Rank) / Time(b.settings.Instances))
}

// schedulePoll schedules a Poll action after a delay.
func (b *Balancer) schedulePoll(delay Time) {
	b.poller.pollAt = b.now + delay
	b.wake(b.poller.pollAt, tokenPoll<<tokenShift)
}

// pollDue emits a Poll action if one is due and no lists arrive, and schedules the next one in case this
// poll hangs.
func (b *Balancer) pollDue() {
	if b.now < b.poller.pollAt || b.poller.listsArrive {
		return
	}
	b.act(Action{Kind: Poll})
	b.schedulePoll(b.settings.PollTimeout)
}

// pollFailed handles a failure to receive a list: the previous list stays in use, and the next Poll action
// is scheduled.
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

// pollSucceeded handles the receipt of a list.
func (b *Balancer) pollSucceeded() {
	if b.poller.failures > 0 {
		b.log(logEndpointsRegained, "endpoint list available again")
	}
	b.poller.listsArrive = true
	b.poller.failures = 0
}
