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

// Event is a line of a history: a fault that was put in, or what a gateway has logged.
type Event struct {
	At      time.Duration `json:"at"` // since the history began
	Kind    string        `json:"kind"`
	Gateway string        `json:"gateway,omitempty"`
	Other   string        `json:"other,omitempty"`
	Duty    string        `json:"duty,omitempty"`
	Token   uint64        `json:"token,omitempty"`
	Index   uint64        `json:"index,omitempty"`
	From    string        `json:"from,omitempty"`
	To      string        `json:"to,omitempty"`
	Cause   string        `json:"cause,omitempty"`
}

// Kinds of events that gateways log.
const (
	TakenUp   = "taken up"      // it knows that it owns the duty
	LaidDown  = "laid down"     // it knows that it does not any more
	Changed   = "changed hands" // as the leader saw it come into the record
	Leads     = "leads"
	Lapsed    = "lapsed"
	SetAside  = "set aside" // a disk that can't be trusted
	HasFormed = "formed"
	Fenced    = "fenced"  // an old owner's word was not taken
	Stopped   = "stopped" // at a place, as it was told to
)

// History is what happened, in the order in which it was seen here.
type History struct {
	began time.Time

	mu     sync.Mutex
	events []Event
	file   *os.File
	out    *bufio.Writer
}

// NewHistory begins one that is written to a file, as JSON lines.
func NewHistory(path string) (*History, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &History{began: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

func (h *History) add(e Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e.At = time.Since(h.began)
	h.events = append(h.events, e)
	if b, err := json.Marshal(e); err == nil {
		h.out.Write(append(b, '\n'))
	}
}

// Now is the time of the history.
func (h *History) Now() time.Duration { return time.Since(h.began) }

func (h *History) fault(kind string, who ...string) {
	e := Event{Kind: kind}
	if len(who) > 0 {
		e.Gateway = who[0]
	}
	if len(who) > 1 {
		e.Other = who[1]
	}
	h.add(e)
}

// Close writes the file to its end.
func (h *History) Close() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return errors.Join(h.out.Flush(), h.file.Close())
}

// Events is all so far.
func (h *History) Events() []Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.events)
}

// Read reads the file of a history.
func Read(path string) ([]Event, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var list []Event
	in := bufio.NewScanner(f)
	for in.Scan() {
		var e Event
		if err := json.Unmarshal(in.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, len(list)+1, err)
		}
		list = append(list, e)
	}
	return list, in.Err()
}

// field reads a key of a log line, as slog's text has it.
var field = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S*)`)

var kinds = map[string]string{
	"lease acquired": TakenUp, "lease no longer held": LaidDown, "lease transferred": Changed, "became leader": Leads,
	"session expired": Lapsed, "data directory quarantined, joining as a new replica": SetAside, "fleet bootstrapped": HasFormed,
	"stale publication rejected": Fenced,
}

// heard takes a line of a gateway's log.
func (h *History) heard(gateway, line string) {
	e := Event{Gateway: gateway}
	if place, ok := strings.CutPrefix(line, "stopped at "); ok {
		e.Kind, e.Cause = Stopped, place
	}
	for _, m := range field.FindAllStringSubmatch(line, -1) {
		v := m[2]
		if u, err := strconv.Unquote(v); err == nil {
			v = u
		}
		switch m[1] {
		case "msg":
			e.Kind = kinds[v]
		case "lease":
			e.Duty = v
		case "token":
			e.Token, _ = strconv.ParseUint(v, 10, 64)
		case "index":
			e.Index, _ = strconv.ParseUint(v, 10, 64)
		case "from":
			e.From = v
		case "to":
			e.To = v
		case "cause":
			e.Cause = v
		}
	}
	if e.Kind != "" {
		h.add(e)
	}
}

// Check looks for what must never be: a token with two owners, a duty whose token falls, a fleet
// formed twice.
func Check(events []Event) (bad []string) {
	owner := map[uint64]string{}
	grants := map[uint64]Event{} // by index of the record
	formed := 0
	for _, e := range events {
		switch {
		case e.Kind == HasFormed:
			if formed++; formed > 1 {
				bad = append(bad, fmt.Sprintf("the fleet was formed again by %s at %v", e.Gateway, e.At))
			}
		case e.Kind == TakenUp, e.Kind == Changed && e.To != "":
			who := e.Duty + " " + e.Gateway
			if e.Kind == Changed {
				who = e.Duty + " " + e.To
				grants[e.Index] = e
			}
			if was, ok := owner[e.Token]; ok && was != who {
				bad = append(bad, fmt.Sprintf("token %d is of %s and of %s", e.Token, was, who))
			}
			owner[e.Token] = who
		}
	}
	var indexes []uint64
	for i := range grants {
		indexes = append(indexes, i)
	}
	slices.Sort(indexes)
	last := map[string]uint64{}
	for _, i := range indexes {
		e := grants[i]
		if e.Token <= last[e.Duty] {
			bad = append(bad, fmt.Sprintf("%s was given under token %d after %d", e.Duty, e.Token, last[e.Duty]))
		}
		last[e.Duty] = e.Token
	}
	return bad
}

// Wait waits for an event behind the n-th, and returns it with its number.
func (h *History) Wait(ctx context.Context, n int, ok func(Event) bool) (Event, int, error) {
	for {
		h.mu.Lock()
		for ; n < len(h.events); n++ {
			if e := h.events[n]; ok(e) {
				h.mu.Unlock()
				return e, n + 1, nil
			}
		}
		h.mu.Unlock()
		select {
		case <-ctx.Done():
			return Event{}, n, ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
}

// Len is how many events there are.
func (h *History) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.events)
}
