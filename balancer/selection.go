package balancer

// Failure-aware peak EWMA with two choices: of two random ready hosts, the one with the lower RTT estimate x
// (own attempts in flight + 1) gets the request. Hosts come from the selection sets (hostset.go): the ready
// ones, and where most hosts are ejected, those too.

const (
	// maxDraws is how many times two hosts are drawn before the ready ones are gathered: of the hosts of
	// a set most may not be ready any more.
	maxDraws = 32
	// untriedDraws is for how many draws two hosts that have failed the request already are passed over.
	untriedDraws = maxDraws / 2
	// largeScopeHosts is the size above which two hosts of a deduplication scope are drawn before it is
	// gathered.
	largeScopeHosts = 64
)

// eligibleSets names the sets of hosts that a request may be sent to.
type eligibleSets struct {
	first           setKind
	count           int
	includeExcluded bool // also hosts that are excluded for the class
}

// The choices of sets. Their order is that of the sets.
var (
	readyHosts     = eligibleSets{first: setReady, count: 1}
	readyOrSilent  = eligibleSets{first: setReady, count: 2} // not those to which connections fail
	readyOrEjected = eligibleSets{first: setReady, count: 3}
	// readyEjectedOrExcluded are for a class that every host answers with errors.
	readyEjectedOrExcluded = eligibleSets{first: setReady, count: 3, includeExcluded: true}
	// suspectedHosts are those of which it is not known whether they are silent or have one costly request.
	suspectedHosts = eligibleSets{first: setSuspected, count: 1}
)

// contains reports whether a set is among them.
func (e eligibleSets) contains(set setKind) bool { return set >= e.first && set < e.end() }

// end returns the set behind the last.
func (e eligibleSets) end() setKind { return e.first + setKind(e.count) }

// pick returns the host for a request; nil: none is ready. A request that may have run and must not run twice
// gets no host, and one with an idempotency key a host of the scope that drops duplicates.
func (b *Balancer) pick(request *request) *host {
	if !b.withinSendRate(request) || !b.maySend(request) {
		return nil
	}
	b.refreshSubset()
	first := request.firstThatMayRun()
	if request.class.Idempotency == IdempotentWithKey && first != nil {
		scope := b.hostsInScope(request.class.DedupScope, first.host) // also outside the subset
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
	// Before it waits, a request that can be retried goes to a suspected host: that shows whether it is
	// silent. It guards against a fleet of hosts that are each idle but for one costly request.
	if request.class.Idempotency == NonIdempotent {
		return nil
	}
	return b.draw(request, suspectedHosts)
}

// draw chooses among the hosts of sets, as if the ready ones were gathered first: it draws, and passes over
// hosts that are not ready any more. After maxDraws draws most are not, and they are gathered.
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

// updateBusyPair updates two hosts as updateBusyHost does, the second only if the first has not moved, and
// reports whether one has moved.
func (b *Balancer) updateBusyPair(x, y *host) (moved bool) {
	if b.updateBusyHost(x) {
		return true
	}
	return y != x && b.updateBusyHost(y)
}

// bothUsable reports whether neither of two hosts is excluded for a class, or that does not matter.
func (b *Balancer) bothUsable(x, y *host, class int, eligible eligibleSets) bool {
	return b.usable(x, class, eligible) && b.usable(y, class, eligible)
}

// usable reports whether a host is not excluded for a class, or that does not matter.
func (b *Balancer) usable(host *host, class int, eligible eligibleSets) bool {
	return eligible.includeExcluded || !b.excludedFor(host, class)
}

// gatherFromSets gathers the hosts of sets that are still ready as the candidates. It goes from the last to
// the first, as a host that leaves its set is replaced by the last.
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

// chooseCandidate returns the less loaded of two random candidates; nil: there is none.
func (b *Balancer) chooseCandidate(request *request) *host {
	if len(b.candidates) == 0 {
		return nil
	}
	i, j := b.random.twoBelow(len(b.candidates))
	return b.lessLoaded(request, b.candidates[i], b.candidates[j])
}

// lessLoaded returns the host with the lower score. One that has failed the request already comes after one
// that has not: it guards against using up a request's attempts at failing hosts.
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

// eligibleSets returns the sets that a request may use, given the counts of hosts that are not excluded for
// its class, and how many are. When most hosts are ejected it fails open: the fault is then more likely the
// network or the load than each host, and the few that are left must not take everything. Hosts to which
// connections fail are spared while any other is up: they would use up a request's attempts in no time.
func (b *Balancer) eligibleSets(counts subsetCounts, excluded int) eligibleSets {
	if counts.ready == 0 && excluded > 0 {
		return readyEjectedOrExcluded // one host is as good as another
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

// pickInScope chooses among the hosts of a scope, in the subset or not, as pick does. Of a large scope
// two are drawn first; it is gathered where one of them is not ready.
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
		suspected := suspectedHosts // unlike in pick, also those excluded for the class, where all are
		suspected.includeExcluded = eligible.includeExcluded
		b.gatherFromScope(request, scope, suspected)
	}
	return b.chooseCandidate(request)
}

// drawFromScope draws two hosts of a scope up to maxDraws times; nil: none of the pairs were both ready.
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

// countScope counts the hosts of a scope that are not excluded for the request's class, and those that are.
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

// gatherFromScope gathers the hosts of a scope that are in one of the sets as the candidates.
func (b *Balancer) gatherFromScope(request *request, scope []*host, eligible eligibleSets) {
	b.candidates = b.candidates[:0]
	for _, host := range scope {
		if eligible.contains(b.selectionSetOf(host)) && b.usable(host, request.Class, eligible) {
			b.candidates = append(b.candidates, host)
		}
	}
}
