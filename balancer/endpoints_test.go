package balancer

import (
	"runtime"
	"testing"
	"time"
)

func TestDrainingAndRemovedHostsReceiveNothing(t *testing.T) {
	for _, state := range []HostState{Draining, Removed} {
		g := newTestGateway(t, testSettings(), testHosts(3)...)
		g.updateEndpoints(ListChanges, Host{ID: 2, State: state})
		if got := g.serve(50, 0, func(HostID) time.Duration { return ms }); got[2] != 0 {
			t.Errorf("state %d: %d sends", state, got[2])
		}
	}
	g := newTestGateway(t, testSettings(), testHosts(3)...)
	g.updateEndpoints(ListFull, testHosts(2)...) // what is not on the whole list is gone
	if got := g.serve(50, 0, func(HostID) time.Duration { return ms }); got[3] != 0 {
		t.Errorf("dropped host: %d sends", got[3])
	}
	g.updateEndpoints(ListFailed)
	if len(g.b.hosts) != 2 {
		t.Errorf("%d hosts after a failed question, want the old list", len(g.b.hosts))
	}
}

func TestRemovedHostIsForgottenOnceIdle(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(1)...)
	id := g.request(0, time.Second)
	g.updateEndpoints(ListChanges, Host{ID: 1, State: Removed})
	if len(g.b.hosts) != 1 {
		t.Fatal("forgotten with an attempt in flight")
	}
	g.attemptEnded(id, 0, OK, ms)
	if len(g.b.hosts) != 0 || len(g.b.byID) != 0 || len(g.b.open) != 0 {
		t.Error("host or request kept")
	}
}

// A host that a list contains twice is one host, in the state of the later entry.
func TestHostListedTwiceIsOneHost(t *testing.T) {
	g := newTestGateway(t, testSettings(), testHosts(3)...)
	for _, kind := range []ListKind{ListChanges, ListFull, ListSaved} {
		g.updateEndpoints(kind, append(testHosts(3), Host{ID: 2, State: Draining})...)
		if len(g.b.hosts) != 3 || g.b.readyHosts != [2]int{2, 0} || g.b.byID[2].State != Draining {
			t.Errorf("list of kind %d: %d hosts, %v ready, host 2 in state %d", kind, len(g.b.hosts), g.b.readyHosts, g.b.byID[2].State)
		}
		g.updateEndpoints(kind, append([]Host{{ID: 2, State: Draining}}, testHosts(3)...)...)
		if len(g.b.hosts) != 3 || g.b.readyHosts != [2]int{3, 0} {
			t.Errorf("list of kind %d: %d hosts, %v ready", kind, len(g.b.hosts), g.b.readyHosts)
		}
	}
}

// A host is replaced twice a second for ten minutes: no state of removed hosts is left.
func TestReplacedHostsLeaveNoState(t *testing.T) {
	set := testSettings()
	set.Instances = 80
	list := testHosts(60)
	g := newTestGateway(t, set, list...)
	next := HostID(1000)
	for k := range 1200 {
		old := &list[k%len(list)]
		gone := *old
		gone.State = Removed
		*old = Host{ID: next, Zone: gone.Zone, Cell: gone.Cell, Started: g.now}
		next++
		g.updateEndpoints(ListChanges, gone, *old)
		id := g.request(0, time.Second)
		if len(g.acts) == 1 && g.acts[0].Kind == Send {
			g.attemptEnded(id, 0, OK, 20*ms)
		}
		g.advance(500 * ms)
	}
	b := g.b
	if len(b.byID) != 60 || len(b.hosts) != 60 || len(b.ring) > 60 || b.readyHosts[0]+b.readyHosts[1] != 60 ||
		len(b.sets[setSubset].list) > 60 || len(b.rechecks) > 60 || cap(b.ring) > 256 {
		t.Errorf("kept: %d by id, %d hosts, %d on the ring (room for %d), %v listed, %d in the subset, %d to check again",
			len(b.byID), len(b.hosts), len(b.ring), cap(b.ring), b.readyHosts, len(b.sets[setSubset].list), len(b.rechecks))
	}
	for _, l := range b.byKind {
		if len(l.hosts) != 60 {
			t.Errorf("%d hosts of kind %d", len(l.hosts), l.kind)
		}
	}
}

// A host is replaced twice a second, always with a request in flight there: after 45 minutes the heap
// is as large as after five.
func TestReplacedHostsLeaveNoMemory(t *testing.T) {
	b, err := New(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	const each, minute = 500 * ms, 120 // hosts are replaced this often, and so many a minute
	live := testHosts(40)
	b.Start(0)
	b.UpdateEndpoints(0, ListFull, live)
	held := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	var acts []Action
	var early uint64
	for n := 1; n <= 45*minute; n++ {
		now := Time(n) * each
		old := &live[n%len(live)]
		id := RequestID(n)
		b.Request(now, Request{ID: id, Class: n % 3, Remaining: time.Second})
		old.State = Removed
		next := Host{ID: HostID(1000 + n), Cell: old.Cell, Started: now}
		b.UpdateEndpoints(now, ListChanges, []Host{*old, next})
		*old = next
		b.AttemptEnded(now+ms, Outcome{Request: id, Result: OK, Elapsed: ms, Closed: true})
		b.ClientGone(now+ms, id) // where no host was ready
		if acts = b.TakeActions(acts[:0]); n == 5*minute {
			early = held()
		}
	}
	if late := held(); late > early+1<<20 {
		t.Errorf("%d bytes are held behind 45 minutes, %d behind five", late, early)
	}
	runtime.KeepAlive(b)
}

func TestPollStartsByRankAndBacksOff(t *testing.T) {
	set := testSettings()
	set.Poll, set.Instances, set.Rank, set.PollTimeout = true, 4, 2, 8*time.Second
	g := newTestGateway(t, set, testHosts(1)...)
	watches := func(d time.Duration) int { return len(g.advance(d)) }
	if n := watches(999 * ms); n != 0 {
		t.Errorf("%d watches before its turn by rank", n)
	}
	if n := watches(2 * ms); n != 1 {
		t.Fatalf("%d watches at its turn", n)
	}
	g.updateEndpoints(ListFailed)
	if n := watches(time.Second); n != 1 {
		t.Errorf("%d watches within a second of a failure", n)
	}
	g.updateEndpoints(ListChanges)
	if n := watches(time.Minute); n != 0 {
		t.Errorf("%d watches while watching", n)
	}
	g.updateEndpoints(ListFailed)
	gaps := []int{}
	for range 5 {
		start := g.now
		for watches(10*ms) == 0 {
		}
		gaps = append(gaps, int((g.now-start)/ms))
		g.updateEndpoints(ListFailed)
	}
	if gaps[4] <= gaps[0] || gaps[4] > 8000 {
		t.Errorf("gaps %v ms between questions, want them to grow and stay within AskWithin", gaps)
	}
	set.Poll = false
	if g := newTestGateway(t, set, testHosts(1)...); len(g.advance(time.Minute)) != 0 {
		t.Error("watches where the list is pushed")
	}
}

// Discovery is out for ten seconds: the last list, with its draining hosts, stays in use, and the
// gateways return spread over several seconds.
func TestEndpointListStaysInUseWhilePollsFail(t *testing.T) {
	set := testSettings()
	set.Poll, set.PollTimeout = true, 10*time.Second
	const gates, n = 80, 60
	f := newGatewayFleet(t, set, gates, testHosts(n))
	drained := Host{ID: 7, Zone: 3, Cell: 3, State: Draining}
	f.updateEndpoints(drained)
	back := map[int]int{} // calls that are answered, by second since it is back
	for _, g := range f.gates {
		began := g.now
		g.updateEndpoints(ListFailed) // all watches end at once
		for range 200 {
			for _, a := range g.advance(100 * ms) {
				if a.Kind != Poll {
					continue
				}
				if since := g.now - began; since < 10*time.Second {
					g.updateEndpoints(ListFailed)
				} else {
					back[int((since-10*time.Second)/time.Second)]++
					g.updateEndpoints(ListChanges)
				}
			}
			id := g.request(0, time.Second)
			for _, a := range g.acts {
				if a.Kind == Send && a.Host == drained.ID {
					t.Fatalf("a send to host %d, %v after the list said that it drains", a.Host, g.now-began)
				}
				if a.Kind == Send {
					g.attemptEnded(id, 0, OK, 10*ms)
				}
			}
		}
		if len(g.b.hosts) != n {
			t.Errorf("%d hosts are known, %d were listed", len(g.b.hosts), n)
		}
	}
	for second, c := range back {
		if c > gates/2 {
			t.Errorf("%d of %d gateways come back in second %d", c, gates, second)
		}
	}
	if len(back) < 4 {
		t.Errorf("they come back within %d seconds", len(back))
	}
}
