package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"dunemoor/internal/experiment/fakes"
)

// fault is an entry of the flag -fault: a fault of a node.
type fault struct {
	kind     string        // faultCrash, faultDrain or a key of faultModes
	node     int           // index of the node
	at       time.Duration // time since the start of the load
	duration time.Duration
}

const (
	faultCrash  = "crash"
	faultDrain  = "drain"
	faultSilent = "silent"
	// faultResponseBytes is the number of bytes of a response that a node writes before it resets or closes the
	// connection.
	faultResponseBytes = 20
)

// faultModes are the kinds of fault that change a node's mode.
var faultModes = map[string]fakes.Mode{
	"full":      fakes.Full,
	"errors":    fakes.Errors,
	"hang":      fakes.Hang,
	"reset":     fakes.ResetAt,
	"close":     fakes.CloseAt,
	faultSilent: fakes.Silent,
}

// parseFaults parses a list like "crash:0@3s+4s,hang:2@8s+2s".
func parseFaults(text string, nodes int) ([]fault, error) {
	var faults []fault
	for _, entry := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' }) {
		f, err := parseFault(entry, nodes)
		if err != nil {
			return nil, err
		}
		faults = append(faults, f)
	}
	return faults, nil
}

func parseFault(entry string, nodes int) (fault, error) {
	kind, rest, hasNode := strings.Cut(entry, ":")
	node, rest, hasTime := strings.Cut(rest, "@")
	at, duration, hasDuration := strings.Cut(rest, "+")
	if !hasNode || !hasTime || !hasDuration || !knownFault(kind) {
		return fault{}, fmt.Errorf("-fault: %q is not like \"crash:0@3s+4s\"; kinds: crash, silent, drain, full, errors, hang, reset, close", entry)
	}
	f := fault{kind: kind}
	var err error
	if f.node, err = strconv.Atoi(node); err != nil || f.node < 0 || f.node >= nodes {
		return fault{}, fmt.Errorf("-fault: %q: node %q is not from 0 to %d", entry, node, nodes-1)
	}
	if f.at, err = time.ParseDuration(at); err != nil {
		return fault{}, fmt.Errorf("-fault: %q: %w", entry, err)
	}
	if f.duration, err = time.ParseDuration(duration); err != nil {
		return fault{}, fmt.Errorf("-fault: %q: %w", entry, err)
	}
	return f, nil
}

func knownFault(kind string) bool {
	_, isMode := faultModes[kind]
	return isMode || kind == faultCrash || kind == faultDrain
}

// inject begins the fault, and schedules its end.
func (f *fault) inject(fleet *fakes.Fleet, healthy fakes.Behaviour) {
	node := fleet.Nodes[f.node]
	fmt.Printf("%s: %s\n", node.Name, f.kind)
	var end func()
	switch f.kind {
	case faultCrash:
		node.Crash()
		end = func() {
			if restart(node) {
				fleet.SetState(f.node, fakes.StateReady)
			}
		}
	case faultDrain:
		fleet.SetState(f.node, fakes.StateDraining)
		end = func() { fleet.SetState(f.node, fakes.StateReady) }
	default:
		faulty := healthy
		faulty.Mode = faultModes[f.kind]
		faulty.ResponseBytes = faultResponseBytes
		node.Behave(faulty)
		end = func() { node.Behave(healthy) }
	}
	if f.kind == faultSilent {
		end = func() { // a machine that is reachable again resets the old connections
			node.Behave(healthy)
			node.Crash()
			restart(node)
		}
	}
	time.AfterFunc(f.duration, func() {
		end()
		fmt.Printf("%s: recovered\n", node.Name)
	})
}

// restart restarts a node after a crash. If that fails, it prints the error and returns false.
func restart(node *fakes.Node) bool {
	if err := node.Start(); err != nil {
		fmt.Fprintf(os.Stderr, "fakes: %s: %v\n", node.Name, err)
		return false
	}
	return true
}
