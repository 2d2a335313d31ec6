package balancer

import (
	"reflect"
	"testing"
	"time"
)

func TestRetryDecision(t *testing.T) {
	retry := []ActionKind{Send}
	tests := []struct {
		class  int
		result Result
		want   []ActionKind
	}{
		{0, OK, nil},
		{0, Failed, retry}, {0, TimedOut, retry}, {0, Reset, retry}, {0, Full, retry}, {0, ConnectFailed, retry},
		{1, Failed, retry}, {1, ConnectFailed, retry},
		{2, Failed, []ActionKind{Fail}}, {2, TimedOut, []ActionKind{Fail}}, {2, Reset, []ActionKind{Fail}},
		{2, Canceled, []ActionKind{Fail}},
		{2, Full, retry}, {2, ConnectFailed, retry}, {2, NotSent, retry},
	}
	for _, tt := range tests {
		g := newTestGateway(t, testSettings(), testHosts(2)...)
		id := g.request(tt.class, time.Second)
		g.advance(20 * ms)
		g.attemptEnded(id, 0, tt.result, 20*ms)
		var got []ActionKind
		for _, a := range g.actions {
			got = append(got, a.Kind)
		}
		if !reflect.DeepEqual(got, tt.want) {
			t.Errorf("class %d after result %d: actions %v, want %v", tt.class, tt.result, got, tt.want)
		}
	}
}

func TestRetryStopsAtMaxAttempts(t *testing.T) {
	settings := testSettings()
	settings.MaxAttempts = 3
	g := newTestGateway(t, settings, testHosts(8)...)
	id := g.request(2, time.Second)
	for n := range 3 {
		g.onlyAction(Send)
		g.attemptEnded(id, n, Full, ms)
	}
	g.onlyAction(Reject)
}

// A retry is sent to a host that the request has not been sent to, as long as one is ready.
func TestRetryPrefersUntriedHost(t *testing.T) {
	for seed := range uint64(200) {
		g := newSeededTestGateway(t, testSettings(), seed, testHosts(3)...)
		id := g.request(0, time.Second)
		tried := map[HostID]bool{}
		for n := range 3 {
			if len(g.actions) != 1 || g.actions[0].Kind != Send {
				t.Fatalf("seed %d: attempt %d: actions %v, want one Send", seed, n, g.actions)
			}
			if tried[g.actions[0].Host] {
				t.Fatalf("seed %d: attempt %d sent to host %d again, want an untried host", seed, n, g.actions[0].Host)
			}
			tried[g.actions[0].Host] = true
			g.attemptEnded(id, n, Failed, ms)
		}
		if len(g.actions) != 1 || g.actions[0].Kind != Send {
			t.Fatalf("seed %d: after attempts at all hosts: actions %v, want one Send", seed, g.actions)
		}
	}
}

func TestRetryWithKeyStopsAfterDedupWindow(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(2)...)
	id := g.request(1, time.Second)
	g.advance(599 * ms)
	g.attemptEnded(id, 0, Failed, 599*ms)
	g.onlyAction(Fail)
}

// The Send of a retry contains the time by which the request must be sent, so that the time needed to
// connect counts as well. The window starts with the first attempt that may have run; all other attempts
// have no such limit.
func TestRetryCarriesEndOfDedupWindow(t *testing.T) {
	for class := range testSettings().Classes {
		g := newTestGateway(t, testSettings(), testHosts(4)...)
		id, began := g.request(class, time.Second), g.now
		if at := g.onlyAction(Send).At; at != 0 {
			t.Errorf("class %d: the first attempt must be sent by %v, want no limit", class, at-began)
		}
		g.advance(100 * ms)
		g.attemptEnded(id, 0, ConnectFailed, ms)
		if at := g.onlyAction(Send).At; at != 0 {
			t.Errorf("class %d: the second attempt must be sent by %v, want no limit, because the first one never ran",
				class, at-began)
		}
		second := g.now
		g.advance(100 * ms)
		g.attemptEnded(id, 1, Reset, ms)
		if class == 2 {
			continue // a request of this class may not be retried
		}
		want := Time(0)
		if class == 1 {
			want = second + 600*ms - dedupMarginSteps*g.b.settings.Step
		}
		if at := g.onlyAction(Send).At; at != want {
			t.Errorf("class %d: the retry must be sent by %v, want %v", class, at-began, want-began)
		}
	}
}

func TestStreamedRequestIsNotRetried(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(2)...)
	id := g.request(0, 500*ms)
	g.b.ResponseStarted(g.now, id, 0)
	if done := g.advance(2 * time.Second); len(done) != 0 {
		t.Errorf("actions %v past the deadline of a streamed request, want none", done)
	}
	g.b.AttemptEnded(g.now, Outcome{Request: id, Result: Reset, Closed: true})
	g.takeActions()
	if len(g.actions) != 0 || len(g.b.open) != 0 {
		t.Errorf("actions %v after a broken stream, %d requests open, want none", g.actions, len(g.b.open))
	}
}

func TestClientGoneCancelsAndDeletesRequest(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(1)...)
	id := g.request(0, time.Second)
	g.b.ClientGone(g.now, id)
	g.takeActions()
	g.onlyAction(Cancel)
	g.attemptEnded(id, 0, Canceled, ms)
	if len(g.b.open) != 0 {
		t.Errorf("%d requests open after the client disconnected, want none", len(g.b.open))
	}
}
