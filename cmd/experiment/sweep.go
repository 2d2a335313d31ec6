package main

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"dunemoor/internal/experiment/scenario"
)

func sweepCommand() *cobra.Command {
	var seed uint64
	var seeds int
	var vary string
	var settings []string
	cmd := &cobra.Command{
		Use:   "sweep FILE --vary KEY=A,B,C",
		Args:  cobra.ExactArgs(1),
		Short: "Simulate a scenario with several values of one setting, with the same seeds for each value",
		RunE: func(cmd *cobra.Command, args []string) error {
			key, values, ok := strings.Cut(vary, "=")
			if !ok || seeds < 1 {
				return errors.New("--vary KEY=A,B,C and at least one seed are required")
			}
			var scenarios []*scenario.Scenario
			for value := range strings.SplitSeq(values, ",") {
				varied := key + "=" + value
				loaded, err := loadScenarios(cmd, args, append(slices.Clone(settings), varied))
				if err != nil {
					return err
				}
				loaded[0].Name = varied
				scenarios = append(scenarios, loaded[0])
			}
			runs, err := runAll(scenarios, seed, seeds)
			if err != nil {
				return err
			}
			printRuns(cmd.OutOrStdout(), runs, seeds)
			return nil
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "first seed")
	cmd.Flags().IntVar(&seeds, "seeds", 3, "number of seeds")
	cmd.Flags().StringVar(&vary, "vary", "", "setting to vary and its values; the settings are "+settingNames())
	cmd.Flags().StringArrayVar(&settings, "set", nil, "KEY=VALUE of another setting to change; may be repeated")
	return cmd
}

// minComparedSeeds is the minimum number of pairs of runs for which a difference can be distinguished from random
// variation.
const minComparedSeeds = 5

func compareCommand() *cobra.Command {
	var seed uint64
	var seeds int
	var firstSettings, secondSettings []string
	cmd := &cobra.Command{
		Use:   "compare FILE [FILE]",
		Args:  cobra.RangeArgs(1, 2),
		Short: "Simulate two scenarios, or one with two settings, with the same seeds on both sides, and compare them",
		RunE: func(cmd *cobra.Command, args []string) error {
			if seeds < minComparedSeeds {
				return fmt.Errorf("--seeds: at least %d, to distinguish a difference from random variation", minComparedSeeds)
			}
			first, err := loadScenarios(cmd, args[:1], firstSettings)
			if err != nil {
				return err
			}
			second, err := loadScenarios(cmd, args[len(args)-1:], secondSettings)
			if err != nil {
				return err
			}
			runs, err := runAll([]*scenario.Scenario{first[0], second[0]}, seed, seeds)
			if err != nil {
				return err
			}
			printRuns(cmd.OutOrStdout(), runs, seeds)
			printDifference(cmd, runs, seed, seeds)
			return nil
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "first seed")
	cmd.Flags().IntVar(&seeds, "seeds", 10, "number of pairs of runs")
	cmd.Flags().StringArrayVar(&firstSettings, "a", nil, "KEY=VALUE of a setting to change on the first side; may be repeated")
	cmd.Flags().StringArrayVar(&secondSettings, "b", nil, "KEY=VALUE of a setting to change on the second side; may be repeated")
	return cmd
}

// printDifference prints the mean difference of the shares in time of two scenarios. runs has the runs of the first
// scenario, followed by those of the second.
func printDifference(cmd *cobra.Command, runs []run, seed uint64, seeds int) {
	var differences []float64
	for i := range seeds {
		differences = append(differences, runs[seeds+i].InTime-runs[i].InTime)
	}
	mean, low, high := confidenceInterval(differences, seed)
	out := cmd.OutOrStdout()
	fmt.Fprintf(out, "in time, second less first: %+.4f, 95%% within %+.4f and %+.4f over %d pairs\n", mean, low, high, seeds)
	includesZero := low <= 0 && high >= 0
	if includesZero || math.IsNaN(mean) {
		fmt.Fprintln(out, "no difference seen")
	}
}

const (
	// bootstrapSamples is the number of samples of the bootstrap.
	bootstrapSamples = 10_000
	// bootstrapStream is the second seed of the random numbers of the bootstrap.
	bootstrapStream = 7
)

// confidenceInterval returns the mean of paired differences and its 95 % confidence interval, computed with the
// bootstrap percentile method (Efron and Tibshirani, An Introduction to the Bootstrap, 13.3).
func confidenceInterval(differences []float64, seed uint64) (mean, low, high float64) {
	random := rand.New(rand.NewPCG(seed, bootstrapStream))
	count := float64(len(differences))
	means := make([]float64, bootstrapSamples)
	for i := range means {
		for range differences {
			means[i] += differences[random.IntN(len(differences))] / count
		}
	}
	slices.Sort(means)
	for _, d := range differences {
		mean += d / count
	}
	return mean, means[bootstrapSamples*25/1000], means[bootstrapSamples*975/1000]
}
