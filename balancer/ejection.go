package balancer

const (
	// ejectionBackoffObjectives is the mean length of a first ejection, in shortest latency objectives.
	ejectionBackoffObjectives = 2
	// ejectionMaxDoublings is how many times that doubles at most.
	ejectionMaxDoublings = 5
	// ejectionJitterMin is the least factor of chance in the length of an ejection.
	ejectionJitterMin = 0.75
	// ejectionJitterRange is how much greater than the least that factor may be.
	ejectionJitterRange = 0.5
	// brokenResponseThreshold is how many broken responses in a row, invalid ones or resets, count as a
	// failure of the host. A single one may be caused on the way.
	brokenResponseThreshold = 2
)

// ejection decides whether a host is ejected: taken out of use for all classes, as connections to it fail or
// it does not answer. An ejection lasts a random time that doubles with each one in a row. Then the host gets
// one trial request, and any response of the host ends the ejection.
type ejection struct {
	count            int   // since the last response; 0: not ejected
	cause            Cause // of the last one
	until            Time  // the host gets nothing before
	trialInFlight    bool
	backoffShortened bool // by a health check, since the last response
}

// active reports whether a host is ejected: until its backoff ends, and then for all but one trial request.
func (e *ejection) active(now Time) bool {
	return e.count > 0 && (e.inBackoff(now) || e.trialInFlight)
}

// inBackoff reports whether the host does not get a trial request yet.
func (e *ejection) inBackoff(now Time) bool { return now < e.until }

// connectionsFail reports whether the last ejection was as connections to the host fail.
func (e *ejection) connectionsFail() bool { return e.cause == CauseConnectionsFailed }

// shortenBackoff ends the backoff at a time, if that is earlier.
func (e *ejection) shortenBackoff(at Time) {
	e.until = min(e.until, at)
	e.backoffShortened = true
}

// ejected reports whether a host is ejected now.
func (b *Balancer) ejected(host *host) bool { return host.ejection.active(b.now) }

// eject ejects a host, for longer each time in a row.
func (b *Balancer) eject(host *host, cause Cause) {
	ejection := &host.ejection
	if ejection.count > 0 && ejection.inBackoff(b.now) {
		return
	}
	ejection.until = b.now + b.backoff(ejection.count)
	ejection.count++
	ejection.cause = cause
	if ejection.count == 1 {
		b.log(logEjected, "host %x ejected: %s", host.ID, cause)
	}
}

// backoff returns how long a host is out of use after a number of failures before.
func (b *Balancer) backoff(failures int) Time {
	doublings := min(failures, ejectionMaxDoublings)
	mean := float64(ejectionBackoffObjectives*b.shortestObjective) * float64(int(1)<<doublings)
	return Time(mean * (ejectionJitterMin + ejectionJitterRange*b.random.unit()))
}

// readmit ends the ejection of a host that has responded.
func (b *Balancer) readmit(host *host) {
	host.lastResponse = b.now
	if host.ejection.count == 0 {
		return
	}
	host.ejection.count = 0
	host.ejection.backoffShortened = false
	b.log(logReadmitted, "host %x readmitted", host.ID)
}

// countBrokenResponse counts an invalid response or a reset. It reports whether there were so many in a row
// that the host counts as failing.
func (b *Balancer) countBrokenResponse(host *host) (failing bool) {
	host.brokenResponses++
	return host.brokenResponses >= brokenResponseThreshold
}

// HealthCheckPassed reports that an ejected host may have recovered: its RTT counts as unknown, and its
// backoff ends at a random moment within a time. That happens once until the host responds, as the health
// check may be wrong.
func (b *Balancer) HealthCheckPassed(now Time, id HostID, within Time) {
	b.now = now
	host := b.byID[id]
	if host == nil || host.ejection.count == 0 || host.ejection.backoffShortened {
		return
	}
	trialAt := now + Time(b.random.unit()*float64(within))
	host.ejection.shortenBackoff(trialAt)
	host.rtt.sampled = false
	b.updateStanding(host)
}
