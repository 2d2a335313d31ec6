package flightrecorder

import (
	"testing"
	"time"

	"dunemoor/balancer"
)

// benchRecorder returns a Recorder that has received a list of hosts, and the time of the list.
func benchRecorder(b *testing.B) (*Recorder, balancer.Time) {
	s := randomTraffic(1, 1)
	at := s.Endpoints[0].At
	rec := newRecorder(b, SessionStart{Seed: 1, At: at, Settings: s.Settings}, 1, Options{RingBytes: 1 << 20})
	rec.Start(at)
	rec.UpdateEndpoints(at, balancer.ListSaved, s.Endpoints[0].Hosts)
	rec.TakeActions(nil)
	return rec, at
}

// BenchmarkRequest measures the events and actions of a request (arrival, end of an attempt, one timer), with and
// without a Recorder. A third of the difference is the cost of recording an event with its actions.
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
				m = rec.balancer
			}
			var actions []balancer.Action
			id := balancer.RequestID(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				now += 5 * ms
				m.Request(now, balancer.Request{ID: id, Remaining: time.Second})
				actions = m.TakeActions(actions[:0])
				m.AttemptEnded(now+4*ms, balancer.Outcome{Request: id, Elapsed: 4 * ms, Closed: true})
				actions = m.TakeActions(actions[:0])
				m.Timer(now+4*ms, 1<<56)
				actions = m.TakeActions(actions[:0])
			}
		})
	}
}

// BenchmarkEvent measures the recording of one event and one action, without a balancer.
func BenchmarkEvent(b *testing.B) {
	rec, now := benchRecorder(b)
	o := balancer.Outcome{Request: 1 << 20, Elapsed: 4 * ms, Closed: true}
	a := balancer.Action{Kind: balancer.Send, Request: 1 << 20, Host: 1 << 60}
	b.ReportAllocs()
	for b.Loop() {
		now += 300 * time.Microsecond
		rec.beginEvent(now, recordAttemptEnded, maxRecord)
		rec.block = appendOutcome(rec.block, &o)
		rec.block = appendAction(rec.block, &a)
	}
}

// BenchmarkDump measures a dump of the ring.
func BenchmarkDump(b *testing.B) {
	rec, _ := record(b, randomTraffic(1, 9000), 1, Options{RingBytes: 1 << 20})
	var dst []byte
	for b.Loop() {
		dst = rec.Dump(dst[:0])
	}
	b.SetBytes(int64(len(dst)))
}
