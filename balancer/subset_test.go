package balancer

import (
	"math/rand"
	"testing"
	"time"
)

// Many instances with little traffic each must not open a connection to every host.
func TestSubsetLimitsHostsOfInstanceWithLittleTraffic(t *testing.T) {
	const instances, n = 60, 30
	list := testHosts(n)
	for i := range list {
		list[i].Kind = i % 3
	}
	users := map[HostID]int{} // instances that use the host
	for rank := range instances {
		set := testSettings()
		set.Instances, set.Rank = instances, rank
		g := newTestGateway(t, set, list...)
		kinds := map[int]bool{}
		got := g.serve(40, 0, func(HostID) time.Duration { return 200 * ms })
		for h := range got {
			users[h]++
			kinds[list[h-1].Kind] = true
		}
		if len(got) < minSubsetSize || len(got) > n*2/3 {
			t.Errorf("instance %d uses %d of %d hosts", rank, len(got), n)
		}
		if len(kinds) != 3 {
			t.Errorf("instance %d uses hosts of %d kinds, want 3", rank, len(kinds))
		}
	}
	least, most := instances, 0
	for _, h := range list {
		least, most = min(least, users[h.ID]), max(most, users[h.ID])
	}
	if most-least > 4 {
		t.Errorf("hosts are used by %d to %d instances", least, most)
	}
}

func TestSubsetIsStableAndClosesHostsThatLeave(t *testing.T) {
	set := testSettings()
	set.Instances, set.Rank = 60, 17
	list := testHosts(30)
	g := newTestGateway(t, set, list...)
	quick := func(HostID) time.Duration { return 100 * ms }
	before := g.serve(40, 0, quick)
	gone := list[:0:0]
	for _, h := range list {
		if before[h.ID] == 0 && len(gone) < 12 {
			gone = append(gone, Host{ID: h.ID, State: Removed})
		}
	}
	g.updateEndpoints(ListChanges, gone...)
	g.closed = nil
	after := g.serve(5, 0, quick)
	moved := 0
	for h := range after {
		if before[h] == 0 {
			moved++
		}
	}
	if moved > 1 {
		t.Errorf("%d hosts are new after a list change that took no host of the subset, one may move at a time", moved)
	}
	g.serve(100, 0, quick) // long enough to move nearer on the ring, one host at a time
	for _, h := range g.closed {
		if before[h] == 0 {
			t.Errorf("closed host %d, which was not in the subset", h)
		}
	}
	if n := len(g.b.sets[setSubset].list); n != g.b.subsetSize() {
		t.Errorf("%d hosts in the subset, want %d", n, g.b.subsetSize())
	}
	left := g.b.sets[setSubset].list[0]
	g.closed = nil
	g.updateEndpoints(ListChanges, Host{ID: left.ID, State: Draining})
	g.serve(5, 0, quick)
	if len(g.closed) == 0 || g.closed[0] != left.ID || left.inSubset() {
		t.Errorf("closed %v, want first the drained host %d", g.closed, left.ID)
	}
}

func TestSubsetOfBusyInstanceIsWholeList(t *testing.T) {
	set := testSettings()
	set.Instances = 60
	g := newTestGateway(t, set, testHosts(12)...)
	if got := g.serve(400, 0, func(HostID) time.Duration { return 10 * ms }); len(got) != 12 {
		t.Errorf("it uses %d of 12 hosts", len(got))
	}
}

// Six in ten hosts are replaced by starting ones while 80 gateways use them, as in a release: draining
// hosts must not skew the shares of the hosts that follow them on the ring.
func TestSubsetsShareHostsEvenlyDuringRollingReplacement(t *testing.T) {
	set := testSettings()
	set.SlowStartWindow = 9 * time.Second
	const gates, n = 80, 60
	list := testHosts(n)
	f := newGatewayFleet(t, set, gates, list)
	check := func(when string, ids []Host, even float64) {
		t.Helper()
		got := f.shared()
		for _, h := range ids {
			if x := float64(got[h.ID]); x < 1 || x > 2*even {
				t.Errorf("%s: %v gateways use host %d, an even share is %.1f", when, x, h.ID, even)
			}
		}
	}
	for _, g := range f.gates {
		g.b.refreshSubset()
	}
	check("at first", list, minSharingInstances)
	var started []Host
	for wave := range 2 {
		old, left := list[wave*18:wave*18+18], list[wave*18+18:]
		for i := range old {
			old[i].State = Draining
		}
		f.updateEndpoints(old...)
		f.advance(time.Second)
		warm := max(minSubsetSize, float64(minSharingInstances*len(left))/gates)
		check("draining", left, gates*warm/float64(len(left)))
		var changes []Host
		for i := range old {
			old[i].State = Removed
			changes = append(changes, old[i], Host{
				ID: 1000 + old[i].ID, Zone: old[i].Zone, Cell: old[i].Cell, Started: f.gates[0].now,
			})
			started = append(started, changes[len(changes)-1])
			if i%6 == 5 { // some at a time
				f.updateEndpoints(changes...)
				changes = nil
				f.advance(200 * time.Millisecond)
				check("new ones start", started, gates*warm/float64(len(left)))
			}
		}
		f.advance(time.Second)
		check("replaced, warm", left, gates*warm/float64(len(left)))
		check("replaced, warming", started, gates*warm/float64(len(left)))
	}
	f.advance(2 * set.SlowStartWindow)
	check("all warm", append(started, list[36:]...), minSharingInstances)
}

// Most of 80 gateways restart within a second during a release, each with its own outdated list: their
// subsets stay spread over the hosts, and their first polls over the poll timeout.
func TestRestartedGatewaysSpreadSubsetsAndPolls(t *testing.T) {
	set := testSettings()
	set.Poll, set.PollTimeout = true, 10*time.Second
	const gates, n, least = 80, 60, 56
	r := rand.New(rand.NewSource(5))
	f := &gatewayFleet{t: t}
	calls := map[Time]int{} // by second
	set.Instances = gates
	began := Time(time.Hour)
	for rank := range gates {
		set.Rank = rank
		old := testHosts(n)
		for range 4 { // as others knew it: some were not there, some drained
			old[r.Intn(n)].State = Draining
		}
		old = old[r.Intn(3):]
		b, err := New(set, uint64(rank))
		if err != nil {
			t.Fatal(err)
		}
		g := &testGateway{T: t, b: b, now: began + Time(r.Intn(1000))*ms}
		if rank >= least {
			g.now = began
		}
		b.Start(g.now)
		g.updateEndpoints(ListSaved, old...)
		g.b.refreshSubset()
		f.gates = append(f.gates, g)
	}
	for h, x := range f.shared() {
		if x > 3*minSharingInstances {
			t.Errorf("%d gateways use host %d", x, h)
		}
	}
	for _, g := range f.gates {
		for range 100 { // discovery is overbooked: each call fails
			at := g.now
			for _, a := range g.advance(100 * ms) {
				if a.Kind == Poll {
					calls[at/Time(time.Second)]++
					g.updateEndpoints(ListFailed)
				}
			}
		}
	}
	total := 0
	for at, c := range calls {
		most, second := gates, int(at-began/Time(time.Second))
		if second >= 5 {
			most = gates / 2 // they ask ever more seldom
		}
		if total += c; c > most {
			t.Errorf("%d calls for the list in second %d of %d gateways", c, second, gates)
		}
	}
	if total < gates || total > 10*gates {
		t.Errorf("%d calls in 10 s", total)
	}
	for i := range f.gates { // and the old list stands
		if got := f.subset(i); len(got) < minSubsetSize {
			t.Errorf("gateway %d uses %d hosts", i, len(got))
		}
	}
}

// When one host in ten is replaced, the subset of a gateway changes by that share and some more, as
// places on the ring shift: up to half where 500 gateways share 120 hosts. Every host stays in use, by
// a fleet of 1, of 80 and of 500.
func TestSubsetChangesAboutAsManyHostsAsAreReplaced(t *testing.T) {
	for _, c := range []struct {
		gates, n int
		most     float64
	}{{1, 12, 0.1}, {80, 60, 0.35}, {500, 120, 0.5}} {
		list := testHosts(c.n)
		f := newGatewayFleet(t, testSettings(), c.gates, list)
		for _, g := range f.gates {
			g.b.refreshSubset()
		}
		var before []map[HostID]bool
		for i := range f.gates {
			before = append(before, f.subset(i))
		}
		var changes []Host
		for i := range c.n / 10 { // one in ten, at once and warm
			old := list[i*10]
			old.State = Removed
			changes = append(changes, old, Host{ID: 5000 + old.ID, Zone: old.Zone, Cell: old.Cell})
		}
		f.updateEndpoints(changes...)
		f.advance(20 * time.Second)
		held, changed := 0, 0
		for i, old := range before {
			now := f.subset(i)
			for h := range old {
				held++
				if !now[h] {
					changed++
				}
			}
		}
		if share := float64(changed) / float64(held); share > c.most {
			t.Errorf("%d gateways: %.2f of the hosts drawn from have changed, 0.1 were replaced", c.gates, share)
		}
		got := f.shared()
		for _, h := range f.gates[0].b.hosts {
			if x := got[h.ID]; x < 1 || x > max(c.gates, 3*minSharingInstances) {
				t.Errorf("%d gateways: %d use host %d", c.gates, x, h.ID)
			}
		}
		if c.gates == 1 && len(f.subset(0)) != c.n {
			t.Errorf("a gateway alone uses %d of %d hosts", len(f.subset(0)), c.n)
		}
	}
}
