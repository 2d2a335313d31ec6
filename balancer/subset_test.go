package balancer

import (
	"math/rand"
	"testing"
	"time"
)

// Guards against connections from every instance to every host if there are many instances with little
// traffic each.
func TestSubsetLimitsHostsOfInstanceWithLittleTraffic(t *testing.T) {
	const instances, n = 60, 30
	list := testHosts(n)
	for i := range list {
		list[i].Kind = i % 3
	}
	users := map[HostID]int{} // number of instances that use each host
	for rank := range instances {
		settings := testSettings()
		settings.Instances = instances
		settings.Rank = rank
		g := newTestGateway(t, settings, list...)
		kinds := map[int]bool{}
		got := g.serve(40, 0, func(HostID) time.Duration { return 200 * ms })
		for h := range got {
			users[h]++
			kinds[list[h-1].Kind] = true
		}
		if len(got) < minSubsetHosts || len(got) > n*2/3 {
			t.Errorf("instance %d uses %d of %d hosts, want at least the minimum subset size and at most two thirds", rank, len(got), n)
		}
		if len(kinds) != 3 {
			t.Errorf("instance %d uses hosts of %d kinds, want 3", rank, len(kinds))
		}
	}
	least, most := instances, 0
	for _, h := range list {
		least = min(least, users[h.ID])
		most = max(most, users[h.ID])
	}
	if most-least > 4 {
		t.Errorf("hosts are used by %d to %d instances, want a difference of 4 at most", least, most)
	}
}

func TestSubsetIsStableAndClosesHostsThatLeave(t *testing.T) {
	settings := testSettings()
	settings.Instances = 60
	settings.Rank = 17
	list := testHosts(30)
	g := newTestGateway(t, settings, list...)
	quick := func(HostID) time.Duration { return 100 * ms }
	before := g.serve(40, 0, quick)
	removed := list[:0:0]
	for _, h := range list {
		if before[h.ID] == 0 && len(removed) < 12 {
			removed = append(removed, Host{ID: h.ID, State: Removed})
		}
	}
	g.updateEndpoints(ListChanges, removed...)
	g.closed = nil
	after := g.serve(5, 0, quick)
	moved := 0
	for h := range after {
		if before[h] == 0 {
			moved++
		}
	}
	if moved > 1 {
		t.Errorf("%d new hosts after a list change that removed none of the subset, want at most 1", moved)
	}
	g.serve(100, 0, quick) // long enough for the subset to converge, by one host at a time
	for _, h := range g.closed {
		if before[h] == 0 {
			t.Errorf("closed connections to host %d, want only hosts of the subset", h)
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
		t.Errorf("closed %v, want the draining host %d first", g.closed, left.ID)
	}
}

func TestSubsetOfBusyInstanceIsWholeList(t *testing.T) {
	settings := testSettings()
	settings.Instances = 60
	g := newTestGateway(t, settings, testHosts(12)...)
	if got := g.serve(400, 0, func(HostID) time.Duration { return 10 * ms }); len(got) != 12 {
		t.Errorf("%d of 12 hosts in use, want all", len(got))
	}
}

// Six in ten hosts are replaced by newly started ones while 80 gateways use them, as in a rolling update.
// Guards against draining hosts that skew the shares of the hosts that follow them on the ring.
func TestSubsetsShareHostsEvenlyDuringRollingReplacement(t *testing.T) {
	settings := testSettings()
	settings.SlowStartWindow = 9 * time.Second
	const gatewayCount, hostCount = 80, 60
	list := testHosts(hostCount)
	f := newGatewayFleet(t, settings, gatewayCount, list)
	check := func(when string, ids []Host, even float64) {
		t.Helper()
		got := f.gatewaysByHost()
		for _, h := range ids {
			if x := float64(got[h.ID]); x < 1 || x > 2*even {
				t.Errorf("%s: %v gateways use host %d, want 1 to twice the even share of %.1f", when, x, h.ID, even)
			}
		}
	}
	for _, g := range f.gateways {
		g.b.refreshSubset()
	}
	check("initially", list, minSharingInstances)
	var started []Host
	for wave := range 2 {
		old, left := list[wave*18:wave*18+18], list[wave*18+18:]
		for i := range old {
			old[i].State = Draining
		}
		f.updateEndpoints(old...)
		f.advance(time.Second)
		warm := max(minSubsetHosts, float64(minSharingInstances*len(left))/gatewayCount)
		check("draining", left, gatewayCount*warm/float64(len(left)))
		var changes []Host
		for i := range old {
			old[i].State = Removed
			changes = append(changes, old[i], Host{
				ID: 1000 + old[i].ID, Zone: old[i].Zone, Cell: old[i].Cell, Started: f.gateways[0].now,
			})
			started = append(started, changes[len(changes)-1])
			if i%6 == 5 { // six hosts at a time
				f.updateEndpoints(changes...)
				changes = nil
				f.advance(200 * time.Millisecond)
				check("new ones start", started, gatewayCount*warm/float64(len(left)))
			}
		}
		f.advance(time.Second)
		check("replaced, warm", left, gatewayCount*warm/float64(len(left)))
		check("replaced, warming", started, gatewayCount*warm/float64(len(left)))
	}
	f.advance(2 * settings.SlowStartWindow)
	check("all warm", append(started, list[36:]...), minSharingInstances)
}

// Most of 80 gateways restart within a second, each with a different outdated list, as in a rolling update.
// Their subsets must be spread over the hosts, and no second after the first five may have polls of more
// than half of the gateways.
func TestRestartedGatewaysSpreadSubsetsAndPolls(t *testing.T) {
	const gatewayCount, hostCount, restarted = 80, 60, 56
	began := Time(time.Hour)
	f := newRestartedFleet(t, began, gatewayCount, hostCount, restarted)
	for h, x := range f.gatewaysByHost() {
		if x > 3*minSharingInstances {
			t.Errorf("%d gateways use host %d, want at most %d", x, h, 3*minSharingInstances)
		}
	}
	total := 0
	for at, c := range f.failPolls() {
		most, second := gatewayCount, int(at-began/Time(time.Second))
		if second >= 5 {
			most = gatewayCount / 2 // the gateways back off
		}
		if total += c; c > most {
			t.Errorf("%d polls in second %d, want at most %d", c, second, most)
		}
	}
	if total < gatewayCount || total > 10*gatewayCount {
		t.Errorf("%d polls in 10 s, want %d to %d", total, gatewayCount, 10*gatewayCount)
	}
	for i := range f.gateways { // the outdated list stays in use
		if got := f.subset(i); len(got) < minSubsetHosts {
			t.Errorf("gateway %d uses %d hosts, want %v or more", i, len(got), minSubsetHosts)
		}
	}
}

// newRestartedFleet returns gateways that start with different outdated lists, in which some hosts are
// draining and the first ones are missing. The first `restarted` gateways start within the second after
// began, the others at began.
func newRestartedFleet(t *testing.T, began Time, gatewayCount, hostCount, restarted int) *gatewayFleet {
	settings := testSettings()
	settings.Poll = true
	settings.PollTimeout = 10 * time.Second
	settings.Instances = gatewayCount
	r := rand.New(rand.NewSource(5))
	f := &gatewayFleet{t: t}
	for rank := range gatewayCount {
		settings.Rank = rank
		old := testHosts(hostCount)
		for range 4 {
			old[r.Intn(hostCount)].State = Draining
		}
		old = old[r.Intn(3):]
		b, err := New(settings, uint64(rank))
		if err != nil {
			t.Fatal(err)
		}
		g := &testGateway{T: t, b: b, now: began + Time(r.Intn(1000))*ms}
		if rank >= restarted {
			g.now = began
		}
		b.Start(g.now)
		g.updateEndpoints(ListSaved, old...)
		g.b.refreshSubset()
		f.gateways = append(f.gateways, g)
	}
	return f
}

// failPolls simulates ten seconds in which each poll fails, and returns the number of polls by second of
// the clock.
func (f *gatewayFleet) failPolls() map[Time]int {
	polls := map[Time]int{}
	for _, g := range f.gateways {
		for range 100 {
			at := g.now
			for _, a := range g.advance(100 * ms) {
				if a.Kind == Poll {
					polls[at/Time(time.Second)]++
					g.updateEndpoints(ListFailed)
				}
			}
		}
	}
	return polls
}

// When one host in ten is replaced, more than a tenth of the hosts in the subsets may change, because places
// on the ring shift: up to half of them where 500 gateways share 120 hosts. Every host stays in use, by
// fleets of 1, 80 and 500 gateways.
func TestSubsetChangesAboutAsManyHostsAsAreReplaced(t *testing.T) {
	for _, c := range []struct {
		gateways, hosts int
		most            float64
	}{{1, 12, 0.1}, {80, 60, 0.35}, {500, 120, 0.5}} {
		list := testHosts(c.hosts)
		f := newGatewayFleet(t, testSettings(), c.gateways, list)
		for _, g := range f.gateways {
			g.b.refreshSubset()
		}
		var before []map[HostID]bool
		for i := range f.gateways {
			before = append(before, f.subset(i))
		}
		var changes []Host
		for i := range c.hosts / 10 { // one host in ten, all at once; the new ones are not in slow start
			old := list[i*10]
			old.State = Removed
			changes = append(changes, old, Host{ID: 5000 + old.ID, Zone: old.Zone, Cell: old.Cell})
		}
		f.updateEndpoints(changes...)
		f.advance(20 * time.Second)
		total, changed := 0, 0
		for i, old := range before {
			now := f.subset(i)
			for h := range old {
				total++
				if !now[h] {
					changed++
				}
			}
		}
		if share := float64(changed) / float64(total); share > c.most {
			t.Errorf("%d gateways: %.2f of the subsets has changed after 0.1 of the hosts were replaced, want at most %.2f",
				c.gateways, share, c.most)
		}
		got := f.gatewaysByHost()
		for _, h := range f.gateways[0].b.hosts {
			if x := got[h.ID]; x < 1 || x > max(c.gateways, 3*minSharingInstances) {
				t.Errorf("%d gateways: %d of them use host %d, want 1 to %d",
					c.gateways, x, h.ID, max(c.gateways, 3*minSharingInstances))
			}
		}
		if c.gateways == 1 && len(f.subset(0)) != c.hosts {
			t.Errorf("the only gateway uses %d of %d hosts, want all", len(f.subset(0)), c.hosts)
		}
	}
}
