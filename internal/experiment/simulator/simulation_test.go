package simulator

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"dunemoor/balancer"
)

// smallFleet returns a Config of a small fleet that has enough capacity for its traffic.
func smallFleet(seed uint64) Config {
	return Config{
		Seed: seed, Length: 20 * time.Second, Gateways: 3,
		Settings: balancer.Settings{
			MaxAttempts: 4, Cancel: true, MaxRetryAfter: time.Second, SlowStartShare: 0.3, SlowStartWindow: 5 * time.Second, OverloadFactor: 2, OverloadWindow: time.Second,
			Classes: []balancer.Class{
				{LatencyObjective: 200 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1},
				{LatencyObjective: 200 * time.Millisecond, Deadline: time.Second, PriorityWeight: 5, Idempotency: balancer.NonIdempotent},
				{LatencyObjective: 200 * time.Millisecond, Deadline: time.Second, PriorityWeight: 2, Idempotency: balancer.IdempotentWithKey, DedupScope: balancer.ScopeCell, DedupWindow: 2500 * time.Millisecond},
			},
		},
		Hosts: []HostGroup{{Count: 12, Cores: 2, MaxConcurrent: 8, MaxQueued: 16, MaxConnections: 200}},
		Classes: []Traffic{
			{Name: "look", Rate: 300, MeanWork: 20 * time.Millisecond},
			{Name: "book", Rate: 60, MeanWork: 20 * time.Millisecond, Distribution: LogNormal},
			{Name: "report", Rate: 60, MeanWork: 20 * time.Millisecond, Distribution: Fixed},
		},
		Clients:   Clients{MaxRetries: 2, Backoff: 50 * time.Millisecond, Jitter: 0.5, HonorRetryAfter: 0.5, FailoverDelay: time.Second},
		Network:   Network{Delay: 200 * time.Microsecond, DelaySpread: 0.5, HandshakeWork: time.Millisecond},
		Endpoints: EndpointLists{UpdateDelay: 100 * time.Millisecond, FailureDelay: 2 * time.Second, Spread: 200 * time.Millisecond},
	}
}

func run(t testing.TB, c Config) *Summary {
	t.Helper()
	s, err := Run(c)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// checkRules fails the test if a rule is violated, or if a first request isn't counted with exactly one outcome.
func checkRules(t testing.TB, c Config, s *Summary) {
	t.Helper()
	if s.Violations != ([ruleCount]int{}) {
		t.Errorf("seed %d: got rule violations %v, want none: %q", c.Seed, s.Violations, s.ViolationDetails)
	}
	for _, k := range s.Classes {
		if outcomes := k.InTime + k.Late + k.Rejected + k.Failed + k.Abandoned; outcomes != k.FirstRequests {
			t.Errorf("seed %d: %s: got %d first requests and %d outcomes, want equal numbers: %+v", c.Seed, k.Name, k.FirstRequests, outcomes, k)
		}
	}
}

// A fleet without faults serves its traffic. Under each kind of fault the rules hold and most requests are still
// served in time.
func TestRulesHoldUnderEachFault(t *testing.T) {
	for i, kind := range append([]FaultKind{""}, FaultKinds...) {
		c := smallFleet(uint64(100 + i))
		minInTime := 0.99
		if kind != "" {
			c.Faults = []Fault{{Kind: kind, At: 5 * time.Second, Duration: 6 * time.Second, Share: 0.25, Severity: 1}}
			if kind == Slow {
				c.Faults[0].Severity = 5
			}
			minInTime = 0.85
		}
		s := run(t, c)
		checkRules(t, c, s)
		if s.InTimeShare() < minInTime {
			t.Errorf("fault %q: got %.4f in time, want at least %.2f: %+v", kind, s.InTimeShare(), minInTime, s.Classes)
		}
		t.Logf("%-8s in time %.4f, %d attempts, %d events, maximum to mean load %.2f", kind, s.InTimeShare(), s.Attempts, s.Events, s.MaxToMeanLoad)
	}
}

// A fleet at half load serves its traffic with any number of gateways, even if the work varies. A balancer that takes
// random variation for overload would reject half of the requests.
func TestHalfLoadIsServedByAnyNumberOfGateways(t *testing.T) {
	for _, gateways := range []int{2, 8, 24} {
		c := smallFleet(11)
		c.Gateways = gateways
		for i := range c.Classes {
			c.Classes[i].Rate *= 1.4
			c.Classes[i].Distribution, c.Classes[i].CV = LogNormal, 1
		}
		s := run(t, c)
		checkRules(t, c, s)
		if s.InTimeShare() < 0.99 {
			t.Errorf("%d gateways: got %.4f in time, want at least 0.99: %+v", gateways, s.InTimeShare(), s.Classes)
		}
	}
}

// Each kind of fault has an effect. A fault that isn't simulated would pass all other tests.
func TestEachFaultReducesInTimeShare(t *testing.T) {
	healthy := run(t, smallFleet(5))
	for _, kind := range FaultKinds {
		c := smallFleet(5)
		minLoss := 0.02
		switch kind {
		case DiscoveryDown:
			continue // no effect in this fleet, where endpoint lists are pushed
		case ReplaceHosts:
			minLoss = 0.01 // smaller effect: the old hosts still serve while the new ones start
		}
		c.Faults = []Fault{{Kind: kind, At: 5 * time.Second, Duration: 6 * time.Second, Share: 1, Severity: 1}}
		if kind == Slow {
			c.Faults[0].Severity = 20
		}
		s := run(t, c)
		if s.InTimeShare() > healthy.InTimeShare()-minLoss {
			t.Errorf("%s of all: got %.3f in time, want at least %.2f below the %.3f without faults", kind, s.InTimeShare(), minLoss, healthy.InTimeShare())
		}
		checkRules(t, c, s)
	}
}

// The same seed gives the same run, and another seed a different one.
func TestRunIsDeterministic(t *testing.T) {
	c := smallFleet(7)
	c.Faults = []Fault{{Kind: Crash, At: 3 * time.Second, Duration: 4 * time.Second, Share: 0.3}, {Kind: GatewayCrash, At: 8 * time.Second, Duration: 3 * time.Second, Share: 0.4}}
	a, b := run(t, c), run(t, c)
	if !reflect.DeepEqual(a, b) {
		t.Errorf("second run of the same seed:\ngot  %+v\nwant %+v", b, a)
	}
	c.Seed = 8
	if reflect.DeepEqual(a.Seconds, run(t, c).Seconds) {
		t.Error("seeds 7 and 8: got the same run, want different ones")
	}
}

// Additions to a Config don't change the first requests of clients, so that runs can be compared.
func TestRandomStreamsAreIndependent(t *testing.T) {
	firstRequests := func(c Config) (out []int) {
		for _, s := range run(t, c).Seconds {
			out = append(out, s.FirstRequests)
		}
		return out
	}
	c := smallFleet(9)
	want := firstRequests(c)
	more := smallFleet(9)
	more.Hosts = append(more.Hosts, HostGroup{Count: 3, Cores: 1, MaxConcurrent: 1, MaxQueued: 5})
	more.Faults = []Fault{{Kind: Hang, At: time.Second, Duration: time.Second, Share: 0.5}}
	more.Gateways = 5
	if got := firstRequests(more); !reflect.DeepEqual(got, want) {
		t.Errorf("first requests with more hosts, gateways and a fault: got %v, want %v as without them", got, want)
	}
	burst := smallFleet(9)
	burst.Bursts = []Burst{{At: 19 * time.Second, Duration: time.Second, Factor: 3, Class: "report"}}
	if got := firstRequests(burst); got[19] <= want[19] {
		t.Errorf("second of a burst: got %d first requests, want more than the %d without a burst", got[19], want[19])
	}
}

// BenchmarkRun measures the requests and events simulated per second on one core.
func BenchmarkRun(b *testing.B) {
	for _, size := range []struct{ gateways, hosts int }{{3, 12}, {100, 1000}} {
		b.Run(fmt.Sprintf("%dx%d", size.gateways, size.hosts), func(b *testing.B) {
			c := smallFleet(1)
			c.Gateways, c.Hosts[0].Count, c.Length = size.gateways, size.hosts, 5*time.Second
			for i := range c.Classes {
				c.Classes[i].Rate *= float64(size.hosts) / 12
			}
			requests, events := 0, 0
			for b.Loop() {
				s := run(b, c)
				events += s.Events
				for _, k := range s.Classes {
					requests += k.FirstRequests
				}
			}
			b.ReportMetric(float64(requests)/b.Elapsed().Seconds(), "requests/s")
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
		})
	}
}

// With skewed traffic, the concurrency limits of the busiest of 40 gateways grow to use the capacity that the other
// gateways leave idle. With limits for an equal share of the traffic it would reject more than a third of its
// requests.
func TestSkewedTrafficUsesIdleHosts(t *testing.T) {
	c := smallFleet(7)
	c.Gateways, c.TrafficSkew, c.Hosts[0].Count = 40, 2, 24
	for i := range c.Classes {
		c.Classes[i].Rate *= 4.2
	}
	s := run(t, c)
	checkRules(t, c, s)
	var all, busy GatewaySummary
	for _, g := range s.Gateways {
		all.Requests, all.Rejected = all.Requests+g.Requests, all.Rejected+g.Rejected
		if g.Requests > busy.Requests {
			busy = g
		}
	}
	if busy.Requests < 5*all.Requests/40 {
		t.Fatalf("busiest gateway: got %d of %d requests, want five times the mean", busy.Requests, all.Requests)
	}
	if share := float64(busy.Rejected) / float64(busy.Requests); share > 0.25 {
		t.Errorf("busiest gateway: got %.3f of %d requests rejected, want at most 0.25; all gateways reject %d of %d", share, busy.Requests, all.Rejected, all.Requests)
	}
}
