package frontend

import (
	"log/slog"
	"sync"
	"time"
)

// maxEventsPerSecond is how many events of a kind are logged in a second.
const maxEventsPerSecond = 5

// eventLog logs events of single requests. What is beyond maxEventsPerSecond is counted, and the count is logged with the next
// event of the kind. The zero value is ready for use.
type eventLog struct {
	mu    sync.Mutex
	kinds map[string]*eventWindow // by message; guarded by mu
}

// eventWindow is the current second of a kind of events.
type eventWindow struct {
	start      time.Time
	logged     int
	suppressed int // events since the last one that was logged
}

// admit reports whether an event is logged, and how many of its kind were not since the last.
func (l *eventLog) admit(message string, now time.Time) (isLogged bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	window := l.kinds[message]
	if window == nil {
		window = &eventWindow{start: now}
		if l.kinds == nil {
			l.kinds = map[string]*eventWindow{}
		}
		l.kinds[message] = window
	}
	if now.Sub(window.start) >= time.Second {
		window.start = now
		window.logged = 0
	}
	if window.logged >= maxEventsPerSecond {
		window.suppressed++
		return false, 0
	}
	window.logged++
	suppressed = window.suppressed
	window.suppressed = 0
	return true, suppressed
}

// Messages of events. Each is a constant, so that the number of kinds is bounded.
const (
	// EventUploadOverdue is a request that was rejected because its host takes the body too slowly.
	EventUploadOverdue = "request rejected, its host reads the body too slowly"
	// EventResponseCutOff is a response that its client has not received to its end.
	EventResponseCutOff = "response cut off"
	// EventTooMuchPipelined is a request that was rejected because the close of its connection may be hidden behind others.
	EventTooMuchPipelined = "pipelined request rejected, its client may have left"
)

// LogEvent logs an event of the request, with its id and class, unless there are too many of the kind.
func (t *Ticket) LogEvent(message string, args ...any) {
	isLogged, suppressed := t.admission.events.admit(message, time.Now())
	if !isLogged {
		return
	}
	args = append([]any{"id", t.id, "class", t.Class}, args...)
	if suppressed > 0 {
		args = append(args, "suppressed", suppressed)
	}
	slog.Info(message, args...)
}
