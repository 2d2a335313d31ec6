package flightrecorder

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sort"
	"time"
)

// wallTimeFormat is the format of wall-clock times, in UTC.
const wallTimeFormat = "2006-01-02T15:04:05.000Z"

// maxMagnitude is the highest digit that stands for a rate.
const maxMagnitude = 9

// Text writes the analysis for a terminal. It lists at most the given number of ejections.
//
// Headings keep the terms of earlier builds, because scripts parse them: "asked" is Requests, "refused" Rejected,
// "left" Abandoned, "good" Succeeded, "out" attempts in flight (InFlight), and the hosts "drawn from" are those of the
// subset.
func (a *Analysis) Text(w io.Writer, ejections int) {
	a.writeReplay(w)
	a.writeClasses(w)
	a.writeWaitReasons(w)
	a.writeTimelines(w)
	a.writeEjections(w, ejections)
}

// writeReplay writes the result of the replay and what is missing from the recording.
func (a *Analysis) writeReplay(w io.Writer) {
	fmt.Fprintf(w, "gateway %s, build %s, %d session(s): %d events, %d actions replayed alike, %d checkpoints agree\n",
		a.Gateway, a.Build, a.Sessions, a.Events, a.MatchingActions, a.MatchingStates)
	for _, loss := range a.Losses {
		fmt.Fprintf(w, "missing: %s\n", loss)
	}
	if a.SkippedEvents > 0 {
		fmt.Fprintf(w, "missing: %d events could not be replayed, as the state before them is not known\n", a.SkippedEvents)
	}
	if a.UnreadableCheckpoints > 0 {
		fmt.Fprintf(w, "%d checkpoints are of another build: %s\n", a.UnreadableCheckpoints, a.UnreadableReason)
	}
	if a.Divergence != nil {
		fmt.Fprintf(w, "this build decides otherwise: %v\n", a.Divergence)
		fmt.Fprintln(w, "so the hosts are shown as the recorded views have them, and what held requests back is not known")
	}
}

// writeClasses writes the outcome of each class.
func (a *Analysis) writeClasses(w io.Writer) {
	span := a.To - a.From
	fmt.Fprintf(w, "\n%v of traffic\n%-16s %8s %8s %8s %8s %8s %8s %9s %9s\n", span.Round(time.Millisecond),
		"class", "asked", "in time", "served", "refused", "failed", "left", "p50", "p99")
	for i := range a.Classes {
		c := &a.Classes[i]
		slices.Sort(c.latencies)
		fmt.Fprintf(w, "%-16s %8d %8d %8d %8d %8d %8d %9v %9v\n", className(a.ClassNames, i), c.Requests, c.InTime, c.Served,
			c.Rejected, c.Failed, c.Abandoned, quantile(c.latencies, 0.5), quantile(c.latencies, 0.99))
		for _, cause := range slices.Sorted(maps.Keys(c.Causes)) {
			fmt.Fprintf(w, "%-16s   %6d not served: %v\n", "", c.Causes[cause], cause)
		}
	}
}

// className returns the name of a class, or its index if it has no name.
func className(names []string, class int) string {
	if class < len(names) {
		return names[class]
	}
	return fmt.Sprint(class)
}

// writeWaitReasons writes the states that the hosts of the subset had when requests timed out waiting for a host, as
// shares.
func (a *Analysis) writeWaitReasons(w io.Writer) {
	if a.TimedOutWaiting == 0 {
		return
	}
	fmt.Fprintf(w, "\n%d requests waited in vain for a host. Meanwhile of the hosts drawn from, on the average:\n", a.TimedOutWaiting)
	reasons := make([]string, 0, len(a.WaitReasons))
	for reason := range a.WaitReasons {
		reasons = append(reasons, reason)
	}
	sort.Slice(reasons, func(i, j int) bool { return a.WaitReasons[reasons[i]] > a.WaitReasons[reasons[j]] })
	for _, reason := range reasons {
		fmt.Fprintf(w, "%6.1f%% %s\n", 100*a.WaitReasons[reason]/float64(a.TimedOutWaiting), reason)
	}
}

// writeTimelines writes a row for each rate and each host, with a column for each bucket.
func (a *Analysis) writeTimelines(w io.Writer) {
	fmt.Fprintf(w, "\n%-18s %v a column, from %s on\n", "", a.BucketSize, a.Wall.UTC().Format(wallTimeFormat))
	for _, series := range rateSeries {
		a.writeRateRow(w, series.heading, series.count)
	}
	for _, h := range a.Hosts {
		fmt.Fprintf(w, "%-18s ", h.label())
		for i := range h.Buckets {
			w.Write([]byte{h.Buckets[i].letter()})
		}
		fmt.Fprintf(w, "  sent %d, good %d\n", h.Sent, h.Succeeded)
	}
	fmt.Fprint(w, "rates: . none, 0 to 9 by doublings from 1 a second\nhosts: . takes requests")
	for _, l := range stateLetters[1:] {
		fmt.Fprintf(w, ", %c %s", l.letter, l.meaning)
	}
	fmt.Fprintln(w)
}

func (a *Analysis) writeRateRow(w io.Writer, name string, count func(RateBucket) int) {
	fmt.Fprintf(w, "%-18s ", name+" /s")
	for _, r := range a.Rates {
		perSecond := float64(count(r)) / a.BucketSize.Seconds()
		w.Write([]byte{magnitude(perSecond)})
	}
	fmt.Fprintln(w)
}

// magnitude returns the digit that stands for a rate per second: the binary logarithm, rounded down to an integer from
// 0 to maxMagnitude. A rate of 0 is '.'.
func magnitude(rate float64) byte {
	if rate <= 0 {
		return '.'
	}
	n := 0
	for rate >= 2 && n < maxMagnitude {
		rate /= 2
		n++
	}
	return byte('0' + n)
}

// writeEjections writes the first ejections.
func (a *Analysis) writeEjections(w io.Writer, count int) {
	if a.EjectionCount == 0 {
		return
	}
	shown := min(count, len(a.Ejections))
	fmt.Fprintf(w, "\n%d ejections", a.EjectionCount)
	if count < a.EjectionCount {
		fmt.Fprintf(w, ", the first %d", shown)
	}
	fmt.Fprintln(w)
	for _, e := range a.Ejections[:shown] {
		at := (e.At - a.From).Round(time.Millisecond)
		fmt.Fprintf(w, "%10v %-18s %-16v %d out", at, a.hostLabel(&e), e.Cause, e.InFlight)
		if e.Class >= 0 && e.Class < len(a.ClassNames) {
			fmt.Fprintf(w, ", request %d of %s for %v", e.Request, a.ClassNames[e.Class], e.Age.Round(time.Millisecond/10))
		}
		fmt.Fprintln(w)
	}
}

// hostLabel returns the label of an ejected host.
func (a *Analysis) hostLabel(e *Ejection) string {
	for _, h := range a.Hosts {
		if h.ID == e.Host {
			return h.label()
		}
	}
	return formatHostID(e.Host)
}

// HostText writes the figures of one host, a line for each bucket: the means of the attempts in flight ("out"), of the
// concurrency limit and of balancer.HostView.RecentRTT, which is relative to the latency objective or the typical RTT of
// the class ("mean aims"), and the reasons why the host was unavailable, with their shares of the samples ("looks"). It
// returns an error if the recording has no host with that name.
func (a *Analysis) HostText(w io.Writer, name string) error {
	for _, h := range a.Hosts {
		if h.label() == name {
			a.writeHost(w, h)
			return nil
		}
	}
	return fmt.Errorf("the recording has no host %s", name)
}

func (a *Analysis) writeHost(w io.Writer, h *HostTimeline) {
	fmt.Fprintf(w, "%10s %8s %8s %10s  %s\n", "from", "out", "limit", "mean aims", "held, share of the looks")
	for i := range h.Buckets {
		b := &h.Buckets[i]
		if b.Samples == 0 {
			continue
		}
		from := time.Duration(i) * a.BucketSize
		fmt.Fprintf(w, "%10v %8.2f %8.2f %10.3f ", from, b.meanInFlight(), b.meanConcurrencyLimit(), b.meanRecentRTT())
		for _, l := range stateLetters {
			if count := b.Reasons[l.reason]; count > 0 {
				fmt.Fprintf(w, " %s %.0f%%", l.reason, 100*float64(count)/float64(b.Samples))
			}
		}
		fmt.Fprintln(w)
	}
}
