package flightrecorder

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"dunemoor/balancer"
)

// The events of three gateways, one of which has two sessions in its file, are counted once each, in the second of
// their wall-clock time.
func TestFleetCountsAllRecordings(t *testing.T) {
	fleet := NewFleet()
	want := addRecordings(t, fleet)
	var got fleetCounts
	var ended, warming, fullLists, served int
	for unix, s := range fleet.seconds {
		checkFleetSecond(t, unix, s, want.starts)
		got.addSecond(s)
		for _, n := range s.Results {
			ended += n
		}
		for _, c := range s.Classes {
			served += c.InTime + c.Late
		}
		warming += s.WarmingAttempts
		fullLists += s.Lists[balancer.ListFull]
	}
	if got != want || served == 0 {
		t.Errorf("got %+v, %d served; want %+v, some served", got, served, want)
	}
	if ended == 0 || warming == 0 || warming >= want.attempts || fullLists != want.starts {
		t.Errorf("got %d attempts ended, %d of %d at warming hosts, %d full lists; want some ended, some but not all at warming hosts, %d full lists", ended, warming, want.attempts, fullLists, want.starts)
	}
	fleet.Finish()
	var text bytes.Buffer
	if err := fleet.Text(&text); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimRight(text.String(), "\n"), "\n")
	if len(lines) != 1+len(fleet.seconds) || !strings.Contains(lines[0], "most gw.") {
		t.Errorf("got %d lines for %d seconds with heading %q, want one line per second after a heading with \"most gw.\"", len(lines), len(fleet.seconds), lines[0])
	}
}

// fleetCounts are the counts in which the recordings of a fleet and their Fleet must agree.
type fleetCounts struct {
	starts          int
	requests        int
	requestsByClass int // the sum over the classes
	rejected        int
	failed          int
	attempts        int
}

// addRecordings adds the recordings of three gateways, one with two sessions, and returns their total counts.
func addRecordings(t *testing.T, fleet *Fleet) (counts fleetCounts) {
	t.Helper()
	for file := range uint64(3) {
		var out bufferSink
		for run := range 1 + file%2 {
			_, sum := record(t, randomTraffic(file+1, 400), file+10*run, Options{Sink: &out})
			for _, c := range sum.Classes {
				counts.requests += c.Requests
				counts.requestsByClass += c.Requests
				counts.rejected += c.Rejected
				counts.failed += c.Failed
			}
			counts.attempts += sum.Attempts
			counts.starts++
		}
		if err := fleet.Add(bytes.NewReader(out.Bytes())); err != nil {
			t.Fatal(err)
		}
	}
	return counts
}

// addSecond adds the counts of one second of a Fleet.
func (c *fleetCounts) addSecond(s *FleetSecond) {
	c.starts += s.Starts
	c.requests += s.Requests
	c.attempts += s.Attempts
	c.failed += s.Failed
	for _, n := range s.Rejected {
		c.rejected += n
	}
	for _, class := range s.Classes {
		c.requestsByClass += class.Requests
	}
}

// checkFleetSecond checks the counts of a second against one another and against the bounds of randomTraffic.
func checkFleetSecond(t *testing.T, unix int64, s *FleetSecond, gateways int) {
	t.Helper()
	if unix < 0 || unix > 60 {
		t.Errorf("got a second at %d, want all from 0 to 60", unix)
	}
	for _, c := range s.Classes {
		outcomes := c.InTime + c.Late + c.Failed
		for _, n := range c.Rejected {
			outcomes += n
		}
		if outcomes > c.Requests || c.Sent > c.Requests {
			t.Errorf("second %d: got %+v, want at most as many outcomes, and requests sent, as requests", unix, c)
		}
	}
	hosts, maxAttempts, maxGateways := s.HostUse()
	if s.Attempts > 0 && (hosts < 1 || hosts > 7 || maxAttempts > s.Attempts || maxGateways > gateways) {
		t.Errorf("second %d: got %d hosts, up to %d attempts at one host, up to %d gateways at one host; want 1 to 7 hosts, at most all attempts, at most %d gateways",
			unix, hosts, maxAttempts, maxGateways, gateways)
	}
	if n := s.Warm.Ended + s.Warming.Ended; n < s.Warm.Succeeded+s.Warming.Succeeded {
		t.Errorf("second %d: got %d attempts ended, warm %+v, warming %+v; want at most as many successes", unix, n, s.Warm, s.Warming)
	}
}

// Fleet.Add returns an error for a file that is not a recording.
func TestFleetRejectsOtherFiles(t *testing.T) {
	if err := NewFleet().Add(strings.NewReader("no recording")); err == nil {
		t.Error("got no error")
	}
}

// A host is idle while no gateway has an attempt in flight to it; the attempts of a gateway that was killed have ended.
// A host is counted only while it is listed as ready.
func TestFleetCountsIdleHosts(t *testing.T) {
	f := NewFleet()
	start := SessionStart{Wall: time.Unix(100, 0), Settings: balancer.Settings{Classes: []balancer.Class{{LatencyObjective: time.Second}}}}
	session := newFleetSession(f, &start)
	at := func(ms int) balancer.Time { return balancer.Time(ms) * time.Millisecond }
	session.event(&Event{Kind: EventUpdateEndpoints, At: 0, List: balancer.ListFull, Hosts: []balancer.Host{{ID: 1}, {ID: 2}}})
	session.event(&Event{Kind: EventRequest, At: at(200), Request: balancer.Request{ID: 7}})
	session.action(1, at(200), &balancer.Action{Kind: balancer.Send, Request: 7, Host: 1})
	session.event(&Event{Kind: EventUpdateEndpoints, At: at(500), List: balancer.ListFull, Hosts: []balancer.Host{{ID: 1}}})
	session.lastEvent = at(700)
	session.end()
	session.event(&Event{Kind: EventUpdateEndpoints, At: at(1000), List: balancer.ListChanges})
	session.addChange(at(1000), 1, hostNotReady)
	f.Finish()
	s := f.Second(100)
	for name, x := range map[string][2]float64{"ready": {s.Ready, 1.5}, "idle": {s.Idle, 1}, "in flight": {s.InFlight, 0.5}} {
		if math.Abs(x[0]-x[1]) > 1e-9 {
			t.Errorf("%s: got %v host-seconds, want %v", name, x[0], x[1])
		}
	}
}
