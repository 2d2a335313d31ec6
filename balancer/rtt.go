package balancer

import "math"

const (
	// initialRTTObjectives is the RTT that a host counts with while nothing is known of any host, in shortest
	// latency objectives.
	initialRTTObjectives = 0.25
	// errorPenaltyObjectives is the RTT that an error counts as, in longest latency objectives: above
	// ordinary responses.
	errorPenaltyObjectives = 1
	// maxKind is the highest kind of hosts that has a typical RTT of its own.
	maxKind = 255
	// estimateDecayObjectives is the time in which an estimate fades by a factor of e, in shortest latency
	// objectives.
	estimateDecayObjectives = 8
	// estimateDecaySampleGaps is the same in gaps between two samples of a host, where that is longer.
	estimateDecaySampleGaps = 4
	// maxEstimateDecayFactor bounds how much longer that makes the decay.
	maxEstimateDecayFactor = 8

	nanosecondsPerSecond = 1e9
)

// rttEstimate is the RTT by which a host is chosen: a peak EWMA. A sample above the estimate replaces it, and
// one below is blended in.
type rttEstimate struct {
	seconds float64 // as of at
	at      Time
	sampled bool // else seconds is not set
}

// typicalRTTs holds the mean RTTs of good responses, in seconds. They make samples of different classes
// comparable, are the first estimate of new hosts, and the scale of what counts as slow.
type typicalRTTs struct {
	byClass []movingAverage
	byKind  []movingAverage // as of a typical class, by kind of host
	any     movingAverage   // of any class
}

// addNormalized adds a good response, and returns its RTT as one of a typical class: a host that last served
// a slow class must not look slow for it.
func (t *typicalRTTs) addNormalized(class, kind int, rtt float64) float64 {
	t.byClass[class].addLongTerm(rtt)
	t.any.add(rtt)
	rtt *= t.any.mean / t.byClass[class].mean
	if kind >= 0 && kind <= maxKind {
		for len(t.byKind) <= kind {
			t.byKind = append(t.byKind, movingAverage{})
		}
		t.byKind[kind].add(rtt)
	}
	return rtt
}

// ofKind returns the typical RTT of a kind of hosts, or else of any host. It reports false where no host has
// responded yet.
func (t *typicalRTTs) ofKind(kind int) (rtt float64, ok bool) {
	if kind >= 0 && kind < len(t.byKind) && t.byKind[kind].seen {
		return t.byKind[kind].mean, true
	}
	return t.any.mean, t.any.seen
}

// score returns the score of a host for a class: its RTT estimate now x (own attempts in flight + 1). An
// error in the class is a penalty there alone: other classes may be served well.
func (b *Balancer) score(host *host, class int) float64 {
	rtt := b.estimatedRTT(host)
	errors := &host.errors[class]
	if errors.share > 0 {
		age := (b.now - errors.lastAt).Seconds()
		rtt = max(rtt, b.errorPenalty*math.Exp(-age/b.estimateDecay()))
	}
	return rtt * float64(host.inFlight+1)
}

// estimatedRTT returns the RTT estimate of a host in seconds. It decays toward zero, so that a host that was
// slow and then left alone comes back into use.
func (b *Balancer) estimatedRTT(host *host) float64 {
	if !host.rtt.sampled {
		return b.initialRTT(host) * b.estimateWeight(host)
	}
	return host.rtt.seconds * b.estimateWeight(host)
}

// initialRTT returns the RTT of a host without a sample, in seconds: that of others of its kind, or of any
// others. It must not look idle.
func (b *Balancer) initialRTT(host *host) float64 {
	typical, ok := b.typicalRTT.ofKind(host.Kind)
	if !ok {
		return initialRTTObjectives * b.shortestObjective.Seconds()
	}
	return typical
}

// estimateWeight returns the weight that a host's estimate has kept since its last sample.
func (b *Balancer) estimateWeight(host *host) float64 {
	age := (b.now - host.rtt.at).Seconds()
	return math.Exp(-age / b.estimateDecay())
}

// estimateDecay returns the time in which an RTT estimate fades by a factor of e, in seconds. With little
// traffic it follows the gap between two samples of a host: else each estimate would fade before the next
// sample.
func (b *Balancer) estimateDecay() float64 {
	arrivals := b.arrivals.now(b.now, b.rateSpan())
	if arrivals == 0 {
		return b.minEstimateDecay
	}
	gaps := estimateDecaySampleGaps * float64(b.subsetSize()) / arrivals
	return max(b.minEstimateDecay, min(gaps, maxEstimateDecayFactor*b.minEstimateDecay))
}

// addSample adds an RTT, in seconds, to a host's estimate.
func (b *Balancer) addSample(host *host, rtt float64) {
	weight := b.estimateWeight(host)
	decayed := host.rtt.seconds
	if !host.rtt.sampled {
		decayed = b.initialRTT(host)
	}
	decayed *= weight
	if rtt > decayed {
		host.rtt.seconds = rtt
	} else {
		host.rtt.seconds = decayed + rtt*(1-weight)
	}
	host.rtt.at = b.now
	host.rtt.sampled = true
}
