package main

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"dunemoor/internal/experiment/scenario"
)

// knobs are what can be changed from the command line.
var knobs = map[string]func(s *scenario.Scenario, value string) error{
	"gateways": count(func(s *scenario.Scenario, n int) { s.Config.Gateways = n }),
	"hosts":    count(func(s *scenario.Scenario, n int) { s.Config.Hosts[0].Count = n }), // of the first kind
	"conns":    count(func(s *scenario.Scenario, n int) { s.Config.Hosts[0].MaxConnections = n }),
	"attempts": count(func(s *scenario.Scenario, n int) { s.Config.Settings.MaxAttempts = n }),
	"retries":  count(func(s *scenario.Scenario, n int) { s.Config.Clients.MaxRetries = n }),
	"load": number(func(s *scenario.Scenario, x float64) {
		for i := range s.Config.Classes {
			s.Config.Classes[i].Rate *= x
		}
	}),
	"jitter": number(func(s *scenario.Scenario, x float64) { s.Config.Clients.Jitter = x }),
	"honour": number(func(s *scenario.Scenario, x float64) { s.Config.Clients.HonorRetryAfter = x }),
	"part": number(func(s *scenario.Scenario, x float64) {
		for i := range s.Config.Faults {
			s.Config.Faults[i].Share = x
		}
	}),
	"length":      span(func(s *scenario.Scenario, d time.Duration) { s.Config.Length = d }),
	"backoff":     span(func(s *scenario.Scenario, d time.Duration) { s.Config.Clients.Backoff = d }),
	"notice":      span(func(s *scenario.Scenario, d time.Duration) { s.Config.Clients.FailoverDelay = d }),
	"silent":      span(func(s *scenario.Scenario, d time.Duration) { s.Config.Endpoints.FailureDelay = d }),
	"retry_after": span(func(s *scenario.Scenario, d time.Duration) { s.Config.Settings.MaxRetryAfter = d }),
}

func count(do func(*scenario.Scenario, int)) func(*scenario.Scenario, string) error {
	return func(s *scenario.Scenario, value string) error {
		n, err := strconv.Atoi(value)
		if err == nil {
			do(s, n)
		}
		return err
	}
}

func number(do func(*scenario.Scenario, float64)) func(*scenario.Scenario, string) error {
	return func(s *scenario.Scenario, value string) error {
		x, err := strconv.ParseFloat(value, 64)
		if err == nil {
			do(s, x)
		}
		return err
	}
}

func span(do func(*scenario.Scenario, time.Duration)) func(*scenario.Scenario, string) error {
	return func(s *scenario.Scenario, value string) error {
		d, err := time.ParseDuration(value)
		if err == nil {
			do(s, d)
		}
		return err
	}
}

func knobNames() string {
	var names []string
	for name := range knobs {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// change sets what KEY=VALUE pairs say.
func change(s *scenario.Scenario, set []string) error {
	for _, pair := range set {
		key, value, _ := strings.Cut(pair, "=")
		do := knobs[key]
		if do == nil {
			return fmt.Errorf("%q is none of %s", key, knobNames())
		}
		if err := do(s, value); err != nil {
			return fmt.Errorf("%s: %q: %w", key, value, err)
		}
	}
	var wrong []error
	for _, m := range s.Config.Validate() {
		wrong = append(wrong, m)
	}
	return errors.Join(wrong...)
}

func sweepCommand() *cobra.Command {
	var seed uint64
	var seeds int
	var vary string
	var set []string
	cmd := &cobra.Command{
		Use: "sweep FILE --vary KEY=A,B,C", Args: cobra.ExactArgs(1),
		Short: "Play a scenario with one thing varied, the same seeds for each value",
		RunE: func(cmd *cobra.Command, args []string) error {
			key, values, ok := strings.Cut(vary, "=")
			if !ok || seeds < 1 {
				return errors.New("--vary KEY=A,B,C and at least one seed are needed")
			}
			var list []*scenario.Scenario
			for value := range strings.SplitSeq(values, ",") {
				one, err := load(cmd, args, append(slices.Clone(set), key+"="+value))
				if err != nil {
					return err
				}
				one[0].Name = key + "=" + value
				list = append(list, one[0])
			}
			runs := play(list, seed, seeds)
			for _, p := range runs {
				if p.err != nil {
					return p.err
				}
			}
			table(cmd.OutOrStdout(), runs, seeds)
			return nil
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "first seed")
	cmd.Flags().IntVar(&seeds, "seeds", 3, "how many seeds")
	cmd.Flags().StringVar(&vary, "vary", "", "what is varied, one of "+knobNames())
	cmd.Flags().StringArrayVar(&set, "set", nil, "KEY=VALUE of what else is changed; may be repeated")
	return cmd
}

// resamples is how often the differences are drawn anew for the interval.
const resamples = 10_000

// interval is where the mean of paired differences lies with 95 in 100, by drawing them anew
// (Efron and Tibshirani, An Introduction to the Bootstrap, 13.3).
func interval(diffs []float64, seed uint64) (mean, low, high float64) {
	rng := rand.New(rand.NewPCG(seed, 7))
	means := make([]float64, resamples)
	for i := range means {
		for range diffs {
			means[i] += diffs[rng.IntN(len(diffs))] / float64(len(diffs))
		}
	}
	slices.Sort(means)
	for _, d := range diffs {
		mean += d / float64(len(diffs))
	}
	return mean, means[resamples*25/1000], means[resamples*975/1000]
}

func compareCommand() *cobra.Command {
	var seed uint64
	var seeds int
	var a, b []string
	cmd := &cobra.Command{
		Use: "compare FILE [FILE]", Args: cobra.RangeArgs(1, 2),
		Short: "Play two scenarios, or one with two settings, with the same chance on both sides",
		RunE: func(cmd *cobra.Command, args []string) error {
			if seeds < 5 {
				return errors.New("--seeds: at least 5, to tell a difference from chance")
			}
			left, err := load(cmd, args[:1], a)
			if err != nil {
				return err
			}
			right, err := load(cmd, args[len(args)-1:], b)
			if err != nil {
				return err
			}
			runs := play([]*scenario.Scenario{left[0], right[0]}, seed, seeds)
			var diffs []float64
			for i := range seeds {
				l, r := runs[i], runs[seeds+i]
				if l.err != nil || r.err != nil {
					return errors.Join(l.err, r.err)
				}
				diffs = append(diffs, r.InTime-l.InTime)
			}
			table(cmd.OutOrStdout(), runs, seeds)
			mean, low, high := interval(diffs, seed)
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "in time, second less first: %+.4f, 95%% within %+.4f and %+.4f over %d pairs\n", mean, low, high, seeds)
			if low <= 0 && high >= 0 || math.IsNaN(mean) {
				fmt.Fprintln(out, "no difference seen")
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "first seed")
	cmd.Flags().IntVar(&seeds, "seeds", 10, "how many pairs")
	cmd.Flags().StringArrayVar(&a, "a", nil, "KEY=VALUE for the first side; may be repeated")
	cmd.Flags().StringArrayVar(&b, "b", nil, "KEY=VALUE for the second side; may be repeated")
	return cmd
}
