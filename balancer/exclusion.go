package balancer

const (
	// errorSampleWeight is the weight of one response in a host's error share for a class.
	errorSampleWeight = 0.25
	// maxErrorShare is the error share above which a host is excluded for a class. Three errors in a row
	// exceed it.
	maxErrorShare = 0.5
	// maxErrorShareNonIdempotent is the same for non-idempotent classes. Two errors in a row exceed it.
	maxErrorShareNonIdempotent = 0.35
	// recoveredErrorShare is the error share below which the backoff of the next exclusion starts anew.
	recoveredErrorShare = 0.25
)

// classErrors decides whether a host is excluded for one class because it responds to that class with
// errors. Without it, a host that fails fast would attract the waiting requests while the other hosts are
// at their limits. The host continues to serve other classes. The inputs are the successful and the error
// responses of the host. An exclusion lasts as long as an ejection would, and is followed by one trial
// request at a time.
type classErrors struct {
	share         float64 // moving average of errors among the responses
	lastAt        Time    // time of the last error response to a request of the class itself
	exclusions    int     // exclusions since the host last recovered
	excludedAt    Time    // start of the last exclusion
	excludedUntil Time
	counted       bool // the host is included in Balancer.excluded for the class
}

// excluded reports whether the host is excluded for the class now.
func (e *classErrors) excluded(now Time) bool { return now < e.excludedUntil }

// exclude excludes the host for the duration of the backoff.
func (e *classErrors) exclude(now, backoff Time) {
	e.excludedAt = now
	e.excludedUntil = now + backoff
	e.exclusions++
}

// addError adds an error response to the share.
func (e *classErrors) addError() { e.share += float64(errorSampleWeight * (1 - e.share)) }

// addSuccess adds a successful response to the share. maxShare is the share above which the host is
// excluded.
func (e *classErrors) addSuccess(maxShare float64) {
	e.share -= float64(errorSampleWeight * e.share)
	if e.share < maxShare {
		e.excludedUntil = 0
	}
	if e.share < recoveredErrorShare {
		e.exclusions = 0
	}
}

// excludedFor reports whether a host is excluded for a class now.
func (b *Balancer) excludedFor(host *host, class int) bool { return host.errors[class].excluded(b.now) }

// maxErrorShareOf returns the error share above which a host is excluded for a class.
func (b *Balancer) maxErrorShareOf(class int) float64 {
	if b.settings.Classes[class].Idempotency == NonIdempotent {
		return maxErrorShareNonIdempotent
	}
	return maxErrorShare
}

// countsForClass reports whether a response to a request of requestClass counts for class. For
// non-idempotent classes all responses count: an error loses a request of such a class, because it may not
// be retried.
func (b *Balancer) countsForClass(requestClass, class int) bool {
	return class == requestClass || b.settings.Classes[class].Idempotency == NonIdempotent
}

// recordError records an error response for each class that it counts for.
func (b *Balancer) recordError(attempt *attempt) {
	for class := range attempt.host.errors {
		if b.countsForClass(attempt.request.Class, class) {
			b.recordErrorFor(attempt, class)
		}
	}
}

// recordErrorFor records an error response for a class, and excludes the host for it if the error share is
// too high. Responses to attempts sent before the last exclusion do not exclude the host again.
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

// recordSuccess records a successful response for each class that it counts for.
func (b *Balancer) recordSuccess(attempt *attempt) {
	for class := range attempt.host.errors {
		if b.countsForClass(attempt.request.Class, class) {
			attempt.host.errors[class].addSuccess(b.maxErrorShareOf(class))
		}
	}
}

// excludeDuringTrial is called when an attempt of a class is sent to a host. If the host was excluded for
// the class and has not recovered since, it is excluded again for the duration of a first exclusion, so
// that it gets one trial request at a time. A successful response ends this exclusion early if it brings
// the error share below the limit.
func (b *Balancer) excludeDuringTrial(host *host, class int) {
	errors := &host.errors[class]
	if errors.exclusions > 0 {
		errors.excludedUntil = b.now + b.backoff(0)
	}
}
