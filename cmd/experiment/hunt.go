package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"dunemoor/internal/experiment/scenario"
	"dunemoor/internal/experiment/scenariosearch"
	"dunemoor/internal/experiment/simulator"
)

const (
	// huntBatch is how many are played at once whatever the number of cores, so that a hunt finds
	// the same on any machine.
	huntBatch = 32
	// shrinkRuns bounds the making small of one find.
	shrinkRuns = 200
)

func huntCommand() *cobra.Command {
	var seed uint64
	var runs, finds int
	var minutes float64
	var dir string
	var set []string
	r := scenariosearch.Ranges{}
	cmd := &cobra.Command{
		Use: "hunt FILE", Args: cobra.ExactArgs(1),
		Short: "Search round a scenario for what is served worse than it could be, and make it small",
		RunE: func(cmd *cobra.Command, args []string) error {
			if runs < 1 || finds < 1 {
				return errors.New("--runs and --finds: at least 1")
			}
			list, err := load(cmd, args, set)
			if err != nil {
				return err
			}
			r.Base = list[0].Config
			r.Base.Faults, r.Base.Bursts = nil, nil
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
			defer stop()
			began := time.Now()
			s := scenariosearch.New(r, seed)
			said := began
			for s.Reported() < runs && ctx.Err() == nil && (minutes == 0 || time.Since(began).Minutes() < minutes) {
				batch := s.Next(min(huntBatch, runs-s.Reported()))
				sums, err := playAll(batch)
				if err != nil {
					return err
				}
				for i, c := range batch {
					s.Report(c, sums[i])
				}
				if time.Since(said) > 10*time.Second {
					said = time.Now()
					fmt.Fprintf(cmd.ErrOrStderr(), "%d played in %.0f s, the worst: %s %.3f\n", s.Reported(), said.Sub(began).Seconds(), scenariosearch.Label(s.Worst()[0].Config), s.Worst()[0].Score)
				}
			}
			out := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintf(out, "%d played, seed %d\nwhat\tscore\tgot\tpossible\tbroken\tmade small\tfile\n", s.Reported(), seed)
			// Of the same kinds one is enough here.
			var seen []string
			for _, f := range s.Worst() {
				kinds := scenariosearch.Label(f.Config)
				if len(seen) == finds {
					break
				}
				if slices.Contains(seen, kinds) {
					continue
				}
				seen = append(seen, kinds)
				small := scenariosearch.Shrink(f, shrinkRuns, simulator.Run)
				file := ""
				if dir != "" {
					if file, err = write(dir, len(seen), small); err != nil {
						return err
					}
				}
				fmt.Fprintf(out, "%s\t%.3f\t%.3f\t%.3f\t%d\t%s %.3f of %.3f, %d gateways, %d hosts, %v\t%s\n", kinds, f.Score, f.InTimeShare, f.PossibleShare, f.Violations,
					scenariosearch.Label(small.Config), small.InTimeShare, small.PossibleShare, small.Config.Gateways, small.Config.Hosts[0].Count, small.Config.Length, file)
			}
			return out.Flush()
		},
	}
	f := cmd.Flags()
	f.Uint64Var(&seed, "seed", 1, "of the search")
	f.IntVar(&runs, "runs", 320, "how many to play")
	f.Float64Var(&minutes, "minutes", 0, "end after so many; 0: never. What is found then depends on the machine")
	f.IntVar(&finds, "finds", 3, "how many to make small")
	f.StringVar(&dir, "out", "", "directory that finds are written to as scenarios")
	f.StringArrayVar(&set, "set", nil, "KEY=VALUE of what is changed of the scenario; may be repeated")
	f.Float64Var(&r.LoadMin, "load-from", 0.4, "least load, of the scenario's")
	f.Float64Var(&r.LoadMax, "load-to", 1.4, "most load")
	f.IntVar(&r.MaxFaults, "troubles", 3, "most at once")
	f.IntVar(&r.MaxBursts, "bursts", 1, "most at once")
	f.IntVar(&r.MaxGateways, "gateways", 16, "most")
	f.IntVar(&r.MaxHosts, "hosts", 40, "most; the load goes with them")
	f.DurationVar(&r.Length, "length", 40*time.Second, "of a run")
	return cmd
}

// playAll plays candidates on all cores.
func playAll(batch []scenariosearch.Candidate) ([]*simulator.Summary, error) {
	sums, errs := make([]*simulator.Summary, len(batch)), make([]error, len(batch))
	var all sync.WaitGroup
	turns := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i, c := range batch {
		all.Go(func() {
			turns <- struct{}{}
			defer func() { <-turns }()
			sums[i], errs[i] = simulator.Run(c.Config)
		})
	}
	all.Wait()
	return sums, errors.Join(errs...)
}

// write keeps a find as a scenario that expects what it has now, less a little: it is mended when
// that can be raised, and has become worse when it is missed.
func write(dir string, n int, f scenariosearch.Finding) (string, error) {
	s := &scenario.Scenario{
		About: fmt.Sprintf("Found by a hunt: %s, %.3f in time where %.3f seemed possible", scenariosearch.Label(f.Config), f.InTimeShare, f.PossibleShare),
		Seed:  f.Config.Seed, Config: f.Config, Expected: scenario.Expectations{InTimeShare: float64(int(f.InTimeShare*100)) / 100},
	}
	text, err := s.Format()
	if err != nil {
		return "", err
	}
	file := filepath.Join(dir, fmt.Sprintf("found-%d-%s.toml", n, scenariosearch.Label(f.Config)))
	if _, wrong := scenario.Parse(file, text); len(wrong) > 0 {
		return "", errors.Join(wrong...)
	}
	return file, os.WriteFile(file, []byte(text), 0o644)
}
