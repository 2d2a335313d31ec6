package balancer

import "math"

// Admission: tenants' quotas, the rate of sends, and priority between classes.

const (
	quotaBurst            = 1.0     // seconds of its quota that a tenant may save up
	sendRateObjectives    = 0.45    // RTT that the send rate steers to, in objectives: half is for spread
	sendRateTypicalRTTs   = 1.5     // ... or in typical RTTs of the class, if that is less
	maxPressureSample     = 3       // RTT that a response counts as at most, in targets: it may be odd
	pressureWeight        = 1.0 / 8 // of a response in the mean pressure: few samples have to do
	pressureDeviations    = 1.0     // mean deviations above the target that count: three standard errors
	minSharingForSendRate = 8       // instances at a host from which it acts: each has part of an attempt
	sendRateGrowthDecays  = 0.5     // time in which the send rate grows by e, in decays: a cut is soon gone
	sendRateBurst         = 4       // sends that may be saved up
	starvationWeight      = 1.0 / 8 // of a request in the share of a class that finds no host
	minStarvation         = 0.1     // share from which others yield: chance alone brings some
	maxStarvation         = 0.3     // share from which they yield as much as they may
	starvationWindows     = 16      // span of that share, in overload windows: it must outlast gaps
)

// Parts of a class that have queues of their own.
const (
	overQuota   = 1 << iota // beyond the tenant's quota
	isDuplicate             // the client has sent the request before
)

// queuePart returns the part of its class that a request belongs to.
func (b *Balancer) queuePart(r *request) (part int) {
	if r.Tenant >= 0 && r.Tenant < len(b.quota) && !b.quota[r.Tenant].takeToken(b.now) {
		part |= overQuota
	}
	if r.Duplicate {
		part |= isDuplicate
	}
	return part
}

// yieldsToStarving reports whether a request is rejected to leave capacity for a class of higher priority
// that finds no host: by chance, the likelier the more of that class is rejected, and up to the share by
// which the request's weight is lower. It guards against a fleet that is full of requests of low priority:
// those of high priority may wait the least where their objective is tight, so that where a host becomes
// free, what waits there has low priority.
func (b *Balancer) yieldsToStarving(r *request) bool {
	p := 0.0
	for i := range b.starvation {
		weight, other := r.class.PriorityWeight, b.set.Classes[i].PriorityWeight
		if other > weight && b.starvation[i].share > minStarvation {
			starved := b.starvation[i].now(b.now, b.starvationSpan())
			p = max(p, min(1, (starved-minStarvation)/(maxStarvation-minStarvation))*(1-weight/other))
		}
	}
	return p > 0 && b.float() < p
}

// recordStarvation records whether a request found no host in the share of its class that does not. The
// share decays, as a class of high priority may be rare, and counts only where other requests hold the
// hosts.
func (b *Balancer) recordStarvation(r *request, unserved bool) {
	if unserved && len(b.sets[setBusy].list) == 0 {
		return
	}
	s := &b.starvation[r.Class]
	s.share, s.at = s.now(b.now, b.starvationSpan())*(1-starvationWeight), b.now
	if unserved {
		s.share += starvationWeight
	}
}

func (b *Balancer) starvationSpan() float64 {
	return starvationWindows * b.set.OverloadWindow.Seconds()
}

// adjustSendRate steers the rate at which this instance sends at all by the RTT of its last responses from
// any host, against the typical RTT of their class and within its objective. It acts when their mean passes
// the target by more than chance explains, once a round: it rests on few responses, and where work varies a
// calm fleet would be cut time and again. It guards against overload of the fleet where
// minSharingForSendRate instances or more have part of an attempt at a host.
func (b *Balancer) adjustSendRate(a *attempt, rtt float64) {
	target := sendRateObjectives * a.req.class.LatencyObjective.Seconds()
	if l := &b.classRTT[a.req.Class]; l.seen {
		target = min(target, sendRateTypicalRTTs*l.mean)
	}
	b.pressure.blend(min(rtt/target, maxPressureSample), pressureWeight)
	switch {
	case b.pressure.mean > 1+pressureDeviations*b.pressure.dev && a.sent >= b.sendRateCutAt:
		sends := b.sends.now(b.now, b.rateSpan())
		if b.sendRate == 0 || sends < b.sendRate {
			b.sendRate = sends
		}
		b.sendRate = max(b.sendRate/b.pressure.mean, 1/b.rateSpan())
		b.pressure.mean, b.sendRateCutAt, b.sendRateGrownAt = 1, b.now, b.now
	case b.sendRate > 0 && b.pressure.mean <= 1:
		b.sendRate *= math.Exp((b.now - b.sendRateGrownAt).Seconds() / (sendRateGrowthDecays * b.decay))
		b.sendRateGrownAt = b.now
		if b.sendRate > 2*b.requests.now(b.now, b.rateSpan()) {
			b.sendRate = 0
		}
	}
}

// withinSendRate reports whether the send rate lets a request be sent now. Requests of low priority leave
// tokens for those of high priority, so that overload is rejected from the lowest queue up.
func (b *Balancer) withinSendRate(r *request) bool {
	if b.sendRate == 0 || b.sharingInstances() < minSharingForSendRate {
		return true
	}
	b.sendTokens = min(b.sendTokens+b.sendRate*(b.now-b.tokensAt).Seconds(), sendRateBurst)
	b.tokensAt = b.now
	return b.sendTokens >= 1+(sendRateBurst-1)*float64(r.band)/float64(len(b.queues))
}
