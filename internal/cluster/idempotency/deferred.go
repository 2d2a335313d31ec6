package idempotency

import (
	"maps"
	"slices"

	"dunemoor/internal/cluster/failpoint"
)

// deferRequest accepts a request for later delivery. Every accepted request reaches exactly one final phase.
func (p *Partition) deferRequest(r *Request, c *Command) Result {
	switch {
	case c.DeliverWithin <= 0 || c.DeliverWithin > MaxDeferral || c.Retention <= 0 || c.Retention > MaxRetention ||
		!c.Idempotency.valid() || len(c.Body) > MaxBodyBytes:
		return rejectf("a deferred request waits for at most %v, is retained for at most %v and has at most %d bytes", MaxDeferral, MaxRetention, MaxBodyBytes)
	case r != nil && r.Digest != c.Digest && !failpoint.Enabled(failpoint.SkipDigestCheck):
		return Result{Code: KeyMismatch}
	case r != nil && !r.Deferred:
		return rejectf("the key belongs to a request that is not deferred")
	case r != nil:
		return Result{Code: OK, Fence: r.Fence}
	}
	r = &Request{
		Tenant: c.Tenant, Key: c.Key, Digest: c.Digest, Idempotency: c.Idempotency, Phase: PhaseWaiting, Fence: p.Index, Deferred: true,
		Body: c.Body, PriorityWeight: c.PriorityWeight, ExpiresAt: p.Now + c.DeliverWithin, Retention: c.Retention,
	}
	if full, ok := p.add(r); !ok {
		return full
	}
	return Result{Code: OK, Fence: r.Fence}
}

// claim gives a deferred request to the holder of the partition's lease. Claims of a former holder are
// rejected. A request that a former holder may have sent is retried only if its idempotency allows that.
func (p *Partition) claim(r *Request, c *Command) Result {
	switch {
	case c.Token < p.Token && !failpoint.Enabled(failpoint.SkipPartitionFence):
		return Result{Code: Stale}
	case !r.Deferred:
		return rejectf("the request is not deferred")
	case r.Phase.Final():
		return Result{Code: Stale}
	}
	p.Token = max(p.Token, c.Token)
	if r.Phase != PhaseSending {
		r.Phase, r.Session, r.Token, r.Fence = PhaseBegun, c.Session, c.Token, p.Index
		return Result{Code: Execute, Fence: r.Fence}
	}
	if r.Token == c.Token && r.Session == c.Session {
		return Result{Code: InProgress} // the proposer has already claimed and sent it
	}
	return p.retryOrEnd(r, c)
}

// cancel cancels a deferred request that has not been claimed.
func (p *Partition) cancel(r *Request) Result {
	switch {
	case !r.Deferred:
		return rejectf("the request is not deferred")
	case r.Phase == PhaseCancelled:
		return Result{Code: OK}
	case r.Phase.Final():
		return Result{Code: Completed, Response: r.Response}
	case r.Phase != PhaseWaiting:
		return Result{Code: InProgress}
	}
	p.finish(r, PhaseCancelled, nil)
	return Result{Code: OK}
}

// NextDeferred returns the request that the holder of the partition's lease should claim next: the waiting
// request with the highest priority weight, and among equal ones the one with the lowest Fence. It returns
// nil if no request is waiting.
func (p *Partition) NextDeferred() (next *Request) {
	for _, id := range slices.Sorted(maps.Keys(p.Requests)) {
		r := p.Requests[id]
		if r.Phase == PhaseWaiting && (next == nil || r.before(next)) {
			next = r
		}
	}
	return next
}

// before reports whether a waiting request is to be claimed before another one.
func (r *Request) before(other *Request) bool {
	if r.PriorityWeight != other.PriorityWeight {
		return r.PriorityWeight > other.PriorityWeight
	}
	return r.Fence < other.Fence
}
