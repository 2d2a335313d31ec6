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
	seeds = flag.Int("seeds", 8, "number of seeds per scenario")
	first = flag.Uint64("seed", 1, "the first seed")
	trace = flag.Bool("story", false, "print events, for one seed")
)

// runSeeds runs a scenario with n seeds, on all cores.
func runSeeds(t *testing.T, n int, run func(seed uint64) error) {
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
			if err := run(*first + uint64(i)); err != nil {
				t.Error(err)
			}
		})
	}
	all.Wait()
}

// Fleets of three and five replicas, some with gateways without a replica, under random faults: the invariants hold at
// each step, and the fleet recovers in time after the last fault.
func TestFleets(t *testing.T) {
	runSeeds(t, *seeds, func(seed uint64) error {
		o := Mixed(seed)
		o.Trace = *trace
		w, err := Run(o, 30*time.Second)
		if testing.Verbose() && err == nil {
			t.Logf("seed %d: %d frames, %d fenced operations, %d of former holders rejected, %d expirations, %d commands, %d halted", seed, w.Frames, w.fencedOps, w.Hosts.rejected, w.Expirations, w.Commands(), w.Halted())
		}
		return err
	})
}

// Seeds that violated an invariant in the past: a lease had two holders at once; a gateway was mistaken for a copy of
// itself; a command got the outcome of one that the leader's previous process had proposed.
func TestRegressionSeeds(t *testing.T) {
	for _, seed := range []uint64{10021, 18825, 1001768} {
		if _, err := Run(Mixed(seed), 30*time.Second); err != nil {
			t.Error(err)
		}
	}
	// A command that was applied before its session ended, and was then retried, was reported as not applied.
	if err := Overrides(368); err != nil {
		t.Error(err)
	}
	// A relay accepted a stream that ended before the relay announced it. The gateway continued to use its previous
	// stream, whose records that relay no longer accepted.
	if err := Relays(1066); err != nil {
		t.Error(err)
	}
}

// Fleets with relays, under faults of relays and streams in addition to all others.
func TestRelays(t *testing.T) { runSeeds(t, *seeds, Relays) }

var costGateways = flag.Int("gateways", 0, "number of gateways in the fleet of TestRelayCost, at least 48, besides its 16 relays")

// The end of a relay ends no session of another node. With -v the test prints the costs, with -gateways those of a larger
// fleet.
func TestRelayCost(t *testing.T) {
	c, err := MeasureRelays(Options{Seed: *first, Relays: 16, Nodes: 16 + max(*costGateways, 48), Replicas: 5, Leases: 50})
	if err != nil {
		t.Fatal(err)
	}
	summary := func(list []time.Duration) string {
		if len(list) == 0 {
			return "none"
		}
		return fmt.Sprintf("%d moved, p50 %v p99 %v max %v", len(list), list[len(list)/2], list[len(list)*99/100], list[len(list)-1])
	}
	t.Logf("%d gateways, formed in %v; a gateway sends %.1f frames %.0f bytes and receives %.1f frames %.0f bytes a second; killed: %s; crashed: %s; the leader crashed: %s", c.Gateways, c.FormedIn,
		c.SentFrames, c.SentBytes, c.ReceivedFrames, c.ReceivedBytes, summary(c.Killed), summary(c.Crashed), summary(c.LeaderCrashed))
	if c.ExpiredSessions > 0 {
		t.Errorf("got %d expired sessions after relays ended, want 0", c.ExpiredSessions)
	}
}

// Each failpoint is enabled in turn, in a separate build, and its fault is detected; see TestEachFailpoint.
func TestFailpoints(t *testing.T) { testutil.FailpointBuild(t, failpoint.Available) }

// Scenarios with fixed kinds of faults; their comments describe the checks.
func TestScenarios(t *testing.T) {
	runSeeds(t, *seeds, ToleratedFaults)
	runSeeds(t, *seeds, QuorumLoss)
	runSeeds(t, *seeds, RestoredDisks)
	runSeeds(t, *seeds, Overrides)
	runSeeds(t, *seeds/2, DelayedMessages)
}
