package frontend

import (
	"testing"
	"time"
)

// A flood of events does not flood the log, and its size is logged afterwards.
func TestEventLogIsBounded(t *testing.T) {
	var l eventLog
	now := time.Now()
	logged := 0
	for range 1000 {
		if isLogged, _ := l.admit(EventResponseCutOff, now); isLogged {
			logged++
		}
	}
	if logged != maxEventsPerSecond {
		t.Errorf("got %d events logged in a second, want %d", logged, maxEventsPerSecond)
	}
	if isLogged, suppressed := l.admit(EventUploadOverdue, now); !isLogged || suppressed != 0 {
		t.Errorf("event of another kind: got logged %t, %d suppressed, want true and 0", isLogged, suppressed)
	}
	isLogged, suppressed := l.admit(EventResponseCutOff, now.Add(time.Second))
	if !isLogged || suppressed != 1000-maxEventsPerSecond {
		t.Errorf("a second later: got logged %t, %d suppressed, want true and %d", isLogged, suppressed, 1000-maxEventsPerSecond)
	}
}
