package simulator

import (
	"testing"
	"time"

	"dunemoor/balancer"
)

// Each rule is seen to be broken where it is: it guards against a look that finds nothing.
func TestBrokenRulesAreSeen(t *testing.T) {
	second := time.Second
	fresh := func() (*world, *gateway, *host, *request) {
		c := fleet(1)
		w := &world{cfg: c, sum: &Summary{Classes: make([]ClassSummary, 3), Gateways: make([]GatewaySum, 1)}, now: 10 * second, longest: 0.02}
		h := &host{Kind: c.Hosts[0], up: true, slow: 1, told: make([]balancer.Time, 1)}
		g := &gateway{rng: stream(1, "net", 0), idle: map[int]idleSet{}, open: map[balancer.RequestID]*request{}}
		r := &request{id: 7, class: 1, gateway: g, at: w.now, until: w.now + second, work: 0.02, try: 99}
		w.hosts, w.gateways, g.open[7] = []*host{h}, []*gateway{g}, r
		return w, g, h, r
	}
	send := &balancer.Action{Kind: balancer.Send, Request: 7, Host: 1}
	for name, tt := range map[string]struct {
		rule Rule
		do   func(w *world, g *gateway, h *host, r *request)
	}{
		"two attempts out": {RuleTwice, func(w *world, g *gateway, h *host, r *request) { w.send(g, send); w.send(g, send) }},
		"too many attempts": {RuleTwice, func(w *world, g *gateway, h *host, r *request) {
			for range 5 {
				w.send(g, send)
				r.attempts[len(r.attempts)-1].ended = true
			}
		}},
		"an unsafe one twice": {RuleTwice, func(w *world, g *gateway, h *host, r *request) {
			r.attempts = make([]attempt, 2)
			w.take(h, r, 0)
			w.take(h, r, 1)
		}},
		"a keyed one too late": {RuleTwice, func(w *world, g *gateway, h *host, r *request) {
			r.class = 2
			r.attempts = make([]attempt, 2)
			w.take(h, r, 0)
			w.now += 3 * second
			w.take(h, r, 1)
		}},
		"a keyed one elsewhere": {RuleTwice, func(w *world, g *gateway, h *host, r *request) {
			r.class = 2
			r.attempts = make([]attempt, 2)
			w.take(h, r, 0)
			w.take(&host{Kind: h.Kind, id: 5, cell: 5, slow: 1}, r, 1)
		}},
		"sent after the end": {RuleLost, func(w *world, g *gateway, h *host, r *request) { r.over = true; w.send(g, send) }},
		"two answers": {RuleLost, func(w *world, g *gateway, h *host, r *request) {
			w.final(r, outcomeFailed, 0)
			w.final(r, outcomeFailed, 0)
		}},
		"a late answer": {RuleLost, func(w *world, g *gateway, h *host, r *request) {
			w.now = r.until + second
			w.final(r, outcomeFailed, 0)
		}},
		"sent on in a drain": {RuleDrain, func(w *world, g *gateway, h *host, r *request) { h.told[0] = w.now - drainGrace - 1; w.send(g, send) }},
		"a cold host pushed": {RuleCold, func(w *world, g *gateway, h *host, r *request) { h.started = w.now; r.work = 100; w.send(g, send) }},
	} {
		w, g, h, r := fresh()
		tt.do(w, g, h, r)
		want := [rules]int{}
		want[tt.rule] = 1
		if w.sum.Broken != want {
			t.Errorf("%s: %v, want %v: %q", name, w.sum.Broken, want, w.sum.Why)
		}
	}
	// At the edge all is well.
	w, g, h, r := fresh()
	h.told[0] = w.now - drainGrace
	w.send(g, send)
	w.now = r.until + answerSlack
	w.final(r, outcomeRefused, 0)
	if w.sum.Broken != ([rules]int{}) {
		t.Errorf("at the edge: %v: %q", w.sum.Broken, w.sum.Why)
	}
}
