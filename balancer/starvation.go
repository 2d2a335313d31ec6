package balancer

const (
	// starvationSampleWeight is the weight of one request in the unserved share of its class.
	starvationSampleWeight = 1.0 / 8
	// minStarvationShare is the unserved share above which requests of lower priority may be rejected.
	minStarvationShare = 0.1
	// maxStarvationShare is the unserved share from which the rejection probability is at its maximum.
	maxStarvationShare = 0.3
	// starvationSpanWindows is the time constant of the unserved share, in overload windows. It must exceed
	// the intervals between requests of a rare class.
	starvationSpanWindows = 16
)

// starvationTracker decides which requests are rejected on arrival to leave capacity to a class of higher
// priority whose requests find no host. Its input is, by class, whether each request was served or timed
// out in a queue. Without this rule, requests of low priority could occupy the whole fleet: requests of
// high priority with a tight latency objective may wait for the shortest time, so that usually only
// requests of low priority are waiting when a host becomes available.
type starvationTracker struct {
	unserved []decayingShare // share of the requests that found no host, by class
	span     float64         // time constant of the decay in seconds; derived from the settings
}

// record records whether a request of a class found no host.
func (t *starvationTracker) record(now Time, class int, unserved bool) {
	share := &t.unserved[class]
	share.share = float64(share.now(now, t.span) * (1 - starvationSampleWeight))
	share.at = now
	if unserved {
		share.share += starvationSampleWeight
	}
}

// yieldProbability returns the probability that a request with the given priority weight is rejected. It
// grows with the unserved share of classes of higher weight, and is at most the fraction by which the
// weight of the request is lower than theirs.
func (t *starvationTracker) yieldProbability(now Time, classes []Class, weight float64) float64 {
	probability := 0.0
	for i := range t.unserved {
		other := classes[i].PriorityWeight
		if other <= weight || t.unserved[i].share <= minStarvationShare {
			continue
		}
		starved := t.unserved[i].now(now, t.span)
		severity := min(1, (starved-minStarvationShare)/(maxStarvationShare-minStarvationShare))
		probability = max(probability, severity*(1-weight/other))
	}
	return probability
}

// recordStarvation records whether a request found no host. It counts as unserved only if other requests
// occupy hosts.
func (b *Balancer) recordStarvation(request *request, unserved bool) {
	allIdle := len(b.sets[setBusy].list) == 0
	if unserved && allIdle {
		return
	}
	b.starvation.record(b.now, request.Class, unserved)
}

// yieldsToStarving decides at random whether a request is rejected to leave capacity to a class of higher
// priority.
func (b *Balancer) yieldsToStarving(request *request) bool {
	probability := b.starvation.yieldProbability(b.now, b.settings.Classes, request.class.PriorityWeight)
	return probability > 0 && b.random.unit() < probability
}
