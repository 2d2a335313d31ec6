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

// section is the section of a run in a report, in the form that the page template needs.
type section struct {
	run
	About  string
	Plots  []plot
	Causes []unservedCount
}

// unservedCount is the number of requests of a class that were rejected or failed for one cause.
type unservedCount struct {
	Class string
	Cause string
	Count int
}

// percentiles are the percentiles in the latency plot.
var percentiles = []float64{0, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 99, 99.9, 100}

const (
	// scalePercentile is the percentile that determines the scale of the latency plot. Latencies at higher
	// percentiles are clipped if they exceed the scale.
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

// requestPlot plots the first requests, and those served in time, by second.
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

// loadPlot plots the load of the hosts in ascending order.
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

// writeReport writes one page for all runs. about contains the descriptions of the scenarios by name.
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
		Short: "Simulate scenarios and write a page with requests over time, latencies, load by host and causes",
		RunE: func(cmd *cobra.Command, args []string) error {
			if page == "" || seeds < 1 {
				return errors.New("--out PAGE.html and at least one seed are required")
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
	cmd.Flags().IntVar(&seeds, "seeds", 1, "number of seeds")
	cmd.Flags().StringVar(&page, "out", "", "path of the page to write")
	cmd.Flags().StringArrayVar(&settings, "set", nil, "KEY=VALUE of a setting to change, see sweep; may be repeated")
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
