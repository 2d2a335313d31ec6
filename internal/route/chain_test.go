package route

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// expectFirstShare checks the share of the first pool of a chain.
func expectFirstShare(t *testing.T, c *Chain, now Time, what string, want float64) {
	t.Helper()
	got := c.Shares(now, nil)[0]
	if math.Abs(got-want) > 0.001 {
		t.Errorf("%s: share of the first pool %.3f, want %.3f", what, got, want)
	}
}

// newChainOfTwo returns a chain of two pools whose ten and four hosts are all usable at a time.
func newChainOfTwo(now Time) *Chain {
	c := NewChain(DefaultMinShare, DefaultMinShare)
	c.SetUsable(now, 0, 10, 10)
	c.SetUsable(now, 1, 4, 4)
	return c
}

// Traffic leaves a pool at once when its usable hosts fall below its minimum share, and returns late and slowly.
func TestSharesMoveAtOnceAndReturnSlowly(t *testing.T) {
	now := Time(time.Hour)
	c := newChainOfTwo(now)
	expectFirstShare(t, c, now, "all usable", 1)
	c.SetUsable(now, 0, 8, 10)
	expectFirstShare(t, c, now, "8 of 10 are enough", 1)
	c.SetUsable(now, 0, 5, 10)
	expectFirstShare(t, c, now, "5 of 10", 0.7)
	c.SetUsable(now, 0, 0, 10)
	expectFirstShare(t, c, now, "none usable", 0)
	c.SetUsable(now, 0, 10, 10)
	expectFirstShare(t, c, now, "just returned", 0)
	now += settleTime
	expectFirstShare(t, c, now, "settled", 0)
	now += returnTime / 2
	expectFirstShare(t, c, now, "half way through the return", 0.5)
	c.SetUsable(now, 0, 0, 10)
	expectFirstShare(t, c, now, "none usable again", 0)
	now += time.Hour
	c.SetUsable(now, 0, 10, 10)
	now += settleTime + returnTime
	expectFirstShare(t, c, now, "long after", 1)
}

// A host that is usable for less than settleTime at a time does not bring traffic back to its pool.
func TestFlappingHostsBringNoTrafficBack(t *testing.T) {
	now := Time(time.Hour)
	c := newChainOfTwo(now)
	expectFirstShare(t, c, now, "all usable", 1)
	c.SetUsable(now, 0, 0, 10)
	moved := false
	for range 50 {
		now += settleTime / 2
		c.SetUsable(now, 0, 10, 10)
		now += settleTime / 2
		c.SetUsable(now, 0, 0, 10)
		moved = moved || c.Shares(now, nil)[0] > 0
	}
	if moved {
		t.Error("traffic returns to a pool whose hosts flap, want none")
	}
}

// If neither pool can carry all traffic, their shares are in proportion to their capacities. If neither has a usable
// host, all traffic goes to the first, which rejects it.
func TestSharesAreProportionalToInsufficientCapacities(t *testing.T) {
	now := Time(time.Hour)
	c := newChainOfTwo(now)
	c.SetUsable(now, 0, 0, 10)
	c.SetUsable(now, 1, 1, 4)
	expectFirstShare(t, c, now, "none of the first usable, one of the second", 0)
	c.SetUsable(now, 1, 0, 4)
	expectFirstShare(t, c, now, "none of both usable", 1)
	d := NewChain(1, 1)
	d.SetUsable(now, 0, 2, 10)
	d.SetUsable(now, 1, 1, 10)
	if s := d.Shares(now, nil); math.Abs(s[0]-2.0/3) > 1e-9 || math.Abs(s[0]+s[1]-1) > 1e-9 {
		t.Errorf("shares %v with 0.2 and 0.1 of the needed hosts, want 2/3 and 1/3", s)
	}
	if e := NewChain(1); e.Choose(now, 0.999999) != 0 {
		t.Errorf("pool %d of a chain of one, want 0", e.Choose(now, 0.999999))
	}
}

// Shares are between 0 and 1 and sum to 1 whatever hosts are usable, and a pool with a share of 0 is
// never chosen.
func TestSharesSumToOneForAnyUsableHosts(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 4))
		c := NewChain(0.3+0.7*r.Float64(), 0.3+0.7*r.Float64(), 1)
		now := Time(time.Hour)
		for range 300 {
			changes := r.IntN(3) == 0
			now += time.Duration(r.Int64N(int64(time.Second)))
			if changes {
				hosts := r.IntN(12)
				c.SetUsable(now, r.IntN(3), r.IntN(hosts+1), hosts)
			}
			s := c.Shares(now, nil)
			sum := 0.0
			for _, x := range s {
				if x < 0 || x > 1 {
					t.Fatalf("seed %d: shares %v, want 0 to 1 with a sum of 1", seed, s)
				}
				sum += x
			}
			if math.Abs(sum-1) > 1e-9 {
				t.Fatalf("seed %d: shares %v, want 0 to 1 with a sum of 1", seed, s)
			}
			u := r.Float64()
			if i := c.Choose(now, u); s[i] == 0 {
				t.Fatalf("seed %d: pool %d chosen with shares %v, want one with a share", seed, i, s)
			}
		}
	}
}

// The shares of a chain without usable hosts are valid numbers. The test guards against a division by a sum of 0.
func TestSharesWithoutUsableHostsGoToFirstPool(t *testing.T) {
	c := NewChain(1, 1)
	c.SetUsable(0, 0, 0, 4)
	c.SetUsable(0, 1, 0, 4)
	if s := c.Shares(time.Second, nil); s[0] != 1 || s[1] != 0 {
		t.Errorf("shares %v, want 1 and 0", s)
	}
}

// A pool without traffic regularly gets an idempotent request as a trial, or any request if there is no idempotent
// one. Its recovery must be detected without risking more requests than that.
func TestTrialOfUnusedPoolPrefersIdempotentRequests(t *testing.T) {
	now := Time(time.Hour)
	c := NewChain(1, 1)
	c.SetUsable(now, 0, 4, 4)
	c.SetUsable(now, 1, 4, 4)
	trials := func(span Time, idempotent func(i int) bool) (n int) {
		for i := range int(span / (10 * time.Millisecond)) {
			now += 10 * time.Millisecond
			if p, ok := c.Trial(now, idempotent(i)); ok {
				if p != 0 {
					t.Errorf("trial of pool %d, want 0", p)
				}
				n++
			}
		}
		return n
	}
	always := func(int) bool { return true }
	never := func(int) bool { return false }
	if n := trials(time.Minute, always); n != 0 {
		t.Errorf("%d trials of a usable pool, want 0", n)
	}
	c.SetUsable(now, 0, 0, 4)
	if n := trials(10*time.Second, always); n < 35 || n > 41 {
		t.Errorf("%d trials in 10 s, want one every %v", n, trialInterval)
	}
	if n := trials(30*time.Second, never); n < 4 || n > 6 {
		t.Errorf("%d trials in 30 s without idempotent requests, want one every %v", n, idempotentTrialTime)
	}
	c.SetUsable(now, 0, 0, 0)
	if n := trials(10*time.Second, always); n != 0 {
		t.Errorf("%d trials of a pool without hosts, want 0", n)
	}
	c.SetUsable(now, 0, 0, 4)
	c.SetUsable(now, 0, 1, 4)
	if n := trials(10*time.Second, always); n != 0 {
		t.Errorf("%d trials of a returning pool, want 0", n)
	}
	single := NewChain(1)
	single.SetUsable(now, 0, 0, 3)
	if _, ok := single.Next(now, 0, true); ok {
		t.Error("Next of a chain of one pool, want none")
	}
}

// A request that a pool rejected goes to a later pool with a share, and a trial request also to an earlier one. The
// test guards against requests that circulate among the pools.
func TestNextGoesForwardAlongChain(t *testing.T) {
	now := Time(time.Hour)
	for _, x := range []struct {
		usable [3]int
		from   int
		trial  bool
		want   int // -1: none
	}{
		{[3]int{0, 3, 3}, 0, false, 1}, {[3]int{0, 0, 3}, 0, false, 2}, {[3]int{3, 0, 0}, 0, false, -1},
		{[3]int{3, 0, 3}, 1, false, 2}, {[3]int{3, 0, 0}, 1, false, -1}, {[3]int{3, 0, 0}, 1, true, 0},
		{[3]int{0, 0, 0}, 0, true, -1}, {[3]int{3, 3, 3}, 2, false, -1},
	} {
		c := NewChain(1, 1, 1)
		for i, n := range x.usable {
			c.SetUsable(now, i, n, 3)
		}
		got, ok := c.Next(now, x.from, x.trial)
		if !ok {
			got = -1
		}
		if got != x.want {
			t.Errorf("%+v: pool %d, want %d", x, got, x.want)
		}
	}
}
