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

// adminTimeout bounds a call to the admin address of a process of the program.
const adminTimeout = 5 * time.Second

// Options describe a fleet. Its members are its relays, where it has some, and then its gateways; counts of the
// first members are counted in this order.
type Options struct {
	Dir               string   // for configuration files, data directories and the log
	HostCommand       []string // command of a process of hollow gateways, which calls Serve
	Program           string   // path of the program
	RealMembers       int      // first members that are processes of the program
	Gateways          int
	Relays            int // 0: the gateways are connected with each other
	BootstrapReplicas int // first members that are the bootstrap replicas of the coordination state
	// SingleMembers are the first members that have a process each, so that what one uses can be measured. New
	// raises it to cover BootstrapReplicas, Relays and RealMembers.
	SingleMembers      int
	GatewaysPerProcess int    // gateways in each other process; 1 at least
	Pools              int    // of each gateway; each pool's endpoint list has a lease
	DiscoveryAddress   string // address of the service that has the pools' endpoint lists
}

// Fleet is a fleet of gateways on the loopback.
type Fleet struct {
	Options
	Processes []*Process // in the order of their members

	layout *layout
	log    *os.File // what the processes log
	client http.Client
	events *eventLog
}

// New reserves the addresses of a fleet and writes its files. It starts no process.
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

// Start starts all processes at once and returns the errors of all of them. They end with ctx.
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
