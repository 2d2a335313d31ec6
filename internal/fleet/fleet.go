// Package fleet is a gateway's part in a fleet as the program uses it: the duties that are of use
// to a gateway, the operators' calls and what is counted. The record and its keeping are of
// internal/cluster.
package fleet

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"dunemoor/internal/cluster"
	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/cluster/leaseholder"
	"dunemoor/internal/config"
	"dunemoor/internal/discovery"
	"dunemoor/internal/gateway"
)

// Fleet is a gateway's part.
type Fleet struct {
	c      *cluster.Cluster
	lists  map[string]*list // by pool
	checks []*check
	pools  atomic.Pointer[func(name string) (Pool, bool)]
	saying sync.Mutex
	drain  func(hosts map[string][]string) // nil: the gateway does not serve yet
	ctx    context.Context
	cancel context.CancelFunc
}

// Join opens a gateway's part by its file, with the duties of its pools. It runs from Start on.
func Join(a *config.Appliance) (*Fleet, error) {
	key, err := config.ReadKey(a.Fleet.KeyFile)
	if err != nil {
		return nil, err
	}
	cfg := cluster.Config{
		FleetID: a.Fleet.ID, Name: a.Name, Zone: a.Fleet.Zone, Machine: a.Fleet.Machine, Listen: a.Fleet.Listen,
		DataDir: a.Fleet.DataDir, Key: key, BootstrapReplicas: a.Fleet.First,
	}
	for _, p := range a.Fleet.Peers {
		cfg.Peers = append(cfg.Peers, cluster.Peer(p))
	}
	for _, r := range a.Fleet.Relays {
		cfg.Relays = append(cfg.Relays, cluster.Relay(r))
	}
	cfg.Region = a.Fleet.Region
	c, err := cluster.New(cfg)
	if err != nil {
		return nil, err
	}
	f := &Fleet{c: c, lists: map[string]*list{}}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	c.OnOverrides = f.hearWords
	if len(a.Fleet.Relays) == 0 || a.Fleet.IsRelay(a.Name) { // a gateway with a relay knows no other
		c.Register(housekeeping, f.keepHouse, nil)
	}
	for _, p := range a.Pools {
		if p.Check != "" {
			k := newCheck(f, p.Name, p.Check)
			f.checks = append(f.checks, k)
			c.Register(k.name, k.work, k)
		}
		if p.Discovery == "" {
			continue
		}
		l := &list{f: f, pool: p.Name, addr: p.Discovery, name: listPrefix + p.Name, inbox: make(chan func(*listening), inboxMost)}
		f.lists[p.Name] = l
		c.Register(l.name, l.work, l)
	}
	return f, nil
}

// Status is how this gateway stands in the fleet.
func (f *Fleet) Status() *cluster.Status { return f.c.Status() }

// Start joins the fleet.
func (f *Fleet) Start() error { return f.c.Start() }

// Use has the gateway's pools known, once it serves, and who is to be told which of their hosts
// operators want drained.
func (f *Fleet) Use(pools func(name string) (Pool, bool), drain func(hosts map[string][]string)) {
	f.pools.Store(&pools)
	f.saying.Lock()
	f.drain = drain
	f.saying.Unlock()
	f.say() // what has come meanwhile
	for _, k := range f.checks {
		go k.report(f.ctx)
	}
}

func (f *Fleet) poolNamed(name string) (Pool, bool) {
	if named := f.pools.Load(); named != nil {
		return (*named)(name)
	}
	return nil, false
}

// Source is the source of a pool's members. One that has come since the start, or whose address
// has changed, is watched from here.
func (f *Fleet) Source(pool, addr string) gateway.Source {
	if l := f.lists[pool]; l != nil && l.addr == addr {
		return l
	}
	return discovery.NewWatcher(addr, false, 0)
}

// leaveMost is how long the end waits for the fleet to hear of it; without, the session lapses.
const leaveMost = time.Second

// Leave ends the gateway's part in order.
func (f *Fleet) Leave() {
	f.cancel()
	f.c.Leave(leaveMost)
}

// housekeeping is the duty to forget what has long gone.
const housekeeping = "housekeeping"

const (
	// houseEvery lies between two looks, forgetAfter is how long a gateway without a session, or
	// a duty that nobody offers, is still shown.
	houseEvery  = 10 * time.Second
	forgetAfter = 15 * time.Minute
)

// keepHouse is the work of housekeeping.
func (f *Fleet) keepHouse(ctx context.Context, h *leaseholder.Lease) {
	gone := map[string]time.Duration{}
	tick := time.NewTicker(houseEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		s, now := f.c.Status(), leaseholder.Now()
		away := map[string]bool{}
		for _, m := range s.Members {
			away[m.Name] = m.Session == 0
		}
		for _, d := range s.Leases {
			away[d.Name] = d.Holder == ""
		}
		for name, is := range away {
			if !is {
				delete(gone, name)
			} else if gone[name] == 0 {
				gone[name] = now
			}
		}
		for name, since := range gone {
			if _, known := away[name]; !known {
				delete(gone, name)
				continue
			}
			if now < since+forgetAfter || !h.Valid() {
				continue
			}
			gone[name] = now
			r, err := f.c.Propose(ctx, lease.Command{Op: lease.OpCollectGarbage, Lease: housekeeping, Token: h.Token, Name: name})
			if err == nil && r.Code == lease.OK {
				slog.Info("forgotten by the fleet", "name", name)
			}
		}
	}
}
