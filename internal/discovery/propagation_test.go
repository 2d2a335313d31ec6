package discovery_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/discovery"
	"dunemoor/internal/engine"
	"dunemoor/internal/testutil"
)

// maxChangeDelay is the maximum time until a gateway applies a change, counted from when discovery is
// reachable and has the change, whatever calls failed before. The requirement is 6 s; the rest is left
// for the processing time of the gateway and of discovery.
const maxChangeDelay = 4500 * time.Millisecond

// minDrainGrace is the minimum grace period for drains in the settings. If lists are pushed, a change
// counts as known even if there is no watch, so a lost watch must be replaced within this time.
const minDrainGrace = 500 * time.Millisecond

// maxAddrChangeDelay is the maximum time from a change of the address until a gateway applies the list
// of the new service. The requirement is 4 s; the rest is left for the gateway's processing time.
const maxAddrChangeDelay = 3500 * time.Millisecond

// gateway is the part of a gateway that follows the endpoint list: watcher, engine and balancer.
type gateway struct {
	watcher   *discovery.Watcher
	drainedAt chan time.Time // receives the time when s-1 is taken out of use
}

func (g *gateway) Run(context.Context) {}

func (g *gateway) Host(id string) engine.Endpoint { return &endpoint{g, id} }

type endpoint struct {
	gateway *gateway
	id      string
}

func (h *endpoint) Update(_ string, _ int64, usable bool) {
	if h.id == "s-1" && !usable {
		select {
		case h.gateway.drainedAt <- time.Now():
		default: // only the first time is recorded
		}
	}
}

func (h *endpoint) CloseIdle() {}

func (h *endpoint) Attempt(context.Context, *engine.Request) engine.Result { return engine.Result{} }

// mode is the way in which gateways get lists.
type mode struct {
	name        string
	polled      bool
	pollTimeout time.Duration
}

var modes = []mode{{"pushed", false, 0}, {"polled", true, 10 * time.Second}, {"polled within a minute", true, time.Minute}}

// dialFunc opens a connection to a discovery service.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// discardLogs discards log output until the end of the test, as hundreds of gateways would log.
func discardLogs(t *testing.T) {
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	t.Cleanup(func() { slog.SetDefault(previous) })
}

// startGateway starts a gateway with the given rank in a fleet of the given size. Its saved list has two
// hosts.
func startGateway(ctx context.Context, t *testing.T, m mode, rank, instances int, dialService dialFunc, running *sync.WaitGroup) *gateway {
	g := &gateway{drainedAt: make(chan time.Time, 1), watcher: discovery.NewWatcher("discovery:1", m.polled, 1)}
	g.watcher.SetDial(dialService)
	seed := uint64(rank) // the same in every run
	e := engine.New(seed)
	p, err := e.NewPool(engine.PoolConfig{
		Settings: balancer.Settings{
			Instances: instances, Rank: rank, Poll: m.polled, PollTimeout: m.pollTimeout,
			Classes: []balancer.Class{{LatencyObjective: time.Second, Deadline: time.Second}},
		},
		Seed: seed, Transport: g, Poll: g.watcher.Poll,
	})
	if err != nil {
		t.Fatal(err)
	}
	p.UpdateEndpoints(balancer.ListSaved, discovery.MemberList{Version: 1, Servers: []discovery.Member{
		{ID: "s-1", Addr: "127.0.0.1:1", State: "ready"}, {ID: "s-2", Addr: "127.0.0.1:2", State: "ready"},
	}})
	running.Go(func() { e.Run(ctx) })
	running.Go(func() { g.watcher.Run(ctx, p) })
	return g
}

// Calls fail in various ways, at the start or later, for up to 12 s. Every gateway of a fleet applies a
// change within maxChangeDelay after discovery is reachable again. If lists are polled, this includes
// the backoff of the balancer.
func TestChangeIsAppliedInTimeAfterFailedCalls(t *testing.T) {
	discardLogs(t)
	for _, m := range modes {
		for _, f := range callFailures {
			t.Run(m.name+"/"+f.name, func(t *testing.T) {
				testutil.VirtualTime(t, func(t *testing.T) { testChangeAfterFailedCalls(t, m, f.callFailure) })
			})
		}
	}
}

// testChangeAfterFailedCalls runs gatewayCount gateways of a fleet, including the first and the last.
func testChangeAfterFailedCalls(t *testing.T, m mode, f callFailure) {
	const fleetSize, gatewayCount = 300, 12
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	worst := time.Duration(0)
	services, gateways := make([]*fakeService, gatewayCount), make([]*gateway, gatewayCount)
	for i := range gatewayCount {
		s := &fakeService{startedAt: time.Now(), failure: f, omitsDraining: i%2 > 0}
		if i%3 > 0 {
			s.downAt = 20*time.Second + time.Duration(i)*7*time.Millisecond
		}
		s.upAt = s.downAt + time.Duration(i)*1081*time.Millisecond // 0 to 12 s
		services[i], gateways[i] = s, startGateway(ctx, t, m, (fleetSize-1)*i/(gatewayCount-1), fleetSize, s.dial, &running)
	}
	for i, g := range gateways {
		took := (<-g.drainedAt).Sub(services[i].startedAt) - services[i].upAt
		worst = max(worst, took)
		if took >= maxChangeDelay {
			t.Errorf("gateway %d: discovery down at %v for %v, change applied %v after it was reachable again, want less than %v",
				i, services[i].downAt, services[i].upAt-services[i].downAt, took, maxChangeDelay)
			break
		}
	}
	t.Logf("change applied after %v at most", worst)
	if !m.polled && !f.hangs && worst >= minDrainGrace {
		t.Errorf("change applied %v after discovery is reachable, want less than %v where lists are pushed",
			worst, minDrainGrace)
	}
	cancel()
	running.Wait()
	for _, s := range services {
		s.served.Wait()
	}
}

// The address of discovery changes while the watch at the old address works or is silent. The list of
// the new service is applied within maxAddrChangeDelay, although the first call there fails.
func TestChangeIsAppliedInTimeAfterAddressChange(t *testing.T) {
	discardLogs(t)
	for _, m := range modes {
		for _, f := range callFailures {
			if f.olderVersion {
				continue // no list can be older, as the first call at a new address requests the full list
			}
			t.Run(m.name+"/"+f.name, func(t *testing.T) {
				testutil.VirtualTime(t, func(t *testing.T) { testChangeAfterAddressChange(t, m, f.callFailure) })
			})
		}
	}
}

// testChangeAfterAddressChange changes the address of 24 gateways, each at a different time.
func testChangeAfterAddressChange(t *testing.T, m mode, f callFailure) {
	const gatewayCount = 24
	ctx, cancel := context.WithCancel(t.Context())
	var running, addrChanges sync.WaitGroup
	services := make([]*fakeService, 0, 2*gatewayCount)
	took := make([]time.Duration, gatewayCount)
	for i := range gatewayCount {
		before := &fakeService{startedAt: time.Now(), downAt: time.Hour, upAt: 2 * time.Hour}
		if i%2 > 0 {
			before.downAt = 20 * time.Second
			before.silentWatches = true
		}
		after := &fakeService{startedAt: time.Now(), failure: f, failFirstCall: true, omitsDraining: i%4 > 1}
		g := startGateway(ctx, t, m, i, gatewayCount, func(ctx context.Context, network, addr string) (net.Conn, error) {
			if addr == "discovery:2" {
				return after.dial(ctx, network, addr)
			}
			return before.dial(ctx, network, addr)
		}, &running)
		services = append(services, before, after)
		addrChanges.Go(func() {
			time.Sleep(20*time.Second + time.Duration(i)*110*time.Millisecond)
			at := time.Now()
			g.watcher.SetAddress("discovery:2")
			took[i] = (<-g.drainedAt).Sub(at)
		})
	}
	addrChanges.Wait()
	worst := slices.Max(took)
	t.Logf("change applied after %v at most", worst)
	if worst >= maxAddrChangeDelay {
		t.Errorf("change applied %v after the change of the address, want less than %v", worst, maxAddrChangeDelay)
	}
	cancel()
	running.Wait()
	for _, s := range services {
		s.served.Wait()
	}
}

// Discovery starts late. After two minutes, all watches of a fleet fall silent or end at the same time,
// and a host starts to drain. All gateways apply the drain within maxChangeDelay, even if a shared
// service processes their calls one after another, and their calls are spread over time.
func TestWatchesLostTogetherReconnectInTime(t *testing.T) {
	discardLogs(t)
	for _, m := range modes {
		for _, silent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/silent %v", m.name, silent), func(t *testing.T) {
				testutil.VirtualTime(t, func(t *testing.T) { testWatchesLostTogether(t, m, silent) })
			})
		}
	}
}

// testWatchesLostTogether lets the watches of 100 gateways fall silent or end after two minutes.
func testWatchesLostTogether(t *testing.T, m mode, silent bool) {
	const (
		fleetSize   = 100
		lossTime    = 2 * time.Minute
		burstWindow = 100 * time.Millisecond
	)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	shared := &fakeService{
		startedAt: time.Now(), unreachableUntil: 20 * time.Second,
		downAt: lossTime, upAt: lossTime + time.Millisecond,
		silentWatches: silent, failure: callFailures[0].callFailure, serial: make(chan struct{}, 1),
	}
	services, gateways := []*fakeService{shared}, make([]*gateway, fleetSize)
	for i := range gateways {
		s := shared
		if !m.polled { // each gateway watches a separate service
			s = &fakeService{
				startedAt: shared.startedAt, unreachableUntil: shared.unreachableUntil,
				downAt: shared.downAt, upAt: shared.upAt, silentWatches: silent, failure: shared.failure,
			}
			services = append(services, s)
		}
		gateways[i] = startGateway(ctx, t, m, i, fleetSize, s.dial, &running)
	}
	worst := time.Duration(0)
	for _, g := range gateways {
		worst = max(worst, (<-g.drainedAt).Sub(shared.startedAt)-lossTime)
	}
	t.Logf("change applied after %v at most", worst)
	if worst >= maxChangeDelay {
		t.Errorf("change applied %v after the watches were lost, want less than %v", worst, maxChangeDelay)
	}
	calls := slices.DeleteFunc(shared.callTimes(), func(at time.Duration) bool { return at < lossTime })
	if m.polled && len(calls) != fleetSize {
		t.Errorf("%d calls by %d gateways, want one each", len(calls), fleetSize)
	}
	for i, at := range calls {
		n := 0
		for n < len(calls)-i && calls[i+n]-at < burstWindow {
			n++
		}
		if n > fleetSize/3 {
			t.Fatalf("%d calls within %v, at %v, want at most %d", n, burstWindow, at, fleetSize/3)
		}
	}
	cancel()
	running.Wait()
	for _, s := range services {
		s.served.Wait()
	}
}

// failureCounter is a Sink that counts failed calls.
type failureCounter struct{ count atomic.Int64 }

func (f *failureCounter) UpdateEndpoints(kind balancer.ListKind, _ discovery.MemberList) {
	if kind == balancer.ListFailed {
		f.count.Add(1)
	}
}

// A polled watcher makes a call for each poll that arrives while no call is running, and one call for a
// new address. A poll during a running call causes no further call.
func TestPolledWatcherCallsOnlyForPollsAndMoves(t *testing.T) {
	testutil.VirtualTime(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		before := &fakeService{startedAt: time.Now(), downAt: time.Hour, upAt: 2 * time.Hour}
		after := &fakeService{startedAt: time.Now(), downAt: 5 * time.Minute, upAt: time.Hour, failure: closesAfter("")}
		w := discovery.NewWatcher("discovery:1", true, 1)
		sink := &failureCounter{}
		w.SetDial(func(ctx context.Context, network, addr string) (net.Conn, error) {
			if addr == "discovery:2" {
				return after.dial(ctx, network, addr)
			}
			return before.dial(ctx, network, addr)
		})
		running.Go(func() { w.Run(ctx, sink) })
		expect := func(what string, callsBefore, callsAfter, failures int) {
			t.Helper()
			time.Sleep(time.Minute)
			synctest.Wait()
			if x, y, z := len(before.callTimes()), len(after.callTimes()), int(sink.count.Load()); x != callsBefore || y != callsAfter || z != failures {
				t.Errorf("%s: %d and %d calls, %d failures reported, want %d, %d and %d",
					what, x, y, z, callsBefore, callsAfter, failures)
			}
		}
		expect("not polled", 0, 0, 0)
		w.Poll()
		expect("polled", 1, 0, 0)
		w.Poll()
		w.SetAddress("discovery:2")
		expect("new address", 1, 1, 0)
		time.Sleep(3 * time.Minute) // the watch at the new address ends
		expect("watch lost", 1, 1, 1)
		w.Poll()
		expect("polled again", 1, 2, 2)
		cancel()
		running.Wait()
		before.served.Wait()
		after.served.Wait()
	})
}
