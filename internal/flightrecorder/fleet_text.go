package flightrecorder

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"dunemoor/balancer"
)

// classColumns and secondColumns are the headings of the tables. They keep the terms of earlier builds, because
// scripts parse them; writeClassRow and writeSecondRow show the field of each column. Some of the terms are:
//
//   - "repeats": requests that clients sent again (Duplicates); "again": attempts after the first one of a request
//     (Retries); "sends": all attempts (Attempts)
//   - "wait", "deadline", "spent", "worth less", "came late": rejections by balancer.Cause, which are QueueTimeout,
//     DeadlineExceeded, NoMoreAttempts, LowerPriority, ArrivedLate
//   - "no answer": requests without a recorded outcome, including those whose client disconnected
//   - "called off": attempts that ended as Canceled, for any reason
//   - "cold": in slow start; "out/host": attempts in flight per ready host; "gw.": gateways
//
// The results InvalidResponse and NotSent and attempts that did not end have no column, so the columns of results
// don't add up to "sends". The table by second has no column for ArrivedLate.
var (
	classColumns = []string{
		"second", "class", "requests", "repeats", "in time", "late", "wait", "deadline", "spent", "worth less",
		"came late", "failed", "no answer", "waited ms", "took ms",
	}
	secondColumns = []string{
		"second", "starts", "requests", "sends", "again", "cold", "ok", "error", "full", "time-out", "no conn.",
		"reset", "called off", "wait", "deadline", "spent", "worth less", "failed", "lists", "lost", "entries",
		"closed", "hosts", "most sends", "most gw.", "warm ended", "warm ms", "cold ended", "cold ok", "cold ms",
		"ready", "idle %", "out/host x100",
	}
)

// newTable returns a table with a heading row; each cell of a row ends with a tab.
func newTable(w io.Writer, columns []string) *tabwriter.Writer {
	table := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, strings.Join(columns, "\t")+"\t")
	return table
}

func writeRow(table io.Writer, cells ...int) {
	for _, cell := range cells {
		fmt.Fprintf(table, "%d\t", cell)
	}
	fmt.Fprintln(table)
}

// ClassText writes a table with a row for each class in each span of that many seconds. It returns the error of w.
func (f *Fleet) ClassText(w io.Writer, span int) error {
	table := newTable(w, classColumns)
	seconds := f.sortedSeconds()
	for i := 0; i < len(seconds); {
		from := seconds[i]
		var classes []FleetClass
		for i < len(seconds) && seconds[i] < from+int64(span) {
			classes = addClasses(classes, f.seconds[seconds[i]].Classes)
			i++
		}
		for class := range classes {
			writeClassRow(table, int(from-seconds[0]), class, &classes[class])
		}
	}
	return table.Flush()
}

// addClasses adds the counts of a second to the sums by class.
func addClasses(sums, second []FleetClass) []FleetClass {
	for len(sums) < len(second) {
		sums = append(sums, FleetClass{})
	}
	for class := range second {
		sums[class].add(&second[class])
	}
	return sums
}

func writeClassRow(table io.Writer, second, class int, c *FleetClass) {
	unanswered := c.Requests - c.InTime - c.Late - c.Failed
	for _, rejected := range c.Rejected {
		unanswered -= rejected
	}
	meanWait := int(c.Waited.Milliseconds()) / max(c.Sent, 1)
	meanLatency := int(c.Latency.Milliseconds()) / max(c.InTime+c.Late, 1)
	writeRow(table,
		second, class, c.Requests, c.Duplicates, c.InTime, c.Late,
		c.Rejected[balancer.CauseQueueTimeout], c.Rejected[balancer.CauseDeadlineExceeded], c.Rejected[balancer.CauseNoMoreAttempts],
		c.Rejected[balancer.CauseLowerPriority], c.Rejected[balancer.CauseArrivedLate],
		c.Failed, unanswered, meanWait, meanLatency)
}

// Text writes a table with a row for each second. Finish must have been called. It returns the error of w.
func (f *Fleet) Text(w io.Writer) error {
	buffered := bufio.NewWriter(w)
	table := newTable(buffered, secondColumns)
	seconds := f.sortedSeconds()
	for _, unix := range seconds {
		writeSecondRow(table, int(unix-seconds[0]), f.seconds[unix])
	}
	return errors.Join(table.Flush(), buffered.Flush())
}

func writeSecondRow(table io.Writer, second int, s *FleetSecond) {
	hosts, maxAttempts, maxGateways := s.HostUse()
	lists := s.Lists[balancer.ListFull] + s.Lists[balancer.ListChanges]
	ready := max(s.Ready, 1e-9)
	writeRow(table,
		second, s.Starts, s.Requests, s.Attempts, s.Retries, s.WarmingAttempts,
		s.Results[balancer.OK], s.Results[balancer.Failed], s.Results[balancer.Full],
		s.Results[balancer.TimedOut], s.Results[balancer.ConnectFailed],
		s.Results[balancer.Reset], s.Results[balancer.Canceled],
		s.Rejected[balancer.CauseQueueTimeout], s.Rejected[balancer.CauseDeadlineExceeded], s.Rejected[balancer.CauseNoMoreAttempts],
		s.Rejected[balancer.CauseLowerPriority], s.Failed,
		lists, s.Lists[balancer.ListFailed], s.ListEntries, s.Closes,
		hosts, maxAttempts, maxGateways,
		s.Warm.Ended, s.Warm.meanElapsedMS(),
		s.Warming.Ended, s.Warming.Succeeded, s.Warming.meanElapsedMS(),
		int(s.Ready+0.5), int(100*s.Idle/ready), int(100*s.InFlight/ready))
}
