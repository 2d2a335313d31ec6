package simulator

import (
	"slices"
	"testing"
	"time"

	"dunemoor/balancer"
)

// Overlapping faults last until the last one ends: a gateway must not start twice, which would lose its requests, and
// a host must not start while another fault keeps it down.
func TestOverlappingFaultsLastUntilTheLastEnds(t *testing.T) {
	const second = time.Second
	c := smallFleet(2)
	c.Length = 40 * second
	c.Gateways = 1
	all := func(kind FaultKind, at, long time.Duration) Fault {
		return Fault{Kind: kind, At: at, Duration: long, Share: 1, Severity: 3}
	}
	c.Faults = []Fault{all(GatewayCrash, 10*second, 6*second), all(GatewayCrash, 12*second, 6*second)}
	served := func(from, to int) (n int) {
		t.Helper()
		sum, err := Run(c)
		if err != nil {
			t.Fatal(err)
		}
		if sum.Violations != [ruleCount]int{} {
			t.Errorf("%v: got violations %v, want none: %q", c.Faults, sum.Violations, sum.ViolationDetails)
		}
		for _, s := range sum.Seconds[from:to] {
			n += s.InTime
		}
		return n
	}
	if n := served(12, 17); n != 0 {
		t.Errorf("gateway down: got %d requests served, want 0", n)
	}
	if n := served(20, 40); n == 0 {
		t.Error("gateway after its faults: got no request served, want some")
	}
	for _, kinds := range [][2]FaultKind{{Crash, Vanish}, {Vanish, Crash}, {Crash, Drain}, {Drain, Crash}} {
		c.Faults = []Fault{all(kinds[0], 10*second, 6*second), all(kinds[1], 12*second, 6*second)}
		if n := served(13, 15); kinds[0] != Drain && n != 0 {
			t.Errorf("%v: got %d requests served by hosts that are down, want 0", kinds, n)
		}
		if n := served(30, 40); n == 0 {
			t.Errorf("%v: got no request served after the faults, want some", kinds)
		}
	}
	// The end of one crash must not start a host that another crash keeps down.
	c.Faults = []Fault{all(Crash, 10*second, 20*second), all(Crash, 12*second, 2*second)}
	if n := served(16, 29); n != 0 {
		t.Errorf("one of two crashes ended: got %d requests served, want 0", n)
	}
	// After the end of one slowdown the other still applies.
	sim := &simulation{config: c}
	sim.config.Faults = []Fault{all(Slow, 0, second), {Kind: Slow, Severity: 7}, all(Hang, 0, second), {Kind: Errors, Severity: 0.5}}
	h := &host{activeFaults: []int{0, 1, 2, 3}}
	got := sim.impairmentOf(h)
	if want := (impairment{slowdown: 7, hung: true, errorShare: 0.5}); got != want || got.listedState() != balancer.Ready {
		t.Errorf("four faults: got %+v, listed %v; want %+v, listed %v", got, got.listedState(), want, balancer.Ready)
	}
	h.activeFaults = slices.Delete(h.activeFaults, 1, 2)
	if got := sim.impairmentOf(h); got.slowdown != 3 {
		t.Errorf("after the end of one slowdown: got %+v, want a slowdown of 3", got)
	}
}

// RuleWarming computes the capacity of a warming host from its size and its age, and ignores a slowdown, which a
// gateway can't detect before the host has responded. More work than that capacity is still a violation.
func TestWarmingRuleIgnoresSlowness(t *testing.T) {
	c := smallFleet(1)
	h := &host{HostGroup: c.Hosts[0], running: true, impairment: impairment{slowdown: 18}, startedAt: 10 * time.Second}
	s := &simulation{config: c, summary: &Summary{}, now: 10 * time.Second, maxMeanWork: 0.02}
	r := &request{work: 0.02}
	for range 20 { // 0.4 s of work; 1.2 s (at 0.3 of two cores) plus the allowance are permitted
		s.checkWarmingLoad(h, r)
	}
	if n := s.summary.Violations[RuleWarming]; n != 0 {
		t.Errorf("0.4 s of work: got %d violations, want 0: %q", n, s.summary.ViolationDetails)
	}
	for range 80 { // 2 s of work in total
		s.checkWarmingLoad(h, r)
	}
	if s.summary.Violations[RuleWarming] == 0 {
		t.Error("2 s of work within a second: got no violation of RuleWarming, want some")
	}
}
