package scenariosearch

import (
	"reflect"
	"testing"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/experiment/simulator"
)

// base returns a small fleet at half load.
func base() simulator.Config {
	return simulator.Config{
		Length: 20 * time.Second, Gateways: 2,
		Settings: balancer.Settings{
			Instances: 1, MaxAttempts: 4, Cancel: true, SlowStartShare: 0.3, SlowStartWindow: 2 * time.Second, OverloadFactor: 2, OverloadWindow: time.Second,
			Classes: []balancer.Class{
				{LatencyObjective: 250 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1, Idempotency: balancer.Idempotent},
				{LatencyObjective: 250 * time.Millisecond, Deadline: time.Second, PriorityWeight: 5, Idempotency: balancer.NonIdempotent},
			},
		},
		Hosts:   []simulator.HostGroup{{Count: 8, Cores: 1, MaxConcurrent: 8, MaxQueued: 16, MaxConnections: 100}},
		Classes: []simulator.Traffic{{Name: "a", Rate: 150, MeanWork: 20 * time.Millisecond}, {Name: "b", Rate: 50, MeanWork: 20 * time.Millisecond}},
		Network: simulator.Network{Delay: 200 * time.Microsecond}, Endpoints: simulator.EndpointLists{UpdateDelay: 100 * time.Millisecond, FailureDelay: time.Second},
	}
}

func ranges() Ranges {
	return Ranges{Base: base(), LoadMin: 0.5, LoadMax: 1.2, MaxFaults: 3, MaxBursts: 1, Length: 20 * time.Second, MaxGateways: 6, MaxHosts: 12}
}

// The possible share is limited by the capacity of the cores: all requests at half load, and proportionally fewer
// under overload or if a part of the cores fails for a part of the time.
func TestPossibleShare(t *testing.T) {
	near := func(what string, got, want float64) {
		t.Helper()
		if got < want-0.01 || got > want+0.01 {
			t.Errorf("%s: got %.3f, want %.3f", what, got, want)
		}
	}
	c := base()
	near("half load", PossibleShare(c), 1)
	scaleLoad(&c, 2.8) // work of 11.2 cores for 8 cores, of which 0.7 are usable
	near("overload", PossibleShare(c), 0.5)
	c = base()
	c.Bursts = []simulator.Burst{{At: 0, Duration: 10 * time.Second, Factor: 2.8}}
	near("overload for half of the time", PossibleShare(c), (2.8*0.5+1)/3.8)
	c = base()
	c.Faults = []simulator.Fault{{Kind: simulator.Hang, At: 10 * time.Second, Duration: 5 * time.Second, Share: 0.25}}
	near("a quarter hangs: requests to it are lost until detected", PossibleShare(c), 1-0.25*3/20)
	c.Faults = []simulator.Fault{{Kind: simulator.GatewayCrash, At: 10 * time.Second, Duration: 5 * time.Second, Share: 0.01}}
	near("one gateway of two", PossibleShare(c), 1-0.5*2/20)
	c.Faults[0].Share = 1
	near("both gateways", PossibleShare(c), 1-5.0/20)
	c.Classes = nil
	near("no requests", PossibleShare(c), 1)
}

// The same seed gives the same findings. All candidates are valid and within the ranges, and the findings are sorted
// and have several labels.
func TestSearchIsDeterministicAndStaysInRange(t *testing.T) {
	search := func(seed uint64) []Finding {
		s := New(ranges(), seed)
		for range 3 {
			batch := s.Next(16)
			for _, c := range batch {
				if errs := c.Config.Validate(); len(errs) > 0 {
					t.Fatalf("seed %d: got an invalid candidate: %v", seed, errs[0])
				}
				if c.Config.Gateways > 6 || c.Config.Hosts[0].Count > 12 || len(c.Config.Faults) > 3 || len(c.Config.Bursts) > 1 || loadPerHost(c.Config) > 1.2*1.01*loadPerHost(base()) {
					t.Fatalf("seed %d: got a candidate out of the ranges: %+v", seed, c.Config)
				}
				sum, err := simulator.Run(c.Config)
				if err != nil {
					t.Fatal(err)
				}
				s.Report(c, sum)
			}
		}
		if s.Reported() != 48 {
			t.Errorf("got %d results reported, want 48", s.Reported())
		}
		return s.Worst()
	}
	a, b := search(1), search(1)
	if !reflect.DeepEqual(a, b) {
		t.Error("second search with seed 1: got other findings, want the same")
	}
	labels := map[string]int{}
	for i, f := range a {
		label := Label(f.Config)
		labels[label]++
		if labels[label] > maxKeptPerLabel {
			t.Errorf("got %d findings of %s, want at most %d", labels[label], label, maxKeptPerLabel)
		}
		if i > 0 && f.Score > a[i-1].Score {
			t.Errorf("finding %d: got score %v after %v, want the worst first", i, f.Score, a[i-1].Score)
		}
		if f.Violations > 0 {
			t.Errorf("got a rule violation: %+v", f)
		}
	}
	if len(labels) < 3 {
		t.Errorf("got findings of %v, want at least 3 labels", labels)
	}
	if c := search(2); reflect.DeepEqual(a, c) {
		t.Error("search with seed 2: got the findings of seed 1, want others")
	}
}

// A search converges on worse runs than random draws would find, because candidates are derived from the worst
// findings.
func TestSearchConvergesOnTheWorst(t *testing.T) {
	// This fake simulator serves fewer requests in time with more gateways.
	run := func(c simulator.Config) *simulator.Summary {
		return &simulator.Summary{Classes: []simulator.ClassSummary{{FirstRequests: 100, InTime: int(100*PossibleShare(c)) - c.Gateways}}}
	}
	r := ranges()
	r.MaxGateways, r.MaxBursts = 64, 0
	s := New(r, 3)
	for range 20 {
		for _, c := range s.Next(16) {
			s.Report(c, run(c.Config))
		}
	}
	if top := s.Worst()[0]; top.Config.Gateways < 60 {
		t.Errorf("worst finding: got %d gateways, want at least 60 of 64", top.Config.Gateways)
	}
}

// Shrink removes the parts of a Config that don't contribute to the score, and keeps the others.
func TestShrinkRemovesPartsWithoutEffect(t *testing.T) {
	c := base()
	c.Gateways, c.Hosts[0].Count, c.Length, c.Seed = 12, 40, time.Minute, 99
	scaleLoad(&c, 5)
	c.Clients.MaxRetries, c.Clients.Backoff = 3, time.Second
	c.Bursts = []simulator.Burst{{At: time.Second, Duration: time.Second, Factor: 2}}
	c.Faults = []simulator.Fault{
		{Kind: simulator.Slow, At: 3 * time.Second, Duration: time.Second, Share: 0.1, Severity: 3},
		{Kind: simulator.Errors, At: 8100 * time.Millisecond, Duration: 2 * time.Second, Share: 0.33, Severity: 1},
		{Kind: simulator.Hang, At: 9 * time.Second, Duration: time.Second, Share: 0.1},
	}
	runs := 0
	run := func(c simulator.Config) (*simulator.Summary, error) { // low share in time with Errors and two or more gateways
		runs++
		sum := &simulator.Summary{Classes: []simulator.ClassSummary{{FirstRequests: 1000, InTime: int(1000 * PossibleShare(c))}}}
		if c.Gateways >= 2 && Label(c) != "load" {
			for _, f := range c.Faults {
				if f.Kind == simulator.Errors {
					sum.Classes[0].InTime -= 400
				}
			}
		}
		return sum, nil
	}
	sum, _ := run(c)
	got := Shrink(Evaluate(c, sum), 200, run)
	k := got.Config
	if Label(k) != "errors" || len(k.Faults) != 1 || k.Gateways != 3 || k.Hosts[0].Count != 2 || len(k.Classes) != 1 || k.Seed != 1 || k.Clients.MaxRetries != 0 ||
		k.Length != 15*time.Second || k.Faults[0].At != 8*time.Second {
		t.Errorf("got %+v, want only errors, with 3 gateways and 2 hosts", k)
	}
	if work := loadPerHost(k); work < 0.9*loadPerHost(c) || work > 1.1*loadPerHost(c) {
		t.Errorf("load per host: got %.3f, want %.3f within a tenth", work, loadPerHost(c))
	}
	if len(c.Faults) != 3 || c.Classes[0].Rate != 750 {
		t.Errorf("original Config: got it changed to %+v, want it unchanged", c)
	}
	runs = 0
	if Shrink(Evaluate(c, sum), 5, run); runs != 5 {
		t.Errorf("got %d runs, want 5", runs)
	}
	// A finding that violates a rule keeps a violation, whatever share is served in time.
	violating := func(c simulator.Config) (*simulator.Summary, error) {
		sum := &simulator.Summary{Classes: []simulator.ClassSummary{{FirstRequests: 1, InTime: 1}}}
		if len(c.Bursts) > 0 {
			sum.Violations[simulator.RuleTwice] = 1
		}
		return sum, nil
	}
	sum, _ = violating(c)
	if got := Shrink(Evaluate(c, sum), 200, violating); len(got.Config.Bursts) != 1 || len(got.Config.Faults) != 0 || got.Violations != 1 {
		t.Errorf("violation with a burst: got %+v, want one burst, no fault, 1 violation", got)
	}
}
