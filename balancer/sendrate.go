package balancer

const (
	// sendRateTargetObjectives is the target mean RTT of the send rate, in latency objectives of the class.
	sendRateTargetObjectives = 0.45
	// sendRateTargetTypicalRTTs is the target in typical RTTs of the class. The lower of the two targets
	// applies.
	sendRateTargetTypicalRTTs = 1.5
	// sendRateMinInstances is the number of instances that must share a host for the send rate to be
	// limited. With fewer instances the concurrency limit of each host is sufficient.
	sendRateMinInstances = 8
	// sendRateBurstAttempts is the maximum burst after an idle period, in attempts.
	sendRateBurstAttempts = 4
	// sendRateGrowthDecays is the time in which the limit grows by a factor of e, in time constants of RTT
	// estimates.
	sendRateGrowthDecays = 0.5
	// sendRateEndArrivals is the multiple of the arrival rate above which the limit is removed.
	sendRateEndArrivals = 2
	// sendRateMaxSampleTargets is the maximum value of one sample, in targets.
	sendRateMaxSampleTargets = 3
	// sendRateSampleWeight is the weight of one sample in the recent mean RTT.
	sendRateSampleWeight = 1.0 / 8
	// sendRateReductionDeviations is how far the recent mean RTT must exceed its target for a reduction, in
	// mean deviations, so that random variation alone does not reduce the rate.
	sendRateReductionDeviations = 1.0
)

// sendRateController limits the rate of attempts that this instance sends to all hosts together. It
// prevents an overload of the whole fleet where many instances share a host: each instance then has less
// than one attempt in flight at the host on average, so a concurrency limit per host has no effect. The
// inputs are the RTTs of successful responses, rejections and timeouts of any host, the ages of attempts
// that are unanswered for unusually long (checkSilence), and the attempts sent. The limit is reduced at
// most once per round trip, when the mean RTT exceeds its target by a mean deviation, and grows while the
// mean is at or below the target.
type sendRateController struct {
	limit      float64       // attempts per second; 0 for no limit
	recentRTT  movingAverage // RTTs and ages of recent attempts at any host, in targets of their classes
	reducedAt  Time          // time of the last reduction
	grownAt    Time          // time of the last growth or reduction
	tokens     float64       // attempts that may be sent at once, at the time refilledAt
	refilledAt Time
	sent       decayingRate // attempts sent per second

	// Derived from the settings.
	rateSpan   float64 // time constant of the rates, in seconds
	growthTime float64 // time in which the limit grows by a factor of e, in seconds
}

// observe updates the limit with a sample from an attempt that was sent at sentAt. sample is its RTT, or
// its age if it is unanswered, in targets of its class, and arrivals is the rate of requests at this
// instance.
func (c *sendRateController) observe(now, sentAt Time, sample float64, arrivals *decayingRate) {
	c.recentRTT.blend(min(sample, sendRateMaxSampleTargets), sendRateSampleWeight)
	overloaded := c.recentRTT.mean > 1+sendRateReductionDeviations*c.recentRTT.dev
	// Attempts sent before the last reduction do not show its effect.
	newRound := sentAt >= c.reducedAt
	switch {
	case overloaded && newRound:
		c.reduce(now)
	case c.limit > 0 && c.recentRTT.mean <= 1:
		c.grow(now, arrivals)
	}
}

// reduce divides the limit, or the rate sent if that is lower, by the ratio of the mean RTT to its target.
func (c *sendRateController) reduce(now Time) {
	sent := c.sent.now(now, c.rateSpan)
	if c.limit == 0 || sent < c.limit {
		c.limit = sent
	}
	c.limit = max(c.limit/c.recentRTT.mean, 1/c.rateSpan)
	c.recentRTT.mean = 1
	c.reducedAt = now
	c.grownAt = now
}

// grow increases the limit, and removes it once it is well above the arrival rate.
func (c *sendRateController) grow(now Time, arrivals *decayingRate) {
	c.limit *= exp((now - c.grownAt).Seconds() / c.growthTime)
	c.grownAt = now
	if c.limit > sendRateEndArrivals*arrivals.now(now, c.rateSpan) {
		c.limit = 0
	}
}

// refill adds the tokens for the time since the last call.
func (c *sendRateController) refill(now Time) {
	refilled := c.tokens + float64(c.limit*(now-c.refilledAt).Seconds())
	c.tokens = min(refilled, sendRateBurstAttempts)
	c.refilledAt = now
}

// countSent counts an attempt that was sent.
func (c *sendRateController) countSent(now Time) {
	c.sent.add(now, c.rateSpan)
	c.tokens = max(c.tokens-1, 0)
}

// sendRateTarget returns the target RTT of the send rate for a class, in seconds.
func (b *Balancer) sendRateTarget(class int) float64 {
	target := sendRateTargetObjectives * b.settings.Classes[class].LatencyObjective.Seconds()
	typical := &b.typicalRTT.byClass[class]
	if typical.seen {
		target = min(target, sendRateTargetTypicalRTTs*typical.mean)
	}
	return target
}

// adjustSendRate updates the send rate with the RTT of an attempt that got a successful response or a
// rejection or timed out, or with the age of one that is unanswered for unusually long, in seconds.
func (b *Balancer) adjustSendRate(attempt *attempt, rtt float64) {
	sample := rtt / b.sendRateTarget(attempt.request.Class)
	b.sendRate.observe(b.now, attempt.sentAt, sample, &b.arrivals)
}

// withinSendRate reports whether the send rate allows a request to be sent now. Some tokens are reserved
// for requests of higher priority, so that under overload the requests of the lowest priority are rejected
// first.
func (b *Balancer) withinSendRate(request *request) bool {
	if b.sendRate.limit == 0 || b.sharingInstances() < sendRateMinInstances {
		return true
	}
	b.sendRate.refill(b.now)
	reserved := (sendRateBurstAttempts - 1) * float64(request.queueIndex) / float64(len(b.queues.byPriority))
	return b.sendRate.tokens >= 1+reserved
}
