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
	// searchBatch is the number of candidates that are simulated before their results are reported. It doesn't depend
	// on the number of cores, so that a search has the same findings on any machine.
	searchBatch = 32
	// maxShrinkRuns is the maximum number of runs to shrink a finding.
	maxShrinkRuns = 200
	// progressInterval is the minimum interval between progress messages.
	progressInterval = 10 * time.Second
)

// searchOptions are the flags of the command "hunt".
type searchOptions struct {
	seed     uint64
	runs     int
	findings int
	minutes  float64 // 0: no limit
	outDir   string  // "": findings are not written
	settings []string
	ranges   scenariosearch.Ranges
}

// searchCommand returns the command hunt. It searches for scenarios in which fewer requests than possible are served
// in time.
func searchCommand() *cobra.Command {
	var o searchOptions
	cmd := &cobra.Command{
		Use:     "hunt FILE",
		Aliases: []string{"search"},
		Args:    cobra.ExactArgs(1),
		Short:   "Search variations of a scenario for runs with fewer requests served in time than possible, and shrink the findings",
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
	f.IntVar(&o.runs, "runs", 320, "number of runs to simulate")
	f.Float64Var(&o.minutes, "minutes", 0, "time limit in minutes; 0: none. With a limit the findings depend on the speed of the machine")
	f.IntVar(&o.findings, "finds", 3, "number of findings to shrink")
	f.StringVar(&o.outDir, "out", "", "directory to which findings are written as scenarios")
	f.StringArrayVar(&o.settings, "set", nil, "KEY=VALUE of a setting to change, see sweep; may be repeated")
	f.Float64Var(&o.ranges.LoadMin, "load-from", 0.4, "minimum load, as a multiple of the scenario's load")
	f.Float64Var(&o.ranges.LoadMax, "load-to", 1.4, "maximum load, as a multiple of the scenario's load")
	f.IntVar(&o.ranges.MaxFaults, "troubles", 3, "maximum number of faults in a run")
	f.IntVar(&o.ranges.MaxBursts, "bursts", 1, "maximum number of bursts in a run")
	f.IntVar(&o.ranges.MaxGateways, "gateways", 16, "maximum number of gateways")
	f.IntVar(&o.ranges.MaxHosts, "hosts", 40, "maximum number of hosts; the load is proportional to their number")
	f.DurationVar(&o.ranges.Length, "length", 40*time.Second, "length of each run")
	return cmd
}

// search simulates candidates until the number of runs is reached, the time limit has passed, or ctx ends.
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
			fmt.Fprintf(progress, "%d simulated in %.0f s, the worst: %s %.3f\n", s.Reported(), lastProgress.Sub(start).Seconds(), scenariosearch.Label(worst.Config), worst.Score)
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

// printFindings shrinks the worst findings, one of each label, and prints them.
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

// writeFinding writes a finding as a scenario file and returns its path, or "" if findings are not written. The
// scenario expects the share in time of the finding, rounded down.
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
