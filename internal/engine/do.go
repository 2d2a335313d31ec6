package engine

import (
	"context"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/route"
)

// Do submits a request to the engine and waits for its response. waiting is false if ctx ended first: the response is
// dropped, and nothing more is sent for the request. The caller releases the response, and closes the stream of the
// request's body if it has one.
func (e *Engine) Do(ctx context.Context, x *Request) (resp Response, waiting bool) {
	if ctx.Err() != nil && x.Close() {
		// The client disconnected before the request was submitted, possibly long before.
		if x.Done != nil {
			x.Done()
		}
		return Response{}, false
	}
	x.response, x.shutdown = make(chan Response, 1), &e.shutdown
	if f := x.Body.Stream(); f != nil {
		x.bodyArrived = make(chan struct{}, 1)
		f.OnConsume(func() { e.post(func(now balancer.Time) { e.beginStreaming(now, x) }) })
	}
	e.enqueue(x)
	return e.await(ctx, x)
}

// enqueue posts a request to the loop and measures how long it waits there.
func (e *Engine) enqueue(x *Request) {
	arrived := time.Now()
	e.post(func(now balancer.Time) {
		waited := now - e.clock.at(arrived)
		e.LoopDelays.Add(waited)
		if e.Overload != nil {
			e.Overload.Delay(now, waited)
		}
		e.submit(now, x)
	})
}

// beginStreaming handles the event that an attempt is about to send a part of the request's body that is not
// buffered. From then on the request can't be sent again, so the attempt in flight is its last, and the balancer
// treats the request as finished. The attempt is reported as Canceled, so that the balancer derives nothing about the
// host from its duration, which depends on the client's upload rate.
func (e *Engine) beginStreaming(now balancer.Time, x *Request) {
	if x.streaming || x.Finished() || x.inFlight == 0 {
		return
	}
	x.streaming = true
	p := x.pool
	p.balancer.AttemptEnded(now, balancer.Outcome{Request: x.id, Attempt: len(x.attempts) - 1, Result: balancer.Canceled, Closed: true})
	p.perform(now)
}

// handleFinishedByDo handles the event that Do has finished a request itself, and not by a response from the loop: the
// client has disconnected, or the response was due.
func (e *Engine) handleFinishedByDo(x *Request) {
	e.post(func(now balancer.Time) {
		p := x.pool
		if x.streaming {
			x.attempts[len(x.attempts)-1]()
		} else {
			p.balancer.ClientGone(now, x.id)
		}
		e.release(x)
		p.perform(now)
	})
}

// submit passes a request to the pool that its route's split selects, or to one of that pool's fallbacks.
func (e *Engine) submit(now balancer.Time, x *Request) {
	r := x.Route
	x.chain, x.neverRan, x.neverConnected = r.chains[0], true, true
	if len(r.chains) > 1 {
		x.chain = r.chains[r.rule.Pool(x.Key, e.rng.Uint64())]
	}
	if r.budget != nil {
		r.budget.FirstAttempt(now)
	}
	if c := x.chain; len(c.pools) > 1 {
		x.position, x.trial = c.state.Trial(now, r.idempotent(x.Class))
		if !x.trial {
			u := e.rng.Float64()
			if x.Key != "" {
				u = route.Unit(x.Key)
			}
			x.position = c.state.Choose(now, u)
		}
	}
	x.chain.pools[x.position].admit(now, x)
}

// release removes a finished request from the engine once its last attempt has ended.
func (e *Engine) release(x *Request) {
	if !x.finished.Load() || x.inFlight > 0 || e.requests[x.id] != x {
		return
	}
	x.lastResponse.discard()
	e.leavePool(x)
	if x.Done != nil {
		x.Done()
	}
}

// leavePool removes a request from its pool.
func (e *Engine) leavePool(x *Request) {
	delete(e.requests, x.id)
	p := x.pool
	p.openRequests.Add(-1)
	e.closeIfUnused(p)
}
