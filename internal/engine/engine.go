// Package engine is the middle of the gateway: it is the sole owner of the decision modules,
// one a pool, and knows requests, attempts and final answers, but no protocol. Fronts hand
// it requests; transports make the attempts.
package engine

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/overload"
	"dunemoor/internal/route"
)

// eventsWaiting is how many events may wait for the loop before those who bring one wait
// too: a moment's worth of them at a few thousand requests a second.
const eventsWaiting = 1024

// Engine runs the loop: it is told what happens by the other parts, one event at a time,
// and carries out what the modules decide. Nothing in it waits: what takes time runs in a
// goroutine of its own and comes back as an event.
type Engine struct {
	events chan func(now balancer.Time)
	done   chan struct{} // closed when Run has returned
	plan   atomic.Pointer[Plan]
	exit   exit
	clock  clock
	// Overload, if set before Run, is told what requests wait for the loop.
	Overload *overload.Controller
	// Waited counts how long requests waited for the loop.
	Waited overload.Delays

	// All below belongs to the goroutine of Run.
	ctx    context.Context // of all attempts
	timers timers
	pools  map[*Pool]struct{}
	left   []*Plan // not in use any more, but some request may still be on them
	open   map[balancer.RequestID]*Request
	lastID balancer.RequestID
	rng    *rand.Rand
}

// New returns an Engine. The seed is for what chance decides between pools.
func New(seed uint64) *Engine {
	return &Engine{
		events: make(chan func(balancer.Time), eventsWaiting), done: make(chan struct{}),
		exit: exit{set: make(chan struct{})}, clock: clock{time.Now()}, pools: map[*Pool]struct{}{},
		open: map[balancer.RequestID]*Request{}, rng: rand.New(rand.NewPCG(seed, 1)),
	}
}

// exit is by when all answers are due, once the gateway ends.
type exit struct {
	at  atomic.Pointer[time.Time]
	set chan struct{} // closed once at is there
}

// by is nil while no exit is set.
func (x *exit) by() *time.Time {
	if x == nil {
		return nil
	}
	return x.at.Load()
}

// Stop has all answers due by a time: of what is open, also where its body is still on its way,
// and of what is yet to come. A second call changes nothing.
func (e *Engine) Stop(by time.Time) {
	if !e.exit.at.CompareAndSwap(nil, &by) {
		return
	}
	close(e.exit.set)
	e.post(func(now balancer.Time) {
		for p := range e.pools {
			p.bal.Shutdown(now, e.clock.at(by))
			p.perform(now)
		}
	})
}

// Run handles events until ctx ends; then it ends all attempts.
func (e *Engine) Run(ctx context.Context) {
	defer close(e.done)
	e.ctx = ctx
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			for p := range e.pools {
				p.end(true)
			}
			return
		case handle := <-e.events:
			handle(e.clock.now())
		case <-timer.C:
			e.ring()
		}
		if len(e.timers) > 0 {
			timer.Reset(time.Until(e.clock.time(e.timers[0].at)))
		}
	}
}

// Wait waits until Run has returned and what was recorded is written, for so long at most.
func (e *Engine) Wait(most time.Duration) {
	select {
	case <-e.done:
	case <-time.After(most):
	}
}

// post hands an event to the loop, and says whether the loop still runs.
func (e *Engine) post(handle func(now balancer.Time)) bool {
	select {
	case e.events <- handle:
		return true
	case <-e.done:
		return false
	}
}

// Do hands over a request and waits for its answer. there is false if ctx has ended before:
// nobody waits, and nothing more goes out for it. The caller releases the answer, and closes
// the flow of the request's body, if it has one.
func (e *Engine) Do(ctx context.Context, x *Request) (a Answer, there bool) {
	if ctx.Err() != nil && x.Close() {
		// Whoever sent it had gone when it was read, maybe long ago.
		if x.Done != nil {
			x.Done()
		}
		return Answer{}, false
	}
	x.answer, x.exit = make(chan Answer, 1), &e.exit
	if f := x.Body.Flow(); f != nil {
		x.came = make(chan struct{}, 1)
		f.OnBegin(func() { e.post(func(now balancer.Time) { e.letGo(now, x) }) })
	}
	wait := func() time.Duration {
		if due, known := x.Due(); known {
			return time.Until(due)
		}
		return uploadMost // its own pace ends it sooner
	}
	came := time.Now()
	e.post(func(now balancer.Time) {
		waited := now - e.clock.at(came)
		e.Waited.Add(waited)
		if e.Overload != nil {
			e.Overload.Delay(now, waited)
		}
		e.submit(now, x)
	})
	exit := e.exit.set
	late := time.NewTimer(wait())
	defer late.Stop()
	for {
		select {
		case a = <-x.answer:
			return a, true
		case <-x.came:
			late.Reset(wait())
		case <-exit:
			exit = nil
			late.Reset(wait())
		case <-ctx.Done():
			if x.Close() {
				e.abandon(x)
			} else {
				a = <-x.answer
				a.Release()
			}
			return Answer{}, false
		case <-late.C:
			// The module should have answered; the client is not kept waiting for it.
			if x.Close() {
				e.abandon(x)
				return Answer{Kind: Failed}, true
			}
			return <-x.answer, true
		}
	}
}

// uploadMost is how long a body may be on its way in all: a gigabyte at a modem's pace.
const uploadMost = 24 * time.Hour

// letGo is told that a byte of a request's body is about to be let go. From here on there is
// one attempt, the one that is out, and the module has no more say: to it the request is over.
// It learns nothing of the host, as the pace is the client's.
func (e *Engine) letGo(now balancer.Time, x *Request) {
	if x.loose || x.Over() || x.out == 0 {
		return
	}
	x.loose = true
	p := x.pool
	p.bal.AttemptEnded(now, balancer.Outcome{Request: x.id, Attempt: len(x.attempts) - 1, Result: balancer.Canceled, Closed: true})
	p.perform(now)
}

// Now is the time on the engine's clock.
func (e *Engine) Now() balancer.Time { return e.clock.now() }

// Sample tells the Overload how the process stands.
func (e *Engine) Sample(s overload.Sample) {
	e.post(func(now balancer.Time) { e.Overload.Sample(now, s) })
}

// abandon says that a request was finished without the module.
func (e *Engine) abandon(x *Request) {
	e.post(func(now balancer.Time) {
		p := x.pool
		if x.loose {
			x.attempts[len(x.attempts)-1]()
		} else {
			p.bal.ClientGone(now, x.id)
		}
		e.release(x)
		p.perform(now)
	})
}

// submit takes a request in: the split of its route names the pool, or the pools that stand
// in for it take a part.
func (e *Engine) submit(now balancer.Time, x *Request) {
	r := x.Route
	x.chain, x.proved, x.unreached = r.chains[0], true, true
	if len(r.chains) > 1 {
		x.chain = r.chains[r.rule.Pool(x.Key, e.rng.Uint64())]
	}
	if r.budget != nil {
		r.budget.Try(now)
	}
	if c := x.chain; len(c.pools) > 1 {
		x.level, x.trial = c.state.Trial(now, r.safe(x.Class))
		if !x.trial {
			u := e.rng.Float64()
			if x.Key != "" {
				u = route.Unit(x.Key)
			}
			x.level = c.state.Choose(now, u)
		}
	}
	x.chain.pools[x.level].take(now, x)
}

// release forgets a request that is over, once its last attempt has ended.
func (e *Engine) release(x *Request) {
	if !x.over.Load() || x.out > 0 || e.open[x.id] != x {
		return
	}
	x.last.discard()
	e.leave(x)
	if x.Done != nil {
		x.Done()
	}
}

// leave takes a request out of its pool.
func (e *Engine) leave(x *Request) {
	delete(e.open, x.id)
	p := x.pool
	p.inside.Add(-1)
	e.endIfLeft(p)
}

// ring calls the timers that are due. One that is set meanwhile waits for the
// next round, so that timers cannot keep events out.
func (e *Engine) ring() {
	now := e.clock.now()
	for n := len(e.timers); n > 0 && len(e.timers) > 0 && e.timers[0].at <= now; n-- {
		w := heap.Pop(&e.timers).(wake)
		if !w.pool.ended {
			w.pool.bal.Timer(now, w.token)
			w.pool.perform(now)
		}
	}
}
