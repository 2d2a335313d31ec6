package flightrecorder

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"
)

// A simulation made from a recording has the recorded hosts, and its outcome with the same balancer is near the
// recorded one.
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
	if x := f.Simulation.Hosts[5].Speed / f.Simulation.Hosts[3].Speed; x < 0.35 || x > 0.7 {
		t.Errorf("got %.2f of the speed of host 3 for host 5, want about 0.5", x)
	}
	if x := f.Simulation.Hosts[3].UnansweredShare; x < 0.004 || x > 0.03 {
		t.Errorf("got %.4f of the attempts unanswered, want about 0.01", x)
	}
	if x := f.Simulation.Hosts[3].ErrorShares[0]; x < 0.03 || x > 0.07 {
		t.Errorf("got %.4f errors in class 0, want about 0.05", x)
	}
	for _, c := range []struct {
		name      string
		got, want []Span
	}{{"down", f.Simulation.Hosts[1].Down, s.Hosts[1].Down}, {"silent", f.Simulation.Hosts[2].Silent, s.Hosts[2].Silent}} {
		if len(c.got) == 0 {
			t.Errorf("%s: got no span, want %v", c.name, c.want)
			continue
		}
		from, to := c.got[0].From, c.got[len(c.got)-1].To
		if w := c.want[0]; from < w.From || from > w.From+(w.To-w.From)/2 || to > w.To+time.Second {
			t.Errorf("%s: got from %v to %v, want about %v to %v", c.name, from, to, w.From, w.To)
		}
	}
	tried, err := f.Try()
	if err != nil {
		t.Fatal(err)
	}
	if tried.RepeatedExecutions+tried.Unanswered > 0 {
		t.Errorf("got %+v, want no request unanswered or executed twice", tried)
	}
	for i := range tried.Classes {
		was, is := &f.Recorded.Classes[i], &tried.Classes[i]
		x, y := float64(was.InTime)/float64(was.Requests), float64(is.InTime)/float64(is.Requests)
		if is.Requests != was.Requests || math.Abs(x-y) > 0.08 {
			t.Errorf("class %d: got %.3f in time, want about %.3f as recorded", i, y, x)
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
		t.Errorf("got %s, want both outcomes and no broken rule", text.String())
	}
}

// A recording that begins in mid-flight has its hosts from the checkpoint.
func TestFitOfARecordingInMidFlight(t *testing.T) {
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
		t.Errorf("got %d arrivals and %d in time, want hundreds and at least half of them", n, inTime)
	}
	if _, err := Fit(bytes.NewReader(nil)); err == nil {
		t.Error("empty recording: got no error")
	}
}
