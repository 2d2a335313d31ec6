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

// run is one run of a scenario. Its JSON is a line of "run --json".
type run struct {
	Scenario  string             `json:"scenario"`
	Seed      uint64             `json:"seed"`
	InTime    float64            `json:"in_time"` // share of the first requests
	Missed    []string           `json:"missed,omitempty"`
	Summary   *simulator.Summary `json:"summary"`
	Latencies []latency          `json:"latency"` // by class
	Elapsed   time.Duration      `json:"-"`
	err       error
}

// latency is the time from the first request to the response, of a class.
type latency struct {
	Name string  `json:"name"`
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
}

// runAll runs each scenario with a number of seeds, on all cores. A first seed of 0 stands for the scenario's own.
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

// loadScenarios reads scenarios and changes settings in them. It prints the errors of all files.
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
		return nil, fmt.Errorf("mistakes in scenarios: %d", errorCount)
	}
	return scenarios, nil
}

// scenarioRunOptions are the flags of the command run.
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
		Short: "Play scenarios; exit code 1 if a rule is broken or what is expected is missed",
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
	cmd.Flags().Uint64Var(&o.seed, "seed", 0, "first seed; 0: the scenario's own, or 1")
	cmd.Flags().IntVar(&o.seeds, "seeds", 1, "how many seeds, one after the other")
	cmd.Flags().BoolVar(&o.asJSON, "json", false, "a line of JSON for each run")
	cmd.Flags().StringArrayVar(&o.settings, "set", nil, "KEY=VALUE, as for sweep; may be repeated")
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

// checkMissed returns an error where runs miss an expectation.
func checkMissed(runs []run) error {
	missed := 0
	for _, r := range runs {
		if len(r.Missed) > 0 {
			missed++
		}
	}
	if missed > 0 {
		return fmt.Errorf("%d of %d runs miss what is expected", missed, len(runs))
	}
	return nil
}
