package flightrecorder

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"dunemoor/balancer"
)

// Events of three gateways, one of which has two sessions in its file, are counted once, in their second of the wall
// clock.
func TestFleetCountsAllRecordings(t *testing.T) {
	fleet := NewFleet()
	var requests, rejected, failed, attempts, starts int
	for file := range uint64(3) {
		var out bufferSink
		for run := range 1 + file%2 {
			_, sum := record(t, randomTraffic(file+1, 400), file+10*run, Options{Sink: &out})
			for _, c := range sum.Classes {
				requests, rejected, failed = requests+c.Requests, rejected+c.Rejected, failed+c.Failed
			}
			attempts += sum.Attempts
			starts++
		}
		if err := fleet.Add(bytes.NewReader(out.Bytes())); err != nil {
			t.Fatal(err)
		}
	}
	var got FleetSecond
	var ended, warming, fullLists, served int
	allRequests := requests
	for unix, s := range fleet.seconds {
		if unix < 0 || unix > 60 {
			t.Errorf("got a second at %d, want all from 0 to 60", unix)
		}
		got.Starts += s.Starts
		got.Requests += s.Requests
		got.Attempts += s.Attempts
		got.Failed += s.Failed
		for _, n := range s.Rejected {
			rejected -= n
		}
		for _, n := range s.Results {
			ended += n
		}
		warming += s.WarmingAttempts
		for _, c := range s.Classes {
			requests -= c.Requests
			outcomes := c.InTime + c.Late + c.Failed
			for _, n := range c.Rejected {
				outcomes += n
			}
			if outcomes > c.Requests || c.Sent > c.Requests {
				t.Errorf("second %d: got %+v, want at most as many outcomes as requests", unix, c)
			}
			served += c.InTime + c.Late
		}
		fullLists += s.Lists[balancer.ListFull]
		if used, most, gateways := s.HostUse(); s.Attempts > 0 && (used < 1 || used > 7 || most > s.Attempts || gateways > starts) {
			t.Errorf("second %d: got %d hosts, at most %d attempts at one, at most %d gateways of %d", unix, used, most, gateways, starts)
		}
		if n := s.Warm.Ended + s.Warming.Ended; n < s.Warm.Succeeded+s.Warming.Succeeded {
			t.Errorf("second %d: got %d attempts ended, warm %+v, warming %+v; want at most as many successes", unix, n, s.Warm, s.Warming)
		}
	}
	if got.Starts != starts || got.Requests != allRequests || requests != 0 || served == 0 || got.Attempts != attempts || got.Failed != failed || rejected != 0 {
		t.Errorf("got %d starts, %d requests, %d attempts, %d failed, %d rejected not counted; want %d, %d, %d, %d, 0",
			got.Starts, got.Requests, got.Attempts, got.Failed, rejected, starts, allRequests, attempts, failed)
	}
	if ended == 0 || warming == 0 || warming >= attempts || fullLists != starts {
		t.Errorf("got %d attempts ended, %d of %d at warming hosts, %d full lists; want some, some, and %d lists", ended, warming, attempts, fullLists, starts)
	}
	fleet.Finish()
	var text bytes.Buffer
	if err := fleet.Text(&text); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimRight(text.String(), "\n"), "\n")
	if len(lines) != 1+len(fleet.seconds) || !strings.Contains(lines[0], "most gw.") {
		t.Errorf("got %d lines for %d seconds, head %q", len(lines), len(fleet.seconds), lines[0])
	}
}

// A file that is no recording is an error.
func TestFleetRejectsOtherFiles(t *testing.T) {
	if err := NewFleet().Add(strings.NewReader("no recording")); err == nil {
		t.Error("got no error")
	}
}

// A host is idle while no gateway has an attempt in flight there, also after the gateway that had one was killed. It
// is counted while it is listed as ready.
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
	session.changeReady(at(1000), 1, false)
	f.Finish()
	s := f.Second(100)
	for name, x := range map[string][2]float64{"ready": {s.Ready, 1.5}, "idle": {s.Idle, 1}, "in flight": {s.InFlight, 0.5}} {
		if math.Abs(x[0]-x[1]) > 1e-9 {
			t.Errorf("%s: got %v host-seconds, want %v", name, x[0], x[1])
		}
	}
}
