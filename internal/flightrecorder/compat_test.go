package flightrecorder

import (
	"testing"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/testutil/compat"
)

// A recording of an earlier build is replayed without a divergence, and a recording of the same traffic has the
// same bytes.
func TestCompatRecording(t *testing.T) {
	var out bufferSink
	record(t, randomTraffic(5, 400), 5, Options{Sink: &out, ViewInterval: 100 * ms})
	compat.Bytes(t, "recording.dmf", out.Bytes())
	rep := replayed(t, compat.Read(t, "recording.dmf"))
	if rep.Divergence != nil || rep.Events < 1000 || rep.SkippedEvents > 0 || len(rep.Losses) > 0 || rep.MatchingStates == 0 {
		t.Errorf("got %+v, divergence %v; want all events replayed, a matching state and no divergence", rep, rep.Divergence)
	}
	if a := analyzed(t, compat.Read(t, "recording.dmf"), Window{}); len(a.Hosts) == 0 || len(a.Classes) == 0 {
		t.Errorf("analysis: got %d hosts and %d classes, want some", len(a.Hosts), len(a.Classes))
	}
}

// Each kind of event has the bytes of earlier builds, and a view the hosts that they put into it; the recording
// of an earlier build is replayed without a divergence.
func TestCompatEveryEvent(t *testing.T) {
	s := randomTraffic(3, 1)
	now := balancer.Time(time.Hour)
	start := SessionStart{
		Name: "n0", Build: "b1", Classes: []string{"look"}, Seed: 3, At: now, Settings: s.Settings, Wall: time.Unix(0, 0).UTC(),
	}
	var out bufferSink
	r := newRecorder(t, start, 77, Options{ViewInterval: ms, Sink: &out})
	var list []balancer.Host
	for i := range 70 {
		list = append(list, balancer.Host{ID: balancer.HostID(i + 1), Zone: i % 3, Cell: i % 7, Kind: i % 2})
	}
	r.Start(now)
	r.NameHost(now, 1, "s-1")
	events := []func(){
		func() { r.UpdateEndpoints(now, balancer.ListFull, list) },
		func() {
			r.Request(now+ms, balancer.Request{ID: 5, Class: 1, Tenant: 2, Remaining: time.Second, Duplicate: true})
		},
		func() { r.ResponseStarted(now+2*ms, 5, 0) },
		func() {
			r.AttemptEnded(now+3*ms, balancer.Outcome{Request: 5, Result: balancer.Failed, Elapsed: 2 * ms, Closed: true})
		},
		func() { r.ClientGone(now+4*ms, 5) },
		func() { r.Timer(now+5*ms, 99) },
		func() { r.HealthCheckPassed(now+6*ms, 7, 20*ms) },
		func() { r.Shutdown(now+7*ms, now+3*time.Second) },
	}
	for _, event := range events {
		event()
		r.TakeActions(nil)
	}
	r.Flush()
	compat.Bytes(t, "events.dmf", out.Bytes())
	rep := replayed(t, compat.Read(t, "events.dmf"))
	if rep.Divergence != nil || rep.Events != 1+len(events) || len(rep.Losses) > 0 {
		t.Errorf("got %+v, divergence %v; want %d events, no loss and no divergence", rep, rep.Divergence, 1+len(events))
	}
}

// A host of a view has the bytes of earlier builds, and is read back as it was.
func TestCompatView(t *testing.T) {
	want := balancer.HostView{
		Host: 0x232b_074a120a, State: balancer.Removed, InSubset: true, Warming: true, Overdue: true,
		InFlight: 3, ConcurrencyLimit: 4.5, RecentRTT: 0.25, EstimatedRTT: 0.0125,
		Cause: balancer.CauseConnectionsFailed, Ejections: 6,
		EjectedUntil: 7 * ms, RestingUntil: 8 * ms, NextSlowStartSend: 9 * ms, ExcludedFor: 1 << 40,
	}
	compat.Bytes(t, "view.bin", appendView(nil, &want, ms))
	d := decoder{data: compat.Read(t, "view.bin")}
	if got := d.view(ms); got != want || d.err != nil || len(d.data) > 0 {
		t.Errorf("got %+v, error %v, %d bytes left; want %+v", got, d.err, len(d.data), want)
	}
}
