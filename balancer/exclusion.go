package balancer

const (
	// errorSampleWeight is the weight of one response in a host's share of errors in a class.
	errorSampleWeight = 0.25
	// maxErrorShare is the share of errors above which a host is excluded for a class: reached by the third
	// error in a row.
	maxErrorShare = 0.5
	// maxErrorShareNonIdempotent is the same for non-idempotent classes: reached by the second error in a
	// row.
	maxErrorShareNonIdempotent = 0.35
	// recoveredErrorShare is the share below which the next exclusion is as short as the first.
	recoveredErrorShare = 0.25
)

// classErrors decides whether a host is excluded for one class, as it answers that class with errors. It
// guards against a host that fails fast and so attracts what waits while the others are at their limits; the
// host goes on serving other classes. Inputs are the host's good and bad responses. An exclusion lasts as
// long as an ejection would, and is followed by one trial request at a time.
type classErrors struct {
	share         float64 // of errors among the last responses
	lastAt        Time    // of the last error
	exclusions    int     // since the host last recovered
	excludedAt    Time    // last time
	excludedUntil Time
	counted       bool // Balancer.excluded counts the host for the class
}

// excluded reports whether the host is excluded for the class now.
func (e *classErrors) excluded(now Time) bool { return now < e.excludedUntil }

// exclude excludes the host for a time.
func (e *classErrors) exclude(now, backoff Time) {
	e.excludedAt = now
	e.excludedUntil = now + backoff
	e.exclusions++
}

// addError adds an error to the share.
func (e *classErrors) addError() { e.share += errorSampleWeight * (1 - e.share) }

// addSuccess adds a good response to the share, given the share above which the host is excluded.
func (e *classErrors) addSuccess(maxShare float64) {
	e.share -= errorSampleWeight * e.share
	if e.share < maxShare {
		e.excludedUntil = 0
	}
	if e.share < recoveredErrorShare {
		e.exclusions = 0
	}
}

// excludedFor reports whether a host is excluded for a class.
func (b *Balancer) excludedFor(host *host, class int) bool { return host.errors[class].excluded(b.now) }

// maxErrorShareOf returns the share of errors above which a host is excluded for a class.
func (b *Balancer) maxErrorShareOf(class int) float64 {
	if b.settings.Classes[class].Idempotency == NonIdempotent {
		return maxErrorShareNonIdempotent
	}
	return maxErrorShare
}

// countsForClass reports whether a response to a request of one class counts for another. All responses count
// for non-idempotent classes: a request of those is lost by an error, as it may not be retried.
func (b *Balancer) countsForClass(requestClass, class int) bool {
	return class == requestClass || b.settings.Classes[class].Idempotency == NonIdempotent
}

// recordError records an error of a host with each class that it counts for.
func (b *Balancer) recordError(attempt *attempt) {
	for class := range attempt.host.errors {
		if b.countsForClass(attempt.request.Class, class) {
			b.recordErrorFor(attempt, class)
		}
	}
}

// recordErrorFor records an error of a host with a class, and excludes the host where its share of errors is
// too high. An attempt sent before the last exclusion does not exclude it again.
func (b *Balancer) recordErrorFor(attempt *attempt, class int) {
	host := attempt.host
	host.hasErrors = true
	errors := &host.errors[class]
	errors.addError()
	if class == attempt.request.Class {
		errors.lastAt = b.now
	}
	if errors.share <= b.maxErrorShareOf(class) || attempt.sentAt < errors.excludedAt {
		return
	}
	errors.exclude(b.now, b.backoff(errors.exclusions))
	if errors.exclusions == 1 {
		b.log(logExcluded, "host %x excluded for class %d: errors", host.ID, class)
	}
}

// recordSuccess records a good response of a host with each class that it counts for.
func (b *Balancer) recordSuccess(attempt *attempt) {
	for class := range attempt.host.errors {
		if b.countsForClass(attempt.request.Class, class) {
			attempt.host.errors[class].addSuccess(b.maxErrorShareOf(class))
		}
	}
}

// excludeDuringTrial excludes a host again that was excluded for a class and has not recovered since, as an
// attempt of that class is sent to it: so it is tried with one request at a time. The exclusion lasts as long
// as a first one; a good response ends it sooner if it brings the share of errors below the limit.
func (b *Balancer) excludeDuringTrial(host *host, class int) {
	errors := &host.errors[class]
	if errors.exclusions > 0 {
		errors.excludedUntil = b.now + b.backoff(0)
	}
}
