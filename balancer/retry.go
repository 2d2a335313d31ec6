package balancer

// Whether a request may have another attempt in this pool is decided here alone: by maySend and mayRetry. The
// engine (internal/engine/retry.go) in addition bounds the attempts of a request over all pools of its
// failover chain, and asks the route's retry budget (internal/route); an attempt that it denies comes back as
// NotSent.

// maySend reports whether a request may be sent (again) without being executed twice: a non-idempotent one
// only if no attempt may have run, and one with an idempotency key also while duplicates are sure to be
// dropped.
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

// dedupSendBy returns by when the last byte of a retry has to be sent after a first attempt that may have
// run: dedupMargin before its deduplication window ends.
func (b *Balancer) dedupSendBy(first *attempt) Time {
	return first.sentAt + first.request.class.DedupWindow - b.dedupMargin()
}

// sendBy returns the time after which nothing of a request's next attempt may be sent; 0: at any time.
func (b *Balancer) sendBy(request *request) Time {
	first := request.firstThatMayRun()
	if first == nil || request.class.Idempotency != IdempotentWithKey {
		return 0
	}
	return b.dedupSendBy(first)
}

// mayRetry reports whether a request gets another attempt: by the number of attempts, the time left and its
// class. Concurrency limits keep retries from feeding an overload.
func (b *Balancer) mayRetry(request *request) bool {
	outOfAttempts := len(request.attempts) >= b.settings.MaxAttempts
	if request.streaming || outOfAttempts || b.tooLateToRetry(request) {
		return false
	}
	return b.maySend(request)
}

// afterAttempt decides what follows the end of an attempt: nothing while the request has another attempt in
// flight or waits for one, a retry if it may have one, and else the final response. closed means that the
// client has its response.
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
