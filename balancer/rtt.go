package balancer

const (
	// initialRTTObjectives is the RTT assumed for a host before any host has responded, in shortest latency
	// objectives.
	initialRTTObjectives = 0.25
	// errorPenaltyObjectives is the RTT that an error counts as, in longest latency objectives. It is above
	// the RTT of ordinary responses.
	errorPenaltyObjectives = 1
	// maxKind is the highest kind of host for which a typical RTT is kept.
	maxKind = 255
	// estimateDecayObjectives is the time constant of the decay of an estimate, in shortest latency
	// objectives.
	estimateDecayObjectives = 8
	// estimateDecaySampleGaps is the same in mean intervals between two samples of a host. The longer of
	// the two applies.
	estimateDecaySampleGaps = 4
	// maxEstimateDecayFactor limits the factor by which the sample intervals may lengthen the time
	// constant.
	maxEstimateDecayFactor = 8

	nanosecondsPerSecond = 1e9
)

// rttEstimate is the RTT estimate by which a host is chosen. It is a peak EWMA: a sample above the estimate
// replaces it, and a sample below is blended in.
type rttEstimate struct {
	seconds float64 // value at the time at
	at      Time    // time of the last sample
	sampled bool    // seconds is set
}

// typicalRTTs holds the mean RTTs of successful responses, in seconds. They normalize samples of different
// classes, are the initial estimate of new hosts, and are the reference for RTTs that count as slow.
type typicalRTTs struct {
	byClass []movingAverage
	byKind  []movingAverage // means by kind of host, normalized to an average class
	any     movingAverage   // mean over all classes
}

// addNormalized adds a successful response and returns its RTT normalized to an average class. Without
// this, a host that has just served a slow class would look slow for all classes.
func (t *typicalRTTs) addNormalized(class, kind int, rtt float64) float64 {
	t.byClass[class].addLongTerm(rtt)
	t.any.add(rtt)
	rtt = float64(rtt * (t.any.mean / t.byClass[class].mean))
	if kind >= 0 && kind <= maxKind {
		for len(t.byKind) <= kind {
			t.byKind = append(t.byKind, movingAverage{})
		}
		t.byKind[kind].add(rtt)
	}
	return rtt
}

// ofKind returns the typical RTT of a kind of host, or that of all hosts if the kind has none. It returns
// false if no host has responded yet.
func (t *typicalRTTs) ofKind(kind int) (rtt float64, ok bool) {
	if kind >= 0 && kind < len(t.byKind) && t.byKind[kind].seen {
		return t.byKind[kind].mean, true
	}
	return t.any.mean, t.any.seen
}

// score returns the score of a host for a class: its current RTT estimate x (own attempts in flight + 1).
// An error raises the score for its class only, because the host may serve other classes well.
func (b *Balancer) score(host *host, class int) float64 {
	rtt := b.estimatedRTT(host)
	errors := &host.errors[class]
	if errors.share > 0 {
		age := (b.now - errors.lastAt).Seconds()
		rtt = max(rtt, b.errorPenalty*exp(-age/b.estimateDecay()))
	}
	return rtt * float64(host.inFlight+1)
}

// estimatedRTT returns the RTT estimate of a host in seconds. It decays toward zero, so that a host that
// was slow and has received no attempts since comes back into use.
func (b *Balancer) estimatedRTT(host *host) float64 {
	if !host.rtt.sampled {
		return b.initialRTT(host) * b.estimateWeight(host)
	}
	return host.rtt.seconds * b.estimateWeight(host)
}

// initialRTT returns the RTT assumed for a host without samples, in seconds: that of hosts of the same
// kind, or else of all hosts. It is not zero, because the host would then be preferred to all others.
func (b *Balancer) initialRTT(host *host) float64 {
	typical, ok := b.typicalRTT.ofKind(host.Kind)
	if !ok {
		return initialRTTObjectives * b.shortestObjective.Seconds()
	}
	return typical
}

// estimateWeight returns the factor by which the estimate of a host has decayed since its last sample.
func (b *Balancer) estimateWeight(host *host) float64 {
	age := (b.now - host.rtt.at).Seconds()
	return exp(-age / b.estimateDecay())
}

// estimateDecay returns the time constant of RTT estimates in seconds. With little traffic it follows the
// interval between two samples of a host, because each estimate would otherwise decay before the next
// sample.
func (b *Balancer) estimateDecay() float64 {
	arrivals := b.arrivals.now(b.now, b.rateSpan())
	if arrivals == 0 {
		return b.minEstimateDecay
	}
	gaps := estimateDecaySampleGaps * float64(b.subsetSize()) / arrivals
	return max(b.minEstimateDecay, min(gaps, maxEstimateDecayFactor*b.minEstimateDecay))
}

// addSample adds an RTT in seconds to the estimate of a host.
func (b *Balancer) addSample(host *host, rtt float64) {
	weight := b.estimateWeight(host)
	decayed := host.rtt.seconds
	if !host.rtt.sampled {
		decayed = b.initialRTT(host)
	}
	decayed = float64(decayed * weight)
	if rtt > decayed {
		host.rtt.seconds = rtt
	} else {
		host.rtt.seconds = decayed + float64(rtt*(1-weight))
	}
	host.rtt.at = b.now
	host.rtt.sampled = true
}
