package balancer

import "slices"

// retryAfterDivisor determines the Retry-After of a rejection: the shortest latency objective divided by
// it, but at most MaxRetryAfter.
const retryAfterDivisor = 4

// retryAfter returns the Retry-After of a rejection by the balancer, or 0 if none is sent. Rejections
// elsewhere use their own values: overload.RetryAfter if a request is rejected at admission,
// frontend.UnavailableRetryAfter if there is no memory for its body, and maxStreamedRetryAfter in
// internal/engine if its body was streamed and cannot be sent again.
func (b *Balancer) retryAfter() Time {
	return min(b.shortestObjective/retryAfterDivisor, b.settings.MaxRetryAfter)
}

// answer gives the final response to a request that will not be served: a rejection if it is known that a
// retry by the client is safe, otherwise a failure.
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

// clientMayRetry reports whether the client may safely retry a request at any host, that is, whether a
// retry cannot lead to a second execution of a request that must run at most once. With an idempotency key
// this holds if all hosts drop duplicates; that the client retries within DedupWindow is assumed.
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

// closeRequest closes a request that has its final response or needs none.
func (b *Balancer) closeRequest(request *request) {
	if request.done {
		return
	}
	request.done = true
	b.queues.remove(request)
	b.cancelOthers(request, nil)
	b.releaseRequest(request)
}

// cancelOthers cancels all attempts of a request that are in flight except kept, which may be nil.
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

// cancel emits the action that cancels an attempt in flight.
func (b *Balancer) cancel(attempt *attempt) {
	number := slices.Index(attempt.request.attempts, attempt)
	b.act(Action{Kind: Cancel, Request: attempt.request.ID, Attempt: number})
}
