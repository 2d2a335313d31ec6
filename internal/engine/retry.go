package engine

import (
	"time"

	"dunemoor/balancer"
)

// Whether a request gets another attempt is decided in three places, each of which can only deny it:
//
//   - balancer (Balancer.mayRetry): in one pool, by the class's idempotency, its deduplication window, the time left
//     and Settings.MaxAttempts. It decides first.
//   - Pool.takeRetry below: over all pools of the failover chain, by MaxAttempts and by whether the last attempt is
//     better reserved for the next pool.
//   - route.Budget, which takeRetry consults last: over all requests of a route, by a share of its first attempts and a
//     constant rate.
//
// A retry that the second or the third denies ends as balancer.NotSent, and the balancer decides again.
//
// None of them is consulted when package upstream (shouldResend) sends a request again within one attempt: an open
// connection was closed by its host before the request had been written, so it never ran.
//
// failOver then decides whether a request that its pool rejects goes on to the next pool.

const (
	// MaxAttempts is how many attempts a request has at most over all pools of its chain. The balancer of a pool counts
	// only its own attempts, up to its Settings.MaxAttempts: that is the same number for the pools of an appliance,
	// and caps.max_attempts on the platform. More than MaxAttempts there has no effect.
	MaxAttempts = 4
	// maxStreamedRetryAfter is the longest Retry-After of a request that provably never ran, but whose last attempt
	// failed while its body was streamed. It is short, as that failure concerns a single host.
	maxStreamedRetryAfter = 50 * time.Millisecond
)

// takeRetry reports whether a request may have a further attempt that the balancer has requested. If so it takes a
// retry from the route's budget, so it must be called once for each such attempt.
func (p *Pool) takeRetry(now balancer.Time, x *Request) bool {
	if p.keepsLastAttempt(now, x) {
		return false
	}
	if x.attemptsSent >= MaxAttempts {
		return false
	}
	budget := x.Route.budget
	return budget == nil || budget.Retry(now)
}

// keepsLastAttempt reports whether a request's last attempt is reserved for the next pool of its chain, which may
// still serve it. A trial request has one attempt in the pool that it tries.
func (p *Pool) keepsLastAttempt(now balancer.Time, x *Request) bool {
	attemptedHere := len(x.attempts) > 0
	hasOtherPools := len(x.chain.pools) > 1
	isLastHere := x.trial || x.attemptsSent >= MaxAttempts-1
	if !attemptedHere || !hasOtherPools || !isLastHere || !x.mayRunElsewhere() {
		return false
	}
	_, hasNext := x.chain.state.Next(now, x.position, x.trial)
	return hasNext
}

// mayRunElsewhere reports whether a request may run at another pool: it provably never ran, or it is idempotent. Pools do
// not share deduplication, so an idempotency key does not help here.
func (x *Request) mayRunElsewhere() bool {
	return x.neverRan || x.Route.idempotent(x.Class)
}

// failOver moves a request that its pool rejects to the next pool of its chain, and reports whether it did. It does
// so only if connections to this pool failed or the request was a trial, and if the request may run in another pool.
// Rejections by a full pool are final, as the requests would overload the next one.
func (p *Pool) failOver(now balancer.Time, x *Request) bool {
	if !p.mayFailOver(now, x) {
		return false
	}
	next, ok := x.chain.state.Next(now, x.position, x.trial)
	if !ok {
		return false
	}
	x.position = next
	x.trial = false
	p.engine.leavePool(x)
	p.failingOver = append(p.failingOver, x)
	return true
}

// mayFailOver reports whether a request that its pool rejects may go on to another pool, if there is one that is ready.
func (p *Pool) mayFailOver(now balancer.Time, x *Request) bool {
	if len(x.chain.pools) < 2 || x.inFlight > 0 || x.Finished() || x.attemptsSent >= MaxAttempts {
		return false
	}
	if !x.Deadline.After(p.engine.clock.time(now)) {
		return false
	}
	unreachable := x.attemptsSent > 0 && x.neverConnected
	return x.mayRunElsewhere() && (x.trial || unreachable)
}

// streamedRetryAfter returns the Retry-After of a request that provably never ran, but can't be sent again, as a part of
// its body was streamed and is not buffered. Other values of Retry-After come from the balancer (a request that its
// pool rejects), from package overload (load shedding) and from the frontends (no memory for bodies).
func (p *Pool) streamedRetryAfter() time.Duration {
	return min(maxStreamedRetryAfter, p.cfg.Settings.MaxRetryAfter)
}
