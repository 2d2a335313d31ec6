package balancer

const (
	// silenceTimeoutDeviations is how far above the mean RTT of its class an attempt's age must be for
	// its host to count as silent, in mean deviations.
	silenceTimeoutDeviations = 4
	// silenceTimeoutDivisor gives the timeout of a class without a response yet: its latency objective
	// divided by it.
	silenceTimeoutDivisor = 2
)

// silenceTimeout returns how long an attempt for a request may take before its host counts as silent.
func (b *Balancer) silenceTimeout(request *request) Time {
	typical := &b.typicalRTT.byClass[request.Class]
	if !typical.seen {
		return request.class.LatencyObjective / silenceTimeoutDivisor
	}
	return Time(nanosecondsPerSecond * (typical.mean + silenceTimeoutDeviations*typical.dev))
}

// unansweredTooLong reports whether an attempt in flight has taken longer than its silence timeout.
func (b *Balancer) unansweredTooLong(attempt *attempt) bool {
	return b.now-attempt.sentAt >= b.silenceTimeout(attempt.request)
}

// suspected reports whether a host has a single attempt in flight that takes longer than it should: either
// the host is silent or the request is costly.
func (b *Balancer) suspected(host *host) bool {
	oldest, notOvertaken := host.oldestNotOvertaken()
	return notOvertaken == 1 && !host.limiter.resting(b.now) && b.unansweredTooLong(oldest)
}

// checkBusyHosts looks at the hosts with attempts in flight, as time has passed: it cancels stalled attempts,
// updates the standing of the hosts and ejects silent ones.
func (b *Balancer) checkBusyHosts() {
	b.sweep.inFlight = 0
	for _, host := range b.sets[setBusy].list {
		b.sweep.inFlight += host.inFlight
		b.cancelStalled(host)
		b.updateStanding(host)
		b.checkSilence(host)
	}
}

// checkSilence ejects a host that is silent: it has answered nothing since its oldest attempts were sent,
// longer ago than their classes' RTTs explain. It guards against hosts that accept requests and answer
// none; a host that is only slow answers others meanwhile. One attempt may be costly, so two must be
// unanswered that long. Attempts at the host stay: most are answered later, and sending them again costs
// more than it saves.
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
		// Its RTT is that long at least: overload shows before the responses arrive.
		oldest.countedSilent = true
		b.adjustSendRate(oldest, (b.now - oldest.sentAt).Seconds())
	}
	second := first.next
	if second != nil && b.unansweredTooLong(second.item) {
		b.eject(host, CauseSilent)
		b.updateStanding(host)
	}
}
