package balancer

const (
	// overtakenResponses is how many responses to later attempts a host must have given for an attempt to
	// count as overtaken.
	overtakenResponses = 3
	// stalledObjectives is the least age of a stalled attempt, in latency objectives.
	stalledObjectives = 0.3
	// unansweredSampleWeight is the weight of one stalled attempt in the share never answered.
	unansweredSampleWeight = 1.0 / 8
	// maxUnansweredShare is the share above which stalled attempts are canceled. It is low, as a lost request
	// costs more than a retry.
	maxUnansweredShare = 0.2
)

// stalledAttempts decides whether stalled attempts are canceled, so that their requests can be retried. An
// attempt is stalled when its host has answered later ones and it has taken long. It guards against
// connections that have become silent. Its input is how stalled attempts end that are left alone, as those of
// non-idempotent requests always are: where most get their response, they are requests that take long, and
// canceling wastes their work.
type stalledAttempts struct {
	unansweredShare float64 // of stalled attempts that are never answered
}

// areUnanswered reports whether so many stalled attempts are never answered that they are canceled, and do
// not count against limits.
func (s *stalledAttempts) areUnanswered() bool { return s.unansweredShare > maxUnansweredShare }

// observe learns from the end of a stalled attempt that was left alone.
func (s *stalledAttempts) observe(attempt *attempt) {
	switch attempt.result {
	case OK, Failed, Full, InvalidResponse:
		s.unansweredShare -= unansweredSampleWeight * s.unansweredShare
	case TimedOut, Canceled:
		timedOut := attempt.result == TimedOut || attempt.request.answeredByBalancer
		if timedOut {
			s.unansweredShare += unansweredSampleWeight * (1 - s.unansweredShare)
		}
	}
}

// overtaken reports whether the host has answered attempts sent after this one, and so is neither silent nor
// slow: the fault is with the connection or the request itself.
func (a *attempt) overtaken() bool { return a.overtakenBy >= overtakenResponses }

// countOvertaken counts a response for the attempts at its host that were sent before it. It guards against
// not using a host for as long as one connection to it is silent.
func (b *Balancer) countOvertaken(answered *attempt) {
	for node := answered.host.attempts.head; node != nil; node = node.next {
		if node.item.sentAt >= answered.sentAt {
			return
		}
		node.item.overtakenBy++
	}
}

// isStalled reports whether an attempt was overtaken and has taken long.
func (b *Balancer) isStalled(attempt *attempt) bool {
	minAge := Time(stalledObjectives * float64(attempt.request.class.LatencyObjective))
	age := b.now - attempt.sentAt
	return attempt.overtaken() && age >= max(b.silenceTimeout(attempt.request), minAge)
}

// cancelStalled cancels the stalled attempts at a host whose requests may be retried.
func (b *Balancer) cancelStalled(host *host) {
	if !b.settings.Cancel || !b.stalled.areUnanswered() {
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

// learnStalled learns from the end of an attempt if it was stalled. Where that changes whether stalled
// attempts count against limits, hosts that have some are checked again.
func (b *Balancer) learnStalled(attempt *attempt) {
	if attempt.canceledStalled || !b.isStalled(attempt) {
		return
	}
	before := b.stalled.areUnanswered()
	b.stalled.observe(attempt)
	if b.stalled.areUnanswered() == before {
		return
	}
	for _, host := range b.sets[setBusy].list {
		b.updateStanding(host)
	}
}
