package balancer

const (
	// slowStartBudgetShare is the share of the estimated capacity of a warming host that is used. It leaves
	// a margin because the capacity is an estimate and the cost of requests varies.
	slowStartBudgetShare = 0.5
	// slowStartJitterMin is the lower bound of the random factor applied to the interval between two
	// attempts at a warming host.
	slowStartJitterMin = 0.5
	// rateSpanWindows is the time constant of the rates of requests, attempts and responses, in overload
	// windows.
	rateSpanWindows = 4
)

// slowStartPacer determines how often a warming host, that is, a recently started one, is sent an attempt,
// so that all instances together stay within its current capacity. Its input is the rate of successful
// responses that this instance gets from a warm host, per second.
type slowStartPacer struct {
	successes    decayingRate  // successful responses of all warm hosts per second
	warmHostRate movingAverage // successful responses of a single warm host per second
}

// slowStart is the slow-start state of a host.
type slowStart struct {
	warming   bool // the host started less than SlowStartWindow ago
	startedAt Time
	nextSend  Time // earliest time of the next attempt; 0 until it is set
}

// paced reports whether a warming host must not be sent an attempt yet.
func (s *slowStart) paced(now Time) bool { return s.warming && now < s.nextSend }

// observe counts a successful response of a warm host. hosts is the number of warm hosts that this instance
// uses, and span the time constant of the rate in seconds.
func (p *slowStartPacer) observe(now Time, span float64, hosts int) {
	p.successes.add(now, span)
	p.warmHostRate.add(p.successes.now(now, span) / float64(hosts))
}

// observeWarmHost counts a successful response of a host, unless the host is warming.
func (b *Balancer) observeWarmHost(host *host) {
	if host.slowStart.warming || b.counts.inUse == 0 {
		return
	}
	b.pacer.observe(b.now, b.rateSpan(), b.counts.inUse)
}

// rateSpan returns the time constant of rates in seconds.
func (b *Balancer) rateSpan() float64 { return rateSpanWindows * b.settings.OverloadWindow.Seconds() }

// startSlowStart marks a host as warming since its start. Its first attempt is delayed as well, because a
// host that left the list and returned may have been sent an attempt just before. The delay is set once the
// whole list has been applied.
func (b *Balancer) startSlowStart(host *host, since Time) {
	if b.settings.SlowStartShare >= 1 || b.now-since >= b.settings.SlowStartWindow {
		return
	}
	host.slowStart = slowStart{warming: true, startedAt: since}
}

// endSlowStart ends the slow start of a host if its window has passed.
func (b *Balancer) endSlowStart(host *host) {
	warmedUp := b.now-host.slowStart.startedAt >= b.settings.SlowStartWindow
	if host.slowStart.warming && warmedUp {
		host.slowStart.warming = false
	}
}

// warmingShare returns the share of its capacity that a warming host has now. It grows linearly over the
// slow-start window.
func (b *Balancer) warmingShare(host *host) float64 {
	first := b.settings.SlowStartShare
	age := float64(b.now - host.slowStart.startedAt)
	return first + (1-first)*age/float64(b.settings.SlowStartWindow)
}

// paceSlowStart sets the earliest time of the next attempt at a warming host. The rate that this instance
// gets from a warm host, times the number of instances that share it, is within the capacity of a warm
// host. That capacity, times the current share of the warming host, times the overload factor and
// slowStartBudgetShare, is the budget of the host; each of the instances that share it gets an equal part.
// The interval is random, so that instances that receive the same endpoint list at the same time do not
// send at the same time. If no rate is known, as after a restart, all instances together send one request
// per overload window.
func (b *Balancer) paceSlowStart(host *host) {
	instances := b.sharingInstances()
	capacity := b.pacer.warmHostRate.mean * instances * b.settings.OverloadFactor * b.warmingShare(host)
	budget := max(capacity*slowStartBudgetShare, 1/b.settings.OverloadWindow.Seconds())
	rate := budget / instances
	delay := nanosecondsPerSecond / rate * (slowStartJitterMin + b.random.unit())
	host.slowStart.nextSend = b.now + Time(delay)
}
