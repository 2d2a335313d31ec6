// Package fleet contains what a gateway does as a member of its fleet: it shares the endpoint lists and health
// checks of its pools, applies operators' overrides, removes unused members and leases from the state, and
// provides the operators' calls and metrics. The coordination state and its replication are in
// internal/cluster.
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

// Fleet is a gateway's membership in its fleet. Its methods may be called concurrently.
type Fleet struct {
	cluster       *cluster.Cluster
	endpointLists map[string]*endpointList // by pool
	healthChecks  []*healthCheck
	pools         atomic.Pointer[func(name string) (Pool, bool)] // nil until the gateway serves
	ctx           context.Context
	cancel        context.CancelFunc

	overridesMu sync.Mutex                            // held while a set of overrides is applied
	drain       func(hostsByPool map[string][]string) // nil until the gateway serves; guarded by overridesMu
}

// leaveTimeout is how long a shutdown waits for the gateway to leave the fleet. Otherwise the gateway's
// session expires.
const leaveTimeout = time.Second

// Join opens a gateway's membership in the fleet of its configuration, and registers the leases of its pools.
// It starts nothing; Start does.
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
	if len(a.Fleet.Relays) == 0 || a.Fleet.IsRelay(a.Name) { // a gateway with a relay has no list of the other members
		c.Register(housekeepingLease, f.collectGarbage, nil)
	}
	for _, p := range a.Pools {
		if p.HealthCheckPath != "" {
			h := newHealthCheck(f, p.Name, p.HealthCheckPath)
			f.healthChecks = append(f.healthChecks, h)
			c.Register(h.leaseName, h.runAsHolder, h)
		}
		if p.Discovery != "" {
			l := newEndpointList(f.ctx, c, p.Name, p.Discovery)
			f.endpointLists[p.Name] = l
			c.Register(l.leaseName, l.runAsHolder, l)
		}
	}
	return f, nil
}

// clusterConfig returns the configuration of the cluster from that of a gateway.
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

// SetPools must be called once the gateway serves. pools returns a pool of the gateway by name; drain drains
// hosts according to operators' overrides.
func (f *Fleet) SetPools(pools func(name string) (Pool, bool), drain func(hostsByPool map[string][]string)) {
	f.pools.Store(&pools)
	f.overridesMu.Lock()
	f.drain = drain
	f.overridesMu.Unlock()
	f.applyOverrides() // overrides that arrived before this call
	for _, h := range f.healthChecks {
		go h.reportEjected(f.ctx)
	}
}

// pool returns a pool of the gateway. It returns false if the pool does not exist, or the gateway does not
// serve yet.
func (f *Fleet) pool(name string) (Pool, bool) {
	if pools := f.pools.Load(); pools != nil {
		return (*pools)(name)
	}
	return nil, false
}

// Source returns the source of a pool's endpoint list. A pool that was added after the start, or whose address
// has changed since, watches discovery directly.
func (f *Fleet) Source(pool, addr string) gateway.Source {
	if l := f.endpointLists[pool]; l != nil && l.addr == addr {
		return l
	}
	return discovery.NewWatcher(addr, false, 0)
}

// Leave leaves the fleet gracefully. Requests may still be in flight: the endpoint lists come from discovery itself from
// then on.
func (f *Fleet) Leave() {
	for _, l := range f.endpointLists {
		l.leave()
	}
	f.cancel()
	f.cluster.Leave(leaveTimeout)
}
