package balancer

import (
	"math"
	"testing"
	"time"
)

func TestLimitFollowsRTT(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(1)...)
	h := g.b.hosts[0]
	for range 40 {
		g.b.now += 300 * ms
		g.b.adjustLimit(h, 0.8, g.b.shortestObjective, g.b.now)
	}
	if h.concurrencyLimit != minLimit {
		t.Errorf("limit %v after slow responses, want %v", h.concurrencyLimit, minLimit)
	}
	g.b.now += time.Second
	for range 20 {
		g.b.now += 300 * ms
		g.b.adjustLimit(h, 0.01, g.b.shortestObjective, g.b.now)
	}
	if h.concurrencyLimit != minLimit {
		t.Errorf("limit %v while nothing waits, want %v as before", h.concurrencyLimit, minLimit)
	}
	g.b.queued = 1
	for range 60 {
		g.b.now += 300 * ms
		h.inFlight = int(h.concurrencyLimit) - 1
		g.b.adjustLimit(h, 0.01, g.b.shortestObjective, g.b.now)
	}
	if h.concurrencyLimit < 4 {
		t.Errorf("limit %v while requests wait, want 4 or more", h.concurrencyLimit)
	}
}

// Usual responses of a class with a long latency objective must not rest hosts.
func TestLimitUsesLatencyObjectiveOfClass(t *testing.T) {
	settings := testSettings()
	settings.Instances = 100
	settings.Classes[0] = Class{LatencyObjective: 1500 * ms, Deadline: 5 * time.Second}
	g := newTestGateway(t, settings, testHosts(2)...)
	for range 50 {
		id := g.request(0, 5*time.Second)
		g.onlyAction(Send)
		g.advance(250 * ms)
		g.attemptEnded(id, 0, OK, 250*ms)
	}
	for _, h := range g.b.hosts {
		if h.restingUntil > 0 {
			t.Errorf("host %d rests until %v after usual responses, want no rest", h.ID, h.restingUntil)
		}
	}
}

// A class with a generous latency objective reduces the limit too once responses take several times
// their usual RTT.
func TestLimitIsReducedAboveUsualRTT(t *testing.T) {
	settings := testSettings()
	settings.Classes[0] = Class{LatencyObjective: 5 * time.Second, Deadline: 20 * time.Second}
	g := newTestGateway(t, settings, testHosts(1)...)
	h := g.b.hosts[0]
	g.serve(100, 0, func(HostID) time.Duration { return 40 * ms })
	h.concurrencyLimit = 20
	id := g.request(0, 20*time.Second)
	g.advance(300 * ms)
	g.attemptEnded(id, 0, OK, 300*ms) // far within its latency objective
	if h.concurrencyLimit >= 20 {
		t.Errorf("limit %v after a response of many times the usual RTT, want below 20", h.concurrencyLimit)
	}
}

// Several late responses of one round trip reduce the limit once.
func TestLimitIsReducedOncePerRoundTrip(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(1)...)
	h := g.b.hosts[0]
	h.concurrencyLimit = 40
	target := limitObjectives
	sent := g.b.now
	g.b.now += 300 * ms
	for range 5 { // the responses of one round trip
		g.b.adjustLimit(h, 2*target, g.b.shortestObjective, sent)
	}
	if math.Abs(h.concurrencyLimit-20) > 1e-9 {
		t.Fatalf("limit %v after a round trip at twice the target, want 20", h.concurrencyLimit)
	}
	g.b.now += 300 * ms
	g.b.adjustLimit(h, 2*target, g.b.shortestObjective, g.b.now-300*ms)
	if math.Abs(h.concurrencyLimit-10) > 1e-9 {
		t.Errorf("limit %v after the next round trip, want 10", h.concurrencyLimit)
	}
}

// A limit below one grows if another request found no host while the answered one was out, even if
// that request was rejected long before the response; otherwise it stays, and it does not grow above
// one this way. A busy gateway gets more than its even share of hosts with capacity.
func TestLimitBelowOneGrowsOnUnmetDemand(t *testing.T) {
	for _, wanted := range []bool{true, false} {
		settings := testSettings()
		settings.Instances = 40
		g := newTestGateway(t, settings, testHosts(1)...)
		h := g.b.hosts[0]
		for range 200 {
			id := g.request(0, time.Second)
			g.onlyAction(Send)
			if wanted {
				g.request(0, time.Second) // there is no place for it
			}
			g.advance(40 * ms)
			g.attemptEnded(id, 0, OK, 40*ms)
		}
		if grown := h.concurrencyLimit > 2*initialLimit/g.b.sharingInstances(); grown != wanted || h.concurrencyLimit > 1.01 {
			t.Errorf("demand unmet %v: limit %.3f, initially %.3f; want growth only with unmet demand, and at most 1.01",
				wanted, h.concurrencyLimit, initialLimit/g.b.sharingInstances())
		}
	}
}

// Where many instances share a host, one attempt of each may be too many: a limit below one rests the
// host between attempts.
func TestLimitBelowOneRestsHost(t *testing.T) {
	settings := testSettings()
	settings.Instances = 16
	g := newTestGateway(t, settings, testHosts(1)...)
	id := g.request(0, time.Second)
	g.onlyAction(Send)
	g.advance(40 * ms)
	g.attemptEnded(id, 0, OK, 40*ms)
	id = g.request(0, time.Second)
	g.onlyAction(Send) // quick answers: no rest
	g.advance(350 * ms)
	g.attemptEnded(id, 0, OK, 350*ms)
	g.request(0, time.Second)
	if len(g.actions) != 0 {
		t.Fatalf("actions %v at once with a limit below a quarter, want none", g.actions)
	}
	g.advance(3 * time.Second)
	g.request(0, time.Second)
	g.onlyAction(Send)
}

// A host that answers well after an outage is not rested again because of its old mean RTT; a late
// response still rests it.
func TestGoodResponseDoesNotExtendRest(t *testing.T) {
	settings := testSettings()
	settings.Instances = 8
	g := newTestGateway(t, settings, testHosts(1)...)
	h := g.b.hosts[0]
	for range 20 { // none is answered in time
		g.b.now += time.Second
		g.b.adjustLimit(h, 6, g.b.shortestObjective, g.b.now-time.Second)
	}
	limit, rest := h.concurrencyLimit, h.restingUntil
	if limit >= 1 || rest <= g.b.now {
		t.Fatalf("limit %v, rest until %v at %v, want a limit below 1 and a rest", limit, rest, g.b.now)
	}
	g.b.now = rest + ms
	g.b.adjustLimit(h, limitObjectives/4, g.b.shortestObjective, g.b.now-10*ms)
	if h.recentRTT.mean <= limitObjectives {
		t.Fatalf("mean %v, want it still above the target of %v", h.recentRTT.mean, limitObjectives)
	}
	if h.concurrencyLimit < limit || h.restingUntil != rest {
		t.Errorf("limit %v, rest until %v after a good response, want %v and %v",
			h.concurrencyLimit, h.restingUntil, limit, rest)
	}
	g.b.now += ms
	g.b.adjustLimit(h, 6, g.b.shortestObjective, g.b.now)
	if h.restingUntil <= g.b.now {
		t.Errorf("rest until %v at %v after a late response, want a rest", h.restingUntil, g.b.now)
	}
}

// A host that rejects attempts at once is not sent all that waits while the others are at their
// limits.
func TestFullResponseReducesLimitAndRestsHost(t *testing.T) {
	settings := testSettings()
	settings.Instances = 4
	g := newTestGateway(t, settings, testHosts(1)...)
	id := g.request(0, time.Second)
	g.onlyAction(Send)
	g.now += ms
	g.attemptEnded(id, 0, Full, ms)
	if len(g.actions) != 0 {
		t.Fatalf("actions %v right after the rejection, want none while the request waits", g.actions)
	}
	if h := g.b.hosts[0]; h.concurrencyLimit >= 1 || h.restingUntil <= g.now {
		t.Errorf("limit %v, rest until %v at %v, want a limit below 1 and a rest",
			h.concurrencyLimit, h.restingUntil, g.now)
	}
}

// An attempt canceled at its deadline counts against its host like one that timed out; one canceled
// because the client has gone does not.
func TestCancelAtDeadlineCountsAsTimeout(t *testing.T) {
	settings := testSettings()
	settings.Instances = 100
	for _, clientGone := range []bool{false, true} {
		g := newTestGateway(t, settings, testHosts(2)...)
		id := g.request(2, 600*ms)
		h := g.b.byID[g.onlyAction(Send).Host]
		if clientGone {
			g.now += 30 * ms
			g.b.ClientGone(g.now, id)
			g.takeActions()
		} else {
			g.advance(600 * ms)
		}
		g.attemptEnded(id, 0, Canceled, 600*ms)
		if h.sampled == clientGone || (h.restingUntil > g.now) == clientGone || (g.b.pressure.seen) == clientGone {
			t.Errorf("client gone %v: sampled %v, rest until %v at %v, pressure %v; want all three unless the client has gone",
				clientGone, h.sampled, h.restingUntil, g.now, g.b.pressure)
		}
	}
}
