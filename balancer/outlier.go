package balancer

// Outliers: hosts that are ejected, or excluded for a class, as they fail, are silent or answer with errors.

const (
	backoffObjectives           = 2       // first ejection, in shortest latency objectives
	maxBackoffDoublings         = 5       // of an ejection
	silenceDeviations           = 4       // above the mean RTT, after which a host counts as silent
	errorWeight                 = 0.25    // of a response in a host's share of errors in a class
	maxErrorShare               = 0.5     // above which a host is excluded for a class: the third in a row
	maxErrorShareNonIdempotent  = 0.35    // ... of any class, for non-idempotent ones: the second
	recoveredErrorShare         = 0.25    // below which a host counts as recovered
	maxBrokenResponses          = 2       // in a row, from which each of a host counts
	overtakenAfter              = 3       // later responses of its host, after which an attempt is overtaken
	stalledObjectives           = 0.3     // age of an overtaken attempt, in objectives, that is stalled
	unansweredWeight            = 1.0 / 8 // of an attempt in the share of stalled ones never answered
	maxUnansweredShare          = 0.2     // above which they are canceled: a loss costs more than a retry
	minTrialJitter, trialJitter = 0.75, 0.5
)

// ejected reports whether a host is ejected: until its backoff ends, and then for all but one trial request.
func (b *Balancer) ejected(h *host) bool {
	return h.ejections > 0 && (b.now < h.ejectedUntil || h.trialOut)
}

// eject ejects a host, for longer each time in a row.
func (b *Balancer) eject(h *host, cause Cause) {
	if h.ejections > 0 && b.now < h.ejectedUntil {
		return
	}
	h.ejectedUntil = b.now + b.backoff(h.ejections)
	h.ejections++
	h.ejectCause = cause
	if h.ejections == 1 {
		b.log(logEject, "host %x ejected: %s", h.ID, cause)
	}
}

// backoff returns how long a host stays out that has failed so many times before.
func (b *Balancer) backoff(failures int) Time {
	d := float64(backoffObjectives*b.shortestObjective) * float64(int(1)<<min(failures, maxBackoffDoublings))
	return Time(d * (minTrialJitter + trialJitter*b.float()))
}

// readmit ends an ejection: the host has responded.
func (b *Balancer) readmit(h *host) {
	h.lastResponse = b.now
	if h.ejections == 0 {
		return
	}
	h.ejections, h.backoffCut = 0, false
	b.log(logReturn, "host %x is back", h.ID)
}

// HealthCheckPassed reports that an ejected host may be back: its RTT counts as unknown, and its backoff
// ends at a random moment within a time. That happens once until the host responds, as the check may be
// wrong.
func (b *Balancer) HealthCheckPassed(now Time, id HostID, within Time) {
	b.now = now
	if h := b.byID[id]; h != nil && h.ejections > 0 && !h.backoffCut {
		h.ejectedUntil = min(h.ejectedUntil, now+Time(b.float()*float64(within)))
		h.backoffCut, h.sampled = true, false
		b.recheck(h)
	}
}

// excludedFor reports whether a host is excluded for a class, as it answers that with errors.
func (b *Balancer) excludedFor(h *host, class int) bool { return b.now < h.class[class].excludedUntil }

// recordError records an error. From the third in a row on the host is excluded for the class, for longer
// each time, and then tried with one request at a time. It guards against a host that fails fast and
// attracts everything that waits while the good ones are at their limits; the host goes on serving other
// classes. A non-idempotent request is lost by an error, as it may not be retried: for those the second
// error counts, and errors of all classes do.
func (b *Balancer) recordError(a *attempt, class int) {
	h := a.host
	f := &h.class[class]
	f.share += errorWeight * (1 - f.share)
	if h.hasErrors = true; class == a.req.Class {
		f.at = b.now
	}
	if f.share <= b.errorLimit(class) || a.sent < f.excludedAt {
		return
	}
	f.excludedAt, f.excludedUntil = b.now, b.now+b.backoff(f.exclusions)
	f.exclusions++
	if f.exclusions == 1 {
		b.log(logErrors, "host %x gets no more of class %d for now: errors", h.ID, class)
	}
}

// recordSuccess records a good response.
func (b *Balancer) recordSuccess(a *attempt, class int) {
	f := &a.host.class[class]
	f.share -= errorWeight * f.share
	if f.share < b.errorLimit(class) {
		f.excludedUntil = 0
	}
	if f.share < recoveredErrorShare {
		f.exclusions = 0
	}
}

// overtaken reports whether the host has answered attempts sent after this one, and so is neither silent nor
// slow: the fault is with the connection or the request itself.
func (a *attempt) overtaken() bool { return a.overtakenBy >= overtakenAfter }

// countOvertaken counts a response for the attempts that were sent before it. It guards against not using a
// host for as long as one connection to it is silent.
func (b *Balancer) countOvertaken(a *attempt) {
	for n := a.host.attempts.head; n != nil && n.item.sent < a.sent; n = n.next {
		n.item.overtakenBy++
	}
}

// stalled reports whether an attempt was overtaken and has taken long.
func (b *Balancer) stalled(a *attempt) bool {
	age := max(b.silenceTimeout(a.req), Time(stalledObjectives*float64(a.req.class.LatencyObjective)))
	return a.overtaken() && b.now-a.sent >= age
}

// cancelStuck cancels stalled attempts, so that their requests are retried where their class allows it. It
// guards against connections that have become silent, and acts while a good part of stalled attempts is
// never answered: else they are requests that take long, and most get their response.
func (b *Balancer) cancelStuck(h *host) {
	for n := h.attempts.head; n != nil && b.set.Cancel && b.unansweredShare > maxUnansweredShare; n = n.next {
		a, r := n.item, n.item.req
		if !b.stalled(a) || a.canceledStuck || r.done || !b.mayRetry(r) {
			continue
		}
		a.canceledStuck = true
		for i := range r.attempts {
			if r.attempts[i] == a {
				b.act(Action{Kind: Cancel, Request: r.ID, Attempt: i})
			}
		}
	}
}

// learnUnanswered learns how stalled attempts end when they are left alone, as those of non-idempotent
// requests always are.
func (b *Balancer) learnUnanswered(a *attempt) {
	if a.canceledStuck || !b.stalled(a) {
		return
	}
	acted := b.unansweredShare > maxUnansweredShare
	switch a.result {
	case OK, Failed, Full, InvalidResponse:
		b.unansweredShare -= unansweredWeight * b.unansweredShare
	case TimedOut, Canceled:
		if a.result == TimedOut || a.req.timedOut {
			b.unansweredShare += unansweredWeight * (1 - b.unansweredShare)
		}
	}
	if acted != (b.unansweredShare > maxUnansweredShare) { // it decides what counts against a limit
		for _, h := range b.sets[setBusy].list {
			b.recheck(h)
		}
	}
}

// silenceTimeout returns how long an attempt may take before its host counts as silent.
func (b *Balancer) silenceTimeout(r *request) Time {
	if l := &b.classRTT[r.Class]; l.seen {
		return Time(1e9 * (l.mean + silenceDeviations*l.dev))
	}
	return r.class.LatencyObjective / 2
}

// checkSilence ejects silent hosts: those that have answered nothing since their oldest attempts were sent,
// longer ago than such requests should take. They are ejected until they answer, or a trial does. It guards
// against hosts that take requests and answer none; a host that is only slow answers others meanwhile. One
// attempt alone may be costly, so two must be out that long. What waits there stays: most often it is
// answered yet, and sending it again costs more than it saves.
func (b *Balancer) checkSilence() {
	b.inFlight = 0
	for _, h := range b.sets[setBusy].list {
		b.inFlight += h.inFlight
		b.cancelStuck(h)
		b.recheck(h)         // time has passed
		n := h.attempts.head // the oldest
		if n == nil || n.item.sent < h.lastResponse || b.now-n.item.sent < b.silenceTimeout(n.item.req) {
			continue
		}
		if h.ejections == 0 && !n.item.countedSilent {
			// Its RTT is that long at least: overload shows before the responses arrive.
			n.item.countedSilent = true
			b.adjustSendRate(n.item, (b.now - n.item.sent).Seconds())
		}
		if n = n.next; n != nil && b.now-n.item.sent >= b.silenceTimeout(n.item.req) {
			b.eject(h, CauseSilent)
			b.recheck(h)
		}
	}
}
