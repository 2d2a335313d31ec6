package balancer

import (
	"testing"
	"time"
)

func TestRequestWithoutHostWaitsThenIsRejected(t *testing.T) {
	g := newTestGateway(t, testSettings())
	id := g.request(0, time.Second)
	if len(g.actions) != 0 {
		t.Fatalf("actions %v, want none while the request waits", g.actions)
	}
	done := g.advance(time.Second)
	if len(done) != 1 || done[0].Kind != Reject || done[0].Request != id {
		t.Errorf("actions %v after a second, want one rejection", done)
	}
}

func TestQueuedRequestIsSentToFirstListedHost(t *testing.T) {
	g := newTestGateway(t, testSettings())
	id := g.request(2, time.Second)
	g.updateEndpoints(ListFull, testHosts(1)...)
	if a := g.onlyAction(Send); a.Request != id || a.Host != 1 {
		t.Errorf("sent %v, want request %d to host 1", a, id)
	}
}

// Each host gets at most its limit of attempts. When an attempt ends, the queued request of the highest
// priority weight is sent next.
func TestQueueOrdersByPriorityWeight(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(2)...)
	inFlight := map[RequestID]bool{}
	for range 30 {
		g.request(0, time.Second)
		for _, a := range g.actions {
			inFlight[a.Request] = true
		}
	}
	if most := 2 * initialLimitAttempts; len(inFlight) != most {
		t.Fatalf("%d requests in flight at two new hosts, want %d", len(inFlight), most)
	}
	heaviest := g.request(2, time.Second)
	for id := range inFlight {
		g.now += 10 * ms
		g.attemptEnded(id, 0, OK, 10*ms)
		break
	}
	if len(g.actions) == 0 || g.actions[0].Request != heaviest {
		t.Errorf("actions %v, want request %d, of the highest weight, first", g.actions, heaviest)
	}
}

func TestDuplicateWaitsBehindFirstAttempts(t *testing.T) {
	tests := []struct {
		name      string
		duplicate Request
	}{
		{"marked as a duplicate", Request{Remaining: time.Second, Duplicate: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newTestGateway(t, testSettings(), testHosts(1)...)
			for range initialLimitAttempts {
				g.request(0, time.Second)
			}
			tt.duplicate.ID = 1000
			g.b.Request(g.now, tt.duplicate)
			first := g.request(0, time.Second)
			g.now += 10 * ms
			g.attemptEnded(1, 0, OK, 10*ms)
			if len(g.actions) == 0 || g.actions[0].Kind != Send || g.actions[0].Request != first {
				t.Fatalf("actions %v, want the first attempt %d sent before the duplicate", g.actions, first)
			}
			g.now += 10 * ms
			g.attemptEnded(2, 0, OK, 20*ms)
			if len(g.actions) == 0 || g.actions[0].Kind != Send || g.actions[0].Request != 1000 {
				t.Fatalf("actions %v, want the duplicate sent next", g.actions)
			}
		})
	}
}

func TestNoRequestIsQueuedPastLatencyObjective(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(1)...)
	for range 10 {
		g.request(0, time.Second)
	}
	begin := g.now
	for _, a := range g.advance(450 * ms) {
		if a.Kind != Reject {
			t.Fatalf("action %v, want only rejections", a)
		}
		if g.b.open[a.Request] != nil {
			t.Errorf("request %d is open after its rejection, want it deleted", a.Request)
		}
	}
	if g.b.queues.length != 0 {
		t.Errorf("%d requests queued after %v, want none past the latency objective", g.b.queues.length, g.now-begin)
	}
}

// Requests that have waited too long must also be rejected in a queue of low weight while the queue of
// higher weight is blocked.
func TestLateRequestsAreRejectedInEveryQueue(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].Deadline = 2 * time.Second
	settings.Classes[1].Deadline = 2 * time.Second // has a higher weight
	settings.Classes[1].LatencyObjective = 2 * time.Second
	g := newTestGateway(t, settings)
	low := g.request(0, 2*time.Second)
	high := g.request(1, 2*time.Second)
	for _, a := range g.advance(200 * ms) {
		if a.Kind != Reject || a.Request != low {
			t.Errorf("action %v, want only a rejection of the late request in the lower queue", a)
		}
	}
	if g.b.open[low] != nil || g.b.open[high] == nil {
		t.Errorf("late request open %v, other request open %v, want false and true",
			g.b.open[low] != nil, g.b.open[high] != nil)
	}
}

// The more gateways share a host, the sooner a queued request is rejected, because capacity at the host is
// then mostly freed by responses to other gateways.
func TestQueueTimeoutShrinksWithSharingInstances(t *testing.T) {
	for gateways, want := range map[int]time.Duration{1: 80 * ms, 4: 20 * ms, 20: 4 * ms} {
		settings := testSettings()
		settings.Instances = gateways
		g := newTestGateway(t, settings, testHosts(1)...)
		h := g.b.hosts[0]
		h.limiter.limit = 0.4
		h.limiter.restingUntil = g.now + time.Second
		g.b.updateStanding(h)
		g.request(0, time.Second)
		if len(g.actions) > 0 {
			t.Fatalf("%d gateways: actions %v at once, want none", gateways, g.actions)
		}
		early, then := g.advance(want-ms), g.advance(settings.Classes[0].LatencyObjective/8)
		if len(early) > 0 || len(then) != 1 || then[0].Kind != Reject || then[0].Cause != CauseQueueTimeout {
			t.Errorf("%d gateways: actions %v before %v and %v after, want one rejection after",
				gateways, early, want, then)
		}
	}
}
