package balancer

// maySend and mayRetry are the only place that decides whether a request gets another attempt in this pool.
// The engine (internal/engine/retry.go) additionally limits the attempts of a request over all pools of its
// failover chain and applies the retry budget of the route (internal/route); an attempt that it denies is
// reported as NotSent.

// maySend reports whether a request may be sent (again) without the risk that it is executed twice. A
// non-idempotent request may be sent if no earlier attempt may have run; a request with an idempotency key
// may also be sent while duplicates are certain to be dropped.
func (b *Balancer) maySend(request *request) bool {
	first := request.firstThatMayRun()
	if first == nil {
		return true
	}
	switch request.class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return b.now <= b.dedupSendBy(first)
	}
	return false
}

// dedupSendBy returns the time by which the last byte of a retry must be sent, given the first attempt that
// may have run: dedupMargin before the end of its deduplication window.
func (b *Balancer) dedupSendBy(first *attempt) Time {
	return first.sentAt + first.request.class.DedupWindow - b.dedupMargin()
}

// sendBy returns the time after which nothing of the next attempt of a request may be sent, or 0 for no
// limit.
func (b *Balancer) sendBy(request *request) Time {
	first := request.firstThatMayRun()
	if first == nil || request.class.Idempotency != IdempotentWithKey {
		return 0
	}
	return b.dedupSendBy(first)
}

// mayRetry reports whether a request gets another attempt, depending on the number of its attempts, the
// time left and its class. The concurrency limits prevent retries from amplifying an overload.
func (b *Balancer) mayRetry(request *request) bool {
	outOfAttempts := len(request.attempts) >= b.settings.MaxAttempts
	if request.streaming || outOfAttempts || b.tooLateToRetry(request) {
		return false
	}
	return b.maySend(request)
}

// afterAttempt decides what follows the end of an attempt: nothing if the request is queued or has another
// attempt in flight, else a retry if allowed, else the final response. closed means that the client has its
// response.
func (b *Balancer) afterAttempt(request *request, attempt *attempt, closed bool) {
	streamed := request.streaming && attempt.result == OK
	switch {
	case request.done:
		b.releaseRequest(request)
	case closed || streamed:
		b.closeRequest(request)
	case request.inFlight > 0 || request.queued:
		return
	case b.mayRetry(request):
		b.dispatch(request, true)
	default:
		b.answer(request, CauseNoMoreAttempts)
	}
}
