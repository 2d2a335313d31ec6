package balancer

import "math"

// Failure-aware peak EWMA with two choices: of two random ready hosts, the one with the lower RTT
// estimate x (own attempts in flight + 1) gets the request.

const (
	initialRTTShare        = 0.25      // RTT of an unknown host, in shortest objectives: not an idle one
	errorPenaltyObjectives = 1         // penalty of an error, in longest objectives: above ordinary responses
	maxDraws               = 32        // draws before hosts are gathered: 9 in 10 may not be ready
	largeScope             = 64        // hosts of a scope up to which they are gathered at once
	maxKinds               = 255       // kinds of hosts that are distinguished
	meanWeight             = 0.1       // of a sample in a mean: about the last ten count
	longTermWeight         = 1.0 / 256 // of a sample in a typical RTT: a jam must not become typical
)

// pick returns the host for a request; nil: none is ready. A request that may have run and may not run
// twice gets no host, and one with an idempotency key a host of the scope that drops duplicates.
func (b *Balancer) pick(r *request) *host {
	first := r.firstThatMayRun()
	if !b.withinSendRate(r) || !b.maySend(r.class, first) {
		return nil
	}
	b.refreshSubset()
	if r.class.Idempotency == IdempotentWithKey && first != nil {
		return b.pickInScope(r, b.hostsInScope(r.class.DedupScope, first.host)) // also outside the subset
	}
	all, excluded := &b.counts, &b.excluded[r.Class]
	counts := subsetCounts{
		ready: all.ready - excluded.ready, ejected: all.ejected - excluded.ejected,
		broken: all.broken - excluded.broken,
	}
	sets, useExcluded := b.usableSets(counts, excluded.ready)
	if h := b.draw(r, setReady, sets, useExcluded); h != nil {
		return h
	}
	// Before it waits, a request that can be retried goes to a host of which it is not known whether it is
	// silent or has one costly request: that shows which. It guards against a fleet of hosts that are each
	// idle but for one such request.
	if r.class.Idempotency != NonIdempotent {
		return b.draw(r, setDoubtful, 1, false)
	}
	return nil
}

// draw chooses among the hosts of n sets from one on, as if the ready ones were gathered first: it draws,
// and skips hosts that are not ready any more. After maxDraws draws most are not, and they are gathered.
func (b *Balancer) draw(r *request, set, n int, useExcluded bool) *host {
	for try := range maxDraws {
		total := 0
		for k := set; k < set+n; k++ {
			total += len(b.sets[k].list)
		}
		if total == 0 {
			return nil
		}
		i, j := b.twoOf(total)
		x, y := b.nth(set, i), b.nth(set, j)
		moved := b.refreshStanding(x) || y != x && b.refreshStanding(y)
		if moved || try < maxDraws/2 && r.tried(x) && r.tried(y) {
			continue
		}
		if useExcluded || !b.excludedFor(x, r.Class) && !b.excludedFor(y, r.Class) {
			return b.lessLoaded(r, x, y)
		}
	}
	return b.chooseGathered(r, set, n, useExcluded)
}

// chooseGathered chooses among the hosts of n sets from one on that are still ready.
func (b *Balancer) chooseGathered(r *request, set, n int, useExcluded bool) *host {
	b.candidates = b.candidates[:0]
	for k := set; k < set+n; k++ {
		for i := len(b.sets[k].list) - 1; i >= 0; i-- { // a host that leaves the set is replaced by the last
			if h := b.sets[k].list[i]; !b.refreshStanding(h) && (useExcluded || !b.excludedFor(h, r.Class)) {
				b.candidates = append(b.candidates, h)
			}
		}
	}
	return b.chooseCandidate(r)
}

// twoOf draws two different numbers below n; the same one twice where n is 1.
func (b *Balancer) twoOf(n int) (i, j int) {
	if i = b.rand(n); n == 1 {
		return i, i
	}
	if j = b.rand(n - 1); j >= i {
		j++
	}
	return i, j
}

// chooseCandidate returns the less loaded of two random candidates; nil: there is none.
func (b *Balancer) chooseCandidate(r *request) *host {
	if len(b.candidates) == 0 {
		return nil
	}
	i, j := b.twoOf(len(b.candidates))
	return b.lessLoaded(r, b.candidates[i], b.candidates[j])
}

// lessLoaded returns the host with the lower score. One that has failed the request already comes after
// one that has not: it guards against using up a request's attempts at failing hosts.
func (b *Balancer) lessLoaded(r *request, x, y *host) *host {
	if tried := r.tried(x); tried != r.tried(y) {
		if tried {
			return y
		}
		return x
	}
	if y != x && b.score(y, r.Class) < b.score(x, r.Class) {
		return y
	}
	return x
}

// usableSets returns how many of the sets, in their order, a class may use, given the counts of hosts that
// are not excluded for it, and how many are excluded; useExcluded means those too.
func (b *Balancer) usableSets(counts subsetCounts, excluded int) (sets int, useExcluded bool) {
	switch {
	case counts.ready == 0 && excluded > 0:
		return 3, true // with errors for the class everywhere, one host is as good as another
	case 2*counts.ejected <= counts.ready:
		return 1, false
	}
	// Fail open: when most hosts are ejected, the fault is more likely the network or the load than each
	// host, and the few that are left must not take everything. Hosts to which connections fail are spared
	// while any other is up: they would use up a request's attempts in no time.
	b.log(logFailOpen, "%d of %d hosts are ejected, using them all the same", counts.ejected, counts.ready)
	if counts.broken == counts.ready {
		return 3, false
	}
	return 2, false
}

// pickInScope chooses among the hosts of a scope, in the subset or not, as pick does. Of a large scope two
// are drawn first; it is gathered where one of them is not ready.
func (b *Balancer) pickInScope(r *request, scope []*host) *host {
	for n := 0; len(scope) > largeScope && n < maxDraws; n++ {
		x, y := scope[b.rand(len(scope))], scope[b.rand(len(scope))]
		if x != y && b.readySetOf(x) == setReady && b.readySetOf(y) == setReady &&
			!b.excludedFor(x, r.Class) && !b.excludedFor(y, r.Class) {
			return b.lessLoaded(r, x, y)
		}
	}
	var counts subsetCounts
	excluded := 0
	for _, h := range scope {
		if h.State == Ready && b.excludedFor(h, r.Class) {
			excluded++
		} else if h.State == Ready {
			ejected := b.ejected(h)
			broken := ejected && h.ejectCause == CauseConnectionsFailed
			counts.add(standing{ready: true, ejected: ejected, broken: broken}, 1)
		}
	}
	sets, useExcluded := b.usableSets(counts, excluded)
	b.candidates = b.candidates[:0]
	gather := func(set, n int) {
		for _, h := range scope {
			if s := b.readySetOf(h); s >= set && s < set+n && (useExcluded || !b.excludedFor(h, r.Class)) {
				b.candidates = append(b.candidates, h)
			}
		}
	}
	if gather(setReady, sets); len(b.candidates) == 0 {
		gather(setDoubtful, 1)
	}
	return b.chooseCandidate(r)
}

// readySetOf returns which of the first four sets a host belongs to, whether or not it is in the subset.
func (b *Balancer) readySetOf(h *host) int {
	ejected := b.ejected(h)
	switch {
	case h.State != Ready || b.pacedBySlowStart(h):
		return setNone
	case b.atLimit(h):
		if !ejected && b.suspected(h) {
			return setDoubtful
		}
		return setNone
	case !ejected:
		return setReady
	case h.ejectCause == CauseConnectionsFailed:
		return setBroken
	}
	return setSilent
}

// score returns the score of a host for a class: its RTT estimate now x (own attempts in flight + 1). An
// error in the class is a penalty there alone: other classes may be served well.
func (b *Balancer) score(h *host, class int) float64 {
	rtt := b.estimatedRTT(h)
	if f := &h.class[class]; f.share > 0 {
		rtt = max(rtt, b.penalty*math.Exp(-(b.now-f.at).Seconds()/b.currentDecay()))
	}
	return rtt * float64(h.inFlight+1)
}

// estimatedRTT returns the RTT estimate decayed toward zero, so that a host that was penalized and then
// left alone drifts back into use.
func (b *Balancer) estimatedRTT(h *host) float64 {
	if !h.sampled {
		return b.initialRTT(h) * b.estimateWeight(h)
	}
	return h.rtt * b.estimateWeight(h)
}

// initialRTT returns the RTT of a host without a sample: that of others of its kind, or of any others; it
// must not look idle. A restarted instance has a default.
func (b *Balancer) initialRTT(h *host) float64 {
	if h.Kind >= 0 && h.Kind < len(b.kindRTT) && b.kindRTT[h.Kind].seen {
		return b.kindRTT[h.Kind].mean
	}
	if b.anyRTT.seen {
		return b.anyRTT.mean
	}
	return initialRTTShare * b.shortestObjective.Seconds()
}

// normalizeRTT adds a good response to the typical RTTs of its class and kind of host, and returns its RTT
// as one of a typical class: a host that last served a slow class must not look slow for it.
func (b *Balancer) normalizeRTT(a *attempt, rtt float64) float64 {
	b.classRTT[a.req.Class].addLong(rtt)
	b.anyRTT.add(rtt)
	rtt *= b.anyRTT.mean / b.classRTT[a.req.Class].mean
	if k := a.host.Kind; k >= 0 && k <= maxKinds {
		for len(b.kindRTT) <= k {
			b.kindRTT = append(b.kindRTT, movingAverage{})
		}
		b.kindRTT[k].add(rtt)
	}
	return rtt
}

// estimateWeight returns the weight that a host's estimate has kept since its last sample.
func (b *Balancer) estimateWeight(h *host) float64 {
	return math.Exp(-(b.now - h.rttAt).Seconds() / b.currentDecay())
}

// addSample adds an RTT to a host's estimate: above the estimate decayed to now it replaces it, below it is
// blended in.
func (b *Balancer) addSample(h *host, rtt float64) {
	w, old := b.estimateWeight(h), h.rtt
	if !h.sampled {
		old = b.initialRTT(h)
	}
	if old *= w; rtt > old {
		h.rtt = rtt
	} else {
		h.rtt = old + rtt*(1-w)
	}
	h.rttAt, h.sampled = b.now, true
}
