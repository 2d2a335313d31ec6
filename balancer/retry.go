package balancer

// Retries and final responses.

// maySend reports whether a request of a class may be sent (again), given its first attempt that may have
// run: a non-idempotent one may not, one with an idempotency key while duplicates are sure to be dropped.
func (b *Balancer) maySend(c *Class, first *attempt) bool {
	if first == nil || c.Idempotency == Idempotent {
		return true
	}
	return c.Idempotency == IdempotentWithKey && b.now <= b.windowEnd(c, first)
}

// windowEnd returns when the deduplication window ends for retries after a first attempt: by then the last
// byte of one has to be sent.
func (b *Balancer) windowEnd(c *Class, first *attempt) Time {
	return first.sent + c.DedupWindow - b.answerMargin()
}

// afterAttempt decides what follows the end of an attempt: nothing if the request has its response, a retry
// if class and time allow it, and else the final response.
func (b *Balancer) afterAttempt(r *request, a *attempt, closed bool) {
	switch {
	case r.done:
		b.releaseRequest(r)
	case closed || a.result == OK && r.streaming:
		b.closeRequest(r)
	case r.inFlight > 0 || r.queued:
	case b.mayRetry(r):
		b.dispatch(r, true)
	default:
		b.answer(r, CauseNoMoreAttempts)
	}
}

// mayRetry reports whether a request gets another attempt. Concurrency limits keep retries from feeding an
// overload.
func (b *Balancer) mayRetry(r *request) bool {
	if r.streaming || len(r.attempts) >= b.set.MaxAttempts || b.now+2*b.answerMargin() >= r.deadline {
		return false
	}
	return b.maySend(r.class, r.firstThatMayRun())
}

// answer gives the final response to a request that will not be served: a rejection only where trying again
// is known to be harmless.
func (b *Balancer) answer(r *request, cause Cause) {
	r.timedOut = true
	if cause == CauseQueueTimeout {
		b.recordStarvation(r, true)
	}
	c, anywhere := r.class, r.firstThatMayRun() == nil
	anywhere = anywhere || c.Idempotency == IdempotentWithKey && c.DedupScope == ScopeAll
	if anywhere || c.Idempotency == Idempotent {
		retryAfter := min(b.shortestObjective/4, b.set.MaxRetryAfter)
		b.act(Action{Kind: Reject, Request: r.ID, RetryAfter: retryAfter, Cause: cause})
	} else {
		b.act(Action{Kind: Fail, Request: r.ID, Cause: cause})
	}
	b.closeRequest(r)
}

// closeRequest closes a request that has its response or needs none.
func (b *Balancer) closeRequest(r *request) {
	if r.done {
		return
	}
	r.done = true
	b.dequeue(r)
	b.cancelOthers(r, -1)
	b.releaseRequest(r)
}

// cancelOthers cancels all attempts of a request that are in flight but one.
func (b *Balancer) cancelOthers(r *request, keep int) {
	for i, a := range r.attempts {
		if i != keep && !a.ended && b.set.Cancel {
			b.act(Action{Kind: Cancel, Request: r.ID, Attempt: i})
		}
	}
}
