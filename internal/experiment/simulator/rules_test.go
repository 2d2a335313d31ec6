package simulator

import (
	"testing"
	"time"

	"dunemoor/balancer"
)

// A violation of each rule is counted: a check that finds nothing would pass all other tests.
func TestRuleViolationsAreCounted(t *testing.T) {
	second := time.Second
	fresh := func() (*simulation, *gateway, *host, *request) {
		c := smallFleet(1)
		s := &simulation{config: c, summary: &Summary{Classes: make([]ClassSummary, 3), Gateways: make([]GatewaySummary, 1)}, now: 10 * second, maxMeanWork: 0.02}
		h := &host{HostGroup: c.Hosts[0], running: true, slowdown: 1, drainNoticeAt: make([]balancer.Time, 1)}
		g := &gateway{networkRandom: newStream(1, streamNetwork, 0), idleConnections: map[int]connectionSet{}, openRequests: map[balancer.RequestID]*request{}}
		r := &request{id: 7, class: 1, gateway: g, sentAt: s.now, deadline: s.now + second, work: 0.02, retries: 99}
		s.hosts, s.gateways, g.openRequests[7] = []*host{h}, []*gateway{g}, r
		return s, g, h, r
	}
	send := &balancer.Action{Kind: balancer.Send, Request: 7, Host: 1}
	for name, tt := range map[string]struct {
		rule Rule
		do   func(s *simulation, g *gateway, h *host, r *request)
	}{
		"two attempts in flight": {RuleTwice, func(s *simulation, g *gateway, h *host, r *request) { s.send(g, send); s.send(g, send) }},
		"too many attempts": {RuleTwice, func(s *simulation, g *gateway, h *host, r *request) {
			for range 5 {
				s.send(g, send)
				r.attempts[len(r.attempts)-1].ended = true
			}
		}},
		"non-idempotent request executed twice": {RuleTwice, func(s *simulation, g *gateway, h *host, r *request) {
			r.attempts = make([]attempt, 2)
			s.receive(h, r, 0)
			s.receive(h, r, 1)
		}},
		"idempotency key after its window": {RuleTwice, func(s *simulation, g *gateway, h *host, r *request) {
			r.class = 2
			r.attempts = make([]attempt, 2)
			s.receive(h, r, 0)
			s.now += 3 * second
			s.receive(h, r, 1)
		}},
		"idempotency key outside its scope": {RuleTwice, func(s *simulation, g *gateway, h *host, r *request) {
			r.class = 2
			r.attempts = make([]attempt, 2)
			s.receive(h, r, 0)
			s.receive(&host{HostGroup: h.HostGroup, id: 5, cell: 5, slowdown: 1}, r, 1)
		}},
		"attempt after the response": {RuleLost, func(s *simulation, g *gateway, h *host, r *request) { r.done = true; s.send(g, send) }},
		"two responses": {RuleLost, func(s *simulation, g *gateway, h *host, r *request) {
			s.respond(r, outcomeFailed, 0)
			s.respond(r, outcomeFailed, 0)
		}},
		"late response": {RuleLost, func(s *simulation, g *gateway, h *host, r *request) {
			s.now = r.deadline + second
			s.respond(r, outcomeFailed, 0)
		}},
		"attempt at a draining host": {RuleDrain, func(s *simulation, g *gateway, h *host, r *request) {
			h.drainNoticeAt[0] = s.now - drainGracePeriod - 1
			s.send(g, send)
		}},
		"warming host overloaded": {RuleWarming, func(s *simulation, g *gateway, h *host, r *request) {
			h.startedAt = s.now
			r.work = 100
			s.send(g, send)
		}},
	} {
		s, g, h, r := fresh()
		tt.do(s, g, h, r)
		want := [ruleCount]int{}
		want[tt.rule] = 1
		if s.summary.Violations != want {
			t.Errorf("%s: got violations %v, want %v: %q", name, s.summary.Violations, want, s.summary.ViolationDetails)
		}
	}
	// At the limits there is no violation.
	s, g, h, r := fresh()
	h.drainNoticeAt[0] = s.now - drainGracePeriod
	s.send(g, send)
	s.now = r.deadline + responseGracePeriod
	s.respond(r, outcomeRejected, 0)
	if s.summary.Violations != ([ruleCount]int{}) {
		t.Errorf("at the limits: got violations %v, want none: %q", s.summary.Violations, s.summary.ViolationDetails)
	}
}
