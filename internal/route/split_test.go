package route

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// knownSplit has the pools of the keys k0 to k23 with two equal weights.
const knownSplit = "000111011011000011011001"

// The pool of a key is stable, and a change of the weights moves only as many keys as the shares change by.
func TestPoolOfKeyIsStable(t *testing.T) {
	split := func(old, new int) *Route {
		return mustCompile(t, newRule("r", "/", withSplit(Share{"p", old}, Share{"q", new}))).Routes()[0]
	}
	before, after := split(99, 1), split(95, 5)
	const n = 200_000
	var count [2]int
	moved, movedBack := 0, 0
	for i := range n {
		key := fmt.Sprintf("household-%d", i)
		x, y := before.Pool(key, 0), after.Pool(key, 0)
		count[x]++
		if x != y {
			moved++
			if y == 0 {
				movedBack++
			}
		}
	}
	if p := float64(count[1]) / n; math.Abs(p-0.01) > 0.001 {
		t.Errorf("%.4f of the keys have the pool of 1%%, want 0.01", p)
	}
	if p := float64(moved) / n; math.Abs(p-0.04) > 0.002 || movedBack > 0 {
		t.Errorf("%.4f of the keys moved when 1%% became 5%%, %d of them back, want 0.04 and none", p, movedBack)
	}
	// Known results detect a change of the hash: keys must not move between builds.
	got := ""
	for i := range 24 {
		got += fmt.Sprint(split(50, 50).Pool(fmt.Sprintf("k%d", i), 0))
	}
	if got != knownSplit {
		t.Errorf("pools of the keys %s, want %s", got, knownSplit)
	}
	// The order of the pools does not matter, and a third pool takes keys from both others.
	reversed := mustCompile(t, newRule("r", "/", withSplit(Share{"q", 5}, Share{"p", 95}))).Routes()[0]
	three := mustCompile(t, newRule("r", "/", withSplit(Share{"p", 95}, Share{"q", 5}, Share{"r", 100}))).Routes()[0]
	for i := range 2000 {
		key := fmt.Sprint(i)
		if after.Pool(key, 0) == reversed.Pool(key, 0) {
			t.Fatalf("key %s: pool %d in one order, %d in the other",
				key, after.Pool(key, 0), 1-reversed.Pool(key, 0))
		}
		if x, y := after.Pool(key, 0), three.Pool(key, 0); y != 2 && x != y {
			t.Fatalf("key %s moved from pool %d to %d as a third was added, want it to stay or to move to the third",
				key, x, y)
		}
	}
	// Without a key the pool is random.
	r := rand.New(rand.NewPCG(1, 2))
	count = [2]int{}
	for range n {
		count[after.Pool("", r.Uint64())]++
	}
	if p := float64(count[1]) / n; math.Abs(p-0.05) > 0.003 {
		t.Errorf("without a key %.4f get the pool of 5%%, want 0.05", p)
	}
	if only := mustCompile(t, newRule("r", "/", withSplit(Share{"p", 0}, Share{"q", 3}))).Routes()[0]; only.Pool("x", 0) != 1 {
		t.Errorf("pool %d with a weight of 0 for the other, want 1", only.Pool("x", 0))
	}
}
