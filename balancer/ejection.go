package balancer

const (
	// ejectionBackoffObjectives is the mean duration of a first ejection, in shortest latency objectives.
	ejectionBackoffObjectives = 2
	// ejectionMaxDoublings is the maximum number of times that this duration doubles.
	ejectionMaxDoublings = 5
	// ejectionJitterMin is the lower bound of the random factor applied to the duration.
	ejectionJitterMin = 0.75
	// ejectionJitterRange is the difference between the upper and the lower bound of that factor.
	ejectionJitterRange = 0.5
	// brokenResponseThreshold is the number of broken responses in a row, malformed or reset, that count as
	// a failure of the host. A single one may be caused on the path.
	brokenResponseThreshold = 2
)

// ejection decides whether a host is ejected, that is, taken out of use for all classes because connections
// to it fail or it does not respond. The duration is random, and its mean doubles with each ejection in a
// row. Then the host receives one trial request; any response of the host ends the ejection.
type ejection struct {
	count            int   // ejections since the last response of the host
	cause            Cause // cause of the last ejection
	until            Time  // end of the backoff, before which the host receives nothing
	trialInFlight    bool
	backoffShortened bool // a health check has shortened the backoff since the last response
}

// active reports whether a host is ejected now: during its backoff, and then while a trial request is in
// flight.
func (e *ejection) active(now Time) bool {
	return e.count > 0 && (e.inBackoff(now) || e.trialInFlight)
}

// inBackoff reports whether it is too early for a trial request.
func (e *ejection) inBackoff(now Time) bool { return now < e.until }

// connectionsFail reports whether the cause of the last ejection was failing connections.
func (e *ejection) connectionsFail() bool { return e.cause == CauseConnectionsFailed }

// shortenBackoff ends the backoff at the given time unless it ends earlier.
func (e *ejection) shortenBackoff(at Time) {
	e.until = min(e.until, at)
	e.backoffShortened = true
}

// ejected reports whether a host is ejected now.
func (b *Balancer) ejected(host *host) bool { return host.ejection.active(b.now) }

// eject ejects a host, unless it is still in the backoff of an earlier ejection. The backoff grows with the
// number of ejections in a row.
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

// backoff returns a random backoff after the given number of previous failures in a row.
func (b *Balancer) backoff(failures int) Time {
	doublings := min(failures, ejectionMaxDoublings)
	mean := float64(ejectionBackoffObjectives*b.shortestObjective) * float64(int(1)<<doublings)
	return Time(mean * (ejectionJitterMin + float64(ejectionJitterRange*b.random.unit())))
}

// readmit records the time of a response, and ends the ejection of the host if there is one.
func (b *Balancer) readmit(host *host) {
	host.lastResponse = b.now
	if host.ejection.count == 0 {
		return
	}
	host.ejection.count = 0
	host.ejection.backoffShortened = false
	b.log(logReadmitted, "host %x readmitted", host.ID)
}

// countBrokenResponse counts a malformed response or a reset. It reports whether the number in a row has
// reached brokenResponseThreshold.
func (b *Balancer) countBrokenResponse(host *host) (failing bool) {
	host.brokenResponses++
	return host.brokenResponses >= brokenResponseThreshold
}

// HealthCheckPassed reports that a health check of an ejected host has passed. The RTT estimate of the host
// is reset, and its backoff ends at a random time within the given duration. This happens only once until
// the host responds, because the health check may pass for a host that still fails.
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
