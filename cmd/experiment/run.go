package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"runtime"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"dunemoor/internal/experiment/scenario"
	"dunemoor/internal/experiment/simulator"
)

// run is the result of a run of a scenario. Its JSON form is a line of the output of "run --json".
type run struct {
	Scenario  string             `json:"scenario"`
	Seed      uint64             `json:"seed"`
	InTime    float64            `json:"in_time"` // share of the first requests served in time
	Missed    []string           `json:"missed,omitempty"`
	Summary   *simulator.Summary `json:"summary"`
	Latencies []latency          `json:"latency"` // one for each class, in the order of Summary.Classes
	Elapsed   time.Duration      `json:"-"`
	err       error
}

// latency has percentiles of the time from the first request to the response, of one class.
type latency struct {
	Name string  `json:"name"`
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
}

// runAll runs each scenario with a number of consecutive seeds, on all cores. If firstSeed is 0, the scenario's own
// seed is the first.
func runAll(scenarios []*scenario.Scenario, firstSeed uint64, seeds int) ([]run, error) {
	runs := make([]run, len(scenarios)*seeds)
	forEachParallel(len(runs), func(i int) {
		s := scenarios[i/seeds]
		seed := cmp.Or(firstSeed, s.Seed, 1) + uint64(i%seeds)
		runs[i] = runScenario(s, seed)
	})
	for _, r := range runs {
		if r.err != nil {
			return nil, fmt.Errorf("%s: %w", r.Scenario, r.err)
		}
	}
	return runs, nil
}

// forEachParallel calls do for each index up to n, on all cores.
func forEachParallel(n int, do func(i int)) {
	var all sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range n {
		all.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			do(i)
		})
	}
	all.Wait()
}

func runScenario(s *scenario.Scenario, seed uint64) run {
	config := s.Config
	config.Seed = seed
	start := time.Now()
	summary, err := simulator.Run(config)
	if err != nil {
		return run{Scenario: s.Name, Seed: seed, err: err}
	}
	r := run{
		Scenario: s.Name,
		Seed:     seed,
		InTime:   summary.InTimeShare(),
		Missed:   s.Missed(summary),
		Summary:  summary,
		Elapsed:  time.Since(start),
	}
	for _, class := range summary.Classes {
		r.Latencies = append(r.Latencies, latency{
			Name: class.Name,
			P50:  float64(class.Latency.ValueAtPercentile(50)) / 1e3,
			P99:  float64(class.Latency.ValueAtPercentile(99)) / 1e3,
		})
	}
	return r
}

// loadScenarios reads scenarios and applies KEY=VALUE settings to them. It prints the errors of all files.
func loadScenarios(cmd *cobra.Command, paths, settings []string) ([]*scenario.Scenario, error) {
	var scenarios []*scenario.Scenario
	errorCount := 0
	for _, path := range paths {
		s, errs := scenario.Load(path)
		for _, err := range errs {
			fmt.Fprintln(cmd.ErrOrStderr(), err)
		}
		errorCount += len(errs)
		if s == nil {
			continue
		}
		if err := changeSettings(s, settings); err != nil {
			return nil, err
		}
		scenarios = append(scenarios, s)
	}
	if errorCount > 0 {
		return nil, fmt.Errorf("%d errors in scenario files", errorCount)
	}
	return scenarios, nil
}

// scenarioRunOptions are the flags of the command "run".
type scenarioRunOptions struct {
	seed     uint64
	seeds    int
	asJSON   bool
	settings []string
}

func runCommand() *cobra.Command {
	var o scenarioRunOptions
	cmd := &cobra.Command{
		Use:   "run FILE...",
		Args:  cobra.MinimumNArgs(1),
		Short: "Simulate scenarios; exit code 1 if a run violates a rule or doesn't meet its expectations",
		RunE: func(cmd *cobra.Command, args []string) error {
			if o.seeds < 1 {
				return errors.New("--seeds: at least 1")
			}
			scenarios, err := loadScenarios(cmd, args, o.settings)
			if err != nil {
				return err
			}
			runs, err := runAll(scenarios, o.seed, o.seeds)
			if err != nil {
				return err
			}
			if err := o.print(cmd.OutOrStdout(), runs); err != nil {
				return err
			}
			return checkMissed(runs)
		},
	}
	cmd.Flags().Uint64Var(&o.seed, "seed", 0, "first seed; 0: the scenario's own seed, or 1 if it has none")
	cmd.Flags().IntVar(&o.seeds, "seeds", 1, "number of consecutive seeds")
	cmd.Flags().BoolVar(&o.asJSON, "json", false, "print a line of JSON for each run")
	cmd.Flags().StringArrayVar(&o.settings, "set", nil, "KEY=VALUE of a setting to change, see sweep; may be repeated")
	return cmd
}

func (o *scenarioRunOptions) print(out io.Writer, runs []run) error {
	if !o.asJSON {
		printRuns(out, runs, o.seeds)
		return nil
	}
	encoder := json.NewEncoder(out)
	for _, r := range runs {
		if err := encoder.Encode(r); err != nil {
			return err
		}
	}
	return nil
}

// checkMissed returns an error if any run doesn't meet an expectation.
func checkMissed(runs []run) error {
	missed := 0
	for _, r := range runs {
		if len(r.Missed) > 0 {
			missed++
		}
	}
	if missed > 0 {
		return fmt.Errorf("%d of %d runs don't meet their expectations", missed, len(runs))
	}
	return nil
}
