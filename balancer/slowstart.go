package balancer

const (
	// slowStartBudgetShare is the share of a warming host's capacity that is used, as that is an estimate and
	// the work of requests varies.
	slowStartBudgetShare = 0.5
	// slowStartJitterMin is the least factor of chance in the time between two attempts at a warming host.
	slowStartJitterMin = 0.5
	// rateSpanWindows is the span of the rates of requests, attempts and responses, in overload windows.
	rateSpanWindows = 4
)

// slowStartPacer decides how often a warming host, one that has just started, is sent an attempt, so that
// all instances together stay within the capacity that it has yet. Its input is the rate of good responses
// that this instance gets from a warm host, in responses a second.
type slowStartPacer struct {
	successes    decayingRate  // good responses of warm hosts a second
	warmHostRate movingAverage // the same of one warm host
}

// slowStart is the state of one warming host.
type slowStart struct {
	warming   bool // it started less than SlowStartWindow ago
	startedAt Time
	nextSend  Time // earliest next attempt; 0: not set yet
}

// paced reports whether a warming host gets nothing now.
func (s *slowStart) paced(now Time) bool { return s.warming && now < s.nextSend }

// observe counts a good response of a warm host, of which this instance uses a number. The span of the rate
// is in seconds.
func (p *slowStartPacer) observe(now Time, span float64, hosts int) {
	p.successes.add(now, span)
	p.warmHostRate.add(p.successes.now(now, span) / float64(hosts))
}

// observeWarmHost counts a good response of a host, unless it is warming itself.
func (b *Balancer) observeWarmHost(host *host) {
	if host.slowStart.warming || b.counts.inUse == 0 {
		return
	}
	b.pacer.observe(b.now, b.rateSpan(), b.counts.inUse)
}

// rateSpan returns the span of rates, in seconds.
func (b *Balancer) rateSpan() float64 { return rateSpanWindows * b.settings.OverloadWindow.Seconds() }

// startSlowStart marks a host as warming since its start. The first attempt waits its turn too, as a host
// that leaves the list and returns may have been sent to just before; it is paced once the whole list is
// known.
func (b *Balancer) startSlowStart(host *host, since Time) {
	if b.settings.SlowStartShare >= 1 || b.now-since >= b.settings.SlowStartWindow {
		return
	}
	host.slowStart = slowStart{warming: true, startedAt: since}
}

// endSlowStart ends the slow start of a host once its window is over.
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

// paceSlowStart sets when a warming host may be sent the next attempt. What this instance gets from a warm
// host, times the instances that share it, is within a warm host's capacity. The share of that which a
// warming host has, times the overload factor, divided by the instances that share the host, is this
// instance's part. It is spread by chance, so that instances that learn of the host at once do not send at
// once. With nothing learnt yet, as after a restart, all instances together send one request in an overload
// window.
func (b *Balancer) paceSlowStart(host *host) {
	instances := b.sharingInstances()
	capacity := b.pacer.warmHostRate.mean * instances * b.settings.OverloadFactor * b.warmingShare(host)
	budget := max(capacity*slowStartBudgetShare, 1/b.settings.OverloadWindow.Seconds())
	rate := budget / instances
	delay := nanosecondsPerSecond / rate * (slowStartJitterMin + b.random.unit())
	host.slowStart.nextSend = b.now + Time(delay)
}
