package balancer

import (
	"math/rand"
	"runtime"
	"testing"
	"time"
)

// gatewayFleet is many gateways, each with a Balancer of its own, that hear of the
// same hosts.
type gatewayFleet struct {
	t     *testing.T
	gates []*gateway
}

func startFleet(t *testing.T, set Settings, n int, list []Host) *gatewayFleet {
	f := &gatewayFleet{t: t}
	set.Instances = n
	for set.Rank = range n {
		b, err := New(set, uint64(set.Rank)+1) // as in service each has a seed of its own
		if err != nil {
			t.Fatal(err)
		}
		g := &gateway{T: t, b: b, now: time.Hour}
		b.Start(g.now)
		g.list(ListSaved, list...)
		f.gates = append(f.gates, g)
	}
	return f
}

// list tells every gateway of changes and has each choose anew.
func (f *gatewayFleet) list(changes ...Host) {
	for _, g := range f.gates {
		g.list(ListChanges, changes...)
		g.b.refreshSubset()
	}
}

// advance lets time pass; every gateway chooses often enough.
func (f *gatewayFleet) advance(d time.Duration) {
	const step = 100 * time.Millisecond
	for ; d > 0; d -= step {
		for _, g := range f.gates {
			g.advance(min(d, step))
			g.b.now = g.now // as with any event
			g.b.refreshSubset()
		}
	}
}

// shared returns by host how many gateways use it.
func (f *gatewayFleet) shared() map[HostID]int {
	n := map[HostID]int{}
	for _, g := range f.gates {
		for _, h := range g.b.sets[setSubset].list {
			n[h.ID]++
		}
	}
	return n
}

// subset returns the hosts that a gateway uses.
func (f *gatewayFleet) subset(i int) map[HostID]bool {
	is := map[HostID]bool{}
	for _, h := range f.gates[i].b.sets[setSubset].list {
		is[h.ID] = true
	}
	return is
}

// Six in ten hosts of a fleet are replaced by starting ones while 80 gateways look on, as in a
// release. Hosts that drained counted in the order of hosts, so that those behind them had
// several times the gateways of others: up to 35 where 10 were the even share, and they
// slowed down under it.
func TestHostsAreSharedEvenlyWhileMostAreReplaced(t *testing.T) {
	set := basic()
	set.SlowStartWindow = 9 * time.Second
	const gates, n = 80, 60
	list := hosts(n)
	f := startFleet(t, set, gates, list)
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
		f.list(old...)
		f.advance(time.Second)
		warm := max(minSubsetHosts, float64(minSharingInstances*len(left))/gates)
		check("draining", left, gates*warm/float64(len(left)))
		var changes []Host
		for i := range old {
			old[i].State = Removed
			changes = append(changes, old[i], Host{
				ID: 1000 + old[i].ID, Zone: old[i].Zone, Cell: old[i].Cell, Started: f.gates[0].now,
			})
			started = append(started, changes[len(changes)-1])
			if i%6 == 5 { // some at a time
				f.list(changes...)
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

// playOverload plays twelve seconds of twice what the hosts of a fleet can do, a third of it
// bookings with a tight latency objective and five times the weight, and returns how much of each class was
// asked and served in time in the last ten.
func playOverload(t *testing.T, seed int64) (asked, served [2]int) {
	const gates, n = 20, 15
	set := basic()
	set.Step, set.Instances = ms, gates
	set.Classes = []Class{
		{LatencyObjective: 380 * ms, Deadline: 1340 * ms, PriorityWeight: 1},
		{LatencyObjective: 130 * ms, Deadline: 400 * ms, PriorityWeight: 5, Idempotency: NonIdempotent},
	}
	r := rand.New(rand.NewSource(seed))
	f := startFleet(t, set, gates, hosts(n))
	type job struct {
		gate      *gateway
		id        RequestID
		class     int
		sent, end Time
	}
	out := make([][]job, n+1) // by host; each serves one at a time, in turn
	class := map[*gateway]map[RequestID]int{}
	take := func(g *gateway, acts []Action) {
		for _, a := range acts {
			if a.Kind == Send {
				line := out[a.Host]
				from := g.now
				if len(line) > 0 {
					from = max(from, line[len(line)-1].end)
				}
				took := Time(float64(30*ms) * r.ExpFloat64())
				out[a.Host] = append(line, job{g, a.Request, class[g][a.Request], g.now, from + took})
			}
		}
	}
	for _, g := range f.gates {
		class[g] = map[RequestID]int{}
	}
	for step := range 12_000 {
		counts := step > 2000
		for h := range out {
			for len(out[h]) > 0 && out[h][0].end <= f.gates[0].now {
				j := out[h][0]
				out[h] = out[h][1:]
				if counts && j.gate.now-j.sent <= set.Classes[j.class].LatencyObjective {
					served[j.class]++
				}
				j.gate.outcome(j.id, 0, OK, j.gate.now-j.sent)
				take(j.gate, j.gate.acts)
			}
		}
		for _, g := range f.gates {
			take(g, g.advance(ms))
			if r.Float64() >= 0.05 {
				continue
			}
			c := 0
			if r.Intn(3) == 0 {
				c = 1
			}
			if counts {
				asked[c]++
			}
			class[g][g.next+1] = c
			g.request(c, set.Classes[c].Deadline)
			take(g, g.acts)
		}
	}
	return asked, served
}

// Where the hosts are full, requests of low weight leave capacity to those of high weight: the
// latter wait the least, as their latency objective is tight, and were the first to be rejected.
func TestUnderOverloadTheWorthiestIsServedFirst(t *testing.T) {
	var asked, served [2]int
	for seed := range int64(2) {
		a, s := playOverload(t, seed)
		for c := range a {
			asked[c], served[c] = asked[c]+a[c], served[c]+s[c]
		}
	}
	low, high := float64(served[0])/float64(asked[0]), float64(served[1])/float64(asked[1])
	t.Logf("lookups %.2f, bookings %.2f in time", low, high)
	if high < 1.2*low || low < 0.1 {
		t.Errorf("lookups %.2f, bookings %.2f in time, want bookings first and some lookups", low, high)
	}
}

// A class that finds its hosts makes no room for itself, and nothing yields to its like.
func TestNothingYieldsWhereHostsAreFound(t *testing.T) {
	g := start(t, basic(), hosts(3)...)
	for range 200 {
		for class := range 3 {
			id := g.request(class, time.Second)
			g.sole(Send)
			g.outcome(id, 0, OK, 10*ms)
		}
	}
	g.b.starvation.unserved[0].share = 1 // the lowest weight can't claim capacity from others
	for range 50 {
		id := g.request(0, time.Second)
		g.sole(Send)
		g.outcome(id, 0, OK, 10*ms)
		g.b.starvation.unserved[0].share = 1
	}
}

// What found no host while nothing held hosts up asks nobody for room, and what did is
// forgotten: a class that asks seldom must not keep the others out.
func TestRoomIsAskedForOnlyWhileOthersHoldIt(t *testing.T) {
	g := start(t, basic())
	for range 50 {
		g.request(2, time.Second)
		g.advance(time.Second)
	}
	if x := g.b.starvation.unserved[2].share; x != 0 {
		t.Errorf("with no host there is, %.2f is asked for", x)
	}
	g.list(ListFull, hosts(1)...)
	for range 20 { // one holds the only host at a time, the others wait in vain
		var sent []RequestID
		note := func(acts []Action) {
			for _, a := range acts {
				if a.Kind == Send {
					sent = append(sent, a.Request)
				}
			}
		}
		for k := range 9 {
			g.request(min(k, 1)*2, time.Second)
			note(g.acts)
		}
		note(g.advance(200 * ms))
		for len(sent) > 0 {
			id := sent[0]
			sent = sent[1:]
			g.outcome(id, 0, OK, 200*ms)
			note(g.acts)
		}
	}
	if x := g.b.starvation.unserved[2].share; x < maxStarvationShare {
		t.Fatalf("behind a full host %.2f is asked for", x)
	}
	g.advance(time.Duration(5e9 * g.b.starvation.span))
	for range 50 {
		id := g.request(0, time.Second)
		g.sole(Send)
		g.outcome(id, 0, OK, 10*ms)
	}
}

// Most of 80 gateways start anew within a second, each with an old list of its own, in the
// midst of a release: what they take up is spread over the hosts as it was, and their first
// calls for the list over the time that they have for it.
func TestRestartOfMostGatewaysIsSpread(t *testing.T) {
	set := basic()
	set.Poll, set.PollTimeout = true, 10*time.Second
	const gates, n, least = 80, 60, 56
	r := rand.New(rand.NewSource(5))
	f := &gatewayFleet{t: t}
	calls := map[Time]int{} // by second
	set.Instances = gates
	began := Time(time.Hour)
	for rank := range gates {
		set.Rank = rank
		old := hosts(n)
		for range 4 { // as others knew it: some were not there, some drained
			old[r.Intn(n)].State = Draining
		}
		old = old[r.Intn(3):]
		b, err := New(set, uint64(rank))
		if err != nil {
			t.Fatal(err)
		}
		g := &gateway{T: t, b: b, now: began + Time(r.Intn(1000))*ms}
		if rank >= least {
			g.now = began
		}
		b.Start(g.now)
		g.list(ListSaved, old...)
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
					g.list(ListFailed)
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
		if got := f.subset(i); len(got) < minSubsetHosts {
			t.Errorf("gateway %d uses %d hosts", i, len(got))
		}
	}
}

// Of a fleet in which one host in ten is replaced, a gateway changes that many, and some more
// as places slide: none with all hosts its own, up to half where 500 share 120 hosts. Each
// host has its gateways, in a fleet of one, of 80 and of 500.
func TestGatewayChangesWhatWasReplaced(t *testing.T) {
	for _, c := range []struct {
		gates, n int
		most     float64
	}{{1, 12, 0.1}, {80, 60, 0.35}, {500, 120, 0.5}} {
		list := hosts(c.n)
		f := startFleet(t, basic(), c.gates, list)
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
		f.list(changes...)
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

// A host is replaced twice a second for ten minutes: nothing is kept of those that went.
func TestReplacedHostsAreForgotten(t *testing.T) {
	set := basic()
	set.Instances = 80
	list := hosts(60)
	g := start(t, set, list...)
	next := HostID(1000)
	for k := range 1200 {
		old := &list[k%len(list)]
		gone := *old
		gone.State = Removed
		*old = Host{ID: next, Zone: gone.Zone, Cell: gone.Cell, Started: g.now}
		next++
		g.list(ListChanges, gone, *old)
		id := g.request(0, time.Second)
		if len(g.acts) == 1 && g.acts[0].Kind == Send {
			g.outcome(id, 0, OK, 20*ms)
		}
		g.advance(500 * ms)
	}
	b := g.b
	if len(b.byID) != 60 || len(b.hosts) != 60 || len(b.ring.hosts) > 60 || b.ring.ready() != 60 ||
		len(b.sets[setSubset].list) > 60 || len(b.rechecks.hosts) > 60 || cap(b.ring.hosts) > 256 {
		t.Errorf("kept: %d by id, %d hosts, %d on the ring (room for %d), %v listed, %d in the subset, %d to check again",
			len(b.byID), len(b.hosts), len(b.ring.hosts), cap(b.ring.hosts), [2]int{b.ring.warm, b.ring.warming}, len(b.sets[setSubset].list), len(b.rechecks.hosts))
	}
	for _, l := range b.ring.byKind {
		if len(l.hosts) != 60 {
			t.Errorf("%d hosts of kind %d", len(l.hosts), l.kind)
		}
	}
}

// A zone is lost and comes back warming, to 80 gateways that all want its hosts: what all send
// to each of them stays within the slow-start budget of a host in every window, and the hosts are
// used by a good part of it.
func TestZoneBackColdIsWarmedWithinItsBudget(t *testing.T) {
	set := basic()
	const gates, n, lost, rate = 80, 60, 20, 20 // requests a second of a gateway
	list := hosts(n)
	for i := range list {
		list[i].Zone, list[i].Kind = i%3, 0
	}
	f := startFleet(t, set, gates, list)
	r := rand.New(rand.NewSource(9))
	type answer struct {
		g    *gateway
		id   RequestID
		n    int
		h    HostID
		sent Time
	}
	var out []answer
	sends := map[HostID][]Time{}
	take := func(g *gateway, acts []Action) {
		for _, a := range acts {
			if a.Kind == Send {
				out = append(out, answer{g, a.Request, 0, a.Host, g.now})
				sends[a.Host] = append(sends[a.Host], g.now)
			}
		}
	}
	play := func(d time.Duration) {
		const step = 10 * ms
		for ; d > 0; d -= step {
			late := out[:0:0]
			for _, a := range out {
				if a.g.now-a.sent < 20*ms {
					late = append(late, a)
				}
			}
			done := out
			out = late
			for _, a := range done {
				if a.g.now-a.sent >= 20*ms {
					a.g.outcome(a.id, a.n, OK, 20*ms)
					take(a.g, a.g.acts)
				}
			}
			for _, g := range f.gates {
				take(g, g.advance(step))
				if r.Float64() < rate*step.Seconds() {
					g.request(0, time.Second)
					take(g, g.acts)
				}
			}
		}
	}
	play(5 * time.Second)
	var gone, back []Host
	for _, h := range list {
		if h.Zone == 0 {
			h.State = Removed
			gone = append(gone, h)
		}
	}
	f.list(gone...)
	play(3 * time.Second)
	began := f.gates[0].now
	for _, h := range gone {
		h.State, h.Started = Ready, began
		back = append(back, h)
	}
	f.list(back...)
	clear(sends)
	play(set.SlowStartWindow)
	capacity := float64(gates*rate) / (n - lost) // what a warm host did meanwhile, at least
	used, budget := 0.0, 0.0
	for _, h := range back {
		times := sends[h.ID]
		for i := range times {
			k := i
			for k < len(times) && times[k] < times[i]+set.OverloadWindow {
				k++
			}
			share := set.SlowStartShare + (1-set.SlowStartShare)*float64(times[i]-began)/float64(set.SlowStartWindow)
			if most := capacity * share * set.OverloadFactor * set.OverloadWindow.Seconds(); float64(k-i) > most {
				t.Fatalf("host %d: %d sends within a fall, %v after its start, %.0f are its budget",
					h.ID, k-i, times[i]-began, most)
			}
		}
		if len(times) == 0 {
			t.Errorf("host %d gets nothing while it is warming", h.ID)
		}
		used += float64(len(times))
		budget += capacity * (1 + set.SlowStartShare) / 2 * set.OverloadFactor * set.SlowStartWindow.Seconds()
	}
	if t.Logf("%.0f sends to warming hosts of a budget of %.0f", used, budget); used < 0.15*budget {
		t.Errorf("%.0f sends to warming hosts, a budget of %.0f: they are left unused", used, budget)
	}
}

// Discovery is out for ten seconds: the last list stays, drains too, whatever is
// asked of the hosts; and when it is back the gateways do not come to it all at once.
func TestAListThatIsLostStands(t *testing.T) {
	set := basic()
	set.Poll, set.PollTimeout = true, 10*time.Second
	const gates, n = 80, 60
	f := startFleet(t, set, gates, hosts(n))
	drained := Host{ID: 7, Zone: 3, Cell: 3, State: Draining}
	f.list(drained)
	back := map[int]int{} // calls that are answered, by second since it is back
	for _, g := range f.gates {
		began := g.now
		g.list(ListFailed) // all watches end at once
		for range 200 {
			for _, a := range g.advance(100 * ms) {
				if a.Kind != Poll {
					continue
				}
				if since := g.now - began; since < 10*time.Second {
					g.list(ListFailed)
				} else {
					back[int((since-10*time.Second)/time.Second)]++
					g.list(ListChanges)
				}
			}
			id := g.request(0, time.Second)
			for _, a := range g.acts {
				if a.Kind == Send && a.Host == drained.ID {
					t.Fatalf("a send to host %d, %v after the list said that it drains", a.Host, g.now-began)
				}
				if a.Kind == Send {
					g.outcome(id, 0, OK, 10*ms)
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

// A host that a list names twice is one host, and is what the later entry says.
func TestHostNamedTwiceIsOne(t *testing.T) {
	g := start(t, basic(), hosts(3)...)
	for _, kind := range []ListKind{ListChanges, ListFull, ListSaved} {
		g.list(kind, append(hosts(3), Host{ID: 2, State: Draining})...)
		if len(g.b.hosts) != 3 || [2]int{g.b.ring.warm, g.b.ring.warming} != [2]int{2, 0} || g.b.byID[2].State != Draining {
			t.Errorf("list of kind %d: %d hosts, %v ready, host 2 in state %d", kind, len(g.b.hosts), [2]int{g.b.ring.warm, g.b.ring.warming}, g.b.byID[2].State)
		}
		g.list(kind, append([]Host{{ID: 2, State: Draining}}, hosts(3)...)...)
		if len(g.b.hosts) != 3 || [2]int{g.b.ring.warm, g.b.ring.warming} != [2]int{3, 0} {
			t.Errorf("list of kind %d: %d hosts, %v ready", kind, len(g.b.hosts), [2]int{g.b.ring.warm, g.b.ring.warming})
		}
	}
}

// What waits is rejected the sooner the more gateways share a host, as a place there then comes free
// by the answers of others. It guards against requests that only get old.
func TestLinesAreShortWhereManyShareAHost(t *testing.T) {
	for gateways, want := range map[int]time.Duration{1: 80 * ms, 4: 20 * ms, 20: 4 * ms} {
		set := basic()
		set.Instances = gateways
		g := start(t, set, hosts(1)...)
		h := g.b.hosts[0]
		h.limiter.limit, h.limiter.restingUntil = 0.4, g.now+time.Second
		g.b.recheck(h)
		g.request(0, time.Second)
		if len(g.acts) > 0 {
			t.Fatalf("%d gateways: %v at once", gateways, g.acts)
		}
		early, then := g.advance(want-ms), g.advance(set.Classes[0].LatencyObjective/8)
		if len(early) > 0 || len(then) != 1 || then[0].Kind != Reject || then[0].Cause != CauseQueueTimeout {
			t.Errorf("%d gateways: %v before %v, %v after", gateways, early, want, then)
		}
	}
}

// An answer that took no time at all leaves an estimate that is a number: it guards against hosts
// that are chosen by chance alone from then on.
func TestAnswerInNoTime(t *testing.T) {
	g := start(t, basic(), hosts(1)...)
	g.outcome(g.request(0, time.Second), 0, OK, 0)
	if got := g.b.estimatedRTT(g.b.hosts[0]); !(got >= 0) {
		t.Errorf("the estimate is %v", got)
	}
}

// A host's limit below one grows where a request found no host while the answered one was out, also
// where that one was rejected long before the answer; not where none was wanted, and not above one. It guards against a busy
// gateway that stays at its even part of hosts that have room.
func TestLimitGrowsWhereAHostWasWanted(t *testing.T) {
	for _, wanted := range []bool{true, false} {
		set := basic()
		set.Instances = 40
		g := start(t, set, hosts(1)...)
		h := g.b.hosts[0]
		for range 200 {
			id := g.request(0, time.Second)
			g.sole(Send)
			if wanted {
				g.request(0, time.Second) // there is no place for it
			}
			g.advance(40 * ms)
			g.outcome(id, 0, OK, 40*ms)
		}
		if grown := h.limiter.limit > 2*initialLimitAttempts/g.b.sharingInstances(); grown != wanted || h.limiter.limit > 1.01 {
			t.Errorf("wanted %v: the limit is %.3f, at first it was %.3f", wanted, h.limiter.limit, initialLimitAttempts/g.b.sharingInstances())
		}
	}
}

// Behind 45 minutes in which a host is replaced twice a second, always with a request out there, the
// memory that is held is what it was behind five. It guards against what is kept of hosts that have gone.
func TestReplacedHostsLeaveNothing(t *testing.T) {
	b, err := New(basic(), 1)
	if err != nil {
		t.Fatal(err)
	}
	const each, minute = 500 * ms, 120 // hosts are replaced this often, and so many a minute
	live := hosts(40)
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
