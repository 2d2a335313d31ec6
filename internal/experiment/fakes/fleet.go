package fakes

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// Fleet is some nodes and their discovery, with one ledger.
type Fleet struct {
	Ledger *Ledger
	Nodes  []*Node
	// Responders are those of its nodes that speak FastCGI; faults do not happen to them.
	Responders []*Responder
	Discovery  *Discovery

	mu       sync.Mutex
	draining map[string]bool
	gone     map[string]bool
}

// perGroup is how many nodes drop the repeats of one another.
const perGroup = 3

// StartFleet starts n nodes that behave alike, and discovery.
func StartFleet(n int, seed uint64, b Behaviour) (*Fleet, error) {
	f, err := StartService("s", n, seed, b, NewLedger())
	if err == nil {
		f.Discovery = StartDiscovery(f.Members()...)
	}
	return f, err
}

// NewFleet is one without nodes.
func NewFleet(ledger *Ledger) *Fleet {
	return &Fleet{Ledger: ledger, draining: map[string]bool{}, gone: map[string]bool{}}
}

// StartService starts n nodes that behave alike, without discovery; several services may
// share a ledger.
func StartService(name string, n int, seed uint64, b Behaviour, ledger *Ledger) (*Fleet, error) {
	f := NewFleet(ledger)
	for i := range n {
		node, err := StartNode(fmt.Sprintf("%s-%02d", name, i), fmt.Sprint(name, i/perGroup), ledger, seed+uint64(i), b)
		if err != nil {
			f.Close()
			return nil, err
		}
		f.Nodes = append(f.Nodes, node)
	}
	return f, nil
}

// Addrs is where the nodes listen.
func (f *Fleet) Addrs() (list []string) {
	for _, n := range f.Nodes {
		list = append(list, n.Addr())
	}
	return list
}

// Close ends it all.
func (f *Fleet) Close() {
	if f.Discovery != nil {
		f.Discovery.Close()
	}
	for _, n := range f.Nodes {
		n.Crash()
	}
	for _, r := range f.Responders {
		r.Crash()
	}
}

// Members is the list as discovery has it.
func (f *Fleet) Members() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Member
	for i, n := range f.Nodes {
		if f.gone[n.Name] {
			continue
		}
		state := "ready"
		if f.draining[n.Name] {
			state = "draining"
		}
		list = append(list, Member{
			ID: n.Name, Addr: n.Addr(), Zone: "hall-a", Kind: "std", Cell: i / perGroup, State: state, Weight: 1,
			StartedMS: n.startedMS(),
		})
	}
	return list
}

// startedMS is 0 for a node that has not been restarted: it counts as warm.
func (n *Node) startedMS() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.starts < 2 {
		return 0
	}
	return n.started.UnixMilli()
}

// List says of a node that it is ready, draining or gone, and tells all watches, if there is a
// discovery.
func (f *Fleet) List(i int, state string) {
	f.mu.Lock()
	name := f.Nodes[i].Name
	f.draining[name], f.gone[name] = state == "draining", state == "gone"
	f.mu.Unlock()
	if f.Discovery != nil {
		f.Discovery.Set(f.Members()...)
	}
}

// DefaultClasses are those of the example: a lookup, a booking and a report.
func DefaultClasses() []Class {
	return []Class{
		{Name: "lookup", Idempotency: Idempotent, Share: 5, Timeout: 4 * time.Second},
		{Name: "book", Idempotency: NonIdempotent, Share: 3, Timeout: 2 * time.Second, Body: "one booking"},
		{Name: "report", Idempotency: IdempotentWithKey, Share: 2, Timeout: 4 * time.Second, Window: 2500 * time.Millisecond, Body: "one report"},
	}
}

// Config is a gateway's configuration, as JSON, for this fleet and these classes.
func (f *Fleet) Config(name, listen string, classes []Class) []byte {
	type object map[string]any
	list := []object{}
	for _, c := range classes {
		effect := [...]string{"idempotent", "deduplicated", "at_most_once"}[c.Idempotency]
		list = append(list, object{
			"name": c.Name, "effect": effect, "group": "cell", "promise": c.Timeout.Microseconds() / 2,
			"hard_limit": c.Timeout.Microseconds(), "importance": 1 + int(c.Idempotency), "window": c.Window.Microseconds(),
		})
	}
	text, err := json.MarshalIndent(object{
		"name": name, "listen": listen, "discovery": f.Discovery.Addr(), "seed": "5eed",
		"limits": object{"cores": 1, "memory_mb": 64, "sockets": 1024},
		"known":  MemberList{Version: 1, Full: true, Servers: f.Members()},
		"settings": object{
			"balancers": 1, "step": 1000, "classes": list, "azs": []string{"hall-a"}, "kinds": []string{"std"},
			"caps":        object{"cancel": true, "max_attempts": 4, "retry_after": true, "max_retry_after": 2_000_000},
			"obligations": object{"cold_from": 0.4, "warm_after": 3_000_000, "overload_factor": 2.5, "fall": 1_500_000},
		},
	}, "", "  ")
	if err != nil {
		panic(err) // these values always can be written
	}
	return text
}
