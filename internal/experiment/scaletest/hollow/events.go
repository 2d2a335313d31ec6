package hollow

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Event is a log message of a member of the fleet, or an OverrideEvent.
type Event struct {
	Message string // the log message, or OverrideEvent
	Member  string // name of the member; "" for a log message of a process with several members
	Time    time.Time
}

// eventLog holds the events of a fleet in the order in which they were received.
type eventLog struct {
	mu     sync.Mutex // guards the fields below
	events []Event
	added  chan struct{} // closed, and replaced, when an event is added
}

func newEventLog() *eventLog { return &eventLog{added: make(chan struct{})} }

func (l *eventLog) add(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, e)
	close(l.added)
	l.added = make(chan struct{})
}

// since returns the events with a message at or after a time, and a channel that is closed when the next event, with
// any message, is added.
func (l *eventLog) since(message string, from time.Time) ([]Event, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Event
	for _, e := range l.events {
		if e.Message == message && !e.Time.Before(from) {
			list = append(list, e)
		}
	}
	return list, l.added
}

// Events returns the events with a message at or after a time, in the order in which they were received.
func (f *Fleet) Events(message string, from time.Time) []Event {
	list, _ := f.events.since(message, from)
	return list
}

// WaitEvents waits until there are count events with a message at or after a time, and returns the time of the
// count-th of them. It returns an error after the timeout, or the error of ctx if ctx ends.
func (f *Fleet) WaitEvents(ctx context.Context, message string, from time.Time, count int, timeout time.Duration) (time.Time, error) {
	expired := time.After(timeout)
	for {
		list, added := f.events.since(message, from)
		if len(list) >= count {
			slices.SortFunc(list, func(a, b Event) int { return a.Time.Compare(b.Time) })
			return list[count-1].Time, nil
		}
		select {
		case <-added:
		case <-ctx.Done():
			return time.Time{}, ctx.Err()
		case <-expired:
			return time.Time{}, fmt.Errorf("wait for %q: %d of %d events within %v", message, len(list), count, timeout)
		}
	}
}

// parseLogLine returns the message and the time of a line of the program's log, which is in the text format of
// log/slog. ok is false for a line without them.
func parseLogLine(line string) (message string, at time.Time, ok bool) {
	stamp, _, hasTime := strings.Cut(strings.TrimPrefix(line, "time="), " ")
	_, rest, hasMessage := strings.Cut(line, " msg=")
	if !hasTime || !hasMessage {
		return "", time.Time{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil {
		return "", time.Time{}, false
	}
	quoted, err := strconv.QuotedPrefix(rest)
	if err != nil {
		message, _, _ = strings.Cut(rest, " ")
		return message, at, true
	}
	message, _ = strconv.Unquote(quoted)
	return message, at, true
}
