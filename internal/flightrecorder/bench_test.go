package flightrecorder

import (
	"testing"
	"time"

	"dunemoor/balancer"
)

// quiet is a module that does nothing, so that what is timed is the recorder.
func benchRecorder(b *testing.B) (*Recorder, balancer.Time) {
	s := day(1, 1)
	bal, err := balancer.New(s.Settings, 1)
	if err != nil {
		b.Fatal(err)
	}
	at := s.Lists[0].At
	rec, err := New(bal, SessionStart{Seed: 1, At: at, Settings: s.Settings}, 1, Options{RingBytes: 1 << 20})
	if err != nil {
		b.Fatal(err)
	}
	rec.Start(at)
	rec.UpdateEndpoints(at, balancer.ListSaved, s.Lists[0].Hosts)
	rec.TakeActions(nil)
	return rec, at
}

// BenchmarkRequest is a request with its events and actions (request, outcome, one timer),
// recorded and not. The difference by three is the cost of an event with its actions.
func BenchmarkRequest(b *testing.B) {
	for _, recorded := range []bool{false, true} {
		name := "plain"
		if recorded {
			name = "recorded"
		}
		b.Run(name, func(b *testing.B) {
			rec, now := benchRecorder(b)
			var m Balancer = rec
			if !recorded {
				m = rec.bal
			}
			var acts []balancer.Action
			id := balancer.RequestID(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				now += 5 * ms
				m.Request(now, balancer.Request{ID: id, Remaining: time.Second})
				acts = m.TakeActions(acts[:0])
				m.AttemptEnded(now+4*ms, balancer.Outcome{Request: id, Elapsed: 4 * ms, Closed: true})
				acts = m.TakeActions(acts[:0])
				m.Timer(now+4*ms, 1<<56)
				acts = m.TakeActions(acts[:0])
			}
		})
	}
}

// BenchmarkEvent is one event into the recorder, without the module.
func BenchmarkEvent(b *testing.B) {
	rec, now := benchRecorder(b)
	o := balancer.Outcome{Request: 1 << 20, Elapsed: 4 * ms, Closed: true}
	a := balancer.Action{Kind: balancer.Send, Request: 1 << 20, Host: 1 << 60}
	b.ReportAllocs()
	for b.Loop() {
		now += 300 * time.Microsecond
		rec.event(now, recOutcome, maxRecord)
		rec.block = putOutcome(rec.block, &o)
		rec.block = putAction(rec.block, &a)
	}
}

// BenchmarkDump is what a dump costs the loop.
func BenchmarkDump(b *testing.B) {
	rec, _ := record(b, day(1, 9000), 1, Options{RingBytes: 1 << 20})
	var dst []byte
	for b.Loop() {
		dst = rec.Dump(dst[:0])
	}
	b.SetBytes(int64(len(dst)))
}
