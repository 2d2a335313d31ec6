package fakes

import (
	"fmt"
	"sync"
)

// Fleet is a set of nodes and responders that share a ledger, and their discovery.
type Fleet struct {
	Ledger     *Ledger
	Nodes      []*Node
	Responders []*Responder // responders, which have no fault modes
	Discovery  *Discovery   // nil: none

	mu     sync.Mutex
	states map[string]string // states of nodes that are not ready, by name; guarded by mu
}

// States of a node in endpoint lists.
const (
	StateReady    = "ready"
	StateDraining = "draining"
	StateGone     = "gone" // the node is not in the list
)

// nodesPerGroup is the number of nodes of a group, which share idempotency keys.
const nodesPerGroup = 3

// StartFleet starts n nodes with the same behaviour, and a discovery that lists them.
func StartFleet(n int, seed uint64, b Behaviour) (*Fleet, error) {
	f, err := StartService("s", n, seed, b, NewLedger())
	if err != nil {
		return nil, err
	}
	f.Discovery = StartDiscovery(f.Members()...)
	return f, nil
}

// NewFleet returns a fleet without nodes.
func NewFleet(ledger *Ledger) *Fleet {
	return &Fleet{Ledger: ledger, states: map[string]string{}}
}

// StartService starts n nodes with the same behaviour, without discovery. Several services may share a ledger.
func StartService(name string, n int, seed uint64, b Behaviour, ledger *Ledger) (*Fleet, error) {
	f := NewFleet(ledger)
	for i := range n {
		nodeName := fmt.Sprintf("%s-%02d", name, i)
		group := fmt.Sprint(name, i/nodesPerGroup)
		node, err := StartNode(nodeName, group, ledger, seed+uint64(i), b)
		if err != nil {
			f.Close()
			return nil, err
		}
		f.Nodes = append(f.Nodes, node)
	}
	return f, nil
}

// Addrs returns the addresses of all nodes.
func (f *Fleet) Addrs() []string {
	var addresses []string
	for _, n := range f.Nodes {
		addresses = append(addresses, n.Addr())
	}
	return addresses
}

// Close stops discovery and all nodes and responders.
func (f *Fleet) Close() {
	if f.Discovery != nil {
		f.Discovery.Close()
	}
	for _, n := range f.Nodes {
		n.Close()
	}
	for _, r := range f.Responders {
		r.Close()
	}
}

// Members returns the endpoint list: all nodes except those in StateGone.
func (f *Fleet) Members() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var members []Member
	for i, n := range f.Nodes {
		state, notReady := f.states[n.Name]
		if !notReady {
			state = StateReady
		}
		if state == StateGone {
			continue
		}
		members = append(members, Member{
			ID:        n.Name,
			Addr:      n.Addr(),
			Zone:      "hall-a",
			Kind:      "std",
			Cell:      i / nodesPerGroup,
			State:     state,
			Weight:    1,
			StartedMS: n.startedMS(),
		})
	}
	return members
}

// SetState sets the state of a node in the endpoint list, and publishes the list if there is a discovery.
func (f *Fleet) SetState(i int, state string) {
	f.mu.Lock()
	name := f.Nodes[i].Name
	if state == StateReady {
		delete(f.states, name)
	} else {
		f.states[name] = state
	}
	f.mu.Unlock()
	if f.Discovery != nil {
		f.Discovery.Publish(f.Members()...)
	}
}
