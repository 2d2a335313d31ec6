package simulator

import (
	"fmt"
	"time"

	"dunemoor/balancer"
)

// Rule is a rule that every run is checked by.
type Rule int

// Rules.
const (
	// RuleLost: a request has exactly one final response while its client waits, and no attempt after it.
	RuleLost Rule = iota
	// RuleTwice: no request takes effect twice, has two attempts in flight, or more attempts than allowed.
	RuleTwice
	// RuleDrain: a gateway sends nothing to a host from drainGracePeriod after it learned that it drains.
	RuleDrain
	// RuleWarming: the gateways together don't overload a host that is warming up.
	RuleWarming
	ruleCount
)

var ruleNames = [ruleCount]string{
	RuleLost:    "request lost",
	RuleTwice:   "request executed twice",
	RuleDrain:   "request sent to a draining host",
	RuleWarming: "warming host overloaded",
}

// String names the violation of the rule.
func (r Rule) String() string { return ruleNames[r] }

const (
	// drainGracePeriod is how long a gateway may go on sending to a host after it learned that it drains.
	drainGracePeriod = 500 * time.Millisecond
	// responseGracePeriod is how long after the client's deadline a response may come.
	responseGracePeriod = 50 * time.Millisecond
	// maxViolationDetails is the number of violations that a Summary describes.
	maxViolationDetails = 10
	// warmingAllowance is the number of mean works of the heaviest class that a warming host may be sent on
	// top of its limit: where the window is short beside the work of one request, any two would exceed it.
	warmingAllowance = 8
)

// violation counts a violation of a rule.
func (s *simulation) violation(r Rule, format string, args ...any) {
	s.summary.Violations[r]++
	if len(s.summary.ViolationDetails) < maxViolationDetails {
		detail := fmt.Sprintf("%v: %v: ", s.now, r) + fmt.Sprintf(format, args...)
		s.summary.ViolationDetails = append(s.summary.ViolationDetails, detail)
	}
}

// checkSend checks the rules at an attempt of r, which is open, that is about to be sent to h.
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
			s.violation(RuleDrain, "gateway %d sends to host %d, %v after it learned that it drains", g.id, h.id, s.now-noticeAt)
		}
	}
	s.checkWarmingLoad(h, r)
}

// checkExecution counts an execution of r at h, also one that can't be ruled out, and checks whether r may be
// executed again.
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
		s.violation(RuleTwice, "request %d, not idempotent, executed %d times, at host %d with attempt %d", r.id, r.executions, h.id, attemptNumber)
	case balancer.IdempotentWithKey:
		otherZone := class.DedupScope == balancer.ScopeZone && h.Zone != r.executedBy.Zone
		otherCell := class.DedupScope == balancer.ScopeCell && h.cell != r.executedBy.cell
		windowEnded := s.now > r.executedAt+class.DedupWindow
		if otherZone || otherCell || windowEnded {
			s.violation(RuleTwice, "request %d, idempotent with a key, executed again outside its scope or window, at host %d", r.id, h.id)
		}
	}
}

// checkWarmingLoad checks that a warming host isn't sent, within the overload window, more than a multiple of
// the work that it can do. Its capacity is taken from its size and its age: that it is slow or congested
// besides, no gateway can know before it has responded.
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
		s.violation(RuleWarming, "host %d, %.2f warm, was sent %.3f s of work in %v, and can do %.3f", h.id, s.warmShare(h), h.warmingWorkSum, settings.OverloadWindow, capacity)
	}
}
