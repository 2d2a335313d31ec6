package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
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
	"dunemoor/internal/experiment/faulttest"
)

// fleetCommand plays fleets of gateways under faults: in virtual time, or as processes.
func fleetCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "fleet", Short: "Play fleets of gateways under faults: in virtual time, or as processes of the program"}
	cmd.AddCommand(fleetSim(), fleetCost(), fleetRun(), fleetHands(), fleetIdle(), fleetGuards(), fleetCheck())
	return cmd
}

// gcPercent has the collector of garbage run a quarter as often: worlds are small and many.
const gcPercent = 400

// fleetSim plays seeds in virtual time.
func fleetSim() *cobra.Command {
	var first uint64
	var seeds, gateways, keepers, duties int
	var d time.Duration
	var story string
	stories := []string{"mixed", "flicker", "calm", "put-back", "words", "late", "relays"}
	cmd := &cobra.Command{
		Use: "sim", Args: cobra.NoArgs,
		Short: "Play seeds in virtual time, with whatever faults each draws; the first that breaks an invariant ends it",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if !slices.Contains(stories, story) {
				return fmt.Errorf("--story: %q is none of %s", story, strings.Join(stories, ", "))
			}
			debug.SetGCPercent(gcPercent)
			began := time.Now()
			var played, commands atomic.Int64
			bad := make(chan error, 1)
			next := make(chan uint64)
			var all sync.WaitGroup
			for range runtime.GOMAXPROCS(0) {
				all.Go(func() {
					for seed := range next {
						o := sim.Mixed(seed)
						if gateways > 0 {
							o.Nodes, o.Replicas, o.Leases = gateways, keepers, duties
						}
						var err error
						switch story {
						case "calm":
							err = sim.Calm(seed)
						case "flicker":
							err = sim.Flicker(seed)
						case "put-back":
							err = sim.PutBack(seed)
						case "words":
							err = sim.Overrides(seed)
						case "late":
							err = sim.Late(seed)
						case "relays":
							err = sim.Relays(seed)
						default:
							var w *sim.World
							if w, err = sim.Play(o, d); err == nil {
								commands.Add(int64(w.Commands()))
							}
						}
						if err != nil {
							select {
							case bad <- err:
							default:
							}
							return
						}
						played.Add(1)
					}
				})
			}
			var err error
			for i := 0; i < seeds && err == nil; i++ {
				select {
				case next <- first + uint64(i):
				case err = <-bad:
				}
			}
			close(next)
			all.Wait()
			select {
			case e := <-bad:
				err = errors.Join(err, e)
			default:
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d seeds, %d commands of clients, %v, no invariant broken: %v\n", played.Load(), commands.Load(), time.Since(began).Round(time.Second), err == nil)
			return err
		},
	}
	f := cmd.Flags()
	f.Uint64Var(&first, "seed", 1, "the first seed")
	f.IntVar(&seeds, "seeds", 1000, "how many")
	f.StringVar(&story, "story", stories[0], "what is played: "+strings.Join(stories, ", "))
	f.IntVar(&gateways, "gateways", 0, "as many in each; 0: 3, 5 or 9 by the seed")
	f.IntVar(&keepers, "keepers", 3, "of them hold the record, with --gateways")
	f.IntVar(&duties, "duties", 6, "duties, with --gateways")
	f.DurationVar(&d, "for", 30*time.Second, "how long faults are put in, in virtual time")
	return cmd
}

// fleetCost says what a fleet sends, by its size.
func fleetCost() *cobra.Command {
	var sizes []int
	var keepers, duties int
	var seed uint64
	cmd := &cobra.Command{
		Use: "cost", Args: cobra.NoArgs,
		Short: "What fleets of several sizes send when nothing happens, and what the death of the leader takes; in virtual time",
		RunE: func(cmd *cobra.Command, _ []string) error {
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(t, "gateways\tkeepers\tduties\tformed s\teven s\tleader frames/s\tbytes/s\tkeeper frames/s\tbytes/s\tmember frames/s\tbytes/s\tnext leader s\tduties owned s\tbusiest frames/s\tcalm\tlapsed\t")
			for _, n := range sizes {
				c, err := sim.Measure(sim.Options{Seed: seed, Nodes: n, Replicas: min(keepers, n), Leases: duties})
				if err != nil {
					return err
				}
				fmt.Fprintf(t, "%d\t%d\t%d\t%.2f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.0f\t%.2f\t%.2f\t%d\t%d\t%d\t\n", c.Gateways, c.Replicas, c.Leases, c.FormedIn.Seconds(), c.BalancedIn.Seconds(),
					c.LeaderFrames, c.LeaderBytes, c.ReplicaFrames, c.ReplicaBytes, c.GatewayFrames, c.GatewayBytes,
					c.NextLeaderIn.Seconds(), c.LeasesGrantedIn.Seconds(), c.BusiestRate, c.CalmRate, c.ExpiredSessions)
				t.Flush()
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.IntSliceVar(&sizes, "gateways", []int{3, 9, 48, 300}, "sizes")
	f.IntVar(&keepers, "keepers", 5, "that hold the record")
	f.IntVar(&duties, "duties", 500, "duties")
	f.Uint64Var(&seed, "seed", 1, "the seed")
	return cmd
}

// formsMost is how long a fleet of processes has to form.
const formsMost = 2 * time.Minute

// fleet starts processes of the program as a fleet, and waits until it is whole. Whoever asks for it
// closes it.
func fleet(ctx context.Context, o faulttest.Options) (*faulttest.Fleet, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, err
	}
	var err error
	if o.Dir, err = filepath.Abs(o.Dir); err != nil {
		return nil, err
	}
	f, err := faulttest.New(o)
	if err != nil {
		return nil, err
	}
	for _, g := range f.Gateways {
		if err = g.Start(); err != nil {
			break
		}
	}
	if err == nil {
		err = f.Until(ctx, "the fleet is whole", formsMost, f.Whole)
	}
	if err != nil {
		f.Close()
		return nil, fmt.Errorf("%w; the logs are in %s", err, o.Dir)
	}
	return f, nil
}

// fleetRun puts faults into a fleet of processes, as a file says or by a seed.
func fleetRun() *cobra.Command {
	var bin, dir string
	var gateways, keepers int
	var seed uint64
	var d time.Duration
	cmd := &cobra.Command{
		Use: "run [FILE]", Args: cobra.MaximumNArgs(1),
		Short: "Put faults into a fleet of processes on loopback, by a file (TOML) or a seed, and check what they did",
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := fleet(cmd.Context(), faulttest.Options{Bin: bin, Dir: dir, Gateways: gateways, Keepers: keepers, Nodes: 3, Seed: max(seed, 1)})
			if err != nil {
				return err
			}
			defer f.Close()
			var names []string
			for _, g := range f.Gateways {
				names = append(names, g.Name)
			}
			plan := faulttest.Draw(seed, d, names)
			if len(args) > 0 {
				if plan, err = faulttest.ReadPlan(args[0]); err != nil {
					return err
				}
			}
			if err := f.Play(cmd.Context(), plan, nil); err != nil {
				return fmt.Errorf("seed %d: %w; the logs are in %s", plan.Seed, err, f.Dir)
			}
			bad := faulttest.Check(f.History.Events())
			for _, b := range bad {
				fmt.Fprintln(cmd.OutOrStdout(), b)
			}
			if len(bad) > 0 {
				return fmt.Errorf("seed %d: %d things that must never be; the history is %s", plan.Seed, len(bad), filepath.Join(f.Dir, "history.jsonl"))
			}
			fmt.Fprintf(cmd.OutOrStdout(), "seed %d: %d faults, %d events, nothing that must not be; whole at the end\n", plan.Seed, len(plan.Fault), len(f.History.Events()))
			return nil
		},
	}
	fl := cmd.Flags()
	fl.StringVar(&bin, "bin", "bin/dunemoor", "the program")
	fl.StringVar(&dir, "dir", "fleet-run", "where files, disks, logs and the history are kept")
	fl.IntVar(&gateways, "gateways", 5, "processes")
	fl.IntVar(&keepers, "keepers", 3, "of them hold the record")
	fl.Uint64Var(&seed, "seed", 1, "faults are drawn by it, without a file")
	fl.DurationVar(&d, "for", 30*time.Second, "how long faults are put in, without a file")
	return cmd
}

// fleetIdle says what processes use when nothing happens.
func fleetIdle() *cobra.Command {
	var bin, dir string
	var sizes []int
	var keepers int
	var span time.Duration
	cmd := &cobra.Command{
		Use: "idle", Args: cobra.NoArgs,
		Short: "What processes of the program use on loopback when nothing happens, by the size of their fleet",
		RunE: func(cmd *cobra.Command, _ []string) error {
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(t, "gateways\tkeepers\trole\twatches open\tbegun\tframes/s\tbytes/s\tCPU ms/s\tmemory MB\tfsyncs/s\t")
			for _, n := range sizes {
				if err := idle(cmd.Context(), t, bin, filepath.Join(dir, fmt.Sprint(n)), n, min(keepers, n), span); err != nil {
					return err
				}
				t.Flush()
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&bin, "bin", "bin/dunemoor", "the program")
	f.StringVar(&dir, "dir", "fleet-idle", "where files, disks and logs are kept")
	f.IntSliceVar(&sizes, "gateways", []int{3, 9, 48}, "sizes")
	f.IntVar(&keepers, "keepers", 5, "that hold the record")
	f.DurationVar(&span, "for", 20*time.Second, "how long is counted")
	return cmd
}

func idle(ctx context.Context, out io.Writer, bin, dir string, n, keepers int, span time.Duration) error {
	f, err := fleet(ctx, faulttest.Options{Bin: bin, Dir: dir, Gateways: n, Keepers: keepers, Nodes: 3, Seed: 1})
	if err != nil {
		return err
	}
	defer f.Close()
	time.Sleep(span / 4) // what a start takes has been taken
	at := func() (list []map[string]float64, err error) {
		for _, g := range f.Gateways {
			m, err := g.Metrics()
			if err != nil {
				return nil, err
			}
			list = append(list, m)
		}
		return list, nil
	}
	first, err := at()
	if err != nil {
		return err
	}
	time.Sleep(span)
	last, err := at()
	if err != nil {
		return err
	}
	watching, watches := f.Hosts.Discovery.OpenWatches(), f.Hosts.Discovery.Watches()
	lead := f.Leader()
	roles := map[string][]int{}
	for i, g := range f.Gateways {
		role := "member"
		if g == lead {
			role = "leader"
		} else if i < keepers {
			role = "keeper"
		}
		roles[role] = append(roles[role], i)
	}
	for _, role := range []string{"leader", "keeper", "member"} {
		list := roles[role]
		if len(list) == 0 {
			continue
		}
		i := list[len(list)/2]
		per := func(name string) float64 { return (last[i][name] - first[i][name]) / span.Seconds() }
		fmt.Fprintf(out, "%d\t%d\t%s\t%d\t%d\t%.1f\t%.0f\t%.2f\t%.1f\t%.2f\t\n", n, keepers, role, watching, watches, per("dunemoor_fleet_frames_sent_total"), per("dunemoor_fleet_frame_bytes_sent_total"),
			1000*per("process_cpu_seconds_total"), last[i]["process_resident_memory_bytes"]/(1<<20), per("dunemoor_fleet_disk_syncs_total"))
	}
	return nil
}

// fleetCheck checks a history that was kept.
func fleetCheck() *cobra.Command {
	return &cobra.Command{
		Use: "check HISTORY", Args: cobra.ExactArgs(1),
		Short: "Check the history of a run again",
		RunE: func(cmd *cobra.Command, args []string) error {
			events, err := faulttest.Read(args[0])
			if err != nil {
				return err
			}
			bad := faulttest.Check(events)
			for _, b := range bad {
				fmt.Fprintln(cmd.OutOrStdout(), b)
			}
			if len(bad) > 0 {
				return fmt.Errorf("%s: %d things that must never be", args[0], len(bad))
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d events, nothing that must not be\n", len(events))
			return nil
		},
	}
}
