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
	first := g.b.hosts[0].ejectedUntil - g.now
	if got := g.serve(100, 0, func(HostID) time.Duration { return ms }); got[1] != 0 {
		t.Fatalf("%d sends to the ejected host", got[1])
	}
	g.now = g.b.hosts[0].ejectedUntil
	fail()
	if second := g.b.hosts[0].ejectedUntil - g.now; second <= first {
		t.Errorf("back-off %v after %v, want it to grow", second, first)
	}
	g.now = g.b.hosts[0].ejectedUntil
	trial := g.requestUntilSentTo(1, ms)
	for range 20 {
		id := g.request(0, time.Second)
		if g.onlyAction(Send).Host == 1 {
			t.Fatal("second request while the trial is out")
		}
		g.attemptEnded(id, 0, OK, ms)
	}
	g.attemptEnded(trial, 0, OK, ms)
	if h := g.b.hosts[0]; h.ejections != 0 {
		t.Error("still ejected after the trial's answer")
	}
}

// A passed health check moves the trial to a random time within the duration given, but only once
// until the host answers, so that a wrong check costs one trial.
func TestHealthCheckPassedBringsTrialForward(t *testing.T) {
	var at []Time
	for seed := range uint64(40) {
		g := newTestGateway(t, testSettings(), testHosts(2)...)
		g.b.rng = seed
		h := g.b.byID[1]
		g.b.HealthCheckPassed(g.now, 1, ms)
		if g.b.eject(h, CauseConnections); h.ejectedUntil <= g.now+20*ms {
			t.Fatalf("out for %v only", h.ejectedUntil-g.now)
		}
		g.b.HealthCheckPassed(g.now, 1, 20*ms)
		g.b.HealthCheckPassed(g.now, 9, 20*ms) // nobody's
		if h.ejectedUntil > g.now+20*ms {
			t.Fatalf("out for %v after a hint", h.ejectedUntil-g.now)
		}
		at = append(at, h.ejectedUntil-g.now)
		g.now = h.ejectedUntil
		g.b.eject(h, CauseConnections)
		until := h.ejectedUntil
		if g.b.HealthCheckPassed(g.now, 1, 20*ms); h.ejectedUntil != until {
			t.Fatal("a second hint is taken though the first was wrong")
		}
		g.b.readmit(h)
		g.b.eject(h, CauseConnections)
		if g.b.HealthCheckPassed(g.now, 1, 20*ms); h.ejectedUntil > g.now+20*ms {
			t.Fatal("no hint is taken after the host has answered")
		}
	}
	if slices.Sort(at); at[4] > 8*ms || at[35] < 12*ms {
		t.Errorf("trials are not spread: %v", at)
	}
}

// One broken connection does not eject a host, as any host can have one; a second without a complete
// response between does.
func TestSecondBrokenConnectionInARowEjectsHost(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(1)...)
	h := g.b.hosts[0]
	for i, r := range []Result{Reset, OK, Reset, Reset} {
		if g.b.ejected(h) {
			t.Fatalf("out after %d outcomes", i)
		}
		g.attemptEnded(g.request(2, time.Second), 0, r, ms)
	}
	if !g.b.ejected(h) {
		t.Error("not out after two in a row")
	}
}

// A spoilt response comes from a host that works: it adds a penalty only from the second in a row on,
// and ejects nothing.
func TestSecondSpoiltResponseInARowAddsPenalty(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(1)...)
	h := g.b.hosts[0]
	id := g.request(2, time.Second)
	g.attemptEnded(id, 0, Spoilt, 5*ms)
	if g.onlyAction(Fail).Request != id { // it may have run
		t.Error("another request was answered")
	}
	if got := g.b.estimatedRTT(h); got > 0.1 || g.b.ejected(h) { // the seed
		t.Errorf("estimate %v, ejected %v", got, g.b.ejected(h))
	}
	id = g.request(0, time.Second)
	g.attemptEnded(id, 0, Spoilt, 5*ms)
	if g.onlyAction(Send).Request != id {
		t.Error("a safe request is not sent again")
	}
	if got := g.b.estimatedRTT(h); got < g.b.penalty {
		t.Errorf("estimate %v after two in a row, want the penalty %v", got, g.b.penalty)
	}
}

// A host is excluded for a class from its third error in a row on, and is then tried with one request
// at a time; other classes are sent there as before. A host that fails fast must not attract
// everything, nor be lost for the classes that it serves.
func TestErrorsExcludeHostForTheirClass(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(2)...)
	h := g.b.hosts[0]
	f := &h.class[1]
	fail := func() { // an attempt at h, whatever would be picked
		r := &request{Request: Request{ID: 1 << 40, Class: 1}, class: &g.b.set.Classes[1]}
		g.b.recordForClasses(&attempt{req: r, host: h, sent: g.now}, g.b.recordError)
	}
	for i := range 3 {
		if g.b.excludedFor(h, 1) {
			t.Fatalf("out after %d errors", i)
		}
		fail()
	}
	if !g.b.excludedFor(h, 1) || g.b.excludedFor(h, 0) || g.b.ejected(h) {
		t.Fatal("after three errors it is not out for that class alone")
	}
	sent := func(class int) bool { return g.serve(20, class, func(HostID) time.Duration { return ms })[h.ID] > 0 }
	if sent(1) || !sent(0) {
		t.Error("it gets requests of that class, or none of another")
	}
	for g.now < f.excludedUntil {
		g.advance(f.excludedUntil - g.now)
	}
	g.b.now = g.now
	r := &request{Request: Request{ID: 1 << 41, Class: 1}, class: &g.b.set.Classes[1]}
	g.b.send(r, h)
	if !g.b.excludedFor(h, 1) {
		t.Error("a second request may go out beside the trial")
	}
	out := f.exclusions
	g.now += ms
	g.b.now = g.now
	fail()
	if f.exclusions != out+1 || !g.b.excludedFor(h, 1) {
		t.Error("an error to the trial does not keep it out")
	}
	for range 4 {
		g.b.recordSuccess(&attempt{host: h}, 1)
	}
	if f.exclusions != 0 || g.b.excludedFor(h, 1) {
		t.Error("good answers do not bring it back")
	}
	g.b.hosts[1].class[1], h.class[1] = classErrors{excludedUntil: g.now + time.Second, exclusions: 1}, classErrors{excludedUntil: g.now + time.Second, exclusions: 1}
	g.takeActions()
	g.request(1, time.Second)
	g.onlyAction(Send) // with errors everywhere one is as good as another
}

// The second error in a row, of any class, excludes a host for non-idempotent classes, whose requests
// an error loses; good responses to any class readmit it.
func TestErrorsExcludeHostForNonIdempotentClasses(t *testing.T) {
	for class, want := range []bool{false, false, true} {
		g := newTestGateway(t, testSettings(), testHosts(2)...)
		h := g.b.hosts[0]
		a := &attempt{req: &request{class: &g.b.set.Classes[0]}, host: h, sent: g.now}
		g.b.recordForClasses(a, g.b.recordError)
		if g.b.excludedFor(h, class) {
			t.Errorf("class %d: out after one error, which may be chance", class)
		}
		g.b.recordForClasses(a, g.b.recordError)
		g.b.recheck(h)
		if got := g.b.excludedFor(h, class); got != want {
			t.Errorf("class %d: out %v after two errors to class 0", class, got)
		}
		if got := g.serve(20, class, func(HostID) time.Duration { return ms })[h.ID] == 0; want && !got {
			t.Errorf("class %d: sent to it all the same", class)
		}
		for range 3 {
			g.b.recordForClasses(a, g.b.recordSuccess)
		}
		if f := h.class[class]; g.b.excludedFor(h, class) || f.exclusions != 0 {
			t.Errorf("class %d: not back after good answers to class 0: %+v", class, f)
		}
	}
}

// Fail-open skips hosts to which connections fail while any other host is up, as an attempt there
// fails at once and uses up one of the attempts of its request.
func TestFailOpenSkipsHostsWithFailingConnections(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(6)...)
	for id := HostID(1); id <= 4; id++ {
		g.b.eject(g.b.byID[id], CauseConnections)
	}
	g.b.eject(g.b.byID[5], CauseSilent)
	got := g.serve(40, 0, func(HostID) time.Duration { return ms })
	if got[5] == 0 || got[6] == 0 || got[1]+got[2]+got[3]+got[4] != 0 {
		t.Errorf("sends by host: %v", got)
	}
	g.b.eject(g.b.byID[5], CauseConnections)
	g.b.byID[5].ejectCause = CauseConnections
	g.b.eject(g.b.byID[6], CauseConnections)
	g.request(0, time.Second)
	g.onlyAction(Send) // connections fail everywhere, so the fault may be the path
}

func TestFailOpenUsesEjectedHostsWhenMostAreEjected(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(4)...)
	for _, h := range g.b.hosts[:3] {
		g.b.eject(h, CauseSilent)
	}
	got := g.serve(60, 0, func(HostID) time.Duration { return ms })
	if len(got) < 2 {
		t.Errorf("sends %v, want the ejected hosts used too", got)
	}
}
