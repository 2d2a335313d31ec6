package balancer

import (
	"math"
	"testing"
	"time"
)

func TestEstimatedRTTFollowsPeaksAndDecays(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(1)...)
	h := g.b.hosts[0]
	tau := g.b.minEstimateDecay
	steps := []struct {
		name  string
		after time.Duration
		rtt   float64
		want  float64
	}{
		{"above the estimate replaces it", 0, 0.5, 0.5},
		{"below is blended according to the time since the last sample", 800 * ms, 0.1, 0.5*math.Exp(-0.8/tau) + 0.1*(1-math.Exp(-0.8/tau))},
		{"immediately after another leaves the estimate", 0, 0.01, 0.5*math.Exp(-0.8/tau) + 0.1*(1-math.Exp(-0.8/tau))},
		{"below the last estimate but above its decayed value replaces it", 100 * time.Second, 0.02, 0.02},
	}
	for _, s := range steps {
		g.b.now += s.after
		g.b.addSample(h, s.rtt)
		if math.Abs(h.rtt.seconds-s.want) > 1e-12 {
			t.Errorf("sample %s: estimate %v, want %v", s.name, h.rtt.seconds, s.want)
		}
	}
	g.b.now += Time(tau * 1e9)
	if got, want := g.b.estimatedRTT(h), 0.02/math.E; math.Abs(got-want) > 1e-9 {
		t.Errorf("estimate after one time constant: %v, want %v", got, want)
	}
	if h.rtt.seconds != 0.02 {
		t.Errorf("estimate %v after a read, want 0.02 as before", h.rtt.seconds)
	}
}

func TestAttemptResultUpdatesEstimatedRTT(t *testing.T) {
	tests := []struct {
		result Result
		took   time.Duration
		want   float64 // -1: the initial estimate stays
	}{
		{OK, 300 * ms, 0.3},
		{Failed, 2 * ms, 0.4}, // the error penalty: one latency objective
		{Full, 2 * ms, 0.4},
		{Failed, 700 * ms, 0.7},
		{TimedOut, 600 * ms, 0.6},
		{Reset, 500 * ms, 0.5},
		{ConnectFailed, 250 * ms, 0.25},
		{Canceled, 900 * ms, -1},
		{NotSent, 900 * ms, -1},
	}
	for _, tt := range tests {
		g := newTestGateway(t, testSettings(), testHosts(1)...)
		h := g.b.hosts[0]
		initial := h.rtt.seconds
		if tt.want < 0 {
			tt.want = initial
		}
		id := g.request(0, time.Second)
		g.attemptEnded(id, 0, tt.result, tt.took)
		got := h.rtt.seconds
		if tt.result == Failed {
			got = g.b.score(h, 0) / float64(h.inFlight+1)
		}
		if math.Abs(got-tt.want) > 1e-9 {
			t.Errorf("result %d after %v: estimate %v, want %v", tt.result, tt.took, got, tt.want)
		}
	}
}

// Guards against a response with an RTT of 0 that sets the estimate to NaN, which cannot be compared.
func TestZeroRTTLeavesValidEstimate(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(1)...)
	g.attemptEnded(g.request(0, time.Second), 0, OK, 0)
	if got := g.b.estimatedRTT(g.b.hosts[0]); !(got >= 0) {
		t.Errorf("estimate %v after a response with an RTT of 0, want a number of 0 or more", got)
	}
}

// The estimate of a host without samples is the RTT of hosts of its kind rather than a fixed value.
func TestEstimateOfNewHostStartsAtItsKind(t *testing.T) {
	list := testHosts(4)
	for i := range list {
		list[i].Kind = i % 2
	}
	settings := testSettings()
	g := newTestGateway(t, settings, list...)
	if e := g.b.estimatedRTT(g.b.hosts[0]); e != initialRTTObjectives*0.4 {
		t.Errorf("estimate %v without samples, want %v", e, initialRTTObjectives*0.4)
	}
	g.serve(60, 0, func(h HostID) time.Duration { return Time(20+60*(h%2)) * ms })
	g.updateEndpoints(ListChanges, Host{ID: 11, Kind: 0}, Host{ID: 12, Kind: 1}, Host{ID: 13, Kind: -1})
	n := len(g.b.hosts)
	slow, fast, unknown := g.b.estimatedRTT(g.b.hosts[n-3]), g.b.estimatedRTT(g.b.hosts[n-2]), g.b.estimatedRTT(g.b.hosts[n-1])
	if math.Abs(slow-0.08) > 0.02 || math.Abs(fast-0.02) > 0.01 || unknown <= fast || unknown >= slow {
		t.Errorf("initial estimates %v, %v, and %v for an unknown kind, want about 0.08, 0.02 and a value between",
			slow, fast, unknown)
	}
}

// Guards against a host that looks slow only because it has just served a slow class.
func TestEstimateIsIndependentOfClass(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(2)...)
	for range 60 {
		for class, took := range []time.Duration{20 * ms, 0, 200 * ms} {
			if took > 0 {
				id := g.request(class, time.Second)
				g.onlyAction(Send)
				g.advance(took)
				g.attemptEnded(id, 0, OK, took)
			}
		}
	}
	if x, y := g.b.hosts[0].rtt.seconds, g.b.hosts[1].rtt.seconds; x > 1.3*y || y > 1.3*x {
		t.Errorf("estimates %v and %v of two equal hosts, want them within 30%%", x, y)
	}
}
