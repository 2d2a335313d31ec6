package balancer

const (
	// initialLimitAttempts is the initial limit of a new host, in attempts in flight from all instances
	// together.
	initialLimitAttempts = 4
	// minLimitAttempts is the lowest limit of a host, in attempts in flight from all instances together:
	// one attempt can be served while the next one arrives.
	minLimitAttempts = 2
	// limitGrowthAttempts is the growth of the limits of all instances together per round trip in which a
	// request needed it, in attempts.
	limitGrowthAttempts = 0.3
	// limitTargetObjectives is the target mean RTT of the limiter, in latency objectives.
	limitTargetObjectives = 0.375
	// limitTargetTypicalRTTs is the target mean RTT in typical RTTs of the class. The lower of the two
	// targets applies.
	limitTargetTypicalRTTs = 2
	// recentRTTSpanObjectives is the time constant of the recent mean RTT, in shortest latency objectives.
	// It is shorter than the time in which an overloaded host becomes slow.
	recentRTTSpanObjectives = 0.5
	// overdueObjectives is the age of an attempt, in latency objectives, above which its host receives no
	// further attempts.
	overdueObjectives = 0.5
)

// concurrencyLimiter limits the attempts that a host may have in flight from this instance. It prevents an
// overload, which wastes the work on responses that arrive too late and can keep a host slow permanently.
// Its input is the relativeRTT of each successful response, rejection and timeout. The limit is reduced
// when the mean of these exceeds the target, and grows while requests wait. With a limit below one, the
// host is used only for that fraction of the time and rests in between.
type concurrencyLimiter struct {
	limit        float64       // attempts in flight from this instance; 0 until it is set
	recentRTT    movingAverage // mean of relativeRTT over the last samples
	reducedAt    Time
	restingUntil Time // with a limit below one: earliest time of the next attempt
}

// limitSample is the input of the limiter from one successful response, rejection or timeout.
type limitSample struct {
	rtt       float64 // value of relativeRTT
	objective Time    // latency objective of the class
	sentAt    Time
}

// observe adds a sample to the recent mean. If the mean is above the target, it reduces the limit at most
// once per round trip, makes the host rest if the limit is then below one, and returns true. If the limit
// was below one before, the sample itself must be above the target as well, because the mean still includes
// samples from before the host rested. span is the time constant of the mean in seconds, and instances is
// the number of instances that share the host.
func (l *concurrencyLimiter) observe(now Time, sample limitSample, span, instances float64) (over bool) {
	l.recentRTT.addOverSpan(sample.rtt, now, span)
	judgedByMean := l.limit >= 1
	meanOver := l.recentRTT.mean > limitTargetObjectives
	sampleOver := sample.rtt > limitTargetObjectives
	over = meanOver && (judgedByMean || sampleOver)
	if !over {
		return false
	}
	// Attempts sent before the last reduction do not show its effect.
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

// grow increases the limit after a response.
func (l *concurrencyLimiter) grow(instances float64) {
	l.limit += limitGrowthAttempts / (instances * l.limit)
}

// full reports whether a host with that many attempts in flight is at its limit.
func (l *concurrencyLimiter) full(inFlight int) bool { return limitReached(inFlight, l.limit) }

// limitReached reports whether the limit allows no further attempt. The first attempt is always allowed.
func limitReached(inFlight int, limit float64) bool {
	return inFlight > 0 && float64(inFlight+1) > limit
}

// resting reports whether a host with a limit below one must not be used at the moment.
func (l *concurrencyLimiter) resting(now Time) bool { return now < l.restingUntil }

// adjustLimit updates the limit of a host after a successful response, rejection or timeout. The limit
// grows while requests wait. A limit below one also grows if a request was queued after the attempt was
// sent: where many instances share a host, requests wait only for a short time, and usually none is waiting
// when the response arrives.
func (b *Balancer) adjustLimit(host *host, sample limitSample) {
	span := recentRTTSpanObjectives * b.shortestObjective.Seconds()
	instances := b.sharingInstances()
	limiter := &host.limiter
	if limiter.observe(b.now, sample, span, instances) {
		return
	}
	neededWhileResting := limiter.limit < 1 && b.queues.lastUnserved >= sample.sentAt
	needed := b.queues.length > 0 || neededWhileResting
	usedBefore := host.inFlight + 1 // including the attempt that has just ended
	wholeLimitUsed := usedBefore >= int(limiter.limit)
	if needed && wholeLimitUsed {
		limiter.grow(instances)
	}
}

// relativeRTT returns an RTT, given in seconds, relative to the target of the limiter: a value of
// limitTargetObjectives means that the RTT is equal to the lower of the two targets. It is the larger of
// the RTT in latency objectives of the class, and the RTT in typical RTTs of the class scaled so that
// limitTargetTypicalRTTs of them give limitTargetObjectives.
func (b *Balancer) relativeRTT(class int, rtt float64) float64 {
	relative := rtt / b.settings.Classes[class].LatencyObjective.Seconds()
	typical := &b.typicalRTT.byClass[class]
	if typical.seen {
		relative = max(relative, limitTargetObjectives/limitTargetTypicalRTTs*rtt/typical.mean)
	}
	return relative
}

// acceptsAttempts reports whether a host may be sent another attempt now, that is, whether it is not
// resting, full, overdue or suspected (standing.go). It ignores the listed state, slow start and ejection
// of the host.
func (b *Balancer) acceptsAttempts(host *host) bool {
	oldest, notOvertaken := host.oldestNotOvertaken()
	counted := host.inFlight
	if b.stalled.tooManyUnanswered() {
		counted = notOvertaken // overtaken attempts are probably on connections that have become silent
	}
	if host.limiter.resting(b.now) || host.limiter.full(counted) {
		return false
	}
	return !b.overdue(oldest) && !b.suspected(host)
}

// overdue reports whether an attempt has been in flight for so long that its host receives no further
// attempts. The argument is the oldest attempt at the host that was not overtaken, or nil.
func (b *Balancer) overdue(oldest *attempt) bool {
	if oldest == nil {
		return false
	}
	age := float64(b.now - oldest.sentAt)
	return age > overdueObjectives*float64(oldest.request.class.LatencyObjective)
}
