package main

import (
	"errors"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"dunemoor/internal/cluster/sim"
)

// gcPercent makes garbage collection less frequent, because simulated fleets are small and there are many of them.
const gcPercent = 400

// Names of simulated scenarios: the values of --story.
const (
	simMixed     = "mixed"
	simFlicker   = "flicker"
	simCalm      = "calm"
	simPutBack   = "put-back"
	simOverrides = "words"
	simLate      = "late"
	simRelays    = "relays"
)

var simScenarios = []string{simMixed, simFlicker, simCalm, simPutBack, simOverrides, simLate, simRelays}

// simOptions are the flags of the command "fleet sim".
type simOptions struct {
	firstSeed uint64
	seeds     int
	scenario  string
	gateways  int // number of gateways in each fleet; 0: drawn from the seed
	replicas  int
	leases    int
	faultTime time.Duration // how long faults are injected, in virtual time
}

// fleetSimCommand returns the command sim, which runs simulated fleets with a sequence of seeds in virtual time.
func fleetSimCommand() *cobra.Command {
	var o simOptions
	cmd := &cobra.Command{
		Use:   "sim",
		Args:  cobra.NoArgs,
		Short: "Simulate fleets in virtual time with a sequence of seeds, which determine the faults, until one violates an invariant",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if !slices.Contains(simScenarios, o.scenario) {
				return fmt.Errorf("--story: %q is not one of %s", o.scenario, strings.Join(simScenarios, ", "))
			}
			debug.SetGCPercent(gcPercent)
			return o.run(cmd.OutOrStdout())
		},
	}
	f := cmd.Flags()
	f.Uint64Var(&o.firstSeed, "seed", 1, "the first seed")
	f.IntVar(&o.seeds, "seeds", 1000, "number of seeds")
	f.StringVar(&o.scenario, "story", simScenarios[0], "the scenario: "+strings.Join(simScenarios, ", "))
	f.IntVar(&o.gateways, "gateways", 0, "number of gateways in each fleet; 0: 3, 5 or 9, depending on the seed")
	f.IntVar(&o.replicas, "keepers", 3, "number of gateways that are replicas, with --gateways")
	f.IntVar(&o.leases, "duties", 6, "number of leases, with --gateways")
	f.DurationVar(&o.faultTime, "for", 30*time.Second, "how long faults are injected, in virtual time")
	return cmd
}

// run runs the seeds on all cores until all have passed or one fails.
func (o *simOptions) run(out io.Writer) error {
	start := time.Now()
	var played, commands atomic.Int64
	failures := make(chan error, 1)
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for seed := range seeds {
				count, err := o.runSeed(seed)
				if err != nil {
					select {
					case failures <- err:
					default: // an earlier failure is reported
					}
					return
				}
				commands.Add(int64(count))
				played.Add(1)
			}
		})
	}
	err := o.sendSeeds(seeds, failures)
	workers.Wait()
	select {
	case another := <-failures:
		err = errors.Join(err, another)
	default:
	}
	fmt.Fprintf(out, "%d seeds, %d commands of clients, %v, no invariant broken: %v\n", played.Load(), commands.Load(), time.Since(start).Round(time.Second), err == nil)
	return err
}

// sendSeeds sends the seeds to the workers until one of them fails.
func (o *simOptions) sendSeeds(seeds chan<- uint64, failures <-chan error) error {
	defer close(seeds)
	for i := range o.seeds {
		select {
		case seeds <- o.firstSeed + uint64(i):
		case err := <-failures:
			return err
		}
	}
	return nil
}

// runSeed runs the scenario with a seed. It returns the number of commands of clients, which only the mixed scenario
// counts.
func (o *simOptions) runSeed(seed uint64) (commands int, err error) {
	switch o.scenario {
	case simCalm:
		return 0, sim.ToleratedFaults(seed)
	case simFlicker:
		return 0, sim.QuorumLoss(seed)
	case simPutBack:
		return 0, sim.RestoredDisks(seed)
	case simOverrides:
		return 0, sim.Overrides(seed)
	case simLate:
		return 0, sim.DelayedMessages(seed)
	case simRelays:
		return 0, sim.Relays(seed)
	}
	options := sim.Mixed(seed)
	if o.gateways > 0 {
		options.Nodes = o.gateways
		options.Replicas = o.replicas
		options.Leases = o.leases
	}
	world, err := sim.Run(options, o.faultTime)
	if err != nil {
		return 0, err
	}
	return world.Commands(), nil
}

// costColumns is the header row of the table of the command cost.
const costColumns = "gateways\tkeepers\tduties\tformed s\teven s\tleader frames/s\tbytes/s\tkeeper frames/s\tbytes/s\tmember frames/s\tbytes/s\tnext leader s\tduties owned s\tbusiest frames/s\tcalm\tlapsed\t"

// fleetCostCommand returns the command cost. It prints the traffic of simulated fleets by their size.
func fleetCostCommand() *cobra.Command {
	var sizes []int
	var replicas, leases int
	var seed uint64
	cmd := &cobra.Command{
		Use:   "cost",
		Args:  cobra.NoArgs,
		Short: "Measure the traffic of fleets of several sizes at rest, and the recovery from the death of the leader, in virtual time",
		RunE: func(cmd *cobra.Command, _ []string) error {
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(t, costColumns)
			for _, size := range sizes {
				c, err := sim.Measure(sim.Options{Seed: seed, Nodes: size, Replicas: min(replicas, size), Leases: leases})
				if err != nil {
					return err
				}
				fmt.Fprintf(t, "%d\t%d\t%d\t%.2f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.0f\t%.2f\t%.2f\t%d\t%d\t%d\t\n",
					c.Gateways, c.Replicas, c.Leases, c.FormedIn.Seconds(), c.BalancedIn.Seconds(),
					c.LeaderFrames, c.LeaderBytes, c.ReplicaFrames, c.ReplicaBytes, c.GatewayFrames, c.GatewayBytes,
					c.NextLeaderIn.Seconds(), c.LeasesGrantedIn.Seconds(), c.BusiestRate, c.IdleRate, c.ExpiredSessions)
				t.Flush()
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.IntSliceVar(&sizes, "gateways", []int{3, 9, 48, 300}, "numbers of gateways")
	f.IntVar(&replicas, "keepers", 5, "number of replicas")
	f.IntVar(&leases, "duties", 500, "number of leases")
	f.Uint64Var(&seed, "seed", 1, "the seed")
	return cmd
}
