package balancer

import (
	"testing"
	"time"
)

// From its third error in a row on, a host is excluded for the class and then gets one trial request at a
// time; other classes are still sent to it. Guards against a host that fails fast and therefore attracts
// all requests, and against losing the host for the classes that it serves.
func TestErrorsExcludeHostForTheirClass(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(2)...)
	h := g.b.hosts[0]
	f := &h.errors[1]
	fail := func() { // an error response by h, without calling pick
		r := &request{Request: Request{ID: 1 << 40, Class: 1}, class: &g.b.settings.Classes[1]}
		g.b.recordError(&attempt{request: r, host: h, sentAt: g.now})
	}
	for i := range 3 {
		if g.b.excludedFor(h, 1) {
			t.Fatalf("excluded after %d errors, want exclusion after 3", i)
		}
		fail()
	}
	if !g.b.excludedFor(h, 1) || g.b.excludedFor(h, 0) || g.b.ejected(h) {
		t.Fatalf("after three errors: excluded for class 1 %v, for class 0 %v, ejected %v, want true, false, false",
			g.b.excludedFor(h, 1), g.b.excludedFor(h, 0), g.b.ejected(h))
	}
	sent := func(class int) bool { return g.serve(20, class, func(HostID) time.Duration { return ms })[h.ID] > 0 }
	if toExcluded, toOther := sent(1), sent(0); toExcluded || !toOther {
		t.Errorf("requests sent to the host: of the excluded class %v, of another class %v, want only the latter", toExcluded, toOther)
	}
	for g.now < f.excludedUntil {
		g.advance(f.excludedUntil - g.now)
	}
	g.b.now = g.now
	r := &request{Request: Request{ID: 1 << 41, Class: 1}, class: &g.b.settings.Classes[1]}
	g.b.send(r, h)
	if !g.b.excludedFor(h, 1) {
		t.Error("host is in use for the class during the trial, want it excluded")
	}
	exclusions := f.exclusions
	g.now += ms
	g.b.now = g.now
	fail()
	if f.exclusions != exclusions+1 || !g.b.excludedFor(h, 1) {
		t.Errorf("after an error response to the trial request: %d exclusions, excluded %v, want %d and true",
			f.exclusions, g.b.excludedFor(h, 1), exclusions+1)
	}
	for range 4 {
		f.addSuccess(g.b.maxErrorShareOf(1))
	}
	if f.exclusions != 0 || g.b.excludedFor(h, 1) {
		t.Errorf("after successful responses: %d exclusions, excluded %v, want 0 and false",
			f.exclusions, g.b.excludedFor(h, 1))
	}
	g.b.hosts[1].errors[1] = classErrors{excludedUntil: g.now + time.Second, exclusions: 1}
	h.errors[1] = classErrors{excludedUntil: g.now + time.Second, exclusions: 1}
	g.takeActions()
	g.request(1, time.Second)
	g.onlyAction(Send) // exclusions do not apply if every host is excluded
}

// The second error in a row, of any class, excludes a host for non-idempotent classes, because an error
// loses a request of such a class; successful responses of any class end the exclusion.
func TestErrorsExcludeHostForNonIdempotentClasses(t *testing.T) {
	for class, want := range []bool{false, false, true} {
		g := newTestGateway(t, testSettings(), testHosts(2)...)
		h := g.b.hosts[0]
		a := &attempt{request: &request{class: &g.b.settings.Classes[0]}, host: h, sentAt: g.now}
		g.b.recordError(a)
		if g.b.excludedFor(h, class) {
			t.Errorf("class %d: excluded after one error, want exclusion after two", class)
		}
		g.b.recordError(a)
		g.b.updateStanding(h)
		if got := g.b.excludedFor(h, class); got != want {
			t.Errorf("class %d: excluded %v after two errors of class 0, want %v", class, got, want)
		}
		if got := g.serve(20, class, func(HostID) time.Duration { return ms })[h.ID] == 0; want && !got {
			t.Errorf("class %d: requests sent to the excluded host, want none", class)
		}
		for range 3 {
			g.b.recordSuccess(a)
		}
		if f := h.errors[class]; g.b.excludedFor(h, class) || f.exclusions != 0 {
			t.Errorf("class %d: excluded after successful responses of class 0, want it in use: %+v", class, f)
		}
	}
}
