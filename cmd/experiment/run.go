package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"runtime"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"dunemoor/internal/experiment/scenario"
	"dunemoor/internal/experiment/simulator"
)

// played is one run of a scenario.
type played struct {
	Scenario string             `json:"scenario"`
	Seed     uint64             `json:"seed"`
	InTime   float64            `json:"in_time"`
	Missed   []string           `json:"missed,omitempty"`
	Summary  *simulator.Summary `json:"summary"`
	Classes  []latency          `json:"latency"`
	Took     time.Duration      `json:"-"`
	err      error
}

// latency is the times of a class, in milliseconds from the first try to the answer.
type latency struct {
	Name string  `json:"name"`
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
}

// play plays each scenario with each seed, on all cores. With a first of 0 it is the scenario's own.
func play(list []*scenario.Scenario, first uint64, seeds int) []played {
	out := make([]played, len(list)*seeds)
	var all sync.WaitGroup
	turns := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i, s := range list {
		for k := range seeds {
			all.Go(func() {
				turns <- struct{}{}
				defer func() { <-turns }()
				out[i*seeds+k] = playOne(s, cmp.Or(first, s.Seed, 1)+uint64(k))
			})
		}
	}
	all.Wait()
	return out
}

func playOne(s *scenario.Scenario, seed uint64) played {
	c := s.Config
	c.Seed = seed
	began := time.Now()
	sum, err := simulator.Run(c)
	if err != nil {
		return played{Scenario: s.Name, Seed: seed, err: err}
	}
	p := played{Scenario: s.Name, Seed: seed, InTime: sum.InTimeShare(), Missed: s.Missed(sum), Summary: sum, Took: time.Since(began)}
	for _, k := range sum.Classes {
		p.Classes = append(p.Classes, latency{k.Name, float64(k.Latency.ValueAtPercentile(50)) / 1e3, float64(k.Latency.ValueAtPercentile(99)) / 1e3})
	}
	return p
}

// load reads scenarios and prints what is wrong with them.
func load(cmd *cobra.Command, paths []string, set []string) ([]*scenario.Scenario, error) {
	var list []*scenario.Scenario
	mistakes := 0
	for _, path := range paths {
		s, wrong := scenario.Load(path)
		for _, err := range wrong {
			fmt.Fprintln(cmd.ErrOrStderr(), err)
			mistakes++
		}
		if s == nil {
			continue
		}
		if err := change(s, set); err != nil {
			return nil, err
		}
		list = append(list, s)
	}
	if mistakes > 0 {
		return nil, fmt.Errorf("mistakes in scenarios: %d", mistakes)
	}
	return list, nil
}

func runCommand() *cobra.Command {
	var seed uint64
	var seeds int
	var asJSON bool
	var set []string
	cmd := &cobra.Command{
		Use: "run FILE...", Args: cobra.MinimumNArgs(1),
		Short: "Play scenarios; exit code 1 if a rule is broken or what is expected is missed",
		RunE: func(cmd *cobra.Command, args []string) error {
			if seeds < 1 {
				return errors.New("--seeds: at least 1")
			}
			list, err := load(cmd, args, set)
			if err != nil {
				return err
			}
			runs := play(list, seed, seeds)
			for _, p := range runs {
				if p.err != nil {
					return fmt.Errorf("%s: %w", p.Scenario, p.err)
				}
			}
			if asJSON {
				enc := json.NewEncoder(cmd.OutOrStdout())
				for _, p := range runs {
					if err := enc.Encode(p); err != nil {
						return err
					}
				}
			} else {
				table(cmd.OutOrStdout(), runs, seeds)
			}
			missed := 0
			for _, p := range runs {
				if len(p.Missed) > 0 {
					missed++
				}
			}
			if missed > 0 {
				return fmt.Errorf("%d of %d runs miss what is expected", missed, len(runs))
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 0, "first seed; 0: the scenario's own, or 1")
	cmd.Flags().IntVar(&seeds, "seeds", 1, "how many seeds, one after the other")
	cmd.Flags().BoolVar(&asJSON, "json", false, "a line of JSON for each run")
	cmd.Flags().StringArrayVar(&set, "set", nil, "KEY=VALUE, as for sweep; may be repeated")
	return cmd
}

// table prints a line for each scenario: over its seeds the mean, and the least share in time.
func table(out io.Writer, runs []played, seeds int) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "scenario\tin time\tleast\tp50 ms\tp99 ms\ttries/ask\tsends/try\tworst/mean\tconns/host\tbroken\tmissed")
	for i := 0; i < len(runs); i += seeds {
		var m, asked, tries, sends, p50, p99, worst, conns float64
		least, broken, missed := 1.0, 0, 0
		var first string
		for _, p := range runs[i : i+seeds] {
			m += p.InTime / float64(seeds)
			least = min(least, p.InTime)
			for _, k := range p.Summary.Classes {
				asked += float64(k.FirstRequests)
				tries += float64(k.Requests)
			}
			sends += float64(p.Summary.Attempts)
			p50 += p.Classes[0].P50 / float64(seeds)
			p99 += p.Classes[0].P99 / float64(seeds)
			worst += p.Summary.MaxToMeanLoad / float64(seeds)
			conns += p.Summary.ConnectionsPerHost / float64(seeds)
			for _, n := range p.Summary.Violations {
				broken += n
			}
			if len(p.Missed) > 0 {
				if missed++; first == "" {
					first = fmt.Sprintf(" (seed %d: %s)", p.Seed, p.Missed[0])
					for _, why := range p.Summary.ViolationDetails[:min(1, len(p.Summary.ViolationDetails))] {
						first += ": " + why
					}
				}
			}
		}
		fmt.Fprintf(w, "%s\t%.4f\t%.4f\t%.1f\t%.1f\t%.3f\t%.3f\t%.2f\t%.1f\t%d\t%d%s\n",
			runs[i].Scenario, m, least, p50, p99, tries/max(asked, 1), sends/max(tries, 1), worst, conns, broken, missed, first)
	}
	w.Flush()
}
