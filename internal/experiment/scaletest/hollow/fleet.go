package hollow

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// adminTimeout is the timeout of a call to the admin address of a process of the program.
const adminTimeout = 5 * time.Second

// Options describe a fleet. Its members are its relays, if it has any, followed by its gateways. Options that apply
// to the first members refer to this order.
type Options struct {
	Dir               string   // directory of configuration files, data directories and the log
	HostCommand       []string // command that runs a process of hollow gateways by calling Serve
	Program           string   // path of the program's binary
	RealMembers       int      // number of first members that are processes of the program
	Gateways          int
	Relays            int // 0: the gateways are connected with each other
	BootstrapReplicas int // number of first members that are bootstrap replicas of the coordination state
	// SingleMembers is the number of first members that have a process of their own, so that their usage can be
	// measured individually. New raises it to cover BootstrapReplicas, Relays and RealMembers.
	SingleMembers      int
	GatewaysPerProcess int    // number of gateways in each other process; at least 1
	Pools              int    // number of pools of each gateway; the endpoint list of each pool has a lease
	DiscoveryAddress   string // address of the discovery service that serves the pools' endpoint lists
}

// Fleet is a fleet of gateways on the loopback interface.
type Fleet struct {
	Options
	Processes []*Process // processes in the order of their members

	layout *layout
	log    *os.File // log of all processes
	client http.Client
	events *eventLog
}

// New reserves the addresses of a fleet and writes its files, without starting processes.
func New(o Options) (*Fleet, error) {
	members := o.Relays + o.Gateways
	o.SingleMembers = min(max(o.SingleMembers, o.BootstrapReplicas, o.Relays, o.RealMembers), members)
	l, err := newLayout(o)
	if err != nil {
		return nil, fmt.Errorf("lay out fleet: %w", err)
	}
	f := &Fleet{Options: o, layout: l, events: newEventLog()}
	f.client.Timeout = adminTimeout
	f.client.Transport = &http.Transport{DisableKeepAlives: true}
	if f.log, err = os.Create(filepath.Join(o.Dir, "log")); err != nil {
		return nil, err
	}
	for first := 0; first < members; {
		count := 1
		if first >= o.SingleMembers {
			count = min(max(1, o.GatewaysPerProcess), members-first)
		}
		p := &Process{Names: l.names[first : first+count], fleet: f, first: first}
		f.Processes = append(f.Processes, p)
		first += count
	}
	return f, nil
}

// Start starts all processes concurrently and returns their errors joined. The processes are killed when ctx ends.
func (f *Fleet) Start(ctx context.Context) error {
	var starting sync.WaitGroup
	errs := make([]error, len(f.Processes))
	for i, p := range f.Processes {
		starting.Go(func() { errs[i] = p.Start(ctx) })
	}
	starting.Wait()
	return errors.Join(errs...)
}

// Close kills all processes.
func (f *Fleet) Close() {
	var ending sync.WaitGroup
	for _, p := range f.Processes {
		ending.Go(p.Kill)
	}
	ending.Wait()
	f.log.Close()
}

// Names returns the names of all members.
func (f *Fleet) Names() []string { return f.layout.names }
