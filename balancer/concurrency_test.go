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
		t.Errorf("limit %v after slow answers, want the least", h.concurrencyLimit)
	}
	g.b.now += time.Second
	for range 20 {
		g.b.now += 300 * ms
		g.b.adjustLimit(h, 0.01, g.b.shortestObjective, g.b.now)
	}
	if h.concurrencyLimit != minLimit {
		t.Errorf("limit %v, want no growth while nothing waits", h.concurrencyLimit)
	}
	g.b.queued = 1
	for range 60 {
		g.b.now += 300 * ms
		h.inFlight = int(h.concurrencyLimit) - 1
		g.b.adjustLimit(h, 0.01, g.b.shortestObjective, g.b.now)
	}
	if h.concurrencyLimit < 4 {
		t.Errorf("limit %v, want it to grow while requests wait", h.concurrencyLimit)
	}
}

// Usual responses of a class with a long latency objective must not rest hosts.
func TestLimitUsesLatencyObjectiveOfClass(t *testing.T) {
	set := testSettings()
	set.Instances = 100
	set.Classes[0] = Class{LatencyObjective: 1500 * ms, Deadline: 5 * time.Second}
	g := newTestGateway(t, set, testHosts(2)...)
	for range 50 {
		id := g.request(0, 5*time.Second)
		g.onlyAction(Send)
		g.advance(250 * ms)
		g.attemptEnded(id, 0, OK, 250*ms)
	}
	for _, h := range g.b.hosts {
		if h.restingUntil > 0 {
			t.Errorf("host %d rests after ordinary answers", h.ID)
		}
	}
}

// A class with a generous latency objective reduces the limit too once responses take several times
// their usual RTT.
func TestLimitIsReducedAboveUsualRTT(t *testing.T) {
	set := testSettings()
	set.Classes[0] = Class{LatencyObjective: 5 * time.Second, Deadline: 20 * time.Second}
	g := newTestGateway(t, set, testHosts(1)...)
	h := g.b.hosts[0]
	g.serve(100, 0, func(HostID) time.Duration { return 40 * ms })
	h.concurrencyLimit = 20
	id := g.request(0, 20*time.Second)
	g.advance(300 * ms)
	g.attemptEnded(id, 0, OK, 300*ms) // far within its latency objective
	if h.concurrencyLimit >= 20 {
		t.Errorf("limit %v after an answer of many times the usual RTT, want it cut", h.concurrencyLimit)
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
	for range 5 { // the answers of one round
		g.b.adjustLimit(h, 2*target, g.b.shortestObjective, sent)
	}
	if math.Abs(h.concurrencyLimit-20) > 1e-9 {
		t.Fatalf("limit %v after a round at twice the target, want half of 40", h.concurrencyLimit)
	}
	g.b.now += 300 * ms
	g.b.adjustLimit(h, 2*target, g.b.shortestObjective, g.b.now-300*ms)
	if math.Abs(h.concurrencyLimit-10) > 1e-9 {
		t.Errorf("limit %v after the next round, want a quarter of 40", h.concurrencyLimit)
	}
}

// A limit below one grows if another request found no host while the answered one was out, even if
// that request was rejected long before the response; otherwise it stays, and it does not grow above
// one this way. A busy gateway gets more than its even share of hosts with capacity.
func TestLimitBelowOneGrowsOnUnmetDemand(t *testing.T) {
	for _, wanted := range []bool{true, false} {
		set := testSettings()
		set.Instances = 40
		g := newTestGateway(t, set, testHosts(1)...)
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
			t.Errorf("wanted %v: the limit is %.3f, at first it was %.3f", wanted, h.concurrencyLimit, initialLimit/g.b.sharingInstances())
		}
	}
}

// Where many instances share a host, one attempt of each may be too many: a limit below one rests the
// host between attempts.
func TestLimitBelowOneRestsHost(t *testing.T) {
	set := testSettings()
	set.Instances = 16
	g := newTestGateway(t, set, testHosts(1)...)
	id := g.request(0, time.Second)
	g.onlyAction(Send)
	g.advance(40 * ms)
	g.attemptEnded(id, 0, OK, 40*ms)
	id = g.request(0, time.Second)
	g.onlyAction(Send) // quick answers: no rest
	g.advance(350 * ms)
	g.attemptEnded(id, 0, OK, 350*ms)
	g.request(0, time.Second)
	if len(g.acts) != 0 {
		t.Fatalf("sent %v at once to a crowded host with a limit below a quarter", g.acts)
	}
	g.advance(3 * time.Second)
	g.request(0, time.Second)
	g.onlyAction(Send)
}

// A host that answers well after an outage is not rested again because of its old mean RTT; a late
// response still rests it.
func TestGoodResponseDoesNotExtendRest(t *testing.T) {
	set := testSettings()
	set.Instances = 8
	g := newTestGateway(t, set, testHosts(1)...)
	h := g.b.hosts[0]
	for range 20 { // none is answered in time
		g.b.now += time.Second
		g.b.adjustLimit(h, 6, g.b.shortestObjective, g.b.now-time.Second)
	}
	limit, rest := h.concurrencyLimit, h.restingUntil
	if limit >= 1 || rest <= g.b.now {
		t.Fatalf("limit %v, rest until %v at %v, want both cut", limit, rest, g.b.now)
	}
	g.b.now = rest + ms
	g.b.adjustLimit(h, limitObjectives/4, g.b.shortestObjective, g.b.now-10*ms)
	if h.recentRTT.mean <= limitObjectives {
		t.Fatalf("mean %v, want one that is still over the target", h.recentRTT.mean)
	}
	if h.concurrencyLimit < limit || h.restingUntil != rest {
		t.Errorf("limit %v, rest until %v after a good answer, want %v and %v", h.concurrencyLimit, h.restingUntil, limit, rest)
	}
	g.b.now += ms
	g.b.adjustLimit(h, 6, g.b.shortestObjective, g.b.now)
	if h.restingUntil <= g.b.now {
		t.Error("a late answer does not make it rest")
	}
}

// A host that rejects attempts at once is not sent all that waits while the others are at their
// limits.
func TestFullResponseReducesLimitAndRestsHost(t *testing.T) {
	set := testSettings()
	set.Instances = 4
	g := newTestGateway(t, set, testHosts(1)...)
	id := g.request(0, time.Second)
	g.onlyAction(Send)
	g.now += ms
	g.attemptEnded(id, 0, Full, ms)
	if len(g.acts) != 0 {
		t.Fatalf("actions %v right after the rejection, want the request to wait", g.acts)
	}
	if h := g.b.hosts[0]; h.concurrencyLimit >= 1 || h.restingUntil <= g.now {
		t.Errorf("limit %v, rest until %v at %v, want both cut", h.concurrencyLimit, h.restingUntil, g.now)
	}
}

// An attempt canceled at its deadline counts against its host like one that timed out; one canceled
// because the client has gone does not.
func TestCancelAtDeadlineCountsAsTimeout(t *testing.T) {
	set := testSettings()
	set.Instances = 100
	for _, gone := range []bool{false, true} {
		g := newTestGateway(t, set, testHosts(2)...)
		id := g.request(2, 600*ms)
		h := g.b.byID[g.onlyAction(Send).Host]
		if gone {
			g.now += 30 * ms
			g.b.ClientGone(g.now, id)
			g.takeActions()
		} else {
			g.advance(600 * ms)
		}
		g.attemptEnded(id, 0, Canceled, 600*ms)
		if h.sampled == gone || (h.restingUntil > g.now) == gone || (g.b.pressure.seen) == gone {
			t.Errorf("client gone %v: sampled %v, rest until %v at %v, pressure %v",
				gone, h.sampled, h.restingUntil, g.now, g.b.pressure)
		}
	}
}
