package balancer

import (
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"
)

func TestSilentHostIsEjectedUntilItAnswers(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(3)...)
	g.serve(60, 0, func(HostID) time.Duration { return 10 * ms })
	unanswered := g.requestUntilSentTo(1, 10*ms)
	g.advance(200 * ms)
	if got := g.serve(50, 0, func(HostID) time.Duration { return ms }); got[1] != 0 {
		t.Fatalf("%d requests sent to the silent host, want 0", got[1])
	}
	g.attemptEnded(unanswered, 0, OK, 250*ms) // it only paused
	if h := g.b.hosts[0]; h.ejections != 0 {
		t.Errorf("%d ejections after its response, want 0", h.ejections)
	}
	g.advance(10 * time.Second) // its one long RTT decays
	if got := g.serve(300, 0, func(h HostID) time.Duration { return 10 * ms }); got[1] == 0 {
		t.Error("no requests sent to the host after its response, want some")
	}
}

// A host that takes long over one request and answers others meanwhile is not silent.
func TestHostAnsweringOtherAttemptsIsNotEjected(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(1)...)
	g.b.hosts[0].concurrencyLimit = 10
	g.serve(30, 0, func(HostID) time.Duration { return 10 * ms })
	g.request(0, time.Second)
	for range 20 {
		id := g.request(0, time.Second)
		g.advance(20 * ms)
		g.attemptEnded(id, 0, OK, 10*ms)
	}
	if g.b.hosts[0].ejections != 0 {
		t.Errorf("%d ejections, want 0", g.b.hosts[0].ejections)
	}
}

// One attempt that takes long makes its host suspected, not ejected. A suspected host receives nothing
// while another is ready, and then a single idempotent request whose outcome decides.
func TestSuspectedHostIsTestedWithOneIdempotentRequest(t *testing.T) {
	for _, answers := range []bool{true, false} {
		g := newTestGateway(t, testSettings(), testHosts(2)...)
		g.serve(60, 0, func(HostID) time.Duration { return 10 * ms })
		h := g.b.byID[1]
		unanswered := g.requestUntilSentTo(1, 10*ms)
		g.advance(200 * ms)
		if h.ejections != 0 || !g.b.suspected(h) {
			t.Fatalf("ejected %d times, suspected %v, want 0 and true", h.ejections, g.b.suspected(h))
		}
		if got := g.serve(30, 0, func(HostID) time.Duration { return ms }); got[1] != 0 {
			t.Fatalf("%d requests sent to it while another host is ready, want 0", got[1])
		}
		g.b.byID[2].restingUntil = g.now + time.Minute // the other is not ready any more
		g.b.recheck(g.b.byID[2])
		g.request(2, time.Second)
		for _, a := range g.actions {
			if a.Kind == Send {
				t.Fatalf("non-idempotent request sent: %v, want it to wait", a)
			}
		}
		g.advance(300 * ms) // it is rejected
		id := g.request(0, time.Second)
		if a := g.onlyAction(Send); a.Host != 1 {
			t.Fatalf("sent to host %d, want 1", a.Host)
		}
		if g.request(0, time.Second); len(g.actions) > 0 {
			t.Fatalf("actions %v for a second request while the host is suspected, want none", g.actions)
		}
		if answers {
			g.attemptEnded(id, 0, OK, 10*ms)
			g.advance(100 * ms)
			if h.ejections != 0 {
				t.Errorf("%d ejections though it answers others, want 0", h.ejections)
			}
		} else {
			g.advance(200 * ms)
			if h.ejections == 0 || h.ejectCause != CauseSilent {
				t.Errorf("two attempts unanswered: ejected %d times, cause %v, want once or more as silent",
					h.ejections, h.ejectCause)
			}
		}
		g.attemptEnded(unanswered, 0, OK, 500*ms)
		if h.ejections != 0 {
			t.Errorf("%d ejections after its response, want 0", h.ejections)
		}
	}
}

// Two instances share ten hosts, each of which divides one core among its requests, and one attempt in
// 25 is never answered because its connection is silent. Such attempts must not keep their hosts out
// of use until the deadlines of their clients.
func TestSilentConnectionsDoNotStarveFleet(t *testing.T) {
	requested, rejected := 0, 0
	for seed := range int64(10) { // a single run varies too much
		seedRequested, seedRejected := playSilentConnections(t, seed+1)
		requested += seedRequested
		rejected += seedRejected
	}
	if float64(rejected) > 0.05*float64(requested) {
		t.Errorf("%d of %d requests rejected or failed, want at most 5%%", rejected, requested)
	}
	t.Logf("%d of %d requests rejected or failed", rejected, requested)
}

// playSilentConnections plays eight seconds of that load with a random seed, and returns how many
// requests came and how many of them were rejected or failed.
func playSilentConnections(t *testing.T, seed int64) (requested, rejected int) {
	settings := testSettings()
	settings.Instances, settings.Step = 2, ms
	settings.Classes = []Class{
		{LatencyObjective: 380 * ms, Deadline: 1340 * ms, PriorityWeight: 1},
		{LatencyObjective: 130 * ms, Deadline: 400 * ms, PriorityWeight: 5, Idempotency: NonIdempotent},
	}
	type job struct {
		gw   int
		id   RequestID
		n    int
		host HostID
		left float64 // work in ms
		sent Time
	}
	r := rand.New(rand.NewSource(seed))
	var gws [2]*testGateway
	for i := range gws {
		settings.Rank = i
		gws[i] = newTestGateway(t, settings, testHosts(10)...)
	}
	const warm = 1000 // ms
	var jobs []*job
	work := map[RequestID]float64{}
	sends := map[[2]RequestID]int{}
	var handle func(gw int, actions []Action)
	handle = func(gw int, actions []Action) {
		for _, a := range slices.Clone(actions) {
			switch a.Kind {
			case Send:
				key := [2]RequestID{RequestID(gw), a.Request}
				j := &job{gw, a.Request, sends[key], a.Host, work[a.Request], gws[gw].now}
				if gws[gw].now > time.Hour+warm*ms && r.Float64() < 0.04 {
					j.left = math.Inf(1)
				}
				jobs = append(jobs, j)
				sends[key]++
			case Cancel:
				for i, j := range jobs {
					if j.gw == gw && j.id == a.Request && j.n == a.Attempt {
						jobs = slices.Delete(jobs, i, i+1)
						gws[gw].attemptEnded(j.id, j.n, Canceled, gws[gw].now-j.sent)
						handle(gw, gws[gw].actions)
						break
					}
				}
			case Reject, Fail:
				rejected++
			}
		}
	}
	speed := [...]float64{0.8, 1.2, 2}
	for range 8000 {
		busy := map[HostID]float64{}
		for _, j := range jobs {
			if !math.IsInf(j.left, 1) {
				busy[j.host]++
			}
		}
		for _, j := range slices.Clone(jobs) {
			if math.IsInf(j.left, 1) || !slices.Contains(jobs, j) {
				continue
			}
			if j.left -= speed[j.host%3] / busy[j.host]; j.left > 0 {
				continue
			}
			jobs = slices.Delete(jobs, slices.Index(jobs, j), slices.Index(jobs, j)+1)
			gws[j.gw].attemptEnded(j.id, j.n, OK, gws[j.gw].now-j.sent)
			handle(j.gw, gws[j.gw].actions)
		}
		for i, g := range gws {
			handle(i, g.advance(ms))
			if r.Float64() >= 0.35 { // of each instance
				continue
			}
			class := r.Intn(2)
			work[g.next+1] = r.ExpFloat64() * 10
			requested++
			g.request(class, time.Second)
			handle(i, g.actions)
		}
	}
	return requested, rejected
}
