package main

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// printRuns prints a row for each scenario: means over its seeds, and the lowest share of first requests served in
// time.
func printRuns(out io.Writer, runs []run, seeds int) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "scenario\tin time\tleast\tp50 ms\tp99 ms\ttries/ask\tsends/try\tworst/mean\tconns/host\tbroken\tmissed")
	for i := 0; i < len(runs); i += seeds {
		row := runRow{seeds: float64(seeds), leastInTime: 1}
		for _, r := range runs[i : i+seeds] {
			row.add(&r)
		}
		row.print(w, runs[i].Scenario)
	}
	w.Flush()
}

// runRow aggregates the runs of a scenario. Means are accumulated by adding each value divided by the number of
// seeds, in the order of the seeds.
type runRow struct {
	seeds         float64
	inTime        float64 // mean of run.InTime over the seeds
	leastInTime   float64
	firstRequests float64
	requests      float64 // including retries
	attempts      float64
	p50           float64 // mean over the seeds of the first class's P50, in milliseconds
	p99           float64 // mean over the seeds of the first class's P99, in milliseconds
	maxToMeanLoad float64 // mean of Summary.MaxToMeanLoad over the seeds
	connections   float64 // mean number of connections per host over the seeds
	violations    int
	missed        int    // number of runs that don't meet an expectation
	firstMissed   string // description of the first such run
}

func (row *runRow) add(r *run) {
	row.inTime += r.InTime / row.seeds
	row.leastInTime = min(row.leastInTime, r.InTime)
	for _, class := range r.Summary.Classes {
		row.firstRequests += float64(class.FirstRequests)
		row.requests += float64(class.Requests)
	}
	row.attempts += float64(r.Summary.Attempts)
	row.p50 += r.Latencies[0].P50 / row.seeds
	row.p99 += r.Latencies[0].P99 / row.seeds
	row.maxToMeanLoad += r.Summary.MaxToMeanLoad / row.seeds
	row.connections += r.Summary.ConnectionsPerHost / row.seeds
	for _, count := range r.Summary.Violations {
		row.violations += count
	}
	if len(r.Missed) > 0 {
		row.missed++
		if row.firstMissed == "" {
			row.firstMissed = describeMissed(r)
		}
	}
}

// describeMissed describes the first expectation that a run doesn't meet, and its first violation of a rule.
func describeMissed(r *run) string {
	text := fmt.Sprintf(" (seed %d: %s)", r.Seed, r.Missed[0])
	if len(r.Summary.ViolationDetails) > 0 {
		text += ": " + r.Summary.ViolationDetails[0]
	}
	return text
}

func (row *runRow) print(w io.Writer, scenario string) {
	requestsPerFirst := row.requests / max(row.firstRequests, 1)
	attemptsPerRequest := row.attempts / max(row.requests, 1)
	fmt.Fprintf(w, "%s\t%.4f\t%.4f\t%.1f\t%.1f\t%.3f\t%.3f\t%.2f\t%.1f\t%d\t%d%s\n",
		scenario, row.inTime, row.leastInTime, row.p50, row.p99, requestsPerFirst, attemptsPerRequest,
		row.maxToMeanLoad, row.connections, row.violations, row.missed, row.firstMissed)
}
