package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/spf13/cobra"

	"dunemoor/balancer"
	"dunemoor/internal/experiment/simulator"
)

// section is a run in a report, for the page's template.
type section struct {
	run
	About  string
	Plots  []plot
	Causes []unservedCount
}

// unservedCount is the number of requests of a class that were not served, for one cause.
type unservedCount struct {
	Class string
	Cause string
	Count int
}

// percentiles are those of the latency plot.
var percentiles = []float64{0, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 99, 99.9, 100}

const (
	// scalePercentile is the percentile that the latency plot is scaled by; higher ones may leave it.
	scalePercentile = 99
	// scaleMargin is the height of the plot as a multiple of the latency at scalePercentile.
	scaleMargin = 1.3
)

func newSection(r run, about string) section {
	return section{
		run:    r,
		About:  about,
		Plots:  []plot{requestPlot(r.Summary), latencyPlot(r.Summary), loadPlot(r.Summary)},
		Causes: unservedCounts(r.Summary),
	}
}

// requestPlot plots first requests and those in time by second.
func requestPlot(s *simulator.Summary) plot {
	requests := series{name: "asked"}
	inTime := series{name: "answered in time"}
	highest := 0.0
	for _, second := range s.Seconds {
		requests.values = append(requests.values, float64(second.FirstRequests))
		inTime.values = append(inTime.values, float64(second.InTime))
		highest = max(highest, float64(second.FirstRequests))
	}
	return newPlot("first tries a second", "start", fmt.Sprintf("%d s", len(s.Seconds)), highest, requests, inTime)
}

// latencyPlot plots the latency of each class by percentile, in milliseconds.
func latencyPlot(s *simulator.Summary) plot {
	var lines []series
	highest := 0.0
	for _, class := range s.Classes {
		line := series{name: class.Name}
		for _, percentile := range percentiles {
			line.values = append(line.values, float64(class.Latency.ValueAtPercentile(percentile))/1e3)
		}
		highest = max(highest, line.values[slices.Index(percentiles, scalePercentile)])
		lines = append(lines, line)
	}
	return newPlot("ms from the first try to the answer, by percentile", "0", "50, 60 ... 90, 95, 99, 99.9, 100", scaleMargin*highest, lines...)
}

// loadPlot plots the load of the hosts, sorted.
func loadPlot(s *simulator.Summary) plot {
	load := slices.Sorted(slices.Values(s.Load))
	highest := max(1, load[len(load)-1])
	return newPlot("load of a core, by host", "least", "most", highest, series{"hosts", load})
}

// unservedCounts returns the counts of all classes and causes that are not 0.
func unservedCounts(s *simulator.Summary) []unservedCount {
	var counts []unservedCount
	for _, class := range s.Classes {
		for cause, count := range class.Causes {
			if count > 0 {
				counts = append(counts, unservedCount{class.Name, balancer.Cause(cause).String(), count})
			}
		}
	}
	return counts
}

// writeReport writes one page for all runs. about has the descriptions of the scenarios.
func writeReport(w io.Writer, runs []run, about map[string]string) error {
	var sections []section
	for _, r := range runs {
		sections = append(sections, newSection(r, about[r.Scenario]))
	}
	return pageTemplate.Execute(w, sections)
}

func reportCommand() *cobra.Command {
	var seed uint64
	var seeds int
	var page string
	var settings []string
	cmd := &cobra.Command{
		Use:   "report FILE... --out PAGE.html",
		Args:  cobra.MinimumNArgs(1),
		Short: "Play scenarios and write a page with time lines, latencies, load by host and causes",
		RunE: func(cmd *cobra.Command, args []string) error {
			if page == "" || seeds < 1 {
				return errors.New("--out PAGE.html and at least one seed are needed")
			}
			scenarios, err := loadScenarios(cmd, args, settings)
			if err != nil {
				return err
			}
			about := map[string]string{}
			for _, s := range scenarios {
				about[s.Name] = s.About
			}
			runs, err := runAll(scenarios, seed, seeds)
			if err != nil {
				return err
			}
			return writeReportFile(page, runs, about)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "first seed")
	cmd.Flags().IntVar(&seeds, "seeds", 1, "how many seeds")
	cmd.Flags().StringVar(&page, "out", "", "the page to write")
	cmd.Flags().StringArrayVar(&settings, "set", nil, "KEY=VALUE, as for sweep; may be repeated")
	return cmd
}

func writeReportFile(path string, runs []run, about map[string]string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := writeReport(f, runs, about); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
