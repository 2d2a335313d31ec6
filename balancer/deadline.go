package balancer

import "time"

// ClientMargin is how long before a client stops waiting its response is due at the gateway: the time that
// the response needs to reach the client. A gateway subtracts it when it computes Request.Remaining. The
// Balancer in turn answers a request ahead of the deadline that follows from Remaining, by its stepMargin.
const ClientMargin = 5 * time.Millisecond

const (
	// marginSteps is how many event steps ahead of its deadline a request is answered at the
	// latest. One step may pass until the event is handled, and one until its actions are.
	marginSteps = 2
	// retryMargins is how many step margins must be left before the deadline for a retry.
	retryMargins = 2
)

// stepMargin returns how long ahead of its deadline a request is answered at the latest: marginSteps steps.
func (b *Balancer) stepMargin() Time { return marginSteps * b.settings.Step }

// tooLateToSend reports whether a new request has no time left to be sent.
func (b *Balancer) tooLateToSend(request *request) bool {
	return b.now+b.stepMargin() >= request.deadline
}

// tooLateToRetry reports whether a request has no time left for another attempt.
func (b *Balancer) tooLateToRetry(request *request) bool {
	return b.now+retryMargins*b.stepMargin() >= request.deadline
}

// scheduleAnswer sets the timer ahead of a request's deadline by which it is answered. Each request has one:
// an attempt that is still connecting may end only later, too late to be answered on its outcome.
func (b *Balancer) scheduleAnswer(id RequestID, deadline Time) {
	b.wake(max(b.now, deadline-b.stepMargin()), tokenAnswer<<tokenShift|uint64(id))
}

// answerDue answers a request whose deadline has come.
func (b *Balancer) answerDue(id RequestID) {
	request := b.open[id]
	if request == nil || request.done || request.streaming {
		return
	}
	b.answer(request, CauseDeadlineExceeded)
}
