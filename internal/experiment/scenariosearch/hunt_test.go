package scenariosearch

import (
	"reflect"
	"testing"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/experiment/simulator"
)

// base is a small fleet at half of what it can do.
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
		Hosts:   []simulator.Kind{{Count: 8, Cores: 1, Slots: 8, Queue: 16, Conns: 100}},
		Classes: []simulator.Traffic{{Name: "a", Rate: 150, Work: 20 * time.Millisecond}, {Name: "b", Rate: 50, Work: 20 * time.Millisecond}},
		Net:     simulator.Net{Delay: 200 * time.Microsecond}, Lists: simulator.Lists{Delay: 100 * time.Millisecond, Silent: time.Second},
	}
}

func ranges() Ranges {
	return Ranges{Base: base(), Load: [2]float64{0.5, 1.2}, Troubles: 3, Bursts: 1, Length: 20 * time.Second, Gateways: 6, Hosts: 12}
}

// What seemed possible is what the cores allow: all of it at half load, less in proportion where
// the cores, or a part of them for a part of the time, can do less.
func TestPossible(t *testing.T) {
	near := func(what string, got, want float64) {
		t.Helper()
		if got < want-0.01 || got > want+0.01 {
			t.Errorf("%s: %.3f, want %.3f", what, got, want)
		}
	}
	c := base()
	near("half load", Possible(c), 1)
	scale(&c, 2.8) // 11.2 cores of work for 8, of which 0.7 are counted
	near("too much", Possible(c), 0.5)
	c = base()
	c.Bursts = []simulator.Burst{{At: 0, For: 10 * time.Second, Times: 2.8}}
	near("too much for half of the time", Possible(c), (2.8*0.5+1)/3.8)
	c = base()
	c.Troubles = []simulator.Trouble{{Kind: simulator.Hang, At: 10 * time.Second, For: 5 * time.Second, Part: 0.25}}
	near("a quarter hangs: what goes there until it is noticed", Possible(c), 1-0.25*3/20)
	c.Troubles = []simulator.Trouble{{Kind: simulator.Gateway, At: 10 * time.Second, For: 5 * time.Second, Part: 0.01}}
	near("one gateway of two", Possible(c), 1-0.5*2/20)
	c.Troubles[0].Part = 1
	near("both gateways", Possible(c), 1-5.0/20)
	c.Classes = nil
	near("nothing is asked", Possible(c), 1)
}

// The same seed asks for the same, whatever else is done between, and all that is asked for can
// be played; what is found is sorted, and not all of one kind.
func TestSearch(t *testing.T) {
	hunt := func(seed uint64) []Find {
		s := New(ranges(), seed)
		for range 3 {
			batch := s.Next(16)
			for _, c := range batch {
				if wrong := c.Config.Check(); len(wrong) > 0 {
					t.Fatalf("seed %d: %v", seed, wrong[0])
				}
				if c.Config.Gateways > 6 || c.Config.Hosts[0].Count > 12 || len(c.Config.Troubles) > 3 || len(c.Config.Bursts) > 1 || perHost(c.Config) > 1.2*1.01*perHost(base()) {
					t.Fatalf("seed %d: out of the ranges: %+v", seed, c.Config)
				}
				sum, err := simulator.Run(c.Config)
				if err != nil {
					t.Fatal(err)
				}
				s.Tell(c, sum)
			}
		}
		if s.Played() != 48 {
			t.Errorf("%d played", s.Played())
		}
		return s.Worst()
	}
	a, b := hunt(1), hunt(1)
	if !reflect.DeepEqual(a, b) {
		t.Error("the same seed found something else")
	}
	kinds := map[string]int{}
	for i, f := range a {
		if kinds[Kinds(f.Config)]++; kinds[Kinds(f.Config)] > ofAKind {
			t.Errorf("more than %d of %s", ofAKind, Kinds(f.Config))
		}
		if i > 0 && f.Score > a[i-1].Score {
			t.Error("a worse one comes later")
		}
		if f.Broken > 0 {
			t.Errorf("a rule is broken: %+v", f)
		}
	}
	if len(kinds) < 3 {
		t.Errorf("only %v", kinds)
	}
	if c := hunt(2); reflect.DeepEqual(a, c) {
		t.Error("another seed found the same")
	}
}

// A search comes to what is worse than chance alone finds, where there is such a thing: it guards
// against breeding from the best.
func TestSearchFindsTheWorse(t *testing.T) {
	// A stand-in for the model: the more gateways, the worse.
	judge := func(c simulator.Config) *simulator.Summary {
		return &simulator.Summary{Classes: []simulator.ClassSummary{{Asked: 100, InTime: int(100*Possible(c)) - c.Gateways}}}
	}
	r := ranges()
	r.Gateways, r.Bursts = 64, 0
	s := New(r, 3)
	for range 20 {
		for _, c := range s.Next(16) {
			s.Tell(c, judge(c.Config))
		}
	}
	if top := s.Worst()[0]; top.Config.Gateways < 60 {
		t.Errorf("the worst has %d gateways of 64", top.Config.Gateways)
	}
}

// A find is made small: what does not matter goes, what does stays.
func TestShrink(t *testing.T) {
	c := base()
	c.Gateways, c.Hosts[0].Count, c.Length, c.Seed = 12, 40, time.Minute, 99
	scale(&c, 5)
	c.Clients.Retries, c.Clients.Backoff = 3, time.Second
	c.Bursts = []simulator.Burst{{At: time.Second, For: time.Second, Times: 2}}
	c.Troubles = []simulator.Trouble{
		{Kind: simulator.Slow, At: 3 * time.Second, For: time.Second, Part: 0.1, Size: 3},
		{Kind: simulator.Errors, At: 8100 * time.Millisecond, For: 2 * time.Second, Part: 0.33, Size: 1},
		{Kind: simulator.Hang, At: 9 * time.Second, For: time.Second, Part: 0.1},
	}
	runs := 0
	play := func(c simulator.Config) (*simulator.Summary, error) { // errors with two gateways or more are bad
		runs++
		sum := &simulator.Summary{Classes: []simulator.ClassSummary{{Asked: 1000, InTime: int(1000 * Possible(c))}}}
		if c.Gateways >= 2 && Kinds(c) != "load" {
			for _, t := range c.Troubles {
				if t.Kind == simulator.Errors {
					sum.Classes[0].InTime -= 400
				}
			}
		}
		return sum, nil
	}
	sum, _ := play(c)
	got := Shrink(Judge(c, sum), 200, play)
	k := got.Config
	if Kinds(k) != "errors" || len(k.Troubles) != 1 || k.Gateways != 3 || k.Hosts[0].Count != 2 || len(k.Classes) != 1 || k.Seed != 1 || k.Clients.Retries != 0 ||
		k.Length != 15*time.Second || k.Troubles[0].At != 8*time.Second {
		t.Errorf("made to %+v", k)
	}
	if work := perHost(k); work < 0.9*perHost(c) || work > 1.1*perHost(c) {
		t.Errorf("the work of a host went from %.3f to %.3f", perHost(c), work)
	}
	if len(c.Troubles) != 3 || c.Classes[0].Rate != 750 {
		t.Errorf("what was found has been changed: %+v", c)
	}
	runs = 0
	if Shrink(Judge(c, sum), 5, play); runs != 5 {
		t.Errorf("%d runs, want 5", runs)
	}
	// A broken rule stays broken, however good the rest is.
	broken := func(c simulator.Config) (*simulator.Summary, error) {
		sum := &simulator.Summary{Classes: []simulator.ClassSummary{{Asked: 1, InTime: 1}}}
		if len(c.Bursts) > 0 {
			sum.Broken[simulator.RuleTwice] = 1
		}
		return sum, nil
	}
	sum, _ = broken(c)
	if got := Shrink(Judge(c, sum), 200, broken); len(got.Config.Bursts) != 1 || len(got.Config.Troubles) != 0 || got.Broken != 1 {
		t.Errorf("%+v", got)
	}
}
