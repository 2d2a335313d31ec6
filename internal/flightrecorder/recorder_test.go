package flightrecorder

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"dunemoor/balancer"
)

// The events of a shutdown and a health check are read as they were recorded.
func TestShutdownAndHealthCheckAreRecorded(t *testing.T) {
	s := randomTraffic(1, 1)
	now := balancer.Time(time.Hour)
	r := newRecorder(t, SessionStart{Settings: s.Settings, Seed: 1, At: now}, 1, Options{})
	r.Start(now)
	r.HealthCheckPassed(now+ms, 7, 20*ms)
	r.Shutdown(now+2*ms, now+3*time.Second)
	var got []Event
	in := NewReader(bytes.NewReader(r.Dump(nil)))
	for it := new(Item); ; {
		err := in.Next(it)
		if err == io.EOF {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		if it.Kind == ItemEvent {
			got = append(got, it.Event)
		}
	}
	if len(got) != 3 || got[1].HealthCheck != (HealthCheck{7, 20 * ms}) || got[2].Kind != EventShutdown || got[2].ShutdownBy != now+3*time.Second {
		t.Errorf("got %+v, want a start, a health check of host 7 and a shutdown", got)
	}
}

// A ring that has wrapped around contains the last part of the recording, and can be replayed from its first checkpoint.
func TestWrappedRingReplaysFromItsFirstCheckpoint(t *testing.T) {
	s := randomTraffic(5, 12000)
	var out bufferSink
	rec, _ := record(t, s, 5, Options{RingBytes: minRingBytes, Sink: &out})
	dump := rec.Dump(nil)
	if len(dump) > minRingBytes+4096 || len(dump) < minRingBytes/3 || len(out.Bytes()) < 3*minRingBytes {
		t.Fatalf("ring of %d bytes: got a dump of %d bytes, %d bytes recorded; want a dump of a third to all of the ring, at least 3 times the ring recorded",
			minRingBytes, len(dump), out.Len())
	}
	rep := replayed(t, dump)
	if rep.Divergence != nil {
		t.Error(rep.Divergence)
	}
	all := replayed(t, out.Bytes())
	// share is the number of events to expect in the dump by its share of the bytes. The dump has more checkpoints.
	share := all.Events * len(dump) / len(out.Bytes())
	if rep.SkippedEvents > 0 || rep.Events < share*4/5 || rep.Events >= all.Events/2 {
		t.Errorf("%d events recorded: got %d replayed, %d skipped; want replayed about the share of the dump's bytes, and none skipped", all.Events, rep.Events, rep.SkippedEvents)
	}
	if len(rep.Losses) != 1 || !strings.Contains(rep.Losses[0], "overwritten") {
		t.Errorf("got losses %q, want one of overwritten blocks", rep.Losses)
	}
}

// Blocks are lost while the sink rejects them, for example because a disk is full. A checkpoint follows, from which
// the replay continues. The sink doesn't change the decisions of the balancer.
func TestCheckpointFollowsRejectedBlocks(t *testing.T) {
	_, want := record(t, randomTraffic(4, 9000), 4, Options{})
	full := bufferSink{reject: func(n int) bool { return n >= 8 && n < 20 }}
	rec, got := record(t, randomTraffic(4, 9000), 4, Options{RingBytes: 1 << 20, Sink: &full})
	if fmt.Sprint(want) != fmt.Sprint(got) {
		t.Errorf("got summary %+v, want %+v as without a sink", got, want)
	}
	if rec.RejectedBlocks() != 12 {
		t.Errorf("got %d blocks counted as rejected, want 12", rec.RejectedBlocks())
	}
	rep := replayed(t, full.Bytes())
	if rep.Divergence != nil || len(rep.Losses) == 0 || rep.SkippedEvents > rep.Events {
		t.Errorf("got %d events replayed, %d skipped, losses %q, divergence %v; want losses, at most as many skipped as replayed, and no divergence",
			rep.Events, rep.SkippedEvents, rep.Losses, rep.Divergence)
	}
	if ring := replayed(t, rec.Dump(nil)); ring.Divergence != nil || ring.Events <= rep.Events {
		t.Errorf("ring: got %d events, want more than the %d of the sink; got divergence %v, want none", ring.Events, rep.Events, ring.Divergence)
	}
}

// Events are recorded with their times on the balancer's clock, even if a time is before the previous one. The
// wall-clock time of the session doesn't affect them.
func TestTimesAreRecordedByTheBalancersClock(t *testing.T) {
	s := randomTraffic(1, 10)
	var out bufferSink
	at := s.Endpoints[0].At
	start := SessionStart{Seed: 1, At: at, Settings: s.Settings, Wall: time.Now().Add(-9000 * time.Hour)}
	rec := newRecorder(t, start, 1, Options{Sink: &out})
	for _, d := range []time.Duration{0, 5 * time.Hour, 4 * time.Hour} {
		rec.Timer(at+d, 0)
		rec.TakeActions(nil)
	}
	rec.Flush()
	var times []balancer.Time
	r, it := NewReader(bytes.NewReader(out.Bytes())), Item{}
	for r.Next(&it) == nil {
		if it.Kind == ItemEvent {
			times = append(times, it.At-at)
		}
	}
	if fmt.Sprint(times) != "[0s 5h0m0s 4h0m0s]" {
		t.Errorf("got times %v, want 0s, 5h and 4h", times)
	}
}
