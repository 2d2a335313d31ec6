package balancer

const (
	// silenceTimeoutDeviations is how far the age of an attempt must exceed the mean RTT of its class for
	// its host to be considered silent, in mean deviations.
	silenceTimeoutDeviations = 4
	// silenceTimeoutDivisor determines the timeout of a class without any response so far: its latency
	// objective divided by it.
	silenceTimeoutDivisor = 2
)

// silenceTimeout returns the age of an attempt of the request from which its host is considered silent.
func (b *Balancer) silenceTimeout(request *request) Time {
	typical := &b.typicalRTT.byClass[request.Class]
	if !typical.seen {
		return request.class.LatencyObjective / silenceTimeoutDivisor
	}
	return Time(nanosecondsPerSecond * (typical.mean + float64(silenceTimeoutDeviations*typical.dev)))
}

// unansweredTooLong reports whether an attempt in flight has reached its silence timeout.
func (b *Balancer) unansweredTooLong(attempt *attempt) bool {
	return b.now-attempt.sentAt >= b.silenceTimeout(attempt.request)
}

// suspected reports whether a host has a single attempt in flight that was not overtaken, and that attempt
// has reached its silence timeout. Either the host is silent or the request is expensive.
func (b *Balancer) suspected(host *host) bool {
	oldest, notOvertaken := host.oldestNotOvertaken()
	return notOvertaken == 1 && !host.limiter.resting(b.now) && b.unansweredTooLong(oldest)
}

// checkBusyHosts checks the hosts with attempts in flight, whose state changes with time alone: it cancels
// stalled attempts, updates the standing of the hosts and ejects silent ones.
func (b *Balancer) checkBusyHosts() {
	b.sweep.inFlight = 0
	for _, host := range b.sets[setBusy].list {
		b.sweep.inFlight += host.inFlight
		b.cancelStalled(host)
		b.updateStanding(host)
		b.checkSilence(host)
	}
}

// checkSilence ejects a host that is silent: it has not responded since its two oldest attempts were sent,
// and both have reached their silence timeouts. This detects hosts that accept requests without responding;
// a host that is only slow responds to other attempts meanwhile. Two attempts are required because a single
// one may be expensive. The attempts at the host are not canceled: most get a response later, and sending
// them again would cost more than it saves.
func (b *Balancer) checkSilence(host *host) {
	first := host.attempts.head
	if first == nil {
		return
	}
	oldest := first.item
	answeredSince := oldest.sentAt < host.lastResponse
	if answeredSince || !b.unansweredTooLong(oldest) {
		return
	}
	if host.ejection.count == 0 && !oldest.countedSilent {
		// The RTT of the attempt is at least its age. Reporting it now shows an overload before the late
		// responses arrive.
		oldest.countedSilent = true
		b.adjustSendRate(oldest, (b.now - oldest.sentAt).Seconds())
	}
	second := first.next
	if second != nil && b.unansweredTooLong(second.item) {
		b.eject(host, CauseSilent)
		b.updateStanding(host)
	}
}
