package flightrecorder

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"dunemoor/balancer"
)

// A simulation made from a recording has models of the recorded hosts, and its outcome with the same balancer is close
// to the recorded one.
func TestFitModelsTheRecordedHosts(t *testing.T) {
	s := faultyTraffic()
	var out bufferSink
	record(t, s, 6, Options{Sink: &out})
	f, err := Fit(bytes.NewReader(out.Bytes()))
	if err != nil {
		t.Fatal(err)
	}
	if n := len(f.Simulation.Arrivals); n != 6000 {
		t.Fatalf("got %d arrivals, want 6000", n)
	}
	checkFittedHosts(t, f.Simulation.Hosts)
	checkFittedSpan(t, "down", f.Simulation.Hosts[1].Down, s.Hosts[1].Down[0])
	checkFittedSpan(t, "silent", f.Simulation.Hosts[2].Silent, s.Hosts[2].Silent[0])
	tried, err := f.Try()
	if err != nil {
		t.Fatal(err)
	}
	if tried.RepeatedExecutions+tried.Unanswered > 0 {
		t.Errorf("got %+v, want no request unanswered or executed twice", tried)
	}
	for i := range tried.Classes {
		recorded, got := &f.Recorded.Classes[i], &tried.Classes[i]
		recordedShare := float64(recorded.InTime) / float64(recorded.Requests)
		gotShare := float64(got.InTime) / float64(got.Requests)
		if got.Requests != recorded.Requests || math.Abs(recordedShare-gotShare) > 0.08 {
			t.Errorf("class %d: got %.3f in time, want about %.3f as recorded", i, gotShare, recordedShare)
		}
	}
	again, _ := f.Try()
	for i := range again.Classes {
		if again.Classes[i].InTime != tried.Classes[i].InTime {
			t.Errorf("class %d: got %d in time in a second run, want %d as in the first", i, again.Classes[i].InTime, tried.Classes[i].InTime)
		}
	}
	var text strings.Builder
	f.Compare(&text, tried)
	if !strings.Contains(text.String(), "this build") || strings.Contains(text.String(), "BROKEN") {
		t.Errorf("got %s, want the outcome of this build and no broken rule", text.String())
	}
}

// checkFittedHosts checks the models of hosts 3 and 5 of faultyTraffic. Host 5 has half the speed of the others.
func checkFittedHosts(t *testing.T, hosts map[balancer.HostID]*SimulatedHost) {
	t.Helper()
	if x := hosts[5].Speed / hosts[3].Speed; x < 0.35 || x > 0.7 {
		t.Errorf("got host 5 at %.2f of the speed of host 3, want about 0.5", x)
	}
	if x := hosts[3].UnansweredShare; x < 0.004 || x > 0.03 {
		t.Errorf("host 3: got a share of %.4f of attempts unanswered, want about 0.01", x)
	}
	if x := hosts[3].ErrorShares[0]; x < 0.03 || x > 0.07 {
		t.Errorf("host 3: got a share of %.4f of errors in class 0, want about 0.05", x)
	}
}

// checkFittedSpan checks that the spans of a model together cover about the span in the recorded simulation.
func checkFittedSpan(t *testing.T, name string, got []Span, want Span) {
	t.Helper()
	if len(got) == 0 {
		t.Errorf("%s: got no span, want %v", name, want)
		return
	}
	from, to := got[0].From, got[len(got)-1].To
	if from < want.From || from > want.From+(want.To-want.From)/2 || to > want.To+time.Second {
		t.Errorf("%s: got from %v to %v, want about %v to %v", name, from, to, want.From, want.To)
	}
}

// If a recording begins in mid-session, the simulation starts with the hosts of the checkpoint.
func TestFitOfARecordingThatBeginsInMidSession(t *testing.T) {
	rec, _ := record(t, randomTraffic(5, 12000), 5, Options{RingBytes: minRingBytes})
	f, err := Fit(bytes.NewReader(rec.Dump(nil)))
	if err != nil {
		t.Fatal(err)
	}
	tried, err := f.Try()
	if err != nil {
		t.Fatal(err)
	}
	inTime := 0
	for _, c := range tried.Classes {
		inTime += c.InTime
	}
	if n := len(f.Simulation.Arrivals); n < 300 || n > 6000 || inTime < n/2 {
		t.Errorf("got %d arrivals and %d served in time, want 300 to 6000 arrivals and at least half of them in time", n, inTime)
	}
	if _, err := Fit(bytes.NewReader(nil)); err == nil {
		t.Error("empty recording: got no error")
	}
}
