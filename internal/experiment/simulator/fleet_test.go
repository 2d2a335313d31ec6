package simulator

import (
	"testing"
	"time"

	"dunemoor/balancer"
)

// What goes wrong with a fleet as a whole is played, the rules hold, and what is counted over it by
// second shows it.
func TestFleetTroubles(t *testing.T) {
	second := time.Second
	for _, tt := range []struct {
		name  string
		with  func(c *Config)
		least float64
		shows func(s *Summary) bool
	}{
		{"half of the hosts are replaced while all gateways are restarted", func(c *Config) {
			c.Troubles = []Trouble{{Kind: Replace, At: 4 * second, For: 6 * second, Part: 0.5, Steps: 3}, {Kind: Restart, At: 5 * second, For: 6 * second, Part: 1, Steps: 6}}
		}, 0.95, func(s *Summary) bool {
			return len(s.Load) == 18 && most(s, func(x Second) int { return x.ColdSends }) > 50
		}},
		{"the way to a third is cut, silent to some and with resets to others", func(c *Config) {
			c.Troubles = []Trouble{{Kind: Cut, At: 5 * second, For: 6 * second, Part: 0.33}}
		}, 0.9, func(s *Summary) bool { return most(s, func(x Second) int { return x.DeadSends }) > 10 }},
		{"clients leave early and come too often while answers are lost", func(c *Config) {
			c.Clients.Early, c.Clients.Hasty = 0.2, 0.2
			c.Troubles = []Trouble{{Kind: Lossy, At: 5 * second, For: 6 * second, Part: 1, Size: 0.1}}
		}, 0.9, func(s *Summary) bool { return s.Classes[0].Left+s.Classes[1].Failed > 0 }},
		{"discovery must be asked and is down for a while", func(c *Config) {
			c.Lists.Call = 5 * time.Millisecond
			c.Troubles = []Trouble{{Kind: Blind, At: 5 * second, For: 3 * second, Part: 1}, {Kind: Replace, At: 6 * second, For: second, Part: 0.2}}
		}, 0.95, func(s *Summary) bool {
			n := most(s, func(x Second) int { return x.ListCalls })
			return n >= 3 && n <= 6 && len(s.Load) > 12 // each asks again, none time and again
		}},
	} {
		c := fleet(31)
		tt.with(&c)
		s := run(t, c)
		kept(t, c, s)
		if s.InTime() < tt.least || !tt.shows(s) {
			t.Errorf("%s: %.4f in time, %.4f is the least: %+v", tt.name, s.InTime(), tt.least, s.Seconds)
		}
	}
}

func most(s *Summary, of func(Second) int) (n int) {
	for _, x := range s.Seconds {
		n = max(n, of(x))
	}
	return n
}

// A gateway that is ended as planned must have answered all by then: it guards against a look that
// finds nothing.
func TestPlannedEndLosesNothing(t *testing.T) {
	w := &world{cfg: fleet(1), sum: &Summary{Classes: make([]ClassSummary, 3)}, now: 9 * time.Second}
	w.cfg.Settings.Instances = 1
	g := &gateway{up: true, left: 5 * time.Second, open: map[balancer.RequestID]*request{}}
	w.gateways = []*gateway{g}
	g.open[3] = &request{id: 3, gateway: g, try: 99}
	w.restarted(g)
	if w.sum.Broken[RuleLost] != 1 || !g.up || g.left != 0 || g.life != 1 {
		t.Errorf("broken %v, %+v", w.sum.Broken, g)
	}
}

// One gateway has a third of the traffic of forty and others a tenth of the mean: its limits grow
// into what hosts have idle. It guards against a part of the hosts that stays even where traffic is
// not; by its even part alone the busiest refuses 0.38 of its tries, with the growth 0.16.
func TestUnevenTraffic(t *testing.T) {
	c := fleet(7)
	c.Gateways, c.Skew, c.Hosts[0].Count = 40, 2, 24
	for i := range c.Classes {
		c.Classes[i].Rate *= 4.2
	}
	s := run(t, c)
	kept(t, c, s)
	var all, busy GatewaySum
	for _, g := range s.Gateways {
		all.Tries, all.Refused = all.Tries+g.Tries, all.Refused+g.Refused
		if g.Tries > busy.Tries {
			busy = g
		}
	}
	if busy.Tries < 5*all.Tries/40 {
		t.Fatalf("the busiest has %d of %d tries", busy.Tries, all.Tries)
	}
	if share := float64(busy.Refused) / float64(busy.Tries); share > 0.25 {
		t.Errorf("the busiest refuses %.3f of %d tries, all %d of %d", share, busy.Tries, all.Refused, all.Tries)
	}
}
