// Package engine is the only owner of the balancers, one for each pool, and carries out their decisions. It handles
// requests, attempts and final responses independently of protocols: frontends submit requests to it, and transports
// make the attempts.
//
// All decisions are made in one event loop, Engine.Run. Event handlers must not block: an operation that takes time
// runs in a goroutine of its own, which posts the result to the loop as an event.
package engine

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/overload"
)

// maxEvents is how many events may be queued for the loop before post blocks. At a few thousand requests a second
// that is a fraction of a second's events.
const maxEvents = 1024

// Engine runs the event loop.
type Engine struct {
	events   chan func(now balancer.Time)
	done     chan struct{} // closed when Run has returned
	snapshot atomic.Pointer[Snapshot]
	shutdown shutdown
	clock    clock

	// Overload, if set before Run, receives the time that each request waits for the loop.
	Overload *overload.Controller
	// LoopDelays is a histogram of how long requests have waited for the loop.
	LoopDelays overload.Delays
	// FailedUploads counts the requests that failed after a part of their streamed body was sent.
	FailedUploads FailedUploads

	// The fields below are used only by the goroutine of Run.
	ctx        context.Context // parent of the contexts of all attempts
	timers     timerQueue
	pools      map[*Pool]struct{}
	superseded []*Snapshot // replaced Snapshots that requests may still hold
	requests   map[balancer.RequestID]*Request
	lastID     balancer.RequestID
	rng        *rand.Rand
}

// New returns an Engine. The seed is for random choices between pools.
func New(seed uint64) *Engine {
	return &Engine{
		events: make(chan func(balancer.Time), maxEvents), done: make(chan struct{}),
		shutdown: shutdown{begun: make(chan struct{})}, clock: clock{time.Now()}, pools: map[*Pool]struct{}{},
		requests: map[balancer.RequestID]*Request{}, rng: rand.New(rand.NewPCG(seed, 1)),
	}
}

// Run handles events until ctx ends, which also ends all attempts. Then it closes the pools.
func (e *Engine) Run(ctx context.Context) {
	defer close(e.done)
	e.ctx = ctx
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			for p := range e.pools {
				p.close(true)
			}
			return
		case handle := <-e.events:
			handle(e.clock.now())
		case <-timer.C:
			e.runTimers()
		}
		if len(e.timers) > 0 {
			timer.Reset(time.Until(e.clock.time(e.timers[0].at)))
		}
	}
}

// Wait waits until Run has returned and recordings are written, but no longer than the timeout.
func (e *Engine) Wait(timeout time.Duration) {
	select {
	case <-e.done:
	case <-time.After(timeout):
	}
}

// post queues an event for the loop. It returns false if the loop has ended.
func (e *Engine) post(handle func(now balancer.Time)) bool {
	select {
	case e.events <- handle:
		return true
	case <-e.done:
		return false
	}
}

// Now returns the time on the engine's clock.
func (e *Engine) Now() balancer.Time { return e.clock.now() }

// Sample passes the state of the process to the Overload controller.
func (e *Engine) Sample(s overload.Sample) {
	e.post(func(now balancer.Time) { e.Overload.Sample(now, s) })
}

// runTimers handles the timers that are due, but no more than were set when it was called. A timer that is set
// meanwhile may wait for the next call, so that timers can't starve events.
func (e *Engine) runTimers() {
	now := e.clock.now()
	for n := len(e.timers); n > 0 && len(e.timers) > 0 && e.timers[0].at <= now; n-- {
		t := heap.Pop(&e.timers).(timer)
		if !t.pool.ended {
			t.pool.balancer.Timer(now, t.token)
			t.pool.perform(now)
		}
	}
}
