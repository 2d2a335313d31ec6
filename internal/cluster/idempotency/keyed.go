package idempotency

import "dunemoor/internal/cluster/failpoint"

// begin handles a request with a key that has arrived at a gateway. The stored request r is nil if this is
// the first request with the key.
func (p *Partition) begin(r *Request, c *Command) Result {
	if c.Retention <= 0 || c.Retention > MaxRetention || !c.Idempotency.valid() {
		return rejectf("a response is retained for at most %v, and a request is %s, %s or %s", MaxRetention, Idempotent, IdempotentWithKey, NonIdempotent)
	}
	if r == nil {
		r = &Request{
			Tenant: c.Tenant, Key: c.Key, Digest: c.Digest, Idempotency: c.Idempotency, Phase: PhaseBegun, Session: c.Session,
			Fence: p.Index, Retention: c.Retention,
		}
		if full, ok := p.add(r); !ok {
			return full
		}
		return Result{Code: Execute, Fence: r.Fence}
	}
	switch {
	case r.Digest != c.Digest && !failpoint.Enabled(failpoint.SkipDigestCheck):
		return Result{Code: KeyMismatch}
	case r.Phase == PhaseCompleted:
		return Result{Code: Completed, Response: r.Response}
	case r.Phase == PhaseIndeterminate:
		return Result{Code: Indeterminate}
	case r.Phase.Final():
		return rejectf("the request is %s", r.Phase)
	case r.Session != 0 || r.Phase == PhaseWaiting || r.Deferred:
		return Result{Code: InProgress}
	}
	return p.retryOrEnd(r, c)
}

// retryOrEnd handles a request that a former gateway, or a former holder of the partition's lease, may have
// sent. It gives the request to the proposer if the idempotency of the request allows another attempt.
// Otherwise the request becomes indeterminate.
func (p *Partition) retryOrEnd(r *Request, c *Command) Result {
	anywhere := r.Idempotency == Idempotent
	inScope := r.Idempotency == IdempotentWithKey && (c.WindowLeft > 0 || failpoint.Enabled(failpoint.SendAfterWindow))
	if !anywhere && !inScope || r.Sends >= MaxSends {
		p.finish(r, PhaseIndeterminate, nil)
		return Result{Code: Indeterminate}
	}
	r.Session, r.Token, r.Fence = c.Session, c.Token, p.Index
	if anywhere {
		return Result{Code: Retry, Fence: r.Fence}
	}
	return Result{Code: Retry, Fence: r.Fence, Scope: r.Scope, WindowLeft: c.WindowLeft}
}

// send records an attempt, before the gateway sends its first byte.
func (p *Partition) send(r *Request, c *Command) Result {
	otherScope := r.Scope != "" && r.Scope != c.Scope
	switch {
	case r.Fence != c.Fence && !failpoint.Enabled(failpoint.SkipRequestFence):
		return Result{Code: Stale}
	case r.Phase.Final():
		return Result{Code: Stale}
	case r.Sends >= MaxSends:
		return rejectf("a request is sent at most %d times", MaxSends)
	case otherScope && r.Idempotency != Idempotent && !failpoint.Enabled(failpoint.SendToOtherScope):
		return Result{Code: Rejected, Scope: r.Scope, Reason: "it may have run in another scope"}
	}
	r.Phase, r.Scope = PhaseSending, c.Scope
	r.Sends++
	return Result{Code: OK, Fence: r.Fence}
}

// complete records a response. If the request is already final or the fence is stale, it only records that a
// late response has arrived.
func (p *Partition) complete(r *Request, c *Command) Result {
	switch {
	case c.Response == nil || len(c.Response.Header)+len(c.Response.Body) > MaxResponseBytes:
		return rejectf("a response that is kept has at most %d bytes", MaxResponseBytes)
	case r.Phase.Final():
		return p.completeAgain(r, c)
	case r.Fence != c.Fence && !failpoint.Enabled(failpoint.SkipRequestFence):
		r.LateResponse = true
		return Result{Code: Stale}
	}
	p.finish(r, PhaseCompleted, c.Response)
	return Result{Code: OK}
}

// completeAgain handles a response to a request that is already final.
func (p *Partition) completeAgain(r *Request, c *Command) Result {
	if r.Phase == PhaseCompleted && r.Fence == c.Fence {
		return Result{Code: OK} // a retry of the command
	}
	r.LateResponse = true
	if failpoint.Enabled(failpoint.OverwriteFinalState) {
		p.finish(r, PhaseCompleted, c.Response)
	}
	return Result{Code: Stale}
}

// abandon handles a gateway's report that no attempt of a request has been executed.
func (p *Partition) abandon(r *Request, c *Command) Result {
	switch {
	case r.Fence != c.Fence || r.Phase.Final():
		return Result{Code: Stale}
	case r.Deferred:
		r.Phase, r.Session, r.Scope, r.Fence = PhaseWaiting, 0, "", p.Index
		return Result{Code: OK}
	}
	p.remove(RequestID(r.Tenant, r.Key), r)
	return Result{Code: OK}
}
