package balancer

const (
	// starvationSampleWeight is the weight of one request in its class's share.
	starvationSampleWeight = 1.0 / 8
	// minStarvationShare is the share above which classes of lower priority yield.
	minStarvationShare = 0.1
	// maxStarvationShare is the share from which they yield as often as they may.
	maxStarvationShare = 0.3
	// starvationSpanWindows is the span of the share, in overload windows: it has to outlast gaps between the
	// requests of a rare class.
	starvationSpanWindows = 16
)

// starvationTracker decides which requests are rejected on arrival to leave capacity to a class of higher
// priority whose requests find no host. Its input is whether each request was served or timed out in a
// queue, by class. It guards against a fleet that is full of requests of low priority: those of high priority
// may wait the least where their objective is tight, so that where a host becomes free, a request of low
// priority waits there.
type starvationTracker struct {
	unserved []decayingShare // share of the requests that found no host, by class
	span     float64         // of the decay, in seconds; derived from the settings
}

// record records whether a request of a class found no host.
func (t *starvationTracker) record(now Time, class int, unserved bool) {
	share := &t.unserved[class]
	share.share = share.now(now, t.span) * (1 - starvationSampleWeight)
	share.at = now
	if unserved {
		share.share += starvationSampleWeight
	}
}

// yieldProbability returns how likely a request of a priority weight is rejected: the likelier the more of a
// class of higher weight finds no host, and at most by the share by which its weight is lower.
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

// recordStarvation records whether a request found no host. A request counts as unserved only where other
// requests hold the hosts.
func (b *Balancer) recordStarvation(request *request, unserved bool) {
	allIdle := len(b.sets[setBusy].list) == 0
	if unserved && allIdle {
		return
	}
	b.starvation.record(b.now, request.Class, unserved)
}

// yieldsToStarving decides by chance whether a request is rejected to leave capacity to a class of higher
// priority.
func (b *Balancer) yieldsToStarving(request *request) bool {
	probability := b.starvation.yieldProbability(b.now, b.settings.Classes, request.class.PriorityWeight)
	return probability > 0 && b.random.unit() < probability
}
