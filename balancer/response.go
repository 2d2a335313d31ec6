package balancer

import "slices"

// retryAfterDivisor gives the Retry-After of a rejection: the shortest latency objective divided by it, and
// MaxRetryAfter at most.
const retryAfterDivisor = 4

// retryAfter returns the Retry-After of a rejection by the balancer; 0: none is sent. Responses that the
// balancer does not give have their own: overload.RetryAfter where a request is rejected at admission,
// frontend.FullRetryAfter where there is no memory for its body, and maxStreamedRetryAfter in internal/engine
// where its body could be sent only once.
func (b *Balancer) retryAfter() Time {
	return min(b.shortestObjective/retryAfterDivisor, b.settings.MaxRetryAfter)
}

// answer gives the final response to a request that will not be served: a rejection only where a retry by the
// client is known to be harmless, and else a failure.
func (b *Balancer) answer(request *request, cause Cause) {
	request.answeredByBalancer = true
	if cause == CauseQueueTimeout {
		b.recordStarvation(request, true)
	}
	if b.clientMayRetry(request) {
		b.act(Action{Kind: Reject, Request: request.ID, RetryAfter: b.retryAfter(), Cause: cause})
	} else {
		b.act(Action{Kind: Fail, Request: request.ID, Cause: cause})
	}
	b.closeRequest(request)
}

// clientMayRetry reports whether a client's retry, at any host, can't execute a request twice that must
// not be.
func (b *Balancer) clientMayRetry(request *request) bool {
	if request.firstThatMayRun() == nil {
		return true
	}
	switch request.class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return request.class.DedupScope == ScopeAll
	}
	return false
}

// closeRequest closes a request that has its response or needs none.
func (b *Balancer) closeRequest(request *request) {
	if request.done {
		return
	}
	request.done = true
	b.queues.remove(request)
	b.cancelOthers(request, nil)
	b.releaseRequest(request)
}

// cancelOthers cancels all attempts of a request that are in flight but one; nil: all.
func (b *Balancer) cancelOthers(request *request, kept *attempt) {
	if !b.settings.Cancel {
		return
	}
	for _, attempt := range request.attempts {
		if attempt != kept && !attempt.ended {
			b.cancel(attempt)
		}
	}
}

// cancel cancels an attempt in flight.
func (b *Balancer) cancel(attempt *attempt) {
	number := slices.Index(attempt.request.attempts, attempt)
	b.act(Action{Kind: Cancel, Request: attempt.request.ID, Attempt: number})
}
