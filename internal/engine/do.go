package engine

import (
	"context"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/route"
)

// maxUploadTime is how long a body may be on its way in all: a gigabyte at the pace of a modem.
const maxUploadTime = 24 * time.Hour

// Do hands over a request and waits for its response. waiting is false if ctx has ended before: nobody
// waits for the response, and nothing more goes out for the request. The caller releases the response, and
// closes the stream of the request's body, if it has one.
func (e *Engine) Do(ctx context.Context, x *Request) (resp Response, waiting bool) {
	if ctx.Err() != nil && x.Close() {
		// The client had gone when the request was read, maybe long ago.
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

// await waits for the response to a request, for its client to leave, or until the response is due.
func (e *Engine) await(ctx context.Context, x *Request) (resp Response, waiting bool) {
	shutdown := e.shutdown.begun
	late := time.NewTimer(x.waitTime())
	defer late.Stop()
	for {
		select {
		case resp = <-x.response:
			return resp, true
		case <-x.bodyArrived:
			late.Reset(x.waitTime())
		case <-shutdown:
			shutdown = nil
			late.Reset(x.waitTime())
		case <-ctx.Done():
			if x.Close() {
				e.finishWithoutBalancer(x)
			} else {
				resp = <-x.response
				resp.Release()
			}
			return Response{}, false
		case <-late.C:
			// The balancer should have responded; the client is not kept waiting for it. To the balancer, and in its
			// recording, it has left. Nothing logs or counts this response.
			if x.Close() {
				e.finishWithoutBalancer(x)
				return Response{Kind: Failed}, true
			}
			return <-x.response, true
		}
	}
}

// waitTime returns how long the response may be waited for.
func (x *Request) waitTime() time.Duration {
	if due, known := x.Due(); known {
		return time.Until(due)
	}
	return maxUploadTime // the body's own pace ends the request sooner
}

// beginStreaming handles that a byte of a request's body is about to be passed on that is not kept. From
// here on the request has only the attempt that is in flight, and to the balancer the request is over. The
// balancer learns nothing of the host, as the pace is the client's.
func (e *Engine) beginStreaming(now balancer.Time, x *Request) {
	if x.streaming || x.Finished() || x.inFlight == 0 {
		return
	}
	x.streaming = true
	p := x.pool
	p.balancer.AttemptEnded(now, balancer.Outcome{Request: x.id, Attempt: len(x.attempts) - 1, Result: balancer.Canceled, Closed: true})
	p.perform(now)
}

// finishWithoutBalancer handles that a request was finished by whoever waited for it, and not by a response that came
// through the loop: its client has left, or its response was due.
func (e *Engine) finishWithoutBalancer(x *Request) {
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

// submit gives a request to a pool: the one that its route's split names, or one that stands in for it.
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

// release forgets a finished request once its last attempt has ended.
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
