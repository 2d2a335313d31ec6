package balancer

// The states of a host. A host can be in several of them. An instant is a time on the Balancer's clock, the
// age of an attempt counts from its Send action, and an objective is the latency objective of its class.
// The last column is the letter in `dunemoorctl flight show` (from HostView.Unavailable), a field of
// HostView, or Balancer.Usable.
//
//	state        condition                             unit       ends when                      shown as
//	draining     listed as Draining                               listed as Ready                d
//	outside      not in this instance's subset                    the subset moves (subset.go)   -
//	ejected      ejection.count > 0, and before until  instant    until; then one trial request, X or S
//	             or with its trial request in flight              and any response ends it
//	 unreachable cause CauseConnectionsFailed                                                    X
//	 silent      cause CauseSilent                                                               S
//	unrecovered  ejection.count > 0                    ejections  the host responds              Usable
//	warming      started within SlowStartWindow        duration   SlowStartWindow has passed     Warming
//	paced        warming, before slowStart.nextSend    instant    nextSend                       c
//	resting      before limiter.restingUntil           instant    restingUntil                   r
//	full         attempts in flight > 0, and           attempts   an attempt ends, limit grows   f
//	             attempts in flight + 1 > limit
//	overdue      oldest attempt not overtaken is older objectives it ends or is overtaken        o
//	             than overdueObjectives
//	suspected    only attempt not overtaken is older   duration   it ends or is overtaken, or    nothing
//	             than silenceTimeout; not resting                 another is sent
//	excluded     for a class, before excludedUntil     instant    excludedUntil, good responses  ExcludedFor
//
// The letters X and S are shown only before ejection.until; a trial request in flight after that has no
// letter. An attempt is overtaken once its host has given overtakenResponses successful responses to later
// attempts (stalled.go), and stalled if it is also older than silenceTimeout and stalledObjectives. While
// too many stalled attempts stay unanswered, overtaken attempts do not count for full (acceptsAttempts).

// standing is the status with which a host is included in subsetCounts.
type standing struct {
	ready       bool // the host is in the subset, and Ready in the endpoint list
	inUse       bool // the host is neither warming nor ejected
	ejected     bool
	unreachable bool // the host is ejected with CauseConnectionsFailed
	unrecovered bool // the host has not responded since it was ejected
}

// subsetCounts contains the number of hosts of the subset by standing.
type subsetCounts struct{ ready, inUse, ejected, unreachable, unrecovered int }

// add adds n hosts with the given standing to the counts.
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

// selectionSetOf returns the selection set for a host, whether or not the host is in the subset. It depends
// on the listed state, slow start, concurrency limit and ejection of the host, in this order.
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

// isInUse reports whether a host of the subset counts toward the subset size. Warming and ejected hosts do
// not.
func (b *Balancer) isInUse(host *host) bool { return !host.slowStart.warming && !b.ejected(host) }

// standingOf returns the current standing of a host.
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

// updateStanding moves a host to its selection set and updates the counts. It must be called after each
// event that concerns the host, and at the times that nextStandingChange returns.
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

// countExclusions updates, for each class, the counts of excluded hosts for a host and its new standing.
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

// nextStandingChange returns the next time at which the standing of a host may change without an event, or
// forever. It does not cover a host that becomes overdue: updateBusyHost and the sweep (checkBusyHosts)
// detect that.
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

// updateBusyHost updates the standing of a host with attempts in flight, which may change with time alone.
// It reports whether the host moved to another set.
func (b *Balancer) updateBusyHost(host *host) (moved bool) {
	if host.inFlight == 0 {
		return false
	}
	before := host.sets.selectionSet
	b.updateStanding(host)
	return host.sets.selectionSet != before
}

// updateDueStandings updates the hosts for which the time returned by nextStandingChange has come.
func (b *Balancer) updateDueStandings() {
	for b.dueStandings.firstIsDue(b.now) {
		b.updateStanding(b.dueStandings.hosts[0])
	}
}
