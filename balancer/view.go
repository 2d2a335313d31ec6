package balancer

// HostView is what a Balancer holds of one host at an instant, for whoever looks on.
type HostView struct {
	Host       HostID
	State      HostState
	Drawn      bool    // it is among those that this instance draws from
	Cold       bool    // it started less than WarmAfter ago
	Overdue    bool    // its oldest attempt has taken long, it gets no other
	Pending    int     // attempts out
	Limit      float64 // attempts it may hold from this instance
	Mean       float64 // RTT of its last answers, in aims
	Estimate   float64 // RTT that it is chosen by, in seconds
	Why        Cause   // of its last ejection
	Fails      int     // ejections since its last answer; 0: it is not out
	EjectUntil Time    // it is out until then, and then for all but one trial
	RestUntil  Time    // it gets nothing before, as its limit is below one
	ColdNext   Time    // while it is cold: earliest next attempt
	Shunned    uint64  // bit i: it gets no more of class i for now (of the first 64)
}

// Views appends what the Balancer holds of each host, as of its last event.
func (b *Balancer) Views(dst []HostView) []HostView {
	for _, h := range b.hosts {
		v := HostView{
			Host: h.ID, State: h.State, Drawn: h.drawn(), Cold: h.cold, Overdue: h.overdue(b.now),
			Pending: h.pending, Limit: h.limit, Mean: h.lat.mean, Estimate: b.estimate(h),
			Why: h.why, Fails: h.fails, EjectUntil: h.ejectUntil, RestUntil: h.restUntil, ColdNext: h.coldNext,
		}
		for i := range h.class {
			if i < 64 && b.shunned(h, i) {
				v.Shunned |= 1 << i
			}
		}
		dst = append(dst, v)
	}
	return dst
}

// Held says what keeps a host from the next request, in a word; "" means nothing does.
func (v *HostView) Held(now Time) string {
	switch {
	case v.State == Removed:
		return "gone"
	case v.State == Draining:
		return "draining"
	case !v.Drawn:
		return "not drawn"
	case v.Fails > 0 && now < v.EjectUntil:
		return "ejected"
	case v.Cold && now < v.ColdNext:
		return "cold"
	case now < v.RestUntil:
		return "resting"
	case v.Overdue:
		return "overdue"
	case v.Pending > 0 && float64(v.Pending+1) > v.Limit:
		return "full"
	}
	return ""
}

// Waiting is the number of requests that wait for a host, and Bound the sends a second
// that the Balancer allows itself, 0 where nothing binds it.
func (b *Balancer) Waiting() (waiting int, bound float64) { return b.queued, b.bound }

// overdue says whether the oldest attempt at a host has taken overdueAims.
func (h *host) overdue(now Time) bool {
	a, held := h.oldest()
	return held > 0 && float64(now-a.sent) > overdueAims*float64(a.req.class.Aim)
}

// Listed appends the hosts as listed, those that have left but still hold attempts
// included.
func (b *Balancer) Listed(dst []Host) []Host {
	for _, h := range b.hosts {
		dst = append(dst, h.Host)
	}
	return dst
}

// Usable is how many of the hosts that this Balancer draws from are ready and have answered
// since they were last ejected, if they ever were, and how many are ready. It costs the same
// however many there are, and says nothing (0 of 0) before the first request after a new list.
func (b *Balancer) Usable() (usable, ready int) {
	return b.tally.listed - b.tally.failing, b.tally.listed
}
