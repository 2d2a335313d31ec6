package flightrecorder

import (
	"testing"
	"time"
)

// The trigger fires if the share of rejected responses reaches RejectedShare, and not again within MinInterval.
func TestTriggerFiresOnTheRejectedShare(t *testing.T) {
	trigger := Trigger{RejectedShare: 0.2, Window: 5 * time.Second, MinResponses: 50, MinInterval: time.Minute}
	fire := func(at time.Duration, responses, rejected int) (fired int) {
		for i := range responses {
			if trigger.ObserveResponse(at, i%(responses/rejected) == 0) {
				fired++
			}
		}
		return fired
	}
	for _, c := range []struct {
		name      string
		at        time.Duration
		responses int
		rejected  int
		want      int
	}{
		{"too few", time.Hour, 40, 40, 0},
		{"a tenth", time.Hour + 10*time.Second, 500, 50, 0},
		{"half", time.Hour + 20*time.Second, 500, 250, 1},
		{"half again, too soon", time.Hour + 50*time.Second, 500, 250, 0},
		{"half, a minute later", time.Hour + 81*time.Second, 500, 250, 1},
	} {
		if got := fire(c.at, c.responses, c.rejected); got != c.want {
			t.Errorf("%s: got %d firings, want %d", c.name, got, c.want)
		}
	}
	trigger = Trigger{}
	if trigger.ObserveResponse(time.Hour, true) {
		t.Error("zero Trigger: got a firing, want none")
	}
}
