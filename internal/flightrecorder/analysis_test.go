package flightrecorder

import (
	"bytes"
	"encoding/xml"
	"io"
	"math"
	"strings"
	"testing"
	"time"

	"dunemoor/balancer"
)

// spoiltDay is a day with one fault of each kind that a recording should show.
func spoiltDay() *Sim {
	s := day(6, 6000)
	s.Settings.Instances = 1
	for _, h := range s.Hosts {
		h.Speed, h.Errors = 1, []float64{0.05, 0, 0}
	}
	s.Hosts[5].Speed = 0.5
	s.Hosts[6].Mute = 0 // all are set alike below
	for _, h := range s.Hosts {
		h.Mute = 0.01
	}
	return s
}

func TestAnalysisTellsWhatHappened(t *testing.T) {
	s := spoiltDay()
	var out sink
	_, sum := record(t, s, 6, Options{Sink: &out})
	a, err := Analyse(bytes.NewReader(out.Bytes()), Window{Bucket: 500 * ms})
	if err != nil {
		t.Fatal(err)
	}
	for i := range sum.Classes {
		want, got := &sum.Classes[i], &a.Requests[i]
		if got.Asked != want.Asked || got.InTime != want.InTime || got.Served != want.InTime+want.Late ||
			got.Refused != want.Refused || got.Failed != want.Failed || got.Left != want.Left {
			t.Errorf("class %d: the day had %+v, the analysis tells %+v", i, want, got)
		}
	}
	// Host 1 refused connections from 0.2 to 0.35 of the day on.
	for _, h := range a.Hosts {
		if h.ID != 1 {
			continue
		}
		if h.Name != "s-1" {
			t.Errorf("host 1 is called %q", h.Name)
		}
		var letters []byte
		for i := range h.Buckets {
			letters = append(letters, h.Buckets[i].letter())
		}
		n := len(letters)
		if !strings.Contains(string(letters[n*20/100:n*36/100]), "XX") || strings.Contains(string(letters[n*60/100:]), "X") {
			t.Errorf("its line is %q", letters)
		}
	}
	why := map[balancer.Cause]int{}
	for _, e := range a.Ejected {
		if e.Host == 1 && e.Why == balancer.CauseConnectionsFailed && e.Class < 0 {
			t.Errorf("the ejection at %v names no request", e.At)
		}
		why[e.Why]++
	}
	if why[balancer.CauseConnectionsFailed] == 0 || why[balancer.CauseSilent] == 0 {
		t.Errorf("ejections by cause: %v", why)
	}
	var text strings.Builder
	a.Text(&text, 5)
	for _, want := range []string{"s-1", "asked", "ejections, the first 5", "silent"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("the text lacks %q:\n%s", want, text.String())
		}
	}
	if err := a.HostText(&text, "s-1"); err != nil {
		t.Error(err)
	}
	if err := a.HostText(&text, "none"); err == nil {
		t.Error("a host that is not there is no error")
	}
}

// Only what lies in the window counts.
func TestWindow(t *testing.T) {
	var out sink
	record(t, day(6, 3000), 6, Options{Sink: &out})
	whole, err := Analyse(bytes.NewReader(out.Bytes()), Window{})
	if err != nil {
		t.Fatal(err)
	}
	part, err := Analyse(bytes.NewReader(out.Bytes()), Window{From: 2 * time.Second, To: 4 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	asked := func(a *Analysis) (n int) {
		for _, c := range a.Requests {
			n += c.Asked
		}
		return n
	}
	inBuckets := 0
	for _, r := range whole.Rates[4:8] { // 500 ms each
		inBuckets += r.Asked
	}
	if asked(part) != inBuckets || asked(part) == 0 || asked(whole) != 3000 {
		t.Errorf("the window holds %d requests, the buckets there %d; %d in all", asked(part), inBuckets, asked(whole))
	}
	if part.To-part.From > 2*time.Second {
		t.Errorf("from %v to %v", part.From, part.To)
	}
}

// Requests that waited in vain are told with what held the hosts.
func TestRefusalsAreExplained(t *testing.T) {
	s := day(8, 4000)
	for _, h := range s.Hosts {
		h.Speed = 0.3 // far too slow for what comes
	}
	var out sink
	record(t, s, 8, Options{Sink: &out})
	a, err := Analyse(bytes.NewReader(out.Bytes()), Window{})
	if err != nil {
		t.Fatal(err)
	}
	sum := 0.0
	for _, x := range a.Held {
		sum += x
	}
	if a.Refusals == 0 || math.Abs(sum-float64(a.Refusals)) > 0.01*sum || a.Held["ready now"] > 0.1*sum {
		t.Errorf("%d waited in vain, held by %v", a.Refusals, a.Held)
	}
}

func TestPlotIsWellFormed(t *testing.T) {
	var out sink
	rec, _ := record(t, spoiltDay(), 6, Options{})
	rec.NameHost(balancer.Time(2*time.Hour), 2, `<&">`)
	a, err := Analyse(bytes.NewReader(rec.Dump(nil)), Window{})
	if err != nil {
		t.Fatal(err)
	}
	if err := a.SVG(&out); err != nil {
		t.Fatal(err)
	}
	lines := 0
	for d := xml.NewDecoder(&out.Buffer); ; {
		tok, err := d.Token()
		if err == io.EOF {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if e, ok := tok.(xml.StartElement); ok && e.Name.Local == "polyline" {
			lines++
		}
	}
	if want := 4 + 2*len(a.Hosts); lines != want {
		t.Errorf("%d lines drawn, want %d", lines, want)
	}
	if err := (&Analysis{}).SVG(&out); err == nil {
		t.Error("nothing to draw is no error")
	}
}

// A day made from a recording has the hosts that made it, and its try with the same module
// comes near to what was recorded.
func TestFitFindsTheHosts(t *testing.T) {
	s := spoiltDay()
	var out sink
	record(t, s, 6, Options{Sink: &out})
	f, err := Fit(bytes.NewReader(out.Bytes()))
	if err != nil {
		t.Fatal(err)
	}
	if n := len(f.Sim.Arrivals); n != 6000 {
		t.Fatalf("%d arrivals", n)
	}
	if x := f.Sim.Hosts[5].Speed / f.Sim.Hosts[3].Speed; x < 0.35 || x > 0.7 {
		t.Errorf("host 5 has %.2f of the speed of host 3, it was half", x)
	}
	if x := f.Sim.Hosts[3].Mute; x < 0.004 || x > 0.03 {
		t.Errorf("%.4f of the attempts are never answered, 0.01 were", x)
	}
	if x := f.Sim.Hosts[3].Errors[0]; x < 0.03 || x > 0.07 {
		t.Errorf("%.4f of class 0 are errors, 0.05 were", x)
	}
	for _, c := range []struct {
		name      string
		got, want []Span
	}{{"down", f.Sim.Hosts[1].Down, s.Hosts[1].Down}, {"silent", f.Sim.Hosts[2].Silent, s.Hosts[2].Silent}} {
		if len(c.got) == 0 {
			t.Errorf("%s: not found", c.name)
			continue
		}
		from, to := c.got[0].From, c.got[len(c.got)-1].To
		if w := c.want[0]; from < w.From || from > w.From+(w.To-w.From)/2 || to > w.To+time.Second {
			t.Errorf("%s from %v to %v, it was from %v to %v", c.name, from, to, w.From, w.To)
		}
	}
	tried, err := f.Try()
	if err != nil {
		t.Fatal(err)
	}
	if tried.Twice+tried.Unheard > 0 {
		t.Errorf("the try broke rules: %+v", tried)
	}
	for i := range tried.Classes {
		was, is := &f.Recorded.Classes[i], &tried.Classes[i]
		x, y := float64(was.InTime)/float64(was.Asked), float64(is.InTime)/float64(is.Asked)
		if is.Asked != was.Asked || math.Abs(x-y) > 0.08 {
			t.Errorf("class %d: %.3f in time then, %.3f in the try", i, x, y)
		}
	}
	again, _ := f.Try()
	for i := range again.Classes {
		if again.Classes[i].InTime != tried.Classes[i].InTime {
			t.Errorf("class %d: a second try has %d in time, the first %d", i, again.Classes[i].InTime, tried.Classes[i].InTime)
		}
	}
	var text strings.Builder
	f.Compare(&text, tried)
	if !strings.Contains(text.String(), "this build") || strings.Contains(text.String(), "BROKEN") {
		t.Errorf("it says %s", text.String())
	}
}

// A recording begun in mid-flight has its hosts from the checkpoint.
func TestFitInMidFlight(t *testing.T) {
	rec, _ := record(t, day(5, 12000), 5, Options{RingBytes: leastRing})
	f, err := Fit(bytes.NewReader(rec.Dump(nil)))
	if err != nil {
		t.Fatal(err)
	}
	tried, err := f.Try()
	if err != nil {
		t.Fatal(err)
	}
	good := 0
	for _, c := range tried.Classes {
		good += c.InTime
	}
	if n := len(f.Sim.Arrivals); n < 300 || n > 6000 || good < n/2 {
		t.Errorf("%d arrivals, %d in time in the try", n, good)
	}
	if _, err := Fit(bytes.NewReader(nil)); err == nil {
		t.Error("nothing is no error")
	}
}

// Of a recording that this build would decide otherwise the hosts are shown as the views
// have them, and that is said.
func TestOtherBuildIsShownByItsViews(t *testing.T) {
	s := day(6, 3000)
	var same, other sink
	record(t, s, 6, Options{Sink: &same, ViewInterval: 50 * ms})
	bal, _ := balancer.New(s.Settings, 5)
	New(bal, SessionStart{Seed: 5, At: s.Lists[0].At, Settings: s.Settings}, 1006, Options{Sink: &other})
	mixed := append(bytes.Clone(other.Bytes()), same.Bytes()[firstBlock(t, same.Bytes()):]...)
	want, err := Analyse(bytes.NewReader(same.Bytes()), Window{})
	if err != nil || want.Viewed {
		t.Fatalf("viewed %v, %v", want.Viewed, err)
	}
	a, err := Analyse(bytes.NewReader(mixed), Window{})
	if err != nil || !a.Viewed || a.Ejects > 0 {
		t.Fatalf("viewed %v, %d ejections, %v", a.Viewed, a.Ejects, err)
	}
	pending := func(a *Analysis) (sum float64) {
		for _, h := range a.Hosts {
			for i := range h.Buckets {
				if b := &h.Buckets[i]; b.Looks > 0 {
					sum += b.Pending / float64(b.Looks)
				}
			}
		}
		return sum
	}
	if x, y := pending(a), pending(want); math.Abs(x-y) > 0.3*y || y == 0 {
		t.Errorf("by the views %.1f are out, by the replay %.1f", x, y)
	}
	var text strings.Builder
	a.Text(&text, 0)
	if !strings.Contains(text.String(), "this build decides otherwise") {
		t.Errorf("it does not say so:\n%s", text.String())
	}
}
