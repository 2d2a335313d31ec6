package balancer

import (
	"slices"
	"testing"
	"time"
)

func TestConnectFailureEjectsAndTrialReadmits(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(4)...)
	fail := func() {
		id := g.requestUntilSentTo(1, ms)
		g.attemptEnded(id, 0, ConnectFailed, ms)
		g.attemptEnded(id, 1, OK, ms)
	}
	fail()
	first := g.b.hosts[0].ejection.until - g.now
	if got := g.serve(100, 0, func(HostID) time.Duration { return ms }); got[1] != 0 {
		t.Fatalf("%d requests sent to the ejected host, want 0", got[1])
	}
	g.now = g.b.hosts[0].ejection.until
	fail()
	if second := g.b.hosts[0].ejection.until - g.now; second <= first {
		t.Errorf("backoff %v after %v, want it to grow", second, first)
	}
	g.now = g.b.hosts[0].ejection.until
	trial := g.requestUntilSentTo(1, ms)
	for range 20 {
		id := g.request(0, time.Second)
		if g.onlyAction(Send).Host == 1 {
			t.Fatal("a second request was sent to the host during its trial, want only the trial request")
		}
		g.attemptEnded(id, 0, OK, ms)
	}
	g.attemptEnded(trial, 0, OK, ms)
	if h := g.b.hosts[0]; h.ejection.count != 0 {
		t.Errorf("%d ejections after the response to the trial request, want 0", h.ejection.count)
	}
}

// A passed health check moves the trial request to a random time within the given duration, but only once
// until the host responds, so that a wrong health check costs a single trial.
func TestHealthCheckPassedShortensBackoff(t *testing.T) {
	var at []Time
	for seed := range uint64(40) {
		g := newTestGateway(t, testSettings(), testHosts(2)...)
		g.b.random.state = seed
		h := g.b.byID[1]
		g.b.HealthCheckPassed(g.now, 1, ms)
		g.b.eject(h, CauseConnectionsFailed)
		if h.ejection.until <= g.now+20*ms {
			t.Fatalf("ejected for %v, want more than the 20 ms given to HealthCheckPassed", h.ejection.until-g.now)
		}
		g.b.HealthCheckPassed(g.now, 1, 20*ms)
		g.b.HealthCheckPassed(g.now, 9, 20*ms) // an unknown host
		if h.ejection.until > g.now+20*ms {
			t.Fatalf("ejected for %v after a passed health check, want at most 20 ms", h.ejection.until-g.now)
		}
		at = append(at, h.ejection.until-g.now)
		g.now = h.ejection.until
		g.b.eject(h, CauseConnectionsFailed)
		until := h.ejection.until
		g.b.HealthCheckPassed(g.now, 1, 20*ms)
		if h.ejection.until != until {
			t.Fatalf("ejected until %v after a second health check, want %v as before, because the first one was wrong",
				h.ejection.until, until)
		}
		g.b.readmit(h)
		g.b.eject(h, CauseConnectionsFailed)
		g.b.HealthCheckPassed(g.now, 1, 20*ms)
		if h.ejection.until > g.now+20*ms {
			t.Fatalf("ejected for %v after a health check, want at most 20 ms, because the host has responded since",
				h.ejection.until-g.now)
		}
	}
	slices.Sort(at)
	if at[4] > 8*ms || at[35] < 12*ms {
		t.Errorf("trials after %v, want them spread over 20 ms", at)
	}
}

// A single broken connection does not eject a host, because it can happen to any host; a second one without
// a complete response in between does.
func TestSecondBrokenConnectionInARowEjectsHost(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(1)...)
	h := g.b.hosts[0]
	for i, r := range []Result{Reset, OK, Reset, Reset} {
		if g.b.ejected(h) {
			t.Fatalf("host is ejected after %d results, want it in use", i)
		}
		g.attemptEnded(g.request(2, time.Second), 0, r, ms)
	}
	if !g.b.ejected(h) {
		t.Error("host is in use after two broken connections in a row, want it ejected")
	}
}

// A host that sends a malformed response is still working: the error penalty applies only from the second
// one in a row on, and the host is not ejected.
func TestSecondInvalidResponseInARowAddsPenalty(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(1)...)
	h := g.b.hosts[0]
	id := g.request(2, time.Second)
	g.attemptEnded(id, 0, InvalidResponse, 5*ms)
	if got := g.onlyAction(Fail).Request; got != id { // the request may have run
		t.Errorf("request %d failed, want %d", got, id)
	}
	if got := g.b.estimatedRTT(h); got > 0.1 || g.b.ejected(h) { // 0.1 is the initial estimate
		t.Errorf("estimate %v, ejected %v after one invalid response, want the initial estimate and no ejection",
			got, g.b.ejected(h))
	}
	id = g.request(0, time.Second)
	g.attemptEnded(id, 0, InvalidResponse, 5*ms)
	if got := g.onlyAction(Send).Request; got != id {
		t.Errorf("request %d sent again, want the idempotent %d", got, id)
	}
	if got := g.b.estimatedRTT(h); got < g.b.errorPenalty {
		t.Errorf("estimate %v after two in a row, want the penalty of %v or more", got, g.b.errorPenalty)
	}
}
