package balancer

import (
	"testing"
	"time"
)

// Responses are also compared with the typical RTT of their class: a fleet can be overloaded while
// responses are well within the latency objective.
func TestSendRateIsReducedAboveTypicalRTT(t *testing.T) {
	settings := testSettings()
	settings.Instances = 100
	g := newTestGateway(t, settings, testHosts(10)...)
	quick := func(HostID) time.Duration { return 40 * ms }
	g.serve(100, 0, quick)
	if p := g.b.sendRate.recentRTT.mean; p > 1 || g.b.sendRate.limit != 0 {
		t.Fatalf("at the typical RTT: recent RTT %v targets, send rate %v, want at most 1 target and no limit",
			p, g.b.sendRate.limit)
	}
	g.serve(12, 0, func(HostID) time.Duration { return 100 * ms }) // a quarter of the latency objective
	if g.b.sendRate.limit == 0 {
		t.Errorf("at 2.5 times the typical RTT: no send rate limit at a recent RTT of %v targets, want one", g.b.sendRate.recentRTT.mean)
	}
	if l := g.b.typicalRTT.byClass[0].mean; l > 0.05 {
		t.Errorf("typical RTT %v after a short overload, want at most 0.05", l)
	}
}

// An attempt that is in flight for unusually long raises the mean RTT of the send rate before its response
// arrives. This detects that the hosts left after a crash are overloaded before the first late response.
func TestUnansweredAttemptRaisesRTTOfSendRate(t *testing.T) {
	settings := testSettings()
	settings.Instances = 100
	g := newTestGateway(t, settings, testHosts(10)...)
	g.serve(60, 0, func(HostID) time.Duration { return 20 * ms })
	before := g.b.sendRate.recentRTT.mean
	g.request(0, time.Second)
	g.onlyAction(Send)
	g.advance(300 * ms)
	if p := g.b.sendRate.recentRTT.mean; p <= before {
		t.Errorf("recent RTT of %v targets after 300 ms without a response, want above %v", p, before)
	}
}

// If each instance of a fleet has less than one attempt in flight at a host, concurrency limits per host
// cannot limit the load, so the send rate must.
func TestOverloadReducesSendRateByPriorityWeight(t *testing.T) {
	settings := testSettings()
	settings.Instances = 200
	g := newTestGateway(t, settings, testHosts(20)...)
	serve := func(objectives float64) (low, high int) {
		for range 100 {
			for _, class := range []int{0, 2} {
				id := g.request(class, time.Second)
				if len(g.actions) == 1 && g.actions[0].Kind == Send {
					if class == 0 {
						low++
					} else {
						high++
					}
					g.attemptEnded(id, 0, OK, Time(objectives*400)*ms)
				}
				for _, h := range g.b.hosts { // the concurrency limits must not apply
					h.limiter.limit = 10
					h.limiter.restingUntil = 0
				}
				g.advance(400 * ms)
			}
		}
		return low, high
	}
	if low, high := serve(0.1); low != 100 || high != 100 {
		t.Fatalf("sent %d of low and %d of high weight while responses are fast, want 100 of each", low, high)
	}
	low, high := serve(0.9)
	if low > 50 || high < 2*low {
		t.Errorf("sent %d of low and %d of high weight while responses are late, want at most 50 of low and twice as many of high weight",
			low, high)
	}
	serve(0.1)
	if low, high := serve(0.1); low != 100 || high != 100 {
		t.Errorf("sent %d of low and %d of high weight after the overload, want 100 of each", low, high)
	}
}
