package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"lynxspool/internal/cluster/sim"
	"lynxspool/internal/nemesis"
)

// fleetCommand plays fleets of gateways under faults: in virtual time, or as processes.
func fleetCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "fleet", Short: "Play fleets of gateways under faults: in virtual time, or as processes of the program"}
	cmd.AddCommand(fleetSim(), fleetHands(), fleetCheck())
	return cmd
}

// fleetSim plays seeds in virtual time.
func fleetSim() *cobra.Command {
	var first uint64
	var seeds, gateways, keepers, duties int
	var d time.Duration
	cmd := &cobra.Command{
		Use: "sim", Args: cobra.NoArgs,
		Short: "Play seeds in virtual time, with whatever faults each draws; the first that breaks an invariant ends it",
		RunE: func(cmd *cobra.Command, _ []string) error {
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
							o.Nodes, o.Keepers, o.Duties = gateways, keepers, duties
						}
						w, err := sim.Play(o, d)
						if err != nil {
							select {
							case bad <- err:
							default:
							}
							return
						}
						played.Add(1)
						commands.Add(int64(w.Commands()))
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
	f.IntVar(&gateways, "gateways", 0, "as many in each; 0: 3, 5 or 9 by the seed")
	f.IntVar(&keepers, "keepers", 3, "of them hold the record, with --gateways")
	f.IntVar(&duties, "duties", 6, "duties, with --gateways")
	f.DurationVar(&d, "for", 30*time.Second, "how long faults are put in, in virtual time")
	return cmd
}

// fleetHands has a duty change hands among processes, and says for how long it had no owner.
func fleetHands() *cobra.Command {
	var bin, dir string
	var rounds, gateways, keepers int
	cmd := &cobra.Command{
		Use: "hands", Args: cobra.NoArgs,
		Short: "Have a duty change hands among processes on loopback, for each cause; how long it had no owner",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := os.MkdirAll(dir, 0o700); err != nil {
				return err
			}
			abs, err := filepath.Abs(dir)
			if err != nil {
				return err
			}
			f, err := nemesis.New(nemesis.Options{Bin: bin, Dir: abs, Gateways: gateways, Keepers: keepers, Nodes: 3, Seed: 1})
			if err != nil {
				return err
			}
			defer f.Close()
			for _, g := range f.Gateways {
				if err := g.Start(); err != nil {
					return err
				}
			}
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(t, "cause\ttimes\tp50 ms\tp99 ms\tmax ms\t")
			for _, cause := range nemesis.Causes {
				h := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
				for range rounds {
					gap, err := f.Hands(context.Background(), cause, "list/calendar", f.Gateways[gateways-1])
					if err != nil {
						return fmt.Errorf("%s: %w; the logs are in %s", cause, err, abs)
					}
					h.RecordValue(max(1, gap.Microseconds()))
				}
				ms := func(v int64) float64 { return float64(v) / 1000 }
				fmt.Fprintf(t, "%s\t%d\t%.0f\t%.0f\t%.0f\t\n", cause, rounds, ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(99)), ms(h.Max()))
				t.Flush()
			}
			if bad := nemesis.Check(f.History.Events()); len(bad) > 0 {
				return fmt.Errorf("%d things that must never be, the first: %s", len(bad), bad[0])
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&bin, "bin", "bin/dunemoor", "the program")
	f.StringVar(&dir, "dir", "fleet-run", "where files, disks, logs and the history are kept")
	f.IntVar(&rounds, "rounds", 5, "changes of hands for each cause")
	f.IntVar(&gateways, "gateways", 5, "processes; the last is spared")
	f.IntVar(&keepers, "keepers", 3, "of them hold the record")
	return cmd
}

// fleetCheck checks a history that was kept.
func fleetCheck() *cobra.Command {
	return &cobra.Command{
		Use: "check HISTORY", Args: cobra.ExactArgs(1),
		Short: "Check the history of a run again",
		RunE: func(cmd *cobra.Command, args []string) error {
			events, err := nemesis.Read(args[0])
			if err != nil {
				return err
			}
			bad := nemesis.Check(events)
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
