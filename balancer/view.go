package balancer

// HostView is what a Balancer knows of one host at an instant, for observers.
type HostView struct {
	Host              HostID
	State             HostState
	InSubset          bool    // it is in the subset of this instance
	Warming           bool    // it started less than SlowStartWindow ago
	Overdue           bool    // its oldest attempt has taken long, and it gets no other
	InFlight          int     // attempts in flight
	ConcurrencyLimit  float64 // attempts that it may have in flight from this instance
	RecentRTT         float64 // mean RTT of its last responses (relativeRTT); above 0.375 the limit falls
	EstimatedRTT      float64 // RTT by which it is chosen, in seconds
	Cause             Cause   // of its last ejection
	Ejections         int     // since its last response; 0: it is not ejected
	EjectedUntil      Time    // it gets nothing until then, and then one trial request
	RestingUntil      Time    // it gets nothing before, as its limit is below one
	NextSlowStartSend Time    // while it is warming: the earliest next attempt
	ExcludedFor       uint64  // bit i: it is excluded for class i (of the first 64)
}

// maxViewedClasses is how many classes ExcludedFor has bits for.
const maxViewedClasses = 64

// Views appends what the Balancer knows of each host, as of its last event.
func (b *Balancer) Views(dst []HostView) []HostView {
	for _, host := range b.hosts {
		dst = append(dst, b.view(host))
	}
	return dst
}

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

// Unavailable returns a code for what keeps a host from the next request; "": nothing that the view has.
// Analyses of recordings print the code. It is an approximation of selectionSetOf: it does not know of a
// trial request in flight, of a suspected host, of an exclusion for the request's class, or that overtaken
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

// Queued returns the number of requests that wait for a host, and the limit of attempts a second to all hosts
// together; 0: not limited. The limit is as last computed: it is not in force while fewer than
// sendRateMinInstances instances share a host.
func (b *Balancer) Queued() (requests int, sendRate float64) {
	return b.queues.length, b.sendRate.limit
}

// hostOverdue reports whether the oldest attempt at a host is overdue.
func (b *Balancer) hostOverdue(host *host) bool {
	oldest, _ := host.oldestNotOvertaken()
	return b.overdue(oldest)
}

// Endpoints appends the hosts as listed, with those that were removed and still have attempts in flight.
func (b *Balancer) Endpoints(dst []Host) []Host {
	for _, host := range b.hosts {
		dst = append(dst, host.Host)
	}
	return dst
}

// Usable returns how many hosts of the subset are ready and have responded since they were last ejected, and
// how many are ready. Its cost does not grow with their number. It returns 0 and 0 before the first request
// after a new list.
func (b *Balancer) Usable() (usable, ready int) {
	return b.counts.ready - b.counts.unrecovered, b.counts.ready
}
