package flightrecorder

import (
	"bytes"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"dunemoor/balancer"
)

// The analysis counts the outcomes of the requests and contains the ejections of the faulty hosts.
func TestAnalysisShowsOutcomesAndEjections(t *testing.T) {
	s := faultyTraffic()
	var out bufferSink
	_, sum := record(t, s, 6, Options{Sink: &out})
	a := analyzed(t, out.Bytes(), Window{Bucket: 500 * ms})
	for i := range sum.Classes {
		want, got := &sum.Classes[i], &a.Classes[i]
		if got.Requests != want.Requests || got.InTime != want.InTime || got.Served != want.InTime+want.Late ||
			got.Rejected != want.Rejected || got.Failed != want.Failed || got.Abandoned != want.Abandoned {
			t.Errorf("class %d: got %+v, want %+v", i, got, want)
		}
	}
	for _, h := range a.Hosts {
		if h.ID == 1 {
			checkRefusingHost(t, h)
		}
	}
	causes := map[balancer.Cause]int{}
	for _, e := range a.Ejections {
		if e.Host == 1 && e.Cause == balancer.CauseConnectionsFailed && e.Class < 0 {
			t.Errorf("ejection at %v: got none as its request, want one", e.At)
		}
		causes[e.Cause]++
	}
	if causes[balancer.CauseConnectionsFailed] == 0 || causes[balancer.CauseSilent] == 0 {
		t.Errorf("got ejections by cause %v, want some for failed connections and for silence", causes)
	}
	checkAnalysisText(t, a)
}

// checkRefusingHost checks the timeline of host 1, which refuses connections from 20 % to 35 % of the time.
func checkRefusingHost(t *testing.T, h *HostTimeline) {
	t.Helper()
	if h.Name != "s-1" {
		t.Errorf("host 1: got name %q, want \"s-1\"", h.Name)
	}
	var letters []byte
	for i := range h.Buckets {
		letters = append(letters, h.Buckets[i].letter())
	}
	n := len(letters)
	if !strings.Contains(string(letters[n*20/100:n*36/100]), "XX") || strings.Contains(string(letters[n*60/100:]), "X") {
		t.Errorf("host 1: got timeline %q, want \"XX\" between 20 %% and 36 %% of it and no X after 60 %%", letters)
	}
}

func checkAnalysisText(t *testing.T, a *Analysis) {
	t.Helper()
	var text strings.Builder
	a.Text(&text, 5)
	for _, want := range []string{"s-1", "asked", "ejections, the first 5", "silent"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("got text without %q:\n%s", want, text.String())
		}
	}
	if err := a.HostText(&text, "s-1"); err != nil {
		t.Error(err)
	}
	if err := a.HostText(&text, "none"); err == nil {
		t.Error("unknown host: got no error")
	}
}

// An analysis counts only the requests within its window.
func TestAnalysisCountsOnlyItsWindow(t *testing.T) {
	var out bufferSink
	record(t, randomTraffic(6, 3000), 6, Options{Sink: &out})
	all := analyzed(t, out.Bytes(), Window{})
	part := analyzed(t, out.Bytes(), Window{From: 2 * time.Second, To: 4 * time.Second})
	requests := func(a *Analysis) (n int) {
		for _, c := range a.Classes {
			n += c.Requests
		}
		return n
	}
	inBuckets := 0
	for _, r := range all.Rates[4:8] { // 500 ms each
		inBuckets += r.Requests
	}
	if requests(part) != inBuckets || requests(part) == 0 || requests(all) != 3000 {
		t.Errorf("got %d requests in the window, want %d, the sum of its buckets, and not 0; got %d in total, want 3000", requests(part), inBuckets, requests(all))
	}
	if part.To-part.From > 2*time.Second {
		t.Errorf("got the window from %v to %v, want at most 2s", part.From, part.To)
	}
}

// The analysis attributes requests that timed out waiting for a host to the states of the hosts.
func TestAnalysisExplainsTimedOutWaiting(t *testing.T) {
	s := randomTraffic(8, 4000)
	for _, h := range s.Hosts {
		h.Speed = 0.3 // the hosts are overloaded
	}
	var out bufferSink
	record(t, s, 8, Options{Sink: &out})
	a := analyzed(t, out.Bytes(), Window{})
	sum := 0.0
	for _, x := range a.WaitReasons {
		sum += x
	}
	if a.TimedOutWaiting == 0 || math.Abs(sum-float64(a.TimedOutWaiting)) > 0.01*sum || a.WaitReasons["ready now"] > 0.1*sum {
		t.Errorf("got %d requests that timed out waiting, reasons %v; want some, reasons that add up to them, and few \"ready now\"", a.TimedOutWaiting, a.WaitReasons)
	}
}

// If this build decides differently than recorded, the analysis takes the states of the hosts from the recorded views,
// and its text reports that.
func TestAnalysisOfAnotherBuildUsesItsViews(t *testing.T) {
	s := randomTraffic(6, 3000)
	var same bufferSink
	record(t, s, 6, Options{Sink: &same, ViewInterval: 50 * ms})
	want := analyzed(t, same.Bytes(), Window{})
	if want.FromViews {
		t.Fatal("same build: got the states of the hosts from views, want them from the replay")
	}
	a := analyzed(t, withOtherSeed(t, same.Bytes(), s, 5, 1006), Window{})
	if !a.FromViews || a.EjectionCount > 0 {
		t.Fatalf("other build: got FromViews %v and %d ejections, want true and 0", a.FromViews, a.EjectionCount)
	}
	inFlight := func(a *Analysis) (sum float64) {
		for _, h := range a.Hosts {
			for i := range h.Buckets {
				if b := &h.Buckets[i]; b.Samples > 0 {
					sum += b.meanInFlight()
				}
			}
		}
		return sum
	}
	if x, y := inFlight(a), inFlight(want); math.Abs(x-y) > 0.3*y || y == 0 {
		t.Errorf("got a sum of %.1f attempts in flight from the views, want about %.1f as from the replay, and not 0", x, y)
	}
	var text strings.Builder
	a.Text(&text, 0)
	if !strings.Contains(text.String(), "this build decides otherwise") {
		t.Errorf("got a text that doesn't report the divergence:\n%s", text.String())
	}
}

// The text and the plot of a recording of an earlier build don't change.
func TestAnalysisOutputOfARecording(t *testing.T) {
	recording, err := os.ReadFile("testdata/compat/recording.dmf")
	if err != nil {
		t.Fatal(err)
	}
	a := analyzed(t, recording, Window{})
	var text, svg bytes.Buffer
	a.Text(&text, 10)
	for _, h := range a.Hosts {
		if err := a.HostText(&text, h.label()); err != nil {
			t.Fatal(err)
		}
	}
	if err := a.SVG(&svg); err != nil {
		t.Fatal(err)
	}
	for name, got := range map[string][]byte{"testdata/analysis.txt": text.Bytes(), "testdata/analysis.svg": svg.Bytes()} {
		want, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got, want) {
			t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
		}
	}
}
