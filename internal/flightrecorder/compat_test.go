package flightrecorder

import (
	"bytes"
	"testing"

	"dunemoor/internal/testutil/compat"
)

// A recording of an earlier build is replayed without a difference, and what is recorded of the
// same day has the same bytes.
func TestCompatRecording(t *testing.T) {
	var out sink
	record(t, day(5, 400), 5, Options{Sink: &out, ViewInterval: 100 * ms})
	compat.Bytes(t, "recording.dmf", out.Bytes())
	rep := replayed(t, compat.Read(t, "recording.dmf"))
	if rep.Divergence != nil || rep.Events < 1000 || rep.SkippedEvents > 0 || len(rep.Losses) > 0 || rep.Checked == 0 {
		t.Errorf("%+v: %v", rep, rep.Divergence)
	}
	a, err := Analyse(bytes.NewReader(compat.Read(t, "recording.dmf")), Window{})
	if err != nil || a == nil {
		t.Errorf("its analysis: %v", err)
	}
}
