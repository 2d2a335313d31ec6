package balancer

// Slow start: a host that has just started is sent little by all instances together.

const (
	slowStartMargin = 0.5 // share of the slow-start budget that is used: rates are estimates and work varies
	rateWindows     = 4   // span of a rate, in overload windows
)

func (b *Balancer) rateSpan() float64 { return rateWindows * b.set.OverloadWindow.Seconds() }

// startSlowStart marks a host as warming since its start. The first send waits its turn too, as a host that
// leaves the list and returns may have been sent to just before.
func (b *Balancer) startSlowStart(h *host, since Time) {
	if b.set.SlowStartShare < 1 && b.now-since < b.set.SlowStartWindow {
		h.warming, h.startedAt, h.nextSlowStartSend = true, since, 0 // paced once the whole list is known
	}
}

// pacedBySlowStart reports whether a warming host gets nothing now, so that all instances together stay
// within its budget.
func (b *Balancer) pacedBySlowStart(h *host) bool {
	return h.warming && b.now < h.nextSlowStartSend
}

// paceSlowStart sets when a warming host may be sent the next attempt. What this instance gets from a warm
// host, times the instances that share that, is within a warm host's capacity. The share of it that a
// warming host has, times the overload factor, divided by the instances that share the host, is this
// instance's part. It is spread by chance, so that instances that learn of the host at once do not send at
// once. With nothing learnt yet, as after a restart, all instances together send one request in an overload
// window.
func (b *Balancer) paceSlowStart(h *host) {
	first, window := b.set.SlowStartShare, float64(b.set.SlowStartWindow)
	share := first + (1-first)*float64(b.now-h.startedAt)/window
	warm := b.warmHostRate.mean * b.sharingInstances() * b.set.OverloadFactor * share * slowStartMargin
	rate := max(warm, 1/b.set.OverloadWindow.Seconds()) / b.sharingInstances()
	h.nextSlowStartSend = b.now + Time(1e9/rate*(0.5+b.float()))
}
