package balancer

import (
	"maps"
	"slices"
)

// The events, from Start to Timer. What they decide is in the other files of the policy: endpoints.go,
// subset.go, selection.go, slowstart.go, outlier.go, concurrency.go, admission.go, retry.go and queue.go.
// The types are in api.go, the state in state.go.

// answerMarginSteps is how many event steps ahead of its deadline a request is answered at the latest.
const answerMarginSteps = 2

func (b *Balancer) answerMargin() Time { return answerMarginSteps * b.set.Step }

// Start is the first event: the gateway has started. Where the endpoint list has to be polled, polling
// begins here, spread by rank so that a fleet that starts together does not overload discovery.
func (b *Balancer) Start(now Time) {
	b.now = now
	if b.set.Poll {
		b.schedulePoll(b.set.PollTimeout / 4 * Time(b.set.Rank) / Time(b.set.Instances))
	}
}

// Request is a client's request, which is owed one final response from here on.
func (b *Balancer) Request(now Time, q Request) {
	b.now = now
	if b.open[q.ID] != nil || q.Class < 0 || q.Class >= len(b.set.Classes) {
		return
	}
	r := b.newRequest()
	r.Request, r.class, r.arrived = q, &b.set.Classes[q.Class], now
	r.deadline = now + min(max(q.Remaining, 0), r.class.Deadline)
	r.band = b.bandOf[q.Class][b.queuePart(r)]
	b.open[q.ID] = r
	b.requests.add(now, b.rateSpan())
	// Each request has a timer ahead of its deadline: an attempt that is still connecting ends only
	// later, too late to be answered on its outcome.
	b.wake(max(now, r.deadline-b.answerMargin()), tokenAnswer<<tokenShift|uint64(q.ID))
	switch {
	case now+b.answerMargin() >= r.deadline:
		b.answer(r, CauseArrivedLate)
	case b.yieldsToStarving(r):
		b.answer(r, CauseLowerPriority)
	default:
		b.dispatch(r, false)
	}
}

// AttemptStarted reports that the response of an attempt is being streamed: the request belongs to
// that attempt.
func (b *Balancer) AttemptStarted(now Time, id RequestID, n int) {
	b.now = now
	r := b.open[id]
	if r == nil || r.done || n < 0 || n >= len(r.attempts) {
		return
	}
	r.streaming = true
	b.cancelOthers(r, n)
}

// AttemptEnded reports the end of an attempt.
func (b *Balancer) AttemptEnded(now Time, o Outcome) {
	b.now = now
	r := b.open[o.Request]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].ended {
		return
	}
	a := r.attempts[o.Attempt]
	a.ended, a.result = true, o.Result
	r.inFlight--
	h := a.host
	h.inFlight--
	h.attempts.remove(&a.link)
	if h.inFlight == 0 {
		b.removeFromSet(setBusy, h)
	}
	b.learnUnanswered(a)
	b.observe(a, max(o.Elapsed, 1).Seconds()) // a mean of 0 would be no divisor
	b.recheck(h)
	b.afterAttempt(r, a, o.Closed) // it may recycle a
	b.dropRemoved(h)
	b.dispatchWaiting()
}

// ClientGone reports that no client waits for the request any more.
func (b *Balancer) ClientGone(now Time, id RequestID) {
	b.now = now
	if r := b.open[id]; r != nil && !r.done {
		b.closeRequest(r)
	}
}

// Shutdown reports that the gateway ends: open requests are due by then, however long their clients
// would wait. Requests that arrive later have no more time than that.
func (b *Balancer) Shutdown(now, by Time) {
	b.now = now
	for _, id := range slices.Sorted(maps.Keys(b.open)) {
		if r := b.open[id]; !r.done && r.deadline > by {
			r.deadline = max(now, by)
			b.wake(max(now, by-b.answerMargin()), tokenAnswer<<tokenShift|uint64(id))
		}
	}
}

// Timer reports that the time of a Wake action has come.
func (b *Balancer) Timer(now Time, token uint64) {
	b.now = now
	switch token >> tokenShift {
	case tokenSweep:
		if now >= b.sweepAt {
			b.sweepAt = 0
			b.checkSilence()
			b.dispatchWaiting()
		}
	case tokenPoll:
		if now >= b.pollAt && !b.polling {
			b.act(Action{Kind: Poll})
			b.schedulePoll(b.set.PollTimeout)
		}
	case tokenAnswer:
		if r := b.open[RequestID(token&(1<<tokenShift-1))]; r != nil && !r.done && !r.streaming {
			b.answer(r, CauseDeadlineExceeded)
		}
	}
}

// dispatch sends a request if a host is ready for it, and else queues it. It does not overtake requests
// that are queued already.
func (b *Balancer) dispatch(r *request, isRetry bool) {
	if b.queued == 0 {
		if h := b.pick(r); h != nil {
			b.send(r, h)
			return
		}
	}
	b.enqueue(r, isRetry)
	b.dispatchWaiting()
}

// send starts an attempt.
func (b *Balancer) send(r *request, h *host) {
	sendBy := Time(0)
	if first := r.firstThatMayRun(); first != nil && r.class.Idempotency == IdempotentWithKey {
		sendBy = b.windowEnd(r.class, first)
	}
	a := b.newAttempt()
	a.req, a.host, a.sent = r, h, b.now
	a.trial = h.ejections > 0
	h.trialOut = h.trialOut || a.trial
	if f := &h.class[r.Class]; f.exclusions > 0 {
		f.excludedUntil = b.now + b.backoff(0) // no other request until this one's result is known
	}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	h.inFlight++
	a.link.item = a
	h.attempts.pushBack(&a.link)
	if h.warming {
		b.paceSlowStart(h)
	}
	b.addToSet(setBusy, h)
	b.recheck(h)
	b.act(Action{Kind: Send, Request: r.ID, Host: h.ID, At: sendBy})
	b.inFlight++
	b.sends.add(b.now, b.rateSpan())
	b.sendTokens = max(b.sendTokens-1, 0)
	b.scheduleSweep()
}

// observe learns from the end of an attempt, which took so many seconds.
func (b *Balancer) observe(a *attempt, rtt float64) {
	h := a.host
	objective := a.req.class.LatencyObjective
	// In latency objectives of the class, or as much relative to its typical RTT, whichever is more.
	relative := rtt / objective.Seconds()
	if l := &b.classRTT[a.req.Class]; l.seen {
		relative = max(relative, limitObjectives/limitTypicalRTTs*rtt/l.mean)
	}
	if a.trial {
		h.trialOut = false
	}
	switch a.result {
	case OK:
		b.observeSuccess(a, rtt, relative)
	case Full:
		// A host that is full takes no more. Its rejections are fast: one that gives nothing else would
		// attract everything that waits.
		b.adjustLimit(h, max(relative, 1), objective, a.sent)
		b.adjustSendRate(a, max(rtt, objective.Seconds()))
		b.addSample(h, max(rtt, b.penalty))
		b.readmit(h)
	case Failed:
		h.brokenResponses = 0
		if rtt > b.estimatedRTT(h) { // a fast error says nothing of the host's speed
			b.addSample(h, rtt)
		}
		b.recordForClasses(a, b.recordError)
		b.readmit(h)
	case InvalidResponse:
		// The host did the work and took that long. What breaks responses on their way may do so to any
		// host's, but a host that gives nothing else counts as failing.
		h.brokenResponses++
		if h.brokenResponses >= maxBrokenResponses {
			rtt = max(rtt, b.penalty)
		}
		b.addSample(h, rtt)
		b.readmit(h)
	case Canceled:
		// Canceled at its deadline it has timed out all the same. That a client has gone, or another
		// attempt has answered, says nothing of the host.
		if !a.req.timedOut {
			return
		}
		fallthrough
	case TimedOut:
		b.addSample(h, rtt)
		b.adjustLimit(h, relative, objective, a.sent)
		b.adjustSendRate(a, rtt)
	case Reset:
		// As with broken responses, what resets connections may do so to any host's.
		b.addSample(h, rtt)
		if h.brokenResponses++; h.brokenResponses >= maxBrokenResponses {
			b.eject(h, CauseConnectionsFailed)
		}
	case ConnectFailed:
		b.addSample(h, rtt)
		b.eject(h, CauseConnectionsFailed)
	}
}

// observeSuccess learns from a good response.
func (b *Balancer) observeSuccess(a *attempt, rtt, relative float64) {
	h := a.host
	h.brokenResponses = 0
	b.recordForClasses(a, b.recordSuccess)
	b.countOvertaken(a)
	b.addSample(h, b.normalizeRTT(a, rtt))
	b.adjustLimit(h, relative, a.req.class.LatencyObjective, a.sent)
	b.adjustSendRate(a, rtt)
	if !a.req.done {
		b.recordStarvation(a.req, false)
	}
	if !h.warming && b.counts.inUse > 0 {
		b.successes.add(b.now, b.rateSpan())
		b.warmHostRate.add(b.successes.now(b.now, b.rateSpan()) / float64(b.counts.inUse))
	}
	b.readmit(h)
}
