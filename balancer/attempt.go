package balancer

// This file sends attempts and updates the state of hosts and classes when they end.

// dispatch sends a request if a host is ready for it, and queues it otherwise. If others are waiting it is
// always queued, so that requests are sent in the order of the queues.
func (b *Balancer) dispatch(request *request, isRetry bool) {
	if b.queues.length == 0 {
		host := b.pick(request)
		if host != nil {
			b.send(request, host)
			return
		}
	}
	b.enqueue(request, isRetry)
	b.dispatchWaiting()
}

// send starts an attempt of a request at a host.
func (b *Balancer) send(request *request, host *host) {
	sendBy := b.sendBy(request)
	attempt := b.freeAttempts.take()
	attempt.request = request
	attempt.host = host
	attempt.zone = host.Zone
	attempt.cell = host.Cell
	attempt.sentAt = b.now
	if host.ejection.count > 0 {
		attempt.trial = true
		host.ejection.trialInFlight = true
	}
	b.excludeDuringTrial(host, request.Class)
	request.attempts = append(request.attempts, attempt)
	request.inFlight++
	host.inFlight++
	attempt.link.item = attempt
	host.attempts.pushBack(&attempt.link)
	if host.slowStart.warming {
		b.paceSlowStart(host)
	}
	b.sets.add(setBusy, host)
	b.updateStanding(host)
	b.act(Action{Kind: Send, Request: request.ID, Host: host.ID, At: sendBy})
	b.sweep.inFlight++
	b.sendRate.countSent(b.now)
	b.scheduleSweep()
}

// endAttempt marks an attempt as ended and removes it from the attempts in flight of its request and host.
func (b *Balancer) endAttempt(attempt *attempt, result Result) {
	attempt.ended = true
	attempt.result = result
	attempt.request.inFlight--
	host := attempt.host
	host.inFlight--
	host.attempts.remove(&attempt.link)
	if host.inFlight == 0 {
		b.sets.remove(setBusy, host)
	}
}

// observe updates the state of the host and of the class from the end of an attempt that took rtt seconds.
func (b *Balancer) observe(attempt *attempt, rtt float64) {
	host := attempt.host
	if attempt.trial {
		host.ejection.trialInFlight = false
	}
	switch attempt.result {
	case OK:
		b.observeSuccess(attempt, rtt)
	case Full:
		b.observeFull(attempt, rtt)
	case Failed:
		b.observeError(attempt, rtt)
	case InvalidResponse:
		b.observeInvalid(attempt, rtt)
	case TimedOut:
		b.observeTimeout(attempt, rtt)
	case Canceled:
		// An attempt canceled at the deadline of its request counts as timed out. A cancellation because
		// the client disconnected or another attempt was answered is no information about the host.
		if attempt.request.answeredByBalancer {
			b.observeTimeout(attempt, rtt)
		}
	case Reset:
		// Like malformed responses, resets may be caused on the path and then affect any host. The second
		// broken response in a row counts as a failed connection if it is a reset.
		b.addSample(host, rtt)
		if b.countBrokenResponse(host) {
			b.eject(host, CauseConnectionsFailed)
		}
	case ConnectFailed:
		b.addSample(host, rtt)
		b.eject(host, CauseConnectionsFailed)
	}
}

// limitSampleOf returns the sample for the concurrency limiter of an attempt that took rtt seconds.
func (b *Balancer) limitSampleOf(attempt *attempt, rtt float64) limitSample {
	return limitSample{
		rtt:       b.relativeRTT(attempt.request.Class, rtt),
		objective: attempt.request.class.LatencyObjective,
		sentAt:    attempt.sentAt,
	}
}

// observeSuccess handles a successful response.
func (b *Balancer) observeSuccess(attempt *attempt, rtt float64) {
	host := attempt.host
	sample := b.limitSampleOf(attempt, rtt) // relative to the typical RTT before this response
	host.brokenResponses = 0
	b.recordSuccess(attempt)
	b.countOvertaken(attempt)
	b.addSample(host, b.typicalRTT.addNormalized(attempt.request.Class, host.Kind, rtt))
	b.adjustLimit(host, sample)
	b.adjustSendRate(attempt, rtt)
	if !attempt.request.done {
		b.recordStarvation(attempt.request, false)
	}
	b.observeWarmHost(host)
	b.readmit(host)
}

// observeFull handles a rejection by a host that is at capacity. Rejections count as slow responses: they
// are fast, and a host that only rejects would otherwise attract all waiting requests.
func (b *Balancer) observeFull(attempt *attempt, rtt float64) {
	sample := b.limitSampleOf(attempt, rtt)
	sample.rtt = max(sample.rtt, 1)
	b.adjustLimit(attempt.host, sample)
	b.adjustSendRate(attempt, max(rtt, sample.objective.Seconds()))
	b.addSample(attempt.host, max(rtt, b.errorPenalty))
	b.readmit(attempt.host)
}

// observeError handles an error response. An error response that is faster than the RTT estimate is no
// sample of the host's speed.
func (b *Balancer) observeError(attempt *attempt, rtt float64) {
	host := attempt.host
	host.brokenResponses = 0
	if rtt > b.estimatedRTT(host) {
		b.addSample(host, rtt)
	}
	b.recordError(attempt)
	b.readmit(host)
}

// observeInvalid handles a malformed response. Its RTT is a sample, because the host did execute the
// request. A single one may be caused on the path, which affects any host; from the second in a row on, the
// error penalty applies.
func (b *Balancer) observeInvalid(attempt *attempt, rtt float64) {
	host := attempt.host
	if b.countBrokenResponse(host) {
		rtt = max(rtt, b.errorPenalty)
	}
	b.addSample(host, rtt)
	b.readmit(host)
}

// observeTimeout handles an attempt that got no response in time. Its RTT would have been at least rtt.
func (b *Balancer) observeTimeout(attempt *attempt, rtt float64) {
	b.addSample(attempt.host, rtt)
	b.adjustLimit(attempt.host, b.limitSampleOf(attempt, rtt))
	b.adjustSendRate(attempt, rtt)
}
