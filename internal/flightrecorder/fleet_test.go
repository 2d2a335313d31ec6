package flightrecorder

import (
	"bytes"
	"io"
	"math"
	"strings"
	"testing"
	"time"

	"dunemoor/balancer"
)

// Over the recordings of three gateways, one of which starts anew in its file, everything
// that happened is counted once, in the second of the wall clock that it happened in.
func TestFleetCountsOverAllRecordings(t *testing.T) {
	fleet := NewFleet()
	var asked, refused, failed, attempts, starts int
	for file := range uint64(3) {
		var out sink
		for run := range 1 + file%2 {
			_, sum := record(t, day(file+1, 400), file+10*run, Options{Sink: &out})
			for _, c := range sum.Classes {
				asked, refused, failed = asked+c.Asked, refused+c.Refused, failed+c.Failed
			}
			attempts += sum.Attempts
			starts++
		}
		if err := fleet.Add(bytes.NewReader(out.Bytes())); err != nil {
			t.Fatal(err)
		}
	}
	var got FleetSecond
	var ended, cold, whole, served int
	all := asked
	for unix, s := range fleet.seconds {
		if unix < 0 || unix > 60 {
			t.Errorf("a second at %d, all began at 0", unix)
		}
		got.Starts += s.Starts
		got.Requests += s.Requests
		got.Sends += s.Sends
		got.Failed += s.Failed
		for _, n := range s.Refused {
			refused -= n
		}
		for _, n := range s.Results {
			ended += n
		}
		cold += s.ColdSent
		for _, c := range s.Classes {
			asked -= c.Requests
			ends := c.InTime + c.Late + c.Failed
			for _, n := range c.Refused {
				ends += n
			}
			if ends > c.Requests || c.Sent > c.Requests {
				t.Errorf("second %d: %+v", unix, c)
			}
			served += c.InTime + c.Late
		}
		whole += s.Lists[balancer.ListFull]
		if used, most, gateways := s.Hosts(); s.Sends > 0 && (used < 1 || used > 7 || most > s.Sends || gateways > starts) {
			t.Errorf("second %d: %d hosts, %d sends at most to one, %d gateways of %d", unix, used, most, gateways, starts)
		}
		if n := s.Ended[0] + s.Ended[1]; n < s.Good[0]+s.Good[1] {
			t.Errorf("second %d: %d attempts ended, %v of them well", unix, n, s.Good)
		}
	}
	if got.Starts != starts || got.Requests != all || asked != 0 || served == 0 || got.Sends != attempts || got.Failed != failed || refused != 0 {
		t.Errorf("counted %d starts, %d requests, %d sends, %d failed, %d refused too few; want %d, %d, %d, %d, 0",
			got.Starts, got.Requests, got.Sends, got.Failed, refused, starts, all, attempts, failed)
	}
	if ended == 0 || cold == 0 || cold >= attempts || whole != starts {
		t.Errorf("%d attempts ended, %d to cold hosts of %d, %d whole lists for %d", ended, cold, attempts, whole, starts)
	}
	var text bytes.Buffer
	if err := fleet.Text(&text); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimRight(text.String(), "\n"), "\n")
	if len(lines) != 1+len(fleet.seconds) || !strings.Contains(lines[0], "most gw.") {
		t.Errorf("%d lines for %d seconds: %q", len(lines), len(fleet.seconds), lines[0])
	}
}

// What is no recording is said, and what was counted stands.
func TestFleetOfNoRecording(t *testing.T) {
	if err := NewFleet().Add(strings.NewReader("no recording")); err == nil {
		t.Error("no error")
	}
}

// A host is idle while no gateway has anything out there, also from the instant at which one that
// had is killed, and is counted while it is listed as ready.
func TestFleetCountsIdleHosts(t *testing.T) {
	f := NewFleet()
	m := &member{began: time.Unix(100, 0), started: map[balancer.HostID]balancer.Time{}, aims: []time.Duration{time.Second}, requests: map[balancer.RequestID]*inFlight{}}
	at := func(ms int) balancer.Time { return balancer.Time(ms) * time.Millisecond }
	f.event(m, &Event{Kind: EventHosts, At: 0, List: balancer.ListFull, Hosts: []balancer.Host{{ID: 1}, {ID: 2}}})
	f.event(m, &Event{Kind: EventRequest, At: at(200), Request: balancer.Request{ID: 7}})
	f.action(m, 1, at(200), &balancer.Action{Kind: balancer.Send, Request: 7, Host: 1})
	f.event(m, &Event{Kind: EventHosts, At: at(500), List: balancer.ListFull, Hosts: []balancer.Host{{ID: 1}}})
	m.last = at(700)
	f.over(m)
	f.event(m, &Event{Kind: EventHosts, At: at(1000), List: balancer.ListChanges})
	f.mark(m, at(1000), 1, 0, -1)
	if err := f.Text(io.Discard); err != nil {
		t.Fatal(err)
	}
	s := f.Second(100)
	for name, x := range map[string][2]float64{"ready": {s.Ready, 1.5}, "idle": {s.Idle, 1}, "out": {s.Out, 0.5}} {
		if math.Abs(x[0]-x[1]) > 1e-9 {
			t.Errorf("%s: %v host-seconds, want %v", name, x[0], x[1])
		}
	}
}
