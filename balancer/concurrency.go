package balancer

const (
	// initialLimitAttempts is how many attempts in flight a new host may have from all instances together.
	initialLimitAttempts = 4
	// minLimitAttempts is how many a host may always have from all instances: one is served while the next
	// arrives.
	minLimitAttempts = 2
	// limitGrowthAttempts is how much the limits of all instances together grow in a round trip in which a
	// request needed it.
	limitGrowthAttempts = 0.3
	// limitTargetObjectives is the mean RTT that a limit steers to, in latency objectives.
	limitTargetObjectives = 0.375
	// limitTargetTypicalRTTs is the same in typical RTTs of the class. The lower target holds.
	limitTargetTypicalRTTs = 2
	// recentRTTSpanObjectives is the span of the recent mean RTT, in shortest latency objectives: shorter
	// than the time in which an overloaded host becomes slow.
	recentRTTSpanObjectives = 0.5
	// overdueObjectives is the age of an attempt, in latency objectives, from which its host gets no other.
	overdueObjectives = 0.5
)

// concurrencyLimiter decides how many attempts a host may have in flight from this instance. It guards
// against crowding, which wastes the work of requests that are served too late, and can make a host slow for
// good. Input is the RTT of each response and timeout, in latency objectives of its class. The limit is
// reduced when the mean RTT passes its target, and grows while requests wait. A limit below one means that
// the host is used for that share of the time, and rests otherwise.
type concurrencyLimiter struct {
	limit        float64       // attempts in flight from this instance; 0: not set yet
	recentRTT    movingAverage // as relativeRTT returns it
	reducedAt    Time
	restingUntil Time // with a limit below one: the host gets nothing before
}

// limitSample is a response or timeout, as the limiter sees it.
type limitSample struct {
	rtt       float64 // as relativeRTT returns it
	objective Time    // latency objective of its class
	sentAt    Time
}

// observe adds a sample to the recent mean, whose span is in seconds, and reduces the limit where the mean is
// over the target. It reports whether it is. A resting host is judged by each response alone, as the mean is
// from before the rest. instances is how many share the host.
func (l *concurrencyLimiter) observe(now Time, sample limitSample, span, instances float64) (over bool) {
	l.recentRTT.addOverSpan(sample.rtt, now, span)
	judgedByMean := l.limit >= 1
	meanOver := l.recentRTT.mean > limitTargetObjectives
	sampleOver := sample.rtt > limitTargetObjectives
	over = meanOver && (judgedByMean || sampleOver)
	if !over {
		return false
	}
	// Only an attempt sent after the last reduction can tell whether that was enough.
	if sample.sentAt >= l.reducedAt {
		reduced := l.limit * limitTargetObjectives / l.recentRTT.mean
		l.limit = max(minLimitAttempts/instances, reduced)
		l.reducedAt = now
	}
	if l.limit < 1 {
		rest := float64(sample.objective) * l.recentRTT.mean * (1/l.limit - 1)
		l.restingUntil = now + Time(rest)
	}
	return true
}

// grow raises the limit after a response.
func (l *concurrencyLimiter) grow(instances float64) {
	l.limit += limitGrowthAttempts / (instances * l.limit)
}

// full reports whether a host with attempts in flight may have no other.
func (l *concurrencyLimiter) full(inFlight int) bool { return limitReached(inFlight, l.limit) }

// limitReached reports whether a limit allows no attempt beside those in flight. The first is always allowed.
func limitReached(inFlight int, limit float64) bool {
	return inFlight > 0 && float64(inFlight+1) > limit
}

// resting reports whether a host with a limit below one is not to be used now.
func (l *concurrencyLimiter) resting(now Time) bool { return now < l.restingUntil }

// adjustLimit updates a host's limit after a response or timeout. It grows while requests wait; a limit below
// one grows also where a request found no host since the attempt was sent, as queues are short where many
// instances share a host.
func (b *Balancer) adjustLimit(host *host, sample limitSample) {
	span := recentRTTSpanObjectives * b.shortestObjective.Seconds()
	instances := b.sharingInstances()
	limiter := &host.limiter
	if limiter.observe(b.now, sample, span, instances) {
		return
	}
	neededWhileResting := limiter.limit < 1 && b.queues.lastUnserved >= sample.sentAt
	needed := b.queues.length > 0 || neededWhileResting
	usedBefore := host.inFlight + 1 // with the attempt that has just ended
	wholeLimitUsed := usedBefore >= int(limiter.limit)
	if needed && wholeLimitUsed {
		limiter.grow(instances)
	}
}

// relativeRTT returns an RTT, given in seconds, relative to the targets of the limit:
// limitTargetObjectives stands for the lower one of the two. It is the RTT in latency objectives of the
// class, or in typical RTTs of the class, scaled so that limitTargetTypicalRTTs of them give
// limitTargetObjectives, whichever is more.
func (b *Balancer) relativeRTT(class int, rtt float64) float64 {
	relative := rtt / b.settings.Classes[class].LatencyObjective.Seconds()
	typical := &b.typicalRTT.byClass[class]
	if typical.seen {
		relative = max(relative, limitTargetObjectives/limitTargetTypicalRTTs*rtt/typical.mean)
	}
	return relative
}

// acceptsAttempts reports whether a host may be sent another attempt now: unless it is resting, full, overdue
// or suspected (standing.go). The host's listed state, slow start and ejection are not looked at.
func (b *Balancer) acceptsAttempts(host *host) bool {
	oldest, notOvertaken := host.oldestNotOvertaken()
	counted := host.inFlight
	if b.stalled.areUnanswered() {
		counted = notOvertaken // overtaken attempts are most likely on connections that have become silent
	}
	if host.limiter.resting(b.now) || host.limiter.full(counted) {
		return false
	}
	return !b.overdue(oldest) && !b.suspected(host)
}

// overdue reports whether the oldest attempt at a host that was not overtaken, nil for none, has taken so
// long that the host gets no other.
func (b *Balancer) overdue(oldest *attempt) bool {
	if oldest == nil {
		return false
	}
	age := float64(b.now - oldest.sentAt)
	return age > overdueObjectives*float64(oldest.request.class.LatencyObjective)
}
