package simulator

import (
	"testing"
	"time"

	"dunemoor/balancer"
)

// ruleRun is a run with one gateway, one host and one open non-idempotent request.
type ruleRun struct {
	*simulation
	gateway *gateway
	host    *host
	request *request
}

func newRuleRun() ruleRun {
	second := time.Second
	c := smallFleet(1)
	s := &simulation{config: c, summary: &Summary{Classes: make([]ClassSummary, 3), Gateways: make([]GatewaySummary, 1)}, now: 10 * second, maxMeanWork: 0.02}
	h := &host{HostGroup: c.Hosts[0], running: true, impairment: unimpaired, drainNoticeAt: make([]balancer.Time, 1)}
	g := &gateway{networkRandom: newStream(1, streamNetwork, 0), idleConnections: map[int]connectionSet{}, openRequests: map[balancer.RequestID]*request{}}
	r := &request{id: 7, class: 1, gateway: g, sentAt: s.now, deadline: s.now + second, work: 0.02, retries: 99}
	s.hosts, s.gateways, g.openRequests[7] = []*host{h}, []*gateway{g}, r
	return ruleRun{s, g, h, r}
}

// sendAttempt executes a Send action of the balancer for the request and the host.
func (u ruleRun) sendAttempt() {
	u.send(u.gateway, &balancer.Action{Kind: balancer.Send, Request: 7, Host: 1})
}

// receiveTwice delivers two attempts of the request: the first to u.host and, after a delay, the second to the given host.
func (u ruleRun) receiveTwice(after time.Duration, second *host) {
	u.request.attempts = make([]attempt, 2)
	u.receive(u.host, u.request, 0)
	u.now += after
	u.receive(second, u.request, 1)
}

// A violation of each rule is counted. A check that never finds anything would pass all other tests.
func TestRuleViolationsAreCounted(t *testing.T) {
	for name, tt := range map[string]struct {
		rule Rule
		do   func(u ruleRun)
	}{
		"two attempts in flight": {RuleTwice, func(u ruleRun) { u.sendAttempt(); u.sendAttempt() }},
		"too many attempts": {RuleTwice, func(u ruleRun) {
			for range 5 {
				u.sendAttempt()
				u.request.attempts[len(u.request.attempts)-1].ended = true
			}
		}},
		"non-idempotent request executed twice": {RuleTwice, func(u ruleRun) { u.receiveTwice(0, u.host) }},
		"idempotency key after its window": {RuleTwice, func(u ruleRun) {
			u.request.class = 2
			u.receiveTwice(3*time.Second, u.host)
		}},
		"idempotency key outside its scope": {RuleTwice, func(u ruleRun) {
			u.request.class = 2
			u.receiveTwice(0, &host{HostGroup: u.host.HostGroup, id: 5, cell: 5, impairment: unimpaired})
		}},
		"attempt after the response": {RuleLost, func(u ruleRun) { u.request.done = true; u.sendAttempt() }},
		"two responses": {RuleLost, func(u ruleRun) {
			u.respond(u.request, outcomeFailed, 0)
			u.respond(u.request, outcomeFailed, 0)
		}},
		"late response": {RuleLost, func(u ruleRun) {
			u.now = u.request.deadline + time.Second
			u.respond(u.request, outcomeFailed, 0)
		}},
		"attempt at a draining host": {RuleDrain, func(u ruleRun) {
			u.host.drainNoticeAt[0] = u.now - drainGracePeriod - 1
			u.sendAttempt()
		}},
		"warming host overloaded": {RuleWarming, func(u ruleRun) {
			u.host.startedAt = u.now
			u.request.work = 100
			u.sendAttempt()
		}},
	} {
		u := newRuleRun()
		tt.do(u)
		want := [ruleCount]int{}
		want[tt.rule] = 1
		if u.summary.Violations != want {
			t.Errorf("%s: got violations %v, want %v: %q", name, u.summary.Violations, want, u.summary.ViolationDetails)
		}
	}
}

// Behavior exactly at the limits of the rules is not a violation.
func TestRulesHoldAtTheirLimits(t *testing.T) {
	u := newRuleRun()
	u.host.drainNoticeAt[0] = u.now - drainGracePeriod
	u.sendAttempt()
	u.now = u.request.deadline + responseGracePeriod
	u.respond(u.request, outcomeRejected, 0)
	if u.summary.Violations != ([ruleCount]int{}) {
		t.Errorf("at the limits: got violations %v, want none: %q", u.summary.Violations, u.summary.ViolationDetails)
	}
}
