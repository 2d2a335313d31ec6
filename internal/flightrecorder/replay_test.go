package flightrecorder

import (
	"strings"
	"testing"
)

// A replay makes the recorded decisions, with hosts that crash, are silent, drain and warm up, and with failed polls of
// the endpoint list.
func TestReplayMatchesTheRecording(t *testing.T) {
	for seed := range uint64(30) {
		var out bufferSink
		_, sum := record(t, randomTraffic(seed, 1500), seed, Options{Sink: &out, ViewInterval: 100 * ms})
		if sum.Unanswered > 0 || sum.RepeatedExecutions > 0 {
			t.Errorf("seed %d: got %d requests unanswered, %d executed twice, want 0 and 0", seed, sum.Unanswered, sum.RepeatedExecutions)
		}
		rep := replayed(t, out.Bytes())
		if rep.Divergence != nil {
			t.Errorf("seed %d: got divergence %v, want none", seed, rep.Divergence)
		}
		if rep.Events < 5000 || rep.MatchingActions < 4000 || rep.SkippedEvents > 0 || len(rep.Losses) > 0 || rep.MatchingStates == 0 {
			t.Errorf("seed %d: got %+v, want thousands of events and actions, matching states, and nothing skipped", seed, rep)
		}
	}
}

// If the balancer decides differently than recorded, the report has the first action that differs.
func TestReplayReportsTheFirstDivergence(t *testing.T) {
	s := randomTraffic(3, 500)
	var out bufferSink
	record(t, s, 3, Options{Sink: &out})
	rep := replayed(t, withOtherSeed(t, out.Bytes(), s, 4, 1003))
	if rep.Divergence == nil || !strings.Contains(rep.Divergence.Subject, "action") || rep.Divergence.Event == 0 {
		t.Fatalf("other seed: got divergence %v, want one of an action", rep.Divergence)
	}
	if text := rep.Divergence.String(); !strings.Contains(text, "recorded Send") || !strings.Contains(text, "replayed Send") {
		t.Errorf("got %q, want the recorded and the replayed Send", text)
	}
}

// Two runs of a gateway recorded in one file are two sessions, each with its own seed.
func TestReplayOfTwoSessions(t *testing.T) {
	var out bufferSink
	record(t, randomTraffic(1, 300), 1, Options{Sink: &out})
	record(t, randomTraffic(2, 300), 2, Options{Sink: &out})
	rep := replayed(t, out.Bytes())
	if rep.Sessions != 2 || rep.Divergence != nil || rep.SkippedEvents > 0 || len(rep.Losses) > 0 {
		t.Errorf("got %+v, want two sessions without divergence or loss", rep)
	}
}
