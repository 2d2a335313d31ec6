package simulator

import (
	"fmt"
	"time"

	"dunemoor/balancer"
)

// Rule is an invariant that is checked in every run.
type Rule int

// Rules.
const (
	// RuleLost requires that a request gets exactly one final response while its client waits, and no attempt
	// afterwards.
	RuleLost Rule = iota
	// RuleTwice requires that no request takes effect twice, has two attempts in flight, or has more attempts than
	// allowed.
	RuleTwice
	// RuleDrain requires that a gateway sends no request to a draining host later than drainGracePeriod after it was
	// notified.
	RuleDrain
	// RuleWarming requires that the gateways together don't overload a host that is warming up.
	RuleWarming
	ruleCount
)

var ruleNames = [ruleCount]string{
	RuleLost:    "request lost",
	RuleTwice:   "request executed twice",
	RuleDrain:   "request sent to a draining host",
	RuleWarming: "warming host overloaded",
}

// String returns the name of a violation of the rule.
func (r Rule) String() string { return ruleNames[r] }

const (
	// drainGracePeriod is how long a gateway may still send requests to a host after it was notified that the host
	// drains.
	drainGracePeriod = 500 * time.Millisecond
	// responseGracePeriod is how long after the client's deadline a response may still arrive.
	responseGracePeriod = 50 * time.Millisecond
	// maxViolationDetails is the maximum number of violations that a Summary describes.
	maxViolationDetails = 10
	// warmingAllowance is the additional work that a warming host may be sent above its limit, as a multiple of the
	// largest mean work of a class. Without it, any two requests would exceed the limit if the overload
	// window is short compared with the work of one request.
	warmingAllowance = 8
)

// violation records a violation of a rule.
func (s *simulation) violation(r Rule, format string, args ...any) {
	s.summary.Violations[r]++
	if len(s.summary.ViolationDetails) < maxViolationDetails {
		detail := fmt.Sprintf("%v: %v: ", s.now, r) + fmt.Sprintf(format, args...)
		s.summary.ViolationDetails = append(s.summary.ViolationDetails, detail)
	}
}

// checkSend checks the rules for an attempt of the open request r that is about to be sent to h.
func (s *simulation) checkSend(g *gateway, r *request, h *host) {
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.ended && !a.canceled {
			s.violation(RuleTwice, "request %d has two attempts in flight", r.id)
		}
	}
	if limit := s.config.Settings.MaxAttempts; limit > 0 && len(r.attempts) >= limit {
		s.violation(RuleTwice, "request %d has %d attempts, %d are allowed", r.id, len(r.attempts)+1, limit)
	}
	if h.drainNoticeAt != nil {
		noticeAt := h.drainNoticeAt[g.id]
		if noticeAt > 0 && s.now > noticeAt+drainGracePeriod {
			s.violation(RuleDrain, "gateway %d sends to host %d %v after it was notified that the host drains", g.id, h.id, s.now-noticeAt)
		}
	}
	s.checkWarmingLoad(h, r)
}

// checkExecution counts an execution of r at h, or a possible one, and checks whether r may be executed again.
func (s *simulation) checkExecution(h *host, r *request, attemptNumber int) {
	r.executions++
	if r.executions == 1 {
		r.executedAt = s.now
		r.executedBy = h
		return
	}
	class := &s.config.Settings.Classes[r.class]
	switch class.Idempotency {
	case balancer.NonIdempotent:
		s.violation(RuleTwice, "non-idempotent request %d executed %d times, at host %d with attempt %d", r.id, r.executions, h.id, attemptNumber)
	case balancer.IdempotentWithKey:
		otherZone := class.DedupScope == balancer.ScopeZone && h.Zone != r.executedBy.Zone
		otherCell := class.DedupScope == balancer.ScopeCell && h.cell != r.executedBy.cell
		windowEnded := s.now > r.executedAt+class.DedupWindow
		if otherZone || otherCell || windowEnded {
			s.violation(RuleTwice, "request %d with an idempotency key executed again outside its scope or window, at host %d", r.id, h.id)
		}
	}
}

// checkWarmingLoad checks that the work sent to a warming host within the overload window doesn't exceed
// OverloadFactor times its capacity, plus warmingAllowance. The capacity is computed from the host's size and age
// only: a gateway can't detect that the host is slow or congested before it has responded.
func (s *simulation) checkWarmingLoad(h *host, r *request) {
	settings := &s.config.Settings
	if s.warmShare(h) >= 1 || settings.OverloadFactor == 0 {
		return
	}
	h.warmingWork = append(h.warmingWork, sentWork{s.now, r.work})
	h.warmingWorkSum += r.work
	for h.warmingWork[0].at < s.now-settings.OverloadWindow {
		h.warmingWorkSum -= h.warmingWork[0].work
		h.warmingWork = h.warmingWork[1:]
	}
	capacity := h.nominalSpeed() * s.warmShare(h) * float64(h.Cores) * settings.OverloadWindow.Seconds()
	if h.warmingWorkSum > settings.OverloadFactor*capacity+warmingAllowance*s.maxMeanWork {
		s.violation(RuleWarming, "host %d, at %.2f of its capacity, was sent %.3f s of work within %v, and can do %.3f s", h.id, s.warmShare(h), h.warmingWorkSum, settings.OverloadWindow, capacity)
	}
}
