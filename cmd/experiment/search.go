package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"dunemoor/internal/experiment/scenario"
	"dunemoor/internal/experiment/scenariosearch"
	"dunemoor/internal/experiment/simulator"
)

const (
	// searchBatch is the number of candidates that are simulated at once, on any number of cores, so that a search
	// finds the same on any machine.
	searchBatch = 32
	// maxShrinkRuns is the number of runs in which a finding is made smaller.
	maxShrinkRuns = 200
	// progressInterval is the interval of lines about the progress.
	progressInterval = 10 * time.Second
)

// searchOptions are the flags of the command hunt.
type searchOptions struct {
	seed     uint64
	runs     int
	findings int
	minutes  float64 // 0: no limit
	outDir   string  // "": findings are not written
	settings []string
	ranges   scenariosearch.Ranges
}

// searchCommand searches for runs that are served worse than possible.
func searchCommand() *cobra.Command {
	var o searchOptions
	cmd := &cobra.Command{
		Use:     "hunt FILE",
		Aliases: []string{"search"},
		Args:    cobra.ExactArgs(1),
		Short:   "Search round a scenario for what is served worse than it could be, and make it small",
		RunE: func(cmd *cobra.Command, args []string) error {
			if o.runs < 1 || o.findings < 1 {
				return errors.New("--runs and --finds: at least 1")
			}
			scenarios, err := loadScenarios(cmd, args, o.settings)
			if err != nil {
				return err
			}
			o.ranges.Base = scenarios[0].Config
			o.ranges.Base.Faults = nil
			o.ranges.Base.Bursts = nil
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
			defer stop()
			s := scenariosearch.New(o.ranges, o.seed)
			if err := o.search(ctx, s, cmd.ErrOrStderr()); err != nil {
				return err
			}
			return o.printFindings(cmd.OutOrStdout(), s)
		},
	}
	f := cmd.Flags()
	f.Uint64Var(&o.seed, "seed", 1, "seed of the search")
	f.IntVar(&o.runs, "runs", 320, "how many runs to simulate")
	f.Float64Var(&o.minutes, "minutes", 0, "end after so many; 0: never. What is found then depends on the machine")
	f.IntVar(&o.findings, "finds", 3, "how many findings to make small")
	f.StringVar(&o.outDir, "out", "", "directory that findings are written to as scenarios")
	f.StringArrayVar(&o.settings, "set", nil, "KEY=VALUE of what is changed of the scenario; may be repeated")
	f.Float64Var(&o.ranges.LoadMin, "load-from", 0.4, "least load, as a multiple of the scenario's")
	f.Float64Var(&o.ranges.LoadMax, "load-to", 1.4, "most load, as a multiple of the scenario's")
	f.IntVar(&o.ranges.MaxFaults, "troubles", 3, "most faults at once")
	f.IntVar(&o.ranges.MaxBursts, "bursts", 1, "most bursts at once")
	f.IntVar(&o.ranges.MaxGateways, "gateways", 16, "most gateways")
	f.IntVar(&o.ranges.MaxHosts, "hosts", 40, "most hosts; the load is proportional to them")
	f.DurationVar(&o.ranges.Length, "length", 40*time.Second, "length of a run")
	return cmd
}

// search simulates candidates until the number of runs, the time, or ctx ends.
func (o *searchOptions) search(ctx context.Context, s *scenariosearch.Search, progress io.Writer) error {
	start := time.Now()
	lastProgress := start
	for s.Reported() < o.runs && ctx.Err() == nil && !o.timeIsUp(start) {
		batch := s.Next(min(searchBatch, o.runs-s.Reported()))
		summaries, err := simulateAll(batch)
		if err != nil {
			return err
		}
		for i, candidate := range batch {
			s.Report(candidate, summaries[i])
		}
		if time.Since(lastProgress) > progressInterval {
			lastProgress = time.Now()
			worst := s.Worst()[0]
			fmt.Fprintf(progress, "%d played in %.0f s, the worst: %s %.3f\n", s.Reported(), lastProgress.Sub(start).Seconds(), scenariosearch.Label(worst.Config), worst.Score)
		}
	}
	return nil
}

func (o *searchOptions) timeIsUp(start time.Time) bool {
	return o.minutes > 0 && time.Since(start).Minutes() >= o.minutes
}

// simulateAll simulates candidates on all cores.
func simulateAll(batch []scenariosearch.Candidate) ([]*simulator.Summary, error) {
	summaries := make([]*simulator.Summary, len(batch))
	errs := make([]error, len(batch))
	forEachParallel(len(batch), func(i int) {
		summaries[i], errs[i] = simulator.Run(batch[i].Config)
	})
	return summaries, errors.Join(errs...)
}

// printFindings prints the worst findings, one of each label, made small.
func (o *searchOptions) printFindings(out io.Writer, s *scenariosearch.Search) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%d played, seed %d\nwhat\tscore\tgot\tpossible\tbroken\tmade small\tfile\n", s.Reported(), o.seed)
	var labels []string
	for _, f := range s.Worst() {
		label := scenariosearch.Label(f.Config)
		if len(labels) == o.findings {
			break
		}
		if slices.Contains(labels, label) {
			continue
		}
		labels = append(labels, label)
		small := scenariosearch.Shrink(f, maxShrinkRuns, simulator.Run)
		file, err := o.writeFinding(len(labels), &small)
		if err != nil {
			return err
		}
		c := &small.Config
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\t%d\t%s %.3f of %.3f, %d gateways, %d hosts, %v\t%s\n",
			label, f.Score, f.InTimeShare, f.PossibleShare, f.Violations,
			scenariosearch.Label(small.Config), small.InTimeShare, small.PossibleShare, c.Gateways, c.Hosts[0].Count, c.Length, file)
	}
	return t.Flush()
}

// writeFinding writes a finding as a scenario and returns the file's path; "": findings are not written. The scenario
// expects the share in time that it has now, rounded down.
func (o *searchOptions) writeFinding(number int, f *scenariosearch.Finding) (string, error) {
	if o.outDir == "" {
		return "", nil
	}
	label := scenariosearch.Label(f.Config)
	s := &scenario.Scenario{
		About:    fmt.Sprintf("Found by a hunt: %s, %.3f in time where %.3f seemed possible", label, f.InTimeShare, f.PossibleShare),
		Seed:     f.Config.Seed,
		Config:   f.Config,
		Expected: scenario.Expectations{InTimeShare: float64(int(f.InTimeShare*100)) / 100},
	}
	text, err := s.Format()
	if err != nil {
		return "", err
	}
	file := filepath.Join(o.outDir, fmt.Sprintf("found-%d-%s.toml", number, label))
	if _, errs := scenario.Parse(file, text); len(errs) > 0 {
		return "", errors.Join(errs...)
	}
	return file, os.WriteFile(file, []byte(text), 0o644)
}
