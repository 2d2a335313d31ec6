package sim

import (
	"flag"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/testutil"
)

var (
	seeds = flag.Int("seeds", 8, "how many seeds of each scenario are played")
	first = flag.Uint64("seed", 1, "the first seed")
	trace = flag.Bool("story", false, "print events, for one seed")
)

// playSeeds plays seeds on all cores.
func playSeeds(t *testing.T, n int, play func(seed uint64) error) {
	t.Helper()
	var all sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range n {
		all.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
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

// Fleets of three and five replicas, some with more gateways, under faults that the seed draws: invariants are
// checked at each step, and the fleet recovers in time after the last fault.
func TestFleets(t *testing.T) {
	playSeeds(t, *seeds, func(seed uint64) error {
		o := Mixed(seed)
		o.Trace = *trace
		w, err := Play(o, 30*time.Second)
		if testing.Verbose() && err == nil {
			t.Logf("seed %d: %d frames, %d acts, %d of former holders rejected, %d expirations, %d commands, %d halted", seed, w.Frames, w.acts, w.Hosts.rejected, w.Expirations, w.Commands(), w.Halted())
		}
		return err
	})
}

// Seeds that once violated an invariant: two holders at once; a gateway taken for a copy of itself; a command
// that got the outcome of one that the leader's previous process had proposed.
func TestFoundSeeds(t *testing.T) {
	for _, seed := range []uint64{10021, 18825, 1001768} {
		if _, err := Play(Mixed(seed), 30*time.Second); err != nil {
			t.Error(err)
		}
	}
	// A command that was applied before its session ended, and was retried, was reported as not applied.
	if err := Overrides(368); err != nil {
		t.Error(err)
	}
	// A relay accepted a stream that had ended before it announced it: the gateway went on with the previous
	// stream, of which that relay accepted nothing more.
	if err := Relays(1066); err != nil {
		t.Error(err)
	}
}

// Fleets with relays, under faults of relays and streams beside all others.
func TestRelays(t *testing.T) { playSeeds(t, *seeds, Relays) }

var cost = flag.Int("gateways", 0, "measure a fleet of so many gateways and 16 relays")

// The end of a relay ends no other session. With -gateways and -v it prints figures.
func TestRelayCost(t *testing.T) {
	c, err := MeasureRelays(Options{Seed: *first, Relays: 16, Nodes: 16 + max(*cost, 48), Replicas: 5, Leases: 50})
	if err != nil {
		t.Fatal(err)
	}
	summary := func(list []time.Duration) string {
		if len(list) == 0 {
			return "none"
		}
		return fmt.Sprintf("%d moved, p50 %v p99 %v most %v", len(list), list[len(list)/2], list[len(list)*99/100], list[len(list)-1])
	}
	t.Logf("%d gateways, formed in %v; a gateway sends %.1f frames %.0f bytes and receives %.1f frames %.0f bytes a second; killed: %s; crashed: %s; the leader crashed: %s", c.Gateways, c.FormedIn,
		c.SentFrames, c.SentBytes, c.ReceivedFrames, c.ReceivedBytes, summary(c.Killed), summary(c.Crashed), summary(c.LeaderCrashed))
	if c.ExpiredSessions > 0 {
		t.Errorf("%d sessions expired as relays ended", c.ExpiredSessions)
	}
}

// Each failpoint is enabled in turn, in a build of its own, and the fault is found: see TestEachFailpoint.
func TestFailpoints(t *testing.T) { testutil.FailpointBuild(t, failpoint.Available) }

// Scenarios beside random faults: see their comments.
func TestCalm(t *testing.T) {
	playSeeds(t, *seeds, Calm)
	playSeeds(t, *seeds, Flicker)
	playSeeds(t, *seeds, PutBack)
	playSeeds(t, *seeds, Overrides)
	playSeeds(t, *seeds/2, Late)
}
