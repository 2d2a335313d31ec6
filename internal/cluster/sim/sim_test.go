package sim

import (
	"flag"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/testkit"
)

var (
	seeds = flag.Int("seeds", 8, "how many seeds of each story are played")
	first = flag.Uint64("seed", 1, "the first seed")
	trace = flag.Bool("story", false, "print what happens, for one seed")
)

// each plays seeds on all cores.
func each(t *testing.T, n int, play func(seed uint64) error) {
	t.Helper()
	var all sync.WaitGroup
	turns := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range n {
		all.Go(func() {
			turns <- struct{}{}
			defer func() { <-turns }()
			if t.Failed() {
				return
			}
			if err := play(*first + uint64(i)); err != nil {
				t.Error(err)
			}
		})
	}
	all.Wait()
}

// Fleets of three and five keepers, and more gateways than that, under whatever faults the seed
// draws: what must never be is checked at each step, and all is whole in time after the last.
func TestFleets(t *testing.T) {
	each(t, *seeds, func(seed uint64) error {
		o := Mixed(seed)
		o.Trace = *trace
		w, err := Play(o, 30*time.Second)
		if testing.Verbose() && err == nil {
			t.Logf("seed %d: %d frames, %d acts, %d of old owners refused, %d lapses, %d commands, %d halted", seed, w.Frames, w.acts, w.Hosts.refused, w.Lapses, w.Commands(), w.Halted())
		}
		return err
	})
}

// Seeds that broke something once: two owners at once; a gateway taken for a copy of itself; a
// command answered by the outcome of one that the leader's process before had proposed.
func TestFoundSeeds(t *testing.T) {
	for _, seed := range []uint64{10021, 18825, 1001768} {
		if _, err := Play(Mixed(seed), 30*time.Second); err != nil {
			t.Error(err)
		}
	}
	// What was carried out before its session ended, and asked for again, was told as not done.
	if err := Words(368); err != nil {
		t.Error(err)
	}
	// A relay took a stream that had ended before it told the others: the gateway went on by the one
	// before, of which that relay took nothing more.
	if err := Relays(1066); err != nil {
		t.Error(err)
	}
}

// Fleets with relays, under faults of those and of streams beside all others.
func TestRelays(t *testing.T) { each(t, *seeds, Relays) }

var cost = flag.Int("gateways", 0, "what a fleet of so many gateways and 16 relays sends is measured")

// What a relay's end takes: no session of another lapses. With -gateways and -v, the figures.
func TestRelayCost(t *testing.T) {
	c, err := MeasureRelays(Options{Seed: *first, Relays: 16, Nodes: 16 + max(*cost, 48), Keepers: 5, Duties: 50})
	if err != nil {
		t.Fatal(err)
	}
	share := func(list []time.Duration) string {
		if len(list) == 0 {
			return "none"
		}
		return fmt.Sprintf("%d moved, p50 %v p99 %v most %v", len(list), list[len(list)/2], list[len(list)*99/100], list[len(list)-1])
	}
	t.Logf("%d gateways, formed in %v; a gateway sends %.1f frames %.0f bytes and gets %.1f frames %.0f bytes a second; killed: %s; its machine: %s; the leader's: %s", c.Gateways, c.FormedIn,
		c.SentFrames, c.SentBytes, c.GotFrames, c.GotBytes, share(c.Killed), share(c.Silent), share(c.Led))
	if c.Lapsed > 0 {
		t.Errorf("%d sessions lapsed as relays ended", c.Lapsed)
	}
}

// Each failpoint is enabled in turn, in a build of its own, and the fault is found: see TestEachFailpoint.
func TestFailpoints(t *testing.T) { testkit.FailpointBuild(t, failpoint.Available) }

// What must disturb nobody does not.
func TestCalm(t *testing.T) {
	each(t, *seeds, Calm)
	each(t, *seeds, Flicker)
	each(t, *seeds, PutBack)
	each(t, *seeds, Words)
	each(t, *seeds/2, Late)
}
