package simulator

import (
	"slices"
	"testing"
	"time"
)

// Troubles that overlap hold until the last has ended, and what one ends another does not begin
// anew. It guards against a gateway that is started twice, and so forgets what it has taken, and
// against a host that comes up while it is down.
func TestTroublesOverlap(t *testing.T) {
	const second = time.Second
	c := fleet(2)
	c.Length = 40 * second
	c.Gateways = 1
	all := func(kind TroubleKind, at, long time.Duration) Trouble {
		return Trouble{Kind: kind, At: at, For: long, Part: 1, Size: 3}
	}
	c.Troubles = []Trouble{all(Gateway, 10*second, 6*second), all(Gateway, 12*second, 6*second)}
	served := func(from, to int) (n int) {
		t.Helper()
		sum, err := Run(c)
		if err != nil {
			t.Fatal(err)
		}
		if sum.Broken != [rules]int{} {
			t.Errorf("%v: %v, %q", c.Troubles, sum.Broken, sum.Why)
		}
		for _, s := range sum.Seconds[from:to] {
			n += s.InTime
		}
		return n
	}
	if n := served(12, 17); n != 0 {
		t.Errorf("%d served by a gateway that is down", n)
	}
	if n := served(20, 40); n == 0 {
		t.Error("the gateway is not back")
	}
	for _, kinds := range [][2]TroubleKind{{Crash, Vanish}, {Vanish, Crash}, {Crash, Drain}, {Drain, Crash}} {
		c.Troubles = []Trouble{all(kinds[0], 10*second, 6*second), all(kinds[1], 12*second, 6*second)}
		if n := served(13, 15); kinds[0] != Drain && n != 0 {
			t.Errorf("%v: %d served by hosts that are down", kinds, n)
		}
		if n := served(30, 40); n == 0 {
			t.Errorf("%v: the hosts are not back", kinds)
		}
	}
	// One crash that ends does not bring back what another has down.
	c.Troubles = []Trouble{all(Crash, 10*second, 20*second), all(Crash, 12*second, 2*second)}
	if n := served(16, 29); n != 0 {
		t.Errorf("%d served by hosts of which one crash has ended", n)
	}
	// Nor does the end of one slowness that of another: both are told by how a host stands.
	w := &world{cfg: c}
	w.cfg.Troubles = []Trouble{all(Slow, 0, second), {Kind: Slow, Size: 7}, all(Hang, 0, second), {Kind: Errors, Size: 0.5}}
	h := &host{hits: []int{0, 1, 2, 3}}
	if s := w.among(h); s.slow != 7 || !s.hung || s.errors != 0.5 || s.down || s.listed() != 0 {
		t.Errorf("%+v", s)
	}
	h.hits = slices.Delete(h.hits, 1, 2)
	if s := w.among(h); s.slow != 3 {
		t.Errorf("%+v", s)
	}
}

// A host that has just started and is slow besides is held to what its size and its coldness allow:
// it guards against asking gateways for what they can't know before it has answered. What is too
// much for a cold host is still seen.
func TestSlownessIsNotColdness(t *testing.T) {
	c := fleet(1)
	h := &host{Kind: c.Hosts[0], up: true, slow: 18, started: 10 * time.Second}
	w := &world{cfg: c, sum: &Summary{}, now: 10 * time.Second, longest: 0.02}
	r := &request{work: 0.02}
	for range 20 { // 0.4 s of work, of 1.2 s that are allowed at 0.3 of two cores, and slack
		w.sentCold(h, r)
	}
	if n := w.sum.Broken[RuleCold]; n != 0 {
		t.Errorf("%d times pushed over: %q", n, w.sum.Why)
	}
	for range 80 { // 2 s in all
		w.sentCold(h, r)
	}
	if w.sum.Broken[RuleCold] == 0 {
		t.Error("2 s of work within a second push a cold host over, and that is not seen")
	}
}
