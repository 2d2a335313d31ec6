package balancer

import "time"

// The margins, each with what it is subtracted from and what is due by then. A step is Settings.Step: one may
// pass until an event is handled, and one until its actions are carried out.
//
//	margin        length             ahead of                         due by then
//	ClientMargin  5 ms               the client's timeout             the response, at the gateway
//	answerMargin  answerMarginSteps  the request's deadline           the balancer's answer
//	retryMargin   retryMarginSteps   the request's deadline           the start of its last retry
//	dedupMargin   dedupMarginSteps   the deduplication window's end   the last byte of a retry with a key
//
// The deadline of a request follows from Request.Remaining, which has ClientMargin off already.

// ClientMargin is how long before a client stops waiting its response is due at the gateway: the time that
// the response needs to reach the client. A gateway subtracts it when it computes Request.Remaining.
const ClientMargin = 5 * time.Millisecond

// Margins in event steps.
const (
	answerMarginSteps = 2
	retryMarginSteps  = 2 * answerMarginSteps
	dedupMarginSteps  = 2
)

// answerMargin returns how long ahead of its deadline a request is answered at the latest.
func (b *Balancer) answerMargin() Time { return answerMarginSteps * b.settings.Step }

// retryMargin returns how much time must be left before its deadline for a request to be retried.
func (b *Balancer) retryMargin() Time { return retryMarginSteps * b.settings.Step }

// dedupMargin returns how long before the end of the deduplication window the last byte of a retry must be
// sent.
func (b *Balancer) dedupMargin() Time { return dedupMarginSteps * b.settings.Step }

// tooLateToSend reports whether a new request has no time left to be sent.
func (b *Balancer) tooLateToSend(request *request) bool {
	return b.now+b.answerMargin() >= request.deadline
}

// tooLateToRetry reports whether a request has no time left for another attempt.
func (b *Balancer) tooLateToRetry(request *request) bool {
	return b.now+b.retryMargin() >= request.deadline
}

// scheduleAnswer sets the timer ahead of a request's deadline by which it is answered. Each request has one:
// an attempt that is still connecting may end only later, too late to be answered on its outcome.
func (b *Balancer) scheduleAnswer(id RequestID, deadline Time) {
	b.wake(max(b.now, deadline-b.answerMargin()), tokenAnswer<<tokenShift|uint64(id))
}

// answerDue answers a request whose deadline has come.
func (b *Balancer) answerDue(id RequestID) {
	request := b.open[id]
	if request == nil || request.done || request.streaming {
		return
	}
	b.answer(request, CauseDeadlineExceeded)
}
