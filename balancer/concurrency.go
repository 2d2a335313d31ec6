package balancer

// Concurrency limits of hosts.

const (
	initialLimit      = 4     // attempts that a new host may hold from all instances
	limitObjectives   = 0.375 // mean RTT that the limit steers to, in latency objectives
	limitTypicalRTTs  = 2     // ... or in typical RTTs of the class, if that is less
	recentObjectives  = 0.5   // span of a recent mean RTT, in shortest objectives: faster than hosts tip over
	maxRecentWeight   = 0.5   // of one response in that mean: one may be an exception
	minLimit          = 2     // attempts that a host may always hold: one runs while the next arrives
	limitGrowth       = 0.3   // attempts that all instances add in a round in which one was needed
	overdueObjectives = 0.5   // age of an attempt, in objectives, from which its host gets no other
)

// atLimit reports whether a host holds as much from this instance as it may. A limit below one, on a host
// whose mean RTT is over the target, means that it is used for that share of the time. A host whose oldest
// attempt has taken longer than the target of the limit, or that is suspected, gets no other attempt either.
func (b *Balancer) atLimit(h *host) bool {
	oldest, notOvertaken := h.oldest()
	held := h.inFlight
	if b.unansweredShare > maxUnansweredShare {
		held = notOvertaken // overtaken attempts are most likely on connections that have become silent
	}
	if b.now < h.restingUntil || held > 0 && float64(held+1) > h.concurrencyLimit {
		return true
	}
	return notOvertaken > 0 && b.overdue(oldest) || b.suspected(h)
}

// overdue reports whether an attempt has taken so long that its host gets no other.
func (b *Balancer) overdue(a *attempt) bool {
	return float64(b.now-a.sent) > overdueObjectives*float64(a.req.class.LatencyObjective)
}

// suspected reports whether a host has a single attempt in flight that takes longer than it should: either
// the host is silent or the request is costly.
func (b *Balancer) suspected(h *host) bool {
	oldest, notOvertaken := h.oldest()
	return notOvertaken == 1 && b.now >= h.restingUntil && b.now-oldest.sent >= b.silenceTimeout(oldest.req)
}

// adjustLimit steers a host's concurrency limit so that its mean RTT stays at a share of the objective. It
// guards against crowding, which wastes the work of requests that come too late and can tip a host into a
// slow state. It acts when a host's mean RTT passes that share, and then once a round: only an attempt sent
// after the last cut can tell whether that was enough. A host that rests is judged by each response alone,
// as its mean is from before the rest. The limit grows while requests wait; one below one also where a
// request found no host meanwhile, as queues are short where many instances share a host. The response took
// relative objectives.
func (b *Balancer) adjustLimit(h *host, relative float64, objective, sent Time) {
	h.recentRTT.addAt(relative, b.now, recentObjectives*b.shortestObjective.Seconds())
	instances := b.sharingInstances()
	if h.recentRTT.mean > limitObjectives && (h.concurrencyLimit >= 1 || relative > limitObjectives) {
		if sent >= h.limitCutAt {
			h.concurrencyLimit = max(minLimit/instances, h.concurrencyLimit*limitObjectives/h.recentRTT.mean)
			h.limitCutAt = b.now
		}
		if h.concurrencyLimit < 1 {
			h.restingUntil = b.now + Time(float64(objective)*h.recentRTT.mean*(1/h.concurrencyLimit-1))
		}
		return
	}
	needed := b.queued > 0 || h.concurrencyLimit < 1 && b.lastUnserved >= sent
	if needed && h.inFlight+1 >= int(h.concurrencyLimit) {
		h.concurrencyLimit += limitGrowth / (instances * h.concurrencyLimit)
	}
}
