package balancer

import (
	"testing"
	"time"
)

// Guards against treating a request without time left as one without a deadline.
func TestRequestWithoutTimeLeftIsRejectedAtOnce(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(2)...)
	for class := range g.b.settings.Classes {
		g.request(class, 0)
		g.onlyAction(Reject)
	}
}

// An attempt may still be connecting at the deadline and end only after it. The request is therefore
// answered at least one step before its deadline.
func TestInFlightRequestIsAnsweredBeforeDeadline(t *testing.T) {
	for class, want := range []ActionKind{Reject, Fail, Fail} {
		g := newTestGateway(t, testSettings(), testHosts(2)...)
		g.request(class, 500*ms)
		g.onlyAction(Send)
		done := g.advance(500*ms - g.b.settings.Step)
		if len(done) != 2 || done[0].Kind != want || done[1].Kind != Cancel {
			t.Errorf("class %d: actions %v one step before the deadline, want one of kind %d and a Cancel",
				class, done, want)
		}
	}
}

// Requests that are open at a shutdown are answered by the given time even if their deadlines are later: by
// a rejection if they cannot have run, otherwise by a failure. Requests with earlier deadlines keep them.
func TestShutdownAnswersOpenRequests(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(4)...)
	sent := map[RequestID]int{}
	for class := range g.b.settings.Classes {
		sent[g.request(class, time.Second)] = class
	}
	soon := g.request(0, 200*ms)
	by := g.now + 500*ms
	g.b.Shutdown(g.now, by)
	g.takeActions()
	for _, a := range g.advance(300 * ms) {
		if a.Kind == Reject && a.Request != soon || a.Kind == Fail {
			t.Errorf("request %d answered 200 ms before the end of the shutdown, want it at the end: %+v", a.Request, a)
		}
	}
	answers := 0
	for _, a := range g.advance(by - g.now) {
		if a.Kind != Reject && a.Kind != Fail {
			continue
		}
		answers++
		if class, ok := sent[a.Request]; !ok || (class == 0) != (a.Kind == Reject) || a.Cause != CauseDeadlineExceeded {
			t.Errorf("request %d of class %d: %+v, want a rejection of class 0 and a failure of others, at the deadline",
				a.Request, class, a)
		}
	}
	if answers != len(sent) {
		t.Errorf("%d answers by the end of the shutdown, want %d", answers, len(sent))
	}
}
