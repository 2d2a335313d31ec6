package balancer

// HostView is what a Balancer knows of one host at an instant, for observers.
type HostView struct {
	Host              HostID
	State             HostState
	InSubset          bool    // this instance uses it
	Warming           bool    // it started less than SlowStartWindow ago
	Overdue           bool    // its oldest attempt has taken long, and it gets no other
	InFlight          int     // attempts in flight
	ConcurrencyLimit  float64 // attempts that it may hold from this instance
	RecentRTT         float64 // RTT of its last responses, in objectives
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
	for _, h := range b.hosts {
		v := HostView{
			Host: h.ID, State: h.State, InSubset: h.inSubset(), Warming: h.warming, Overdue: b.hostOverdue(h),
			InFlight: h.inFlight, ConcurrencyLimit: h.concurrencyLimit, RecentRTT: h.recentRTT.mean, EstimatedRTT: b.estimatedRTT(h),
			Cause: h.ejectCause, Ejections: h.ejections, EjectedUntil: h.ejectedUntil, RestingUntil: h.restingUntil,
			NextSlowStartSend: h.nextSlowStartSend,
		}
		for i := range min(len(h.class), maxViewedClasses) {
			if b.excludedFor(h, i) {
				v.ExcludedFor |= 1 << i
			}
		}
		dst = append(dst, v)
	}
	return dst
}

// Unavailable returns what keeps a host from the next request, in a word; "": nothing does.
func (v *HostView) Unavailable(now Time) string {
	switch {
	case v.State == Removed:
		return "gone"
	case v.State == Draining:
		return "draining"
	case !v.InSubset:
		return "not drawn"
	case v.Ejections > 0 && now < v.EjectedUntil:
		return "ejected"
	case v.Warming && now < v.NextSlowStartSend:
		return "cold"
	case now < v.RestingUntil:
		return "resting"
	case v.Overdue:
		return "overdue"
	case v.InFlight > 0 && float64(v.InFlight+1) > v.ConcurrencyLimit:
		return "full"
	}
	return ""
}

// Queued returns the number of requests that wait for a host, and the limit of sends a second that the
// Balancer has set itself, 0 where there is none.
func (b *Balancer) Queued() (requests int, sendRate float64) { return b.queued, b.sendRate }

// hostOverdue reports whether the oldest attempt at a host is overdue.
func (b *Balancer) hostOverdue(h *host) bool {
	oldest, notOvertaken := h.oldest()
	return notOvertaken > 0 && b.overdue(oldest)
}

// Endpoints appends the hosts as listed, with those that were removed and still have attempts in flight.
func (b *Balancer) Endpoints(dst []Host) []Host {
	for _, h := range b.hosts {
		dst = append(dst, h.Host)
	}
	return dst
}

// Usable returns how many hosts of the subset are ready and have responded since they were last ejected, and
// how many are ready. Its cost does not grow with their number. It returns 0 and 0 before the first request
// after a new list.
func (b *Balancer) Usable() (usable, ready int) {
	return b.counts.ready - b.counts.unrecovered, b.counts.ready
}
