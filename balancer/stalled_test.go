package balancer

import (
	"testing"
	"time"
)

// An attempt that was overtaken by later responses of its host does not prevent other attempts there, and
// is canceled and retried if its class allows a retry. Guards against a single silent connection that keeps
// a working host out of use.
func TestOvertakenAttemptIsCanceledAndRetried(t *testing.T) {
	for class, retried := range []bool{true, true, false} {
		g := newTestGateway(t, testSettings(), testHosts(1)...)
		h := g.b.hosts[0]
		h.limiter.limit = 8
		g.b.stalled.unansweredShare = 1 // as if no earlier stalled attempt had been answered
		id := g.request(class, time.Second)
		g.advance(ms)
		for range overtakenResponses {
			g.attemptEnded(g.request(0, time.Second), 0, OK, ms)
			g.advance(ms)
		}
		var canceled []Action
		for range 20 {
			for _, a := range g.advance(15 * ms) {
				if a.Kind == Cancel {
					canceled = append(canceled, a)
				}
			}
			g.attemptEnded(g.request(0, time.Second), 0, OK, ms) // the host responds to other attempts meanwhile
		}
		if g.b.hostOverdue(h) {
			t.Errorf("class %d: the host is overdue, want it in use", class)
		}
		if !retried {
			if len(canceled) > 0 {
				t.Errorf("class %d: canceled %v, want none", class, canceled)
			}
			continue
		}
		if len(canceled) != 1 || canceled[0].Request != id || canceled[0].Attempt != 0 {
			t.Fatalf("class %d: canceled %v, want only the overtaken attempt", class, canceled)
		}
		g.attemptEnded(id, 0, Canceled, 300*ms)
		if got := g.onlyAction(Send).Request; got != id {
			t.Errorf("class %d: request %d sent, want the canceled request %d again", class, got, id)
		}
	}
}

// Overtaken attempts are canceled only if more than maxUnansweredShare of them stay unanswered: expensive
// requests get a response in the end, and canceling them doubles their work.
func TestOvertakenAttemptIsKeptWhereOthersAreAnswered(t *testing.T) {
	for class, result := range map[int]Result{0: OK, 2: TimedOut} { // an idempotent and a non-idempotent class
		g := newTestGateway(t, testSettings(), testHosts(1)...)
		g.b.hosts[0].limiter.limit = 8
		for range 8 {
			id := g.request(class, time.Second)
			g.advance(ms)
			for range overtakenResponses {
				g.attemptEnded(g.request(0, time.Second), 0, OK, ms)
				g.advance(ms)
			}
			for range 20 {
				for _, a := range g.advance(15 * ms) {
					if a.Kind == Cancel {
						t.Fatalf("class %d: canceled %v, want none", class, a)
					}
				}
				g.attemptEnded(g.request(0, time.Second), 0, OK, ms)
			}
			g.attemptEnded(id, 0, result, 300*ms)
			g.advance(time.Second)
		}
		if cancels := g.b.stalled.unansweredShare > maxUnansweredShare; cancels != (result == TimedOut) {
			t.Errorf("eight overtaken attempts ended with result %d: canceling %v, unanswered share %v, want canceling only after timeouts",
				result, cancels, g.b.stalled.unansweredShare)
		}
	}
}

// An overtaken attempt does not count against the concurrency limit of its host if more than
// maxUnansweredShare of such attempts stay unanswered, because it then probably occupies a silent
// connection rather than the host. Otherwise it does count.
func TestOvertakenAttemptFreesLimitWhereOthersStayUnanswered(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(1)...)
	h := g.b.hosts[0]
	h.limiter.limit = 8
	g.request(0, time.Second)
	g.advance(ms)
	for range overtakenResponses {
		g.attemptEnded(g.request(0, time.Second), 0, OK, ms)
		g.advance(ms)
	}
	h.limiter.limit = 1
	for _, share := range []float64{0, 1} {
		g.b.stalled.unansweredShare = share
		if at, want := !g.b.acceptsAttempts(h), share == 0; at != want {
			t.Errorf("with an unanswered share of %v: host at its limit %v, want %v", share, at, want)
		}
	}
}
