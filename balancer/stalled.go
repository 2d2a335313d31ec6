package balancer

const (
	// overtakenResponses is the number of successful responses to later attempts at the same host after
	// which an attempt counts as overtaken.
	overtakenResponses = 3
	// stalledObjectives is the minimum age of a stalled attempt, in latency objectives.
	stalledObjectives = 0.3
	// unansweredSampleWeight is the weight of one stalled attempt in stalledAttempts.unansweredShare.
	unansweredSampleWeight = 1.0 / 8
	// maxUnansweredShare is the unansweredShare above which stalled attempts are canceled. It is low
	// because a lost request costs more than a retry.
	maxUnansweredShare = 0.2
)

// stalledAttempts decides whether stalled attempts are canceled so that their requests can be retried. An
// attempt is stalled if its host has successfully responded to later attempts and it has been in flight for
// a long time. The rule detects connections that have become silent. Its input is the result of stalled
// attempts that were not canceled by this rule, which includes all those of non-idempotent requests: while
// the unanswered share is at most maxUnansweredShare, stalled attempts are assumed to be merely expensive,
// and canceling them would waste the work done.
type stalledAttempts struct {
	unansweredShare float64 // share of stalled attempts that never get a response
}

// tooManyUnanswered reports whether so many stalled attempts never get a response that they are canceled
// and do not count against concurrency limits.
func (s *stalledAttempts) tooManyUnanswered() bool { return s.unansweredShare > maxUnansweredShare }

// observe updates the share at the end of a stalled attempt that was not canceled as stalled.
func (s *stalledAttempts) observe(attempt *attempt) {
	switch attempt.result {
	case OK, Failed, Full, InvalidResponse:
		s.unansweredShare -= float64(unansweredSampleWeight * s.unansweredShare)
	case TimedOut, Canceled:
		timedOut := attempt.result == TimedOut || attempt.request.answeredByBalancer
		if timedOut {
			s.unansweredShare += float64(unansweredSampleWeight * (1 - s.unansweredShare))
		}
	}
}

// overtaken reports whether the host has successfully responded to several attempts that were sent after
// this one. The host is then neither silent nor slow; the cause is the connection or the request itself.
func (a *attempt) overtaken() bool { return a.overtakenBy >= overtakenResponses }

// countOvertaken counts a successful response for those attempts in flight at the host that were sent
// before the answered one. Without it, a single silent connection would keep the host out of use.
func (b *Balancer) countOvertaken(answered *attempt) {
	for node := answered.host.attempts.head; node != nil; node = node.next {
		if node.item.sentAt >= answered.sentAt {
			return
		}
		node.item.overtakenBy++
	}
}

// isStalled reports whether an attempt was overtaken and has been in flight for a long time.
func (b *Balancer) isStalled(attempt *attempt) bool {
	minAge := Time(stalledObjectives * float64(attempt.request.class.LatencyObjective))
	age := b.now - attempt.sentAt
	return attempt.overtaken() && age >= max(b.silenceTimeout(attempt.request), minAge)
}

// cancelStalled cancels the stalled attempts at a host whose requests may be retried.
func (b *Balancer) cancelStalled(host *host) {
	if !b.settings.Cancel || !b.stalled.tooManyUnanswered() {
		return
	}
	for node := host.attempts.head; node != nil; node = node.next {
		attempt := node.item
		if attempt.canceledStalled || !b.isStalled(attempt) {
			continue
		}
		if attempt.request.done || !b.mayRetry(attempt.request) {
			continue
		}
		attempt.canceledStalled = true
		b.cancel(attempt)
	}
}

// observeStalled updates the share of unanswered attempts at the end of an attempt that was stalled. If
// that changes whether stalled attempts count against limits, the standing of all busy hosts is updated.
func (b *Balancer) observeStalled(attempt *attempt) {
	if attempt.canceledStalled || !b.isStalled(attempt) {
		return
	}
	before := b.stalled.tooManyUnanswered()
	b.stalled.observe(attempt)
	if b.stalled.tooManyUnanswered() == before {
		return
	}
	for _, host := range b.sets[setBusy].list {
		b.updateStanding(host)
	}
}
