package faulttest

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Event is a line of a history: a fault, or an event that a gateway logged.
type Event struct {
	At      time.Duration `json:"at"` // time since the start of the history
	Kind    string        `json:"kind"`
	Gateway string        `json:"gateway,omitempty"`
	Other   string        `json:"other,omitempty"` // second gateway of a fault of a link
	Lease   string        `json:"duty,omitempty"`
	Token   uint64        `json:"token,omitempty"`
	Index   uint64        `json:"index,omitempty"` // index of the entry in the replicated log
	From    string        `json:"from,omitempty"`
	To      string        `json:"to,omitempty"`
	Cause   string        `json:"cause,omitempty"`
}

// Kinds of events that gateways log. The values are those in history files.
const (
	LeaseAcquired            = "taken up"      // the gateway has learned that it holds the lease
	LeaseNoLongerHeld        = "laid down"     // the gateway no longer considers itself the holder
	LeaseTransferred         = "changed hands" // the transfer is committed; logged by the leader
	BecameLeader             = "leads"
	SessionExpired           = "lapsed"
	DiskQuarantined          = "set aside" // the gateway has replaced its disk by an empty one
	Bootstrapped             = "formed"
	StalePublicationRejected = "fenced"  // a publication of an earlier lease holder was rejected
	PausedAtPoint            = "stopped" // the process has paused at the point of PauseAt
)

// logMessages maps log messages to kinds of events.
var logMessages = map[string]string{
	"lease acquired":       LeaseAcquired,
	"lease no longer held": LeaseNoLongerHeld,
	"lease transferred":    LeaseTransferred,
	"became leader":        BecameLeader,
	"session expired":      SessionExpired,
	"data directory quarantined, joining as a new replica": DiskQuarantined,
	"fleet bootstrapped":         Bootstrapped,
	"stale publication rejected": StalePublicationRejected,
}

// pausedPrefix is the prefix of the line that a process prints when it pauses at a point; the point's name follows.
const pausedPrefix = "stopped at "

// History records events in the order in which this process receives them.
type History struct {
	start time.Time

	mu     sync.Mutex // guards the fields below
	events []Event
	file   *os.File
	out    *bufio.Writer
}

// NewHistory returns an empty history that is also written to a file, one JSON object per line.
func NewHistory(path string) (*History, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &History{start: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// ReadHistory reads the file of a history.
func ReadHistory(path string) ([]Event, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var events []Event
	in := bufio.NewScanner(f)
	for in.Scan() {
		var e Event
		if err := json.Unmarshal(in.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, len(events)+1, err)
		}
		events = append(events, e)
	}
	return events, in.Err()
}

// Close flushes and closes the file.
func (h *History) Close() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return errors.Join(h.out.Flush(), h.file.Close())
}

// Now returns the time since the start of the history.
func (h *History) Now() time.Duration { return time.Since(h.start) }

// Len returns the number of events.
func (h *History) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.events)
}

// Events returns all events so far.
func (h *History) Events() []Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.events)
}

// Wait waits for the first matching event with an index of at least n. It returns the event and the index after it.
func (h *History) Wait(ctx context.Context, n int, match func(Event) bool) (Event, int, error) {
	for {
		events := h.Events()
		for ; n < len(events); n++ {
			if match(events[n]) {
				return events[n], n + 1, nil
			}
		}
		select {
		case <-ctx.Done():
			return Event{}, n, ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
}

// add adds an event at the current time.
func (h *History) add(e Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e.At = time.Since(h.start)
	h.events = append(h.events, e)
	if line, err := json.Marshal(e); err == nil {
		h.out.Write(append(line, '\n'))
	}
}

// addFault adds the event of a fault that affects up to two gateways.
func (h *History) addFault(kind string, gateways ...string) {
	e := Event{Kind: kind}
	if len(gateways) > 0 {
		e.Gateway = gateways[0]
	}
	if len(gateways) > 1 {
		e.Other = gateways[1]
	}
	h.add(e)
}

// addLogLine adds the event of a log line, if the line has one.
func (h *History) addLogLine(gateway, line string) {
	if e := parseLogLine(line); e.Kind != "" {
		e.Gateway = gateway
		h.add(e)
	}
}

// logAttribute matches a key-value pair in a line of slog's text handler.
var logAttribute = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S*)`)

// parseLogLine returns the event of a log line. Its kind is "" if the line is not an event.
func parseLogLine(line string) Event {
	var e Event
	if point, ok := strings.CutPrefix(line, pausedPrefix); ok {
		e.Kind = PausedAtPoint
		e.Cause = point
	}
	for _, match := range logAttribute.FindAllStringSubmatch(line, -1) {
		value := match[2]
		if unquoted, err := strconv.Unquote(value); err == nil {
			value = unquoted
		}
		e.setAttribute(match[1], value)
	}
	return e
}

// setAttribute sets the field that corresponds to a log attribute. Malformed numbers are parsed as 0.
func (e *Event) setAttribute(key, value string) {
	switch key {
	case "msg":
		e.Kind = logMessages[value]
	case "lease":
		e.Lease = value
	case "token":
		e.Token, _ = strconv.ParseUint(value, 10, 64)
	case "index":
		e.Index, _ = strconv.ParseUint(value, 10, 64)
	case "from":
		e.From = value
	case "to":
		e.To = value
	case "cause":
		e.Cause = value
	}
}
