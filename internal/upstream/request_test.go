package upstream

import (
	"testing"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/engine"
)

func TestResponseLimits(t *testing.T) {
	deadline := time.Now().Add(time.Minute)
	pace := body.Pace{IdleTimeout: time.Second, MinRate: 256}
	paceWithoutRate := body.Pace{IdleTimeout: time.Second}
	buffered := body.NewBuffered(nil)
	arriving := body.NewStreamed(nil, body.NewStream(emptyStream{}, -1))
	for _, test := range []struct {
		name             string
		body             body.Body
		headDeadlineOnly bool
		wantPace         body.Pace
		wantDue          time.Time
	}{
		{"deadline for the whole response", buffered, false, pace, deadline},
		{"request body still arriving", arriving, false, pace, time.Time{}},
		{"deadline for the header section only", buffered, true, paceWithoutRate, time.Time{}},
	} {
		x := &engine.Request{Body: test.body, Deadline: deadline}
		settings := &engine.Streams{HeaderDeadlineOnly: test.headDeadlineOnly, Pace: pace}
		gotPace, gotDue := ResponseLimits(x, settings)
		if gotPace != test.wantPace || !gotDue.Equal(test.wantDue) {
			t.Errorf("%s: got %+v, due %v, want %+v, due %v", test.name, gotPace, gotDue, test.wantPace, test.wantDue)
		}
	}
}
