package balancer

import "math"

const (
	// sendRateTargetObjectives is the RTT that the send rate steers to, in latency objectives of the class.
	sendRateTargetObjectives = 0.45
	// sendRateTargetTypicalRTTs is the same in typical RTTs of the class. The lower target holds.
	sendRateTargetTypicalRTTs = 1.5
	// sendRateMinInstances is how many instances must share a host for the send rate to be limited. Below
	// it the concurrency limit of each host suffices.
	sendRateMinInstances = 8
	// sendRateBurstAttempts is how many attempts may be sent at once after a pause.
	sendRateBurstAttempts = 4
	// sendRateGrowthDecays is the time in which the limit grows by a factor of e, in decays of RTT estimates.
	sendRateGrowthDecays = 0.5
	// sendRateEndArrivals is the limit above which the send rate is no longer limited, in arrival rates of
	// requests.
	sendRateEndArrivals = 2
	// sendRateMaxSampleTargets bounds the RTT that one response counts as, in targets.
	sendRateMaxSampleTargets = 3
	// sendRateSampleWeight is the weight of one response in the recent mean RTT.
	sendRateSampleWeight = 1.0 / 8
	// sendRateReductionDeviations is how far above its target the recent mean RTT must be for a reduction, in
	// mean deviations, so that chance alone does not reduce the rate.
	sendRateReductionDeviations = 1.0
)

// sendRateController limits how many attempts a second this instance sends to all hosts together. It guards
// against overload of the whole fleet where many instances share a host: each has only a part of an attempt
// there, and a concurrency limit per host can't act. Inputs are the RTT of each response from any host and
// the attempts sent; the limit is reduced once a round when the mean RTT is a mean deviation above its
// target, and grows while it is below.
type sendRateController struct {
	limit      float64       // attempts a second; 0: not limited
	recentRTT  movingAverage // RTT of the last responses from any host, in targets of their classes
	reducedAt  Time
	grownAt    Time
	tokens     float64 // attempts that may be sent at once, as of refilledAt
	refilledAt Time
	sent       decayingRate // attempts a second

	// Derived from the settings.
	rateSpan   float64 // span of the rates, in seconds
	growthTime float64 // in which the limit grows by a factor of e, in seconds
}

// observe updates the limit after a response to an attempt sent at sentAt. The sample is its RTT, in targets
// of its class. arrivals is the rate of requests at this instance.
func (c *sendRateController) observe(now, sentAt Time, sample float64, arrivals *decayingRate) {
	c.recentRTT.blend(min(sample, sendRateMaxSampleTargets), sendRateSampleWeight)
	overloaded := c.recentRTT.mean > 1+sendRateReductionDeviations*c.recentRTT.dev
	// Only an attempt sent after the last reduction can tell whether that was enough.
	newRound := sentAt >= c.reducedAt
	switch {
	case overloaded && newRound:
		c.reduce(now)
	case c.limit > 0 && c.recentRTT.mean <= 1:
		c.grow(now, arrivals)
	}
}

// reduce reduces the limit, or the rate sent where that is lower, by the factor by which the mean RTT is over
// its target.
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

// grow raises the limit, and ends it once it is well above what arrives.
func (c *sendRateController) grow(now Time, arrivals *decayingRate) {
	c.limit *= math.Exp((now - c.grownAt).Seconds() / c.growthTime)
	c.grownAt = now
	if c.limit > sendRateEndArrivals*arrivals.now(now, c.rateSpan) {
		c.limit = 0
	}
}

// refill adds the tokens of the time since the last call.
func (c *sendRateController) refill(now Time) {
	refilled := c.tokens + c.limit*(now-c.refilledAt).Seconds()
	c.tokens = min(refilled, sendRateBurstAttempts)
	c.refilledAt = now
}

// countSent counts an attempt that was sent.
func (c *sendRateController) countSent(now Time) {
	c.sent.add(now, c.rateSpan)
	c.tokens = max(c.tokens-1, 0)
}

// sendRateTarget returns the RTT that the send rate steers to for a class, in seconds.
func (b *Balancer) sendRateTarget(class int) float64 {
	target := sendRateTargetObjectives * b.settings.Classes[class].LatencyObjective.Seconds()
	typical := &b.typicalRTT.byClass[class]
	if typical.seen {
		target = min(target, sendRateTargetTypicalRTTs*typical.mean)
	}
	return target
}

// adjustSendRate updates the send rate after a response that took rtt seconds.
func (b *Balancer) adjustSendRate(attempt *attempt, rtt float64) {
	sample := rtt / b.sendRateTarget(attempt.request.Class)
	b.sendRate.observe(b.now, attempt.sentAt, sample, &b.arrivals)
}

// withinSendRate reports whether the send rate lets a request be sent now. Requests of low priority leave
// tokens for those of high priority, so that under overload the lowest queue is rejected first.
func (b *Balancer) withinSendRate(request *request) bool {
	if b.sendRate.limit == 0 || b.sharingInstances() < sendRateMinInstances {
		return true
	}
	b.sendRate.refill(b.now)
	reserved := (sendRateBurstAttempts - 1) * float64(request.band) / float64(len(b.queues.byPriority))
	return b.sendRate.tokens >= 1+reserved
}
