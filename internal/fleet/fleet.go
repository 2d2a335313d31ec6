// Package fleet is what a gateway uses its cluster for: the endpoint lists and health checks of its pools,
// operators' overrides, housekeeping, and the operators' calls and metrics. The coordination state and its
// replication are in internal/cluster.
package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"dunemoor/internal/cluster"
	"dunemoor/internal/config"
	"dunemoor/internal/discovery"
	"dunemoor/internal/gateway"
)

// Fleet is a gateway's part in its fleet. Its methods may be called by several goroutines.
type Fleet struct {
	cluster       *cluster.Cluster
	endpointLists map[string]*endpointList // by pool
	healthChecks  []*healthCheck
	pools         atomic.Pointer[func(name string) (Pool, bool)] // nil: the gateway does not serve yet
	ctx           context.Context
	cancel        context.CancelFunc

	overridesMu sync.Mutex                            // held while overrides are applied, one set after the other
	drain       func(hostsByPool map[string][]string) // nil: the gateway does not serve yet; guarded by overridesMu
}

// leaveTimeout is how long a shutdown waits for the fleet to know of it; without, the session expires.
const leaveTimeout = time.Second

// Join opens a gateway's part from its configuration, with the leases of its pools. It runs from Start on.
func Join(a *config.Appliance) (*Fleet, error) {
	cfg, err := clusterConfig(a)
	if err != nil {
		return nil, err
	}
	c, err := cluster.New(cfg)
	if err != nil {
		return nil, err
	}
	f := &Fleet{cluster: c, endpointLists: map[string]*endpointList{}}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	c.OnOverrides = f.overridesChanged
	if len(a.Fleet.Relays) == 0 || a.Fleet.IsRelay(a.Name) { // a gateway with a relay knows no other members
		c.Register(housekeepingLease, f.collectGarbage, nil)
	}
	for _, p := range a.Pools {
		if p.HealthCheckPath != "" {
			h := newHealthCheck(f, p.Name, p.HealthCheckPath)
			f.healthChecks = append(f.healthChecks, h)
			c.Register(h.leaseName, h.runAsHolder, h)
		}
		if p.Discovery != "" {
			l := newEndpointList(f, p.Name, p.Discovery)
			f.endpointLists[p.Name] = l
			c.Register(l.leaseName, l.runAsHolder, l)
		}
	}
	return f, nil
}

// clusterConfig returns the cluster's part of a gateway's configuration.
func clusterConfig(a *config.Appliance) (cluster.Config, error) {
	key, err := config.ReadKey(a.Fleet.KeyFile)
	if err != nil {
		return cluster.Config{}, err
	}
	cfg := cluster.Config{
		FleetID: a.Fleet.ID, Name: a.Name, Zone: a.Fleet.Zone, Region: a.Fleet.Region, Machine: a.Fleet.Machine,
		Listen: a.Fleet.Listen, DataDir: a.Fleet.DataDir, Key: key, BootstrapReplicas: a.Fleet.BootstrapReplicas,
	}
	for _, p := range a.Fleet.Peers {
		cfg.Peers = append(cfg.Peers, cluster.Peer(p))
	}
	for _, r := range a.Fleet.Relays {
		cfg.Relays = append(cfg.Relays, cluster.Relay(r))
	}
	return cfg, nil
}

// Status returns this gateway's status in the fleet.
func (f *Fleet) Status() *cluster.Status { return f.cluster.Status() }

// Start joins the fleet.
func (f *Fleet) Start() error { return f.cluster.Start() }

// SetPools is called once the gateway serves, with its pools, and with a function that drains hosts in
// accordance with operators' overrides.
func (f *Fleet) SetPools(pools func(name string) (Pool, bool), drain func(hostsByPool map[string][]string)) {
	f.pools.Store(&pools)
	f.overridesMu.Lock()
	f.drain = drain
	f.overridesMu.Unlock()
	f.applyOverrides() // those that have arrived meanwhile
	for _, h := range f.healthChecks {
		go h.reportEjected(f.ctx)
	}
}

// pool returns a pool of the gateway. It reports false for one that does not exist, or not yet.
func (f *Fleet) pool(name string) (Pool, bool) {
	if pools := f.pools.Load(); pools != nil {
		return (*pools)(name)
	}
	return nil, false
}

// Source returns the source of a pool's endpoint list. Discovery is watched directly for a pool that was
// added since the start, or whose address has changed.
func (f *Fleet) Source(pool, addr string) gateway.Source {
	if l := f.endpointLists[pool]; l != nil && l.addr == addr {
		return l
	}
	return discovery.NewWatcher(addr, false, 0)
}

// Leave ends the gateway's part in order.
func (f *Fleet) Leave() {
	f.cancel()
	f.cluster.Leave(leaveTimeout)
}
