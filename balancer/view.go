package balancer

// HostView is a snapshot of the state of one host in a Balancer, for monitoring.
type HostView struct {
	Host              HostID
	State             HostState
	InSubset          bool    // the host is in the subset of this instance
	Warming           bool    // the host started less than SlowStartWindow ago
	Overdue           bool    // the oldest attempt is overdue, and the host receives no further attempts
	InFlight          int     // attempts in flight
	ConcurrencyLimit  float64 // attempts that it may have in flight from this instance
	RecentRTT         float64 // recent mean of relativeRTT (limitSample); the limit falls above 0.375
	EstimatedRTT      float64 // RTT estimate by which it is chosen, in seconds
	Cause             Cause   // cause of its last ejection
	Ejections         int     // ejections since its last response
	EjectedUntil      Time    // end of the backoff; then it receives one trial request
	RestingUntil      Time    // with a limit below one: earliest time of the next attempt
	NextSlowStartSend Time    // while it is warming: earliest time of the next attempt
	ExcludedFor       uint64  // bit i is set if it is excluded for class i, for the first 64 classes
}

// maxViewedClasses is the number of bits of ExcludedFor.
const maxViewedClasses = 64

// Views appends a view of each host, as of the last event.
func (b *Balancer) Views(dst []HostView) []HostView {
	for _, host := range b.hosts {
		dst = append(dst, b.view(host))
	}
	return dst
}

// view returns the view of a host.
func (b *Balancer) view(host *host) HostView {
	view := HostView{
		Host:              host.ID,
		State:             host.State,
		InSubset:          host.inSubset(),
		Warming:           host.slowStart.warming,
		Overdue:           b.hostOverdue(host),
		InFlight:          host.inFlight,
		ConcurrencyLimit:  host.limiter.limit,
		RecentRTT:         host.limiter.recentRTT.mean,
		EstimatedRTT:      b.estimatedRTT(host),
		Cause:             host.ejection.cause,
		Ejections:         host.ejection.count,
		EjectedUntil:      host.ejection.until,
		RestingUntil:      host.limiter.restingUntil,
		NextSlowStartSend: host.slowStart.nextSend,
	}
	for class := range min(len(host.errors), maxViewedClasses) {
		if b.excludedFor(host, class) {
			view.ExcludedFor |= 1 << class
		}
	}
	return view
}

// Unavailable returns a code for the reason why a host cannot receive the next request, or "" if the view
// shows none. Analyses of recordings print the code. It approximates selectionSetOf: it does not cover a
// trial request in flight, a suspected host, an exclusion for the class of the request, or that overtaken
// attempts may not count against the limit.
func (v *HostView) Unavailable(now Time) string {
	inBackoff := v.Ejections > 0 && now < v.EjectedUntil
	paced := v.Warming && now < v.NextSlowStartSend
	full := limitReached(v.InFlight, v.ConcurrencyLimit)
	switch {
	case v.State == Removed:
		return "gone"
	case v.State == Draining:
		return "draining"
	case !v.InSubset:
		return "not drawn"
	case inBackoff:
		return "ejected"
	case paced:
		return "cold"
	case now < v.RestingUntil:
		return "resting"
	case v.Overdue:
		return "overdue"
	case full:
		return "full"
	}
	return ""
}

// Queued returns the number of requests that wait for a host, and the limit on the attempts per second to
// all hosts together, or 0 if there is none. The limit is the one last computed; it does not apply while
// fewer than sendRateMinInstances instances share a host.
func (b *Balancer) Queued() (requests int, sendRate float64) {
	return b.queues.length, b.sendRate.limit
}

// hostOverdue reports whether the oldest attempt at a host that was not overtaken is overdue.
func (b *Balancer) hostOverdue(host *host) bool {
	oldest, _ := host.oldestNotOvertaken()
	return b.overdue(oldest)
}

// Endpoints appends the hosts as listed, and the removed hosts that still have attempts in flight.
func (b *Balancer) Endpoints(dst []Host) []Host {
	for _, host := range b.hosts {
		dst = append(dst, host.Host)
	}
	return dst
}

// Usable returns the number of hosts in the subset that are ready and have responded since they were last
// ejected, and the number that are ready. Its cost does not depend on the number of hosts. Selecting a host
// for a request fills the subset; until the first request after the first list, both are 0.
func (b *Balancer) Usable() (usable, ready int) {
	return b.counts.ready - b.counts.unrecovered, b.counts.ready
}
