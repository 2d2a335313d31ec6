package fakes

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Idempotency is whether a request may be executed more than once.
type Idempotency uint8

// Values of Idempotency.
const (
	Idempotent        Idempotency = iota
	IdempotentWithKey             // the nodes of a group drop a request whose key they have executed within a window
	NonIdempotent                 // must never be executed twice
)

// Execution is a request that a node has begun to execute.
type Execution struct {
	ID    string
	Key   string // idempotency key
	Node  string
	Group string // group of the node
	At    time.Time
}

// Outcome is how a request ended for its client.
type Outcome uint8

// Values of Outcome.
const (
	Open           Outcome = iota // sent, without an outcome so far
	Served                        // status 200 with the body that a node generated for this request
	Rejected                      // status 429 or 503
	Failed                        // any other status
	ConnectionLost                // the connection ended without a response, or with the response to another request
	Unanswered                    // no response within the client's timeout
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"open", "served", "refused", "failed", "lost", "unanswered"}

// String returns the name of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// ClientRequest is a request of a client, with its outcome.
type ClientRequest struct {
	Class       string
	Idempotency Idempotency
	Key         string
	DedupWindow time.Duration // window in which nodes drop duplicates of IdempotentWithKey
	Outcome     Outcome
	Latency     time.Duration
	Status      int // status of the response; 0: none
}

// Ledger records all requests and executions. It is never pruned.
type Ledger struct {
	mu            sync.Mutex                // guards all fields
	requests      map[string]*ClientRequest // by ID
	executions    map[string][]Execution    // by ID of the request
	ended         int                       // number of requests with an outcome
	unrequested   []string                  // IDs that were executed without a recorded request
	leaseRequests map[leaseAtNode]*LeaseRequests
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{
		requests:      map[string]*ClientRequest{},
		executions:    map[string][]Execution{},
		leaseRequests: map[leaseAtNode]*LeaseRequests{},
	}
}

// RecordRequest records a request before it is sent.
func (l *Ledger) RecordRequest(id string, r ClientRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id] = &r
}

// RecordOutcome records the outcome of a request. Further outcomes of the same request are ignored.
func (l *Ledger) RecordOutcome(id string, o Outcome, status int, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r == nil || r.Outcome != Open {
		return
	}
	r.Outcome = o
	r.Status = status
	r.Latency = latency
	l.ended++
}

// RecordExecution records that a node begins to execute a request. It returns true if the node must drop the request
// instead, as its group has executed the key within the window.
func (l *Ledger) RecordExecution(e Execution) (dropped bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[e.ID]
	if r == nil {
		l.unrequested = append(l.unrequested, e.ID)
		return false
	}
	if r.Idempotency == IdempotentWithKey {
		isDuplicate := func(earlier Execution) bool {
			return earlier.Group == e.Group && e.At.Sub(earlier.At) <= r.DedupWindow
		}
		if slices.ContainsFunc(l.executions[e.ID], isDuplicate) {
			return true
		}
	}
	l.executions[e.ID] = append(l.executions[e.ID], e)
	return false
}

// ExecutionsAt returns the number of requests that a node has executed.
func (l *Ledger) ExecutionsAt(node string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, executions := range l.executions {
		for _, e := range executions {
			if e.Node == node {
				count++
			}
		}
	}
	return count
}

// OpenRequests returns the number of requests without an outcome.
func (l *Ledger) OpenRequests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.requests) - l.ended
}

// Count is a summary of a Ledger.
type Count struct {
	Requests               int
	Outcomes               [outcomeCount]int
	ByClass                map[string][outcomeCount]int // numbers of outcomes, by class
	Executions             int
	RanTwice               []string // IDs of requests that were executed twice although they must not be
	RejectedAfterExecution []string // IDs of non-idempotent requests that were executed and then rejected, which invites a retry
	Unrequested            []string // IDs that were executed without a recorded request
}

// Count returns the current summary.
func (l *Ledger) Count() Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := Count{ByClass: map[string][outcomeCount]int{}, Unrequested: slices.Clone(l.unrequested)}
	for id, r := range l.requests {
		c.add(id, r, len(l.executions[id]))
	}
	slices.Sort(c.RanTwice)
	slices.Sort(c.RejectedAfterExecution)
	return c
}

// add adds a request and the number of its executions.
func (c *Count) add(id string, r *ClientRequest, executions int) {
	c.Requests++
	c.Outcomes[r.Outcome]++
	outcomes := c.ByClass[r.Class]
	outcomes[r.Outcome]++
	c.ByClass[r.Class] = outcomes
	c.Executions += executions
	if r.Idempotency != Idempotent && executions > 1 {
		c.RanTwice = append(c.RanTwice, id)
	}
	if r.Idempotency == NonIdempotent && r.Outcome == Rejected && executions > 0 {
		c.RejectedAfterExecution = append(c.RejectedAfterExecution, id)
	}
}

// Violations describes the violated rules, with the number of requests for each, or returns "" if there are none.
func (c *Count) Violations() string {
	rules := []struct {
		violation string
		count     int
	}{
		{"executed twice", len(c.RanTwice)},
		{"rejected after their execution", len(c.RejectedAfterExecution)},
		{"executed without a request", len(c.Unrequested)},
		{"lost", c.Outcomes[ConnectionLost]},
		{"unanswered", c.Outcomes[Unanswered] + c.Outcomes[Open]},
	}
	var violations []string
	for _, r := range rules {
		if r.count > 0 {
			violations = append(violations, fmt.Sprintf("%d %s", r.count, r.violation))
		}
	}
	return strings.Join(violations, ", ")
}
