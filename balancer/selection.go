package balancer

// Host selection is a failure-aware peak EWMA with two random choices: of two random ready hosts, the one
// with the lower RTT estimate x (own attempts in flight + 1) gets the request. Hosts are drawn from the
// selection sets (hostset.go): the ready hosts, and if most hosts are ejected, the ejected ones as well.

const (
	// maxDraws is the number of times that two hosts are drawn before all ready hosts are gathered. Many of
	// the hosts in a set may have become unready since its last update.
	maxDraws = 32
	// untriedDraws is the number of draws in which a pair of hosts that have both failed the request is
	// skipped.
	untriedDraws = maxDraws / 2
	// largeScopeHosts is the size of a deduplication scope above which pairs are drawn before all its hosts
	// are gathered.
	largeScopeHosts = 64
)

// eligibleSets is a range of selection sets from which the host for a request may be chosen.
type eligibleSets struct {
	first           setKind
	count           int
	includeExcluded bool // hosts that are excluded for the class are eligible as well
}

// Ranges of selection sets. They rely on the order of the setKind values.
var (
	readyHosts     = eligibleSets{first: setReady, count: 1}
	readyOrSilent  = eligibleSets{first: setReady, count: 2} // excludes hosts to which connections fail
	readyOrEjected = eligibleSets{first: setReady, count: 3}
	// readyEjectedOrExcluded is used for a class to which every host responds with errors.
	readyEjectedOrExcluded = eligibleSets{first: setReady, count: 3, includeExcluded: true}
	// suspectedHosts is used if no host is ready. It is not known whether these hosts are silent or are
	// processing a single expensive request.
	suspectedHosts = eligibleSets{first: setSuspected, count: 1}
)

// contains reports whether the range contains the set.
func (e eligibleSets) contains(set setKind) bool { return set >= e.first && set < e.end() }

// end returns the set after the last one of the range.
func (e eligibleSets) end() setKind { return e.first + setKind(e.count) }

// pick returns the host for a request, or nil if none is ready. A request that may have run and must not
// run twice gets no host; one with an idempotency key gets a host of the scope that drops duplicates.
func (b *Balancer) pick(request *request) *host {
	if !b.withinSendRate(request) || !b.maySend(request) {
		return nil
	}
	b.refreshSubset()
	first := request.firstThatMayRun()
	if request.class.Idempotency == IdempotentWithKey && first != nil {
		scope := b.hostsInScope(request.class.DedupScope, first) // may include hosts outside the subset
		return b.pickInScope(request, scope)
	}
	excluded := &b.excluded[request.Class]
	counts := subsetCounts{
		ready:       b.counts.ready - excluded.ready,
		ejected:     b.counts.ejected - excluded.ejected,
		unreachable: b.counts.unreachable - excluded.unreachable,
	}
	host := b.draw(request, b.eligibleSets(counts, excluded.ready))
	if host != nil {
		return host
	}
	// Before it is queued, a request that can be retried is sent to a suspected host; the result shows
	// whether that host is silent. Otherwise hosts that are idle except for one expensive request each
	// would be unavailable to the whole fleet.
	if request.class.Idempotency == NonIdempotent {
		return nil
	}
	return b.draw(request, suspectedHosts)
}

// draw chooses among the hosts of the eligible sets. The result is distributed as if the ready ones had
// been gathered first: it draws pairs and skips those with hosts that are no longer ready. If no pair was
// usable in maxDraws draws, the usable hosts are gathered.
func (b *Balancer) draw(request *request, eligible eligibleSets) *host {
	for try := range maxDraws {
		total := b.sets.total(eligible)
		if total == 0 {
			return nil
		}
		i, j := b.random.twoBelow(total)
		x := b.sets.at(eligible.first, i)
		y := b.sets.at(eligible.first, j)
		if b.updateBusyPair(x, y) {
			continue
		}
		bothTried := request.tried(x) && request.tried(y)
		if bothTried && try < untriedDraws {
			continue
		}
		if b.bothUsable(x, y, request.Class, eligible) {
			return b.lessLoaded(request, x, y)
		}
	}
	b.gatherFromSets(request, eligible)
	return b.chooseCandidate(request)
}

// updateBusyPair calls updateBusyHost for two hosts, for the second one only if the first has not moved,
// and reports whether one has moved.
func (b *Balancer) updateBusyPair(x, y *host) (moved bool) {
	if b.updateBusyHost(x) {
		return true
	}
	return y != x && b.updateBusyHost(y)
}

// bothUsable reports whether two hosts are both usable for a class.
func (b *Balancer) bothUsable(x, y *host, class int, eligible eligibleSets) bool {
	return b.usable(x, class, eligible) && b.usable(y, class, eligible)
}

// usable reports whether a host is not excluded for a class, or excluded hosts are eligible.
func (b *Balancer) usable(host *host, class int, eligible eligibleSets) bool {
	return eligible.includeExcluded || !b.excludedFor(host, class)
}

// gatherFromSets sets b.candidates to the hosts of the eligible sets that are still ready. It iterates
// backward, because a host that leaves its set is replaced by the last one.
func (b *Balancer) gatherFromSets(request *request, eligible eligibleSets) {
	b.candidates = b.candidates[:0]
	for set := eligible.first; set < eligible.end(); set++ {
		for i := len(b.sets[set].list) - 1; i >= 0; i-- {
			host := b.sets[set].list[i]
			moved := b.updateBusyHost(host)
			if !moved && b.usable(host, request.Class, eligible) {
				b.candidates = append(b.candidates, host)
			}
		}
	}
}

// chooseCandidate returns the less loaded of two random candidates, or nil if there are none.
func (b *Balancer) chooseCandidate(request *request) *host {
	if len(b.candidates) == 0 {
		return nil
	}
	i, j := b.random.twoBelow(len(b.candidates))
	return b.lessLoaded(request, b.candidates[i], b.candidates[j])
}

// lessLoaded returns the host with the lower score. A host that has not been sent the request is preferred
// to one that has, so that a request does not use up its attempts at failing hosts.
func (b *Balancer) lessLoaded(request *request, x, y *host) *host {
	triedX := request.tried(x)
	triedY := request.tried(y)
	switch {
	case triedX && !triedY:
		return y
	case triedY && !triedX:
		return x
	case y != x && b.score(y, request.Class) < b.score(x, request.Class):
		return y
	}
	return x
}

// eligibleSets returns the sets that a request may use. counts covers the hosts that are not excluded for
// its class, and excluded is the number of those that are. If most hosts are ejected, selection fails open:
// the cause is then more likely the network or the load than the individual hosts, and the few remaining
// hosts must not receive all requests. Hosts to which connections fail are left out, unless connections to
// all hosts fail, because a request would quickly use up its attempts there.
func (b *Balancer) eligibleSets(counts subsetCounts, excluded int) eligibleSets {
	if counts.ready == 0 && excluded > 0 {
		return readyEjectedOrExcluded // all hosts return errors, so none is preferable
	}
	mostEjected := 2*counts.ejected > counts.ready
	if !mostEjected {
		return readyHosts
	}
	b.log(logFailOpen, "failing open: %d of %d hosts are ejected", counts.ejected, counts.ready)
	allUnreachable := counts.unreachable == counts.ready
	if allUnreachable {
		return readyOrEjected
	}
	return readyOrSilent
}

// pickInScope is pick for the hosts of a scope, which need not be in the subset. If the scope is large,
// pairs are drawn first, and the hosts are gathered only if no drawn pair is ready.
func (b *Balancer) pickInScope(request *request, scope []*host) *host {
	if len(scope) > largeScopeHosts {
		host := b.drawFromScope(request, scope)
		if host != nil {
			return host
		}
	}
	counts, excluded := b.countScope(request, scope)
	eligible := b.eligibleSets(counts, excluded)
	b.gatherFromScope(request, scope, eligible)
	if len(b.candidates) == 0 {
		suspected := suspectedHosts // unlike pick, includes excluded hosts if all are excluded for the class
		suspected.includeExcluded = eligible.includeExcluded
		b.gatherFromScope(request, scope, suspected)
	}
	return b.chooseCandidate(request)
}

// drawFromScope draws pairs of hosts from a scope up to maxDraws times, and returns nil if no pair is
// ready.
func (b *Balancer) drawFromScope(request *request, scope []*host) *host {
	for range maxDraws {
		x := scope[b.random.below(len(scope))]
		y := scope[b.random.below(len(scope))]
		bothReady := x != y && b.selectionSetOf(x) == setReady && b.selectionSetOf(y) == setReady
		if bothReady && b.bothUsable(x, y, request.Class, readyHosts) {
			return b.lessLoaded(request, x, y)
		}
	}
	return nil
}

// countScope counts the hosts of a scope that are not excluded for the class of the request, and the
// excluded ones.
func (b *Balancer) countScope(request *request, scope []*host) (counts subsetCounts, excluded int) {
	for _, host := range scope {
		if host.State != Ready {
			continue
		}
		if b.excludedFor(host, request.Class) {
			excluded++
			continue
		}
		ejected := b.ejected(host)
		unreachable := ejected && host.ejection.connectionsFail()
		counts.add(standing{ready: true, ejected: ejected, unreachable: unreachable}, 1)
	}
	return counts, excluded
}

// gatherFromScope sets b.candidates to the hosts of a scope that belong to the eligible sets.
func (b *Balancer) gatherFromScope(request *request, scope []*host, eligible eligibleSets) {
	b.candidates = b.candidates[:0]
	for _, host := range scope {
		if eligible.contains(b.selectionSetOf(host)) && b.usable(host, request.Class, eligible) {
			b.candidates = append(b.candidates, host)
		}
	}
}
