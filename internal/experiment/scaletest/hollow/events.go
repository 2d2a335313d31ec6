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

// Event is something that a member of the fleet has logged, or an OverrideEvent.
type Event struct {
	Message string // the log message, or OverrideEvent
	Member  string // name of the member; "" where its process has several and the event is not an OverrideEvent
	Time    time.Time
}

// eventLog holds the events of a fleet in the order of their arrival.
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

// since returns the events with a message from a time on, and a channel that is closed when the next event of
// any message is added.
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

// Events returns the events with a message from a time on, in the order of their arrival.
func (f *Fleet) Events(message string, from time.Time) []Event {
	list, _ := f.events.since(message, from)
	return list
}

// WaitEvents waits until there are count events with a message from a time on, and returns the time of the count-th
// of them. It returns an error when that takes longer than the timeout, or ctx's when ctx ends.
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
// log/slog. It reports false for a line without them.
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
