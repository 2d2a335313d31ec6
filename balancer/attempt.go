package balancer

// Attempts: what is sent, and what is learnt from how it ends.

// dispatch sends a request if a host is ready for it, and else queues it. It does not overtake requests that
// are queued already.
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

// send starts an attempt.
func (b *Balancer) send(request *request, host *host) {
	sendBy := b.sendBy(request)
	attempt := b.freeAttempts.take()
	attempt.request = request
	attempt.host = host
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

// endAttempt takes an attempt that has ended off its request and host.
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

// observe learns from the end of an attempt, which took rtt seconds.
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
		// An attempt that was canceled at its request's deadline has timed out all the same. That a
		// client has gone, or another attempt has answered, says nothing of the host.
		if attempt.request.answeredByBalancer {
			b.observeTimeout(attempt, rtt)
		}
	case Reset:
		// As with invalid responses, what resets connections may do so to any host's. The second broken
		// response in a row, if it is a reset, counts as a failed connection.
		b.addSample(host, rtt)
		if b.countBrokenResponse(host) {
			b.eject(host, CauseConnectionsFailed)
		}
	case ConnectFailed:
		b.addSample(host, rtt)
		b.eject(host, CauseConnectionsFailed)
	}
}

// limitSampleOf returns an attempt's RTT, in seconds, as the concurrency limiter sees it.
func (b *Balancer) limitSampleOf(attempt *attempt, rtt float64) limitSample {
	return limitSample{
		rtt:       b.relativeRTT(attempt.request.Class, rtt),
		objective: attempt.request.class.LatencyObjective,
		sentAt:    attempt.sentAt,
	}
}

// observeSuccess learns from a good response.
func (b *Balancer) observeSuccess(attempt *attempt, rtt float64) {
	host := attempt.host
	sample := b.limitSampleOf(attempt, rtt) // relative to the typical RTT of before
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

// observeFull learns from a rejection by a host that is full. It takes no more, and rejections are fast:
// a host that gives nothing else would attract everything that waits. So they count as slow responses.
func (b *Balancer) observeFull(attempt *attempt, rtt float64) {
	sample := b.limitSampleOf(attempt, rtt)
	sample.rtt = max(sample.rtt, 1)
	b.adjustLimit(attempt.host, sample)
	b.adjustSendRate(attempt, max(rtt, sample.objective.Seconds()))
	b.addSample(attempt.host, max(rtt, b.errorPenalty))
	b.readmit(attempt.host)
}

// observeError learns from an error response. A fast error says nothing of the host's speed.
func (b *Balancer) observeError(attempt *attempt, rtt float64) {
	host := attempt.host
	host.brokenResponses = 0
	if rtt > b.estimatedRTT(host) {
		b.addSample(host, rtt)
	}
	b.recordError(attempt)
	b.readmit(host)
}

// observeInvalid learns from an invalid response. The host did the work and took that long. What breaks
// responses on their way may do so to any host's, but a host that gives nothing else counts as failing.
func (b *Balancer) observeInvalid(attempt *attempt, rtt float64) {
	host := attempt.host
	if b.countBrokenResponse(host) {
		rtt = max(rtt, b.errorPenalty)
	}
	b.addSample(host, rtt)
	b.readmit(host)
}

// observeTimeout learns from an attempt without a response in time. Its RTT would have been longer yet.
func (b *Balancer) observeTimeout(attempt *attempt, rtt float64) {
	b.addSample(attempt.host, rtt)
	b.adjustLimit(attempt.host, b.limitSampleOf(attempt, rtt))
	b.adjustSendRate(attempt, rtt)
}
