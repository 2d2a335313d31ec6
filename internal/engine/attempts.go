package engine

import (
	"context"
	"sync/atomic"
	"time"

	"dunemoor/balancer"
)

// admit registers a request with the pool and passes it to the pool's balancer.
func (p *Pool) admit(now balancer.Time, x *Request) {
	e := p.engine
	e.lastID++
	x.id, x.pool, x.attempts = e.lastID, p, x.attempts[:0]
	e.requests[x.id] = x
	p.openRequests.Add(1)
	p.balancer.Request(now, balancer.Request{
		ID: x.id, Class: x.Class, Tenant: x.Tenant, Duplicate: x.Duplicate,
		Remaining: max(0, e.clock.at(e.beforeShutdown(x.Deadline))-now),
	})
	p.perform(now)
}

// send starts the attempt of a Send action in a goroutine of its own. However the attempt ends, its end is posted to
// the loop as exactly one event.
func (p *Pool) send(now balancer.Time, a *balancer.Action) {
	e := p.engine
	x, h := e.requests[a.Request], p.hosts[a.Host]
	if x == nil || h == nil {
		// The balancer refers only to hosts that it was given, and drops a request no later than the engine does.
		panic("engine: attempt of an unknown request or host")
	}
	n := len(x.attempts)
	if x.attemptsSent > 0 && !p.takeRetry(now, x) {
		x.attempts = append(x.attempts, func() {}) // the balancer has numbered this attempt too
		p.denied = append(p.denied, balancer.Outcome{Request: x.id, Attempt: n, Result: balancer.NotSent, Closed: x.Finished()})
		return
	}
	x.WriteBy = time.Time{}
	if a.At > 0 {
		x.WriteBy = e.clock.time(a.At)
	}
	ctx, cancel := e.attemptContext(x)
	x.attempts = append(x.attempts, cancel)
	x.inFlight++
	x.attemptsSent++
	go func() {
		// The elapsed time is measured here and not in the loop: the time that the event waits for the loop, or for a
		// CPU core, is not part of the host's latency.
		sent := time.Now()
		result := h.Attempt(ctx, x)
		elapsed := time.Since(sent)
		cancel()
		e.post(func(now balancer.Time) { p.attemptEnded(now, x, n, elapsed, result) })
	}()
}

// attemptContext returns the context of an attempt. For a streamed body the context has no deadline, as the body may
// still be arriving; Engine.Do ends the attempt instead.
func (e *Engine) attemptContext(x *Request) (context.Context, context.CancelFunc) {
	if x.Body.Buffered() {
		return context.WithDeadline(e.ctx, e.beforeShutdown(x.Deadline))
	}
	return context.WithCancel(e.ctx)
}

// attemptEnded handles the end of an attempt. The first successful response ends the request, and the balancer is
// notified.
func (p *Pool) attemptEnded(now balancer.Time, x *Request, n int, elapsed time.Duration, r Result) {
	x.inFlight--
	outcome := r.Outcome
	if r.PartlySent && x.Route.Plain != nil && outcome == balancer.ConnectFailed {
		outcome = balancer.Reset // a plain HTTP server may process an incomplete request
	}
	if r.HasResponse {
		outcome = p.useResponse(x, &r.Response)
	}
	if x.streaming {
		p.finishStreamed(x, outcome)
		return
	}
	x.neverRan = x.neverRan && !outcome.MayHaveRun()
	x.neverConnected = x.neverConnected && (outcome == balancer.ConnectFailed || outcome == balancer.NotSent)
	// x.Finished is read only once. A goroutine that finishes the request between this event and its release posts an
	// event of its own, and until that is handled the balancer may send another attempt.
	closed := x.Finished()
	p.balancer.AttemptEnded(now, balancer.Outcome{
		Request: x.id, Attempt: n, Result: outcome,
		Elapsed: elapsed, Closed: closed,
	})
	if closed {
		p.engine.release(x)
	}
	p.perform(now)
}

// useResponse classifies a response of a host. A success becomes the final response. An unsuccessful one is kept if
// the route forwards failures to the client, and discarded otherwise.
func (p *Pool) useResponse(x *Request, r *Response) balancer.Result {
	outcome := x.Route.Classify(r)
	switch {
	case outcome == balancer.OK && x.respond(*r):
		p.countResponse(false)
	case outcome != balancer.OK && x.Route.ForwardsFailures && !x.Finished():
		x.lastResponse.discard()
		x.lastResponse = *r
	default:
		r.discard()
	}
	return outcome
}

// FailedUploads counts requests whose attempt failed after a part of their streamed body was sent, so that they can't have
// another attempt.
type FailedUploads struct {
	NeverRan   atomic.Int64 // provably not run by the host: the client got a rejection
	MayHaveRun atomic.Int64 // the client got a failure
}

// count counts a request by the kind of its final response.
func (f *FailedUploads) count(kind Kind) {
	switch kind {
	case Rejected:
		f.NeverRan.Add(1)
	case Failed:
		f.MayHaveRun.Add(1)
	}
}

// finishStreamed handles the end of the last attempt of a request whose streamed body was sent in part: the client
// gets a host's response, a rejection if the request provably never ran, or a failure.
func (p *Pool) finishStreamed(x *Request, outcome balancer.Result) {
	if !x.Finished() {
		final := Response{Kind: Failed}
		if x.lastResponse.Kind == Served {
			final, x.lastResponse = x.lastResponse, Response{}
		} else if x.neverRan && !outcome.MayHaveRun() {
			final = Response{Kind: Rejected, RetryAfter: p.streamedRetryAfter()}
		}
		if x.respond(final) {
			p.countResponse(final.Kind == Rejected)
			p.engine.FailedUploads.count(final.Kind)
		} else {
			final.discard()
		}
	}
	p.engine.release(x)
}

// finalResponse delivers the final response that the balancer has decided on, unless another pool of the chain may
// still serve the request.
func (p *Pool) finalResponse(now balancer.Time, a *balancer.Action) {
	e := p.engine
	x := e.requests[a.Request]
	if x == nil {
		return
	}
	if a.Kind == balancer.Reject && p.failOver(now, x) {
		return
	}
	p.countResponse(a.Kind == balancer.Reject)
	final := Response{Kind: Failed}
	switch {
	case a.Cause == balancer.CauseNoMoreAttempts && x.lastResponse.Kind == Served:
		// All attempts have ended without success, and a host's response was kept for the client.
		final, x.lastResponse = x.lastResponse, Response{}
	case a.Kind == balancer.Reject:
		final = Response{Kind: Rejected, RetryAfter: a.RetryAfter}
	}
	if !x.respond(final) {
		final.discard()
	}
	e.release(x)
}
