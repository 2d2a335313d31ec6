// Package fakes has scripted stand-ins for what a gateway talks to: nodes, discovery and
// clients, on loopback sockets. They keep a ledger, so that 'ran twice' and 'never answered'
// are counted facts. They know nothing of the gateway's code but the form of FastCGI's records.
package fakes

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Idempotency says what a repeat of a request may do, as the clients mean it.
type Idempotency uint8

// Effects.
const (
	Idempotent        Idempotency = iota
	IdempotentWithKey             // nodes of one group drop repeats of a key for a window
	NonIdempotent                 // must never run twice
)

// Execution is one request that a node began to work on.
type Execution struct {
	ID, Key string
	Node    string
	Group   string
	At      time.Time
}

// Outcome is how a request ended for its client.
type Outcome uint8

// Outcomes.
const (
	Open           Outcome = iota // asked, and nothing has come yet
	Served                        // 200 with the answer that a node made for it
	Rejected                      // 429 or 503
	Failed                        // any other answer
	ConnectionLost                // the connection ended without one, or what came was no answer to it
	Unanswered                    // the time was up and nothing had come
	outcomes
)

var outcomeNames = [...]string{"open", "served", "refused", "failed", "lost", "unanswered"}

func (o Outcome) String() string { return outcomeNames[o] }

// ClientRequest is a request of a client.
type ClientRequest struct {
	Class   string
	Effect  Idempotency
	Key     string
	Window  time.Duration // of Keyed
	Outcome Outcome
	Took    time.Duration
	Status  int
}

// Ledger holds what was asked and what ran. Its size is that of the test: it forgets nothing.
type Ledger struct {
	mu   sync.Mutex
	asks map[string]*ClientRequest
	runs map[string][]Execution // by id
	made map[string]string
	ends int
	// Stray are ids that ran and were never asked for.
	stray []string
	acts  map[string]*acts // by node and duty
}

// acts are what came to a node on behalf of a duty of a fleet of gateways.
type acts struct{ highest, tried, taken uint64 }

// Acted enters that a node is asked for something on behalf of a duty, under a token, and says
// whether it is the word of an owner of before, which a node that heeds tokens does not take.
func (l *Ledger) Acted(node, duty string, token uint64, heeds bool) (old bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.acts[node+" "+duty]
	if a == nil {
		a = &acts{}
		l.acts[node+" "+duty] = a
	}
	if old = token < a.highest; old {
		a.tried++
		if !heeds {
			a.taken++
		}
	}
	a.highest = max(a.highest, token)
	return old
}

// Acts is how often nodes were asked by owners of before, how often that was taken, and the
// highest token that they were shown of a duty.
func (l *Ledger) Acts(duty string) (tried, taken, highest uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, a := range l.acts {
		if strings.HasSuffix(key, " "+duty) {
			tried, taken, highest = tried+a.tried, taken+a.taken, max(highest, a.highest)
		}
	}
	return tried, taken, highest
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{asks: map[string]*ClientRequest{}, runs: map[string][]Execution{}, made: map[string]string{}, acts: map[string]*acts{}}
}

// Asked enters a request before it is sent.
func (l *Ledger) Asked(id string, a ClientRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asks[id] = &a
}

// Ended enters how a request ended for its client.
func (l *Ledger) Ended(id string, o Outcome, status int, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.asks[id]; a != nil && a.Outcome == Open {
		a.Outcome, a.Status, a.Took = o, status, took
		l.ends++
	}
}

// Ran enters that a node begins a request, and says whether it drops it as the repeat of a
// key that its group has seen within the window.
func (l *Ledger) Ran(r Execution) (dropped bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.asks[r.ID]
	if a == nil {
		l.stray = append(l.stray, r.ID)
		return false
	}
	if a.Effect == IdempotentWithKey {
		for _, other := range l.runs[r.ID] {
			if other.Group == r.Group && r.At.Sub(other.At) <= a.Window {
				return true
			}
		}
	}
	l.runs[r.ID] = append(l.runs[r.ID], r)
	return false
}

// Count sums up a ledger.
type Count struct {
	Requests               int
	Outcomes               [outcomes]int
	ByClass                map[string][outcomes]int
	Executions             int
	RanTwice               []string // what must not run twice and did
	RejectedAfterExecution []string // refused, which says that trying again is harmless, yet it may have run
	Unrequested            []string
}

// Count counts, as of now.
func (l *Ledger) Count() Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := Count{ByClass: map[string][outcomes]int{}, Unrequested: slices.Clone(l.stray)}
	for id, a := range l.asks {
		c.Requests++
		c.Outcomes[a.Outcome]++
		by := c.ByClass[a.Class]
		by[a.Outcome]++
		c.ByClass[a.Class] = by
		n := len(l.runs[id])
		c.Executions += n
		if a.Effect != Idempotent && n > 1 {
			c.RanTwice = append(c.RanTwice, id)
		}
		if a.Effect == NonIdempotent && a.Outcome == Rejected && n > 0 {
			c.RejectedAfterExecution = append(c.RejectedAfterExecution, id)
		}
	}
	slices.Sort(c.RanTwice)
	slices.Sort(c.RejectedAfterExecution)
	return c
}

// Violations names the rules that are broken; none is "".
func (c *Count) Violations() string {
	var s []string
	for _, x := range []struct {
		what string
		n    int
	}{
		{"ran twice", len(c.RanTwice)}, {"refused though they ran", len(c.RejectedAfterExecution)}, {"ran and were never asked for", len(c.Unrequested)},
		{"lost", c.Outcomes[ConnectionLost]}, {"never answered", c.Outcomes[Unanswered] + c.Outcomes[Open]},
	} {
		if x.n > 0 {
			s = append(s, fmt.Sprintf("%d %s", x.n, x.what))
		}
	}
	return strings.Join(s, ", ")
}

// RanAt is how many requests a node has begun.
func (l *Ledger) RanAt(node string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, runs := range l.runs {
		for _, r := range runs {
			if r.Node == node {
				n++
			}
		}
	}
	return n
}

// Open is the number of requests that have not ended.
func (l *Ledger) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.asks) - l.ends
}
