package balancer

import "time"

// The deadline margins. Each is subtracted from a limit, and the event in the last column must happen by
// then. A step is Settings.Step: up to one step may pass before an event is handled, and another before its
// actions are carried out.
//
//	margin        length             subtracted from               due by then
//	ClientMargin  5 ms               client's timeout              the response, at the gateway
//	answerMargin  answerMarginSteps  request's deadline            the balancer's final response
//	retryMargin   retryMarginSteps   request's deadline            the start of its last retry
//	dedupMargin   dedupMarginSteps   deduplication window's end    the last byte of a retry with a key
//
// The deadline of a request derives from Request.Remaining, from which ClientMargin is already subtracted.

// ClientMargin is the time that a response needs from the gateway to the client: it is due at the gateway
// this long before the client stops waiting. A gateway subtracts it when it computes Request.Remaining.
const ClientMargin = 5 * time.Millisecond

// Margins in event steps.
const (
	answerMarginSteps = 2
	retryMarginSteps  = 2 * answerMarginSteps
	dedupMarginSteps  = 2
)

// answerMargin returns how long before its deadline a request is answered at the latest.
func (b *Balancer) answerMargin() Time { return answerMarginSteps * b.settings.Step }

// retryMargin returns the minimum time before the deadline at which a request may still be retried.
func (b *Balancer) retryMargin() Time { return retryMarginSteps * b.settings.Step }

// dedupMargin returns how long before the end of the deduplication window the last byte of a retry must be
// sent.
func (b *Balancer) dedupMargin() Time { return dedupMarginSteps * b.settings.Step }

// tooLateToSend reports whether a new request arrived too close to its deadline to be sent.
func (b *Balancer) tooLateToSend(request *request) bool {
	return b.now+b.answerMargin() >= request.deadline
}

// tooLateToRetry reports whether a request is too close to its deadline for another attempt.
func (b *Balancer) tooLateToRetry(request *request) bool {
	return b.now+b.retryMargin() >= request.deadline
}

// scheduleAnswer sets the timer that answers a request ahead of its deadline. It is set for every request,
// because an attempt that is still connecting may end too late to be answered on its outcome.
func (b *Balancer) scheduleAnswer(id RequestID, deadline Time) {
	b.wake(max(b.now, deadline-b.answerMargin()), tokenAnswer<<tokenShift|uint64(id))
}

// answerDue gives the final response to a request that has reached its deadline.
func (b *Balancer) answerDue(id RequestID) {
	request := b.open[id]
	if request == nil || request.done || request.streaming {
		return
	}
	b.answer(request, CauseDeadlineExceeded)
}
