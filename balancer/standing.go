package balancer

// The states of a host, of which it may have several. An instant is on the Balancer's clock, an age
// counts from the Send action, an objective is the latency objective of the attempt's class. Shown is the
// letter in `dunemoorctl flight show` (HostView.Unavailable), a field of HostView, or Balancer.Usable.
//
//	state        condition                             unit       ends when                      shown as
//	draining     listed as Draining                               listed as Ready                d
//	outside      not in this instance's subset                    the subset moves (subset.go)   -
//	ejected      ejection.count > 0, and before until  instant    until; then one trial request, X or S
//	             or with its trial request in flight              and any response is the end
//	 unreachable cause CauseConnectionsFailed                                                    X
//	 silent      cause CauseSilent                                                               S
//	unrecovered  ejection.count > 0                    ejections  the host responds              Usable
//	warming      started within SlowStartWindow        duration   SlowStartWindow is over        Warming
//	paced        warming, before slowStart.nextSend    instant    nextSend                       c
//	resting      before limiter.restingUntil           instant    restingUntil                   r
//	full         attempts in flight + 1 > limit        attempts   an attempt ends, limit grows   f
//	overdue      oldest attempt not overtaken is older objectives it ends or is overtaken        o
//	             than overdueObjectives
//	suspected    only attempt not overtaken is older   duration   it ends or is overtaken, or    nothing
//	             than silenceTimeout; not resting                 another is sent
//	excluded     for a class, before excludedUntil     instant    excludedUntil, good responses  ExcludedFor
//
// The letters X and S end at until, though the host's trial request may still be in flight. An attempt is
// overtaken once its host has given overtakenResponses responses to later ones (stalled.go), and stalled if
// in addition it is older than silenceTimeout and stalledObjectives.

// standing is what a host counts as in the subset.
type standing struct {
	ready       bool // it is in the subset, and listed as ready
	inUse       bool // neither warming nor ejected
	ejected     bool
	unreachable bool // ejected, as connections to it fail
	unrecovered bool // without a response since it was ejected
}

// subsetCounts counts the hosts of the subset by standing.
type subsetCounts struct{ ready, inUse, ejected, unreachable, unrecovered int }

// add counts n hosts of a standing.
func (c *subsetCounts) add(counted standing, n int) {
	if counted.ready {
		c.ready += n
	}
	if counted.inUse {
		c.inUse += n
	}
	if counted.ejected {
		c.ejected += n
	}
	if counted.unreachable {
		c.unreachable += n
	}
	if counted.unrecovered {
		c.unrecovered += n
	}
}

// selectionSetOf decides which selection set a host belongs to, whether or not it is in the subset. Its
// inputs are the host's listed state, slow start, concurrency limit and ejection, in this order.
func (b *Balancer) selectionSetOf(host *host) setKind {
	if host.State != Ready || host.slowStart.paced(b.now) {
		return setNone
	}
	ejected := b.ejected(host)
	if !b.acceptsAttempts(host) {
		if !ejected && b.suspected(host) {
			return setSuspected
		}
		return setNone
	}
	switch {
	case !ejected:
		return setReady
	case host.ejection.connectionsFail():
		return setUnreachable
	}
	return setSilent
}

// isInUse reports whether a host of the subset counts toward its size: one that is warming or ejected does
// not.
func (b *Balancer) isInUse(host *host) bool { return !host.slowStart.warming && !b.ejected(host) }

// standingOf returns what a host counts as now.
func (b *Balancer) standingOf(host *host) standing {
	ready := host.inSubset() && host.State == Ready
	if !ready {
		return standing{}
	}
	ejected := b.ejected(host)
	return standing{
		ready:       true,
		inUse:       b.isInUse(host),
		ejected:     ejected,
		unreachable: ejected && host.ejection.connectionsFail(),
		unrecovered: host.ejection.count > 0,
	}
}

// updateStanding puts a host into the set that it belongs to and updates the counts. It is called after each
// event that concerns the host, and at the times that nextStandingChange gives.
func (b *Balancer) updateStanding(host *host) {
	if host.slowStart.warming {
		b.updateRingStatus(host)
	}
	counted := b.standingOf(host)
	set := setNone
	if counted.ready {
		set = b.selectionSetOf(host)
	}
	b.sets.move(host, set)
	if host.hasErrors {
		b.countExclusions(host, counted)
	}
	if counted != host.counted {
		b.counts.add(host.counted, -1)
		b.counts.add(counted, 1)
		host.counted = counted
	}
	b.dueStandings.schedule(host, b.nextStandingChange(host))
}

// countExclusions updates, for each class, whether a host counts as excluded, given its standing now.
func (b *Balancer) countExclusions(host *host, counted standing) {
	for class := range host.errors {
		errors := &host.errors[class]
		if errors.counted {
			b.excluded[class].add(host.counted, -1)
		}
		errors.counted = errors.excluded(b.now)
		if errors.counted {
			b.excluded[class].add(counted, 1)
		}
	}
}

// nextStandingChange returns the next time at which a host's standing may change without an event; forever:
// none.
func (b *Balancer) nextStandingChange(host *host) Time {
	next := forever
	consider := func(at Time) {
		if at > b.now {
			next = min(next, at)
		}
	}
	if host.ejection.count > 0 {
		consider(host.ejection.until)
	}
	if host.slowStart.warming {
		consider(host.slowStart.nextSend)
		consider(host.slowStart.startedAt + b.settings.SlowStartWindow)
	}
	consider(host.limiter.restingUntil)
	oldest, notOvertaken := host.oldestNotOvertaken()
	if notOvertaken == 1 {
		consider(oldest.sentAt + b.silenceTimeout(oldest.request)) // the host may be suspected from then on
	}
	if host.hasErrors {
		for class := range host.errors {
			consider(host.errors[class].excludedUntil)
		}
	}
	return next
}

// updateBusyHost updates a host with attempts in flight, as time has passed, and reports whether it moved to
// another set.
func (b *Balancer) updateBusyHost(host *host) (moved bool) {
	if host.inFlight == 0 {
		return false
	}
	before := host.sets.selectionSet
	b.updateStanding(host)
	return host.sets.selectionSet != before
}

// updateDueStandings updates the hosts whose standing may have changed without an event.
func (b *Balancer) updateDueStandings() {
	for b.dueStandings.firstIsDue(b.now) {
		b.updateStanding(b.dueStandings.hosts[0])
	}
}
