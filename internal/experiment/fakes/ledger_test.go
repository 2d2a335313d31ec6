package fakes

import (
	"strings"
	"testing"
	"time"
)

// The ledger counts each kind of violation, and none for an empty ledger.
func TestLedgerCountsViolations(t *testing.T) {
	l := NewLedger()
	now := time.Now()
	record := func(id string, idempotency Idempotency) {
		l.RecordRequest(id, ClientRequest{Class: "c", Idempotency: idempotency, DedupWindow: time.Second})
	}
	record("safe", Idempotent)
	record("once", NonIdempotent)
	record("twice", NonIdempotent)
	record("keyed", IdempotentWithKey)
	record("outside", IdempotentWithKey)
	record("late", IdempotentWithKey)
	record("harm", NonIdempotent)
	record("open", Idempotent)
	for _, r := range []struct {
		id      string
		group   string
		after   time.Duration
		dropped bool
	}{
		{"safe", "0", 0, false},
		{"safe", "1", 0, false},
		{"once", "0", 0, false},
		{"twice", "0", 0, false},
		{"twice", "0", 0, false},
		{"keyed", "0", 0, false},
		{"keyed", "0", time.Second, true},
		{"outside", "0", 0, false},
		{"outside", "1", 0, false},
		{"late", "0", 0, false},
		{"late", "0", 1100 * time.Millisecond, false},
		{"harm", "0", 0, false},
		{"never", "0", 0, false},
	} {
		if got := l.RecordExecution(Execution{ID: r.id, Group: r.group, At: now.Add(r.after)}); got != r.dropped {
			t.Errorf("%s: got dropped %v, want %v", r.id, got, r.dropped)
		}
	}
	for _, id := range []string{"safe", "once", "twice", "keyed", "outside", "late"} {
		l.RecordOutcome(id, Served, 200, time.Millisecond)
	}
	l.RecordOutcome("harm", Rejected, 503, 0)
	l.RecordOutcome("harm", Served, 200, 0) // only the first outcome counts
	c := l.Count()
	if strings.Join(c.RanTwice, " ") != "late outside twice" || strings.Join(c.RejectedAfterExecution, " ") != "harm" || strings.Join(c.Unrequested, " ") != "never" {
		t.Errorf("got %v executed twice, %v rejected after execution, %v unrequested; want late outside twice, harm, never", c.RanTwice, c.RejectedAfterExecution, c.Unrequested)
	}
	if c.Outcomes[Open] != 1 || l.OpenRequests() != 1 || c.Outcomes[Rejected] != 1 {
		t.Errorf("got outcomes %v, %d open, want one open and one rejected", c.Outcomes, l.OpenRequests())
	}
	for _, want := range []string{"3 executed twice", "1 rejected after", "1 executed without a request", "1 unanswered"} {
		if !strings.Contains(c.Violations(), want) {
			t.Errorf("got %q, want %q in it", c.Violations(), want)
		}
	}
	empty := NewLedger().Count()
	if got := empty.Violations(); got != "" {
		t.Errorf("empty ledger: got violations %q, want none", got)
	}
}
