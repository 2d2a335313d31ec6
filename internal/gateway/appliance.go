package gateway

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"reflect"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"dunemoor/internal/config"
	"dunemoor/internal/discovery"
	"dunemoor/internal/engine"
	"dunemoor/internal/frontend/http1"
)

// appliance is the state of a gateway that is configured by its own TOML file.
type appliance struct {
	file      *config.Appliance // the configuration in use
	recording *engine.RecordingConfig
	newSource SourceFunc
	pools     map[string]*appliancePool                 // keyed by pool name
	published atomic.Pointer[map[string]*appliancePool] // pools, for readers on other goroutines
	listeners map[string]net.Listener                   // keyed by listenerKey
	drained   atomic.Pointer[map[string][]string]       // hosts drained by operators, keyed by pool name
}

// Source delivers the endpoint list of a pool to a Sink until ctx is done.
type Source interface {
	Run(ctx context.Context, to discovery.Sink)
}

// SourceFunc returns the Source of a pool whose endpoint list is served by the discovery service at the given address.
type SourceFunc func(pool, discovery string) Source

// StartAppliance starts a gateway from its parsed configuration file. If it fails, it releases everything it has
// started. If newSource is nil, each pool watches its discovery service directly. drained has the same meaning as in
// SetDrained.
func StartAppliance(a *config.Appliance, rc *engine.RecordingConfig, newSource SourceFunc, drained map[string][]string) (*Gateway, error) {
	g := newGateway(rand.Uint64(), a.Limits.Sockets, memoryBytes(a.Limits.MemoryMB), http1.Options{
		PlainRoutes:    true,
		MaxHeaderBytes: a.Limits.HeadKB << 10,
	})
	g.admission.SetLongestDeadline(longestDeadline(a))
	g.admission.MaxHeaders = a.Limits.Headers
	if newSource == nil {
		newSource = func(_, addr string) Source { return discovery.NewWatcher(addr, false, 0) }
	}
	g.appliance = &appliance{
		recording: rc,
		newSource: newSource,
		pools:     map[string]*appliancePool{},
		listeners: map[string]net.Listener{},
	}
	g.appliance.drained.Store(&drained)
	g.setLimits(a)
	go g.engine.Run(g.ctx)
	if g.engine.Overload != nil {
		go g.sampleProcess(g.ctx)
	}
	if err := g.apply(g.ctx, a, false); err != nil {
		g.Close()
		return nil, err
	}
	return g, nil
}

// Reload switches to another configuration. If it returns an error, the previous configuration stays in use. Requests in
// flight finish with the routes and pools that they started with. Reload may wait for endpoint lists; if ctx ends meanwhile,
// its error is returned.
func (g *Gateway) Reload(ctx context.Context, a *config.Appliance) error {
	restart := g.needRestart(a)
	if err := g.apply(ctx, a, true); err != nil {
		return err
	}
	if len(restart) > 0 {
		slog.Warn("changed settings take effect at the next start", "settings", strings.Join(restart, ", "))
	}
	return nil
}

// needRestart returns the names of the settings that differ from those in use and take effect only after a restart.
func (g *Gateway) needRestart(a *config.Appliance) (names []string) {
	file := g.appliance.file
	old := file.Limits
	limits := a.Limits
	for _, setting := range []struct {
		name    string
		changed bool
	}{
		{"admin", file.Admin != a.Admin},
		{"limits.cores", old.Cores != limits.Cores},
		{"limits.memory_mb", old.MemoryMB != limits.MemoryMB},
		{"limits.sockets", old.Sockets != limits.Sockets},
		{"limits.head_kb", old.HeadKB != limits.HeadKB},
		{"limits.headers", old.Headers != limits.Headers},
		{"limits.overload", old.NoLoadShedding != limits.NoLoadShedding},
		// Client limits take effect immediately, but only if the table of clients was created at startup.
		{"limits.client", g.admission.Limits.Clients == nil && old.Clients != limits.Clients},
		{"limits.client.table_kb", old.ClientTableKB != limits.ClientTableKB},
		{"limits.tenants", old.Tenants != limits.Tenants || old.TenantHeader != limits.TenantHeader},
		{"fleet", !reflect.DeepEqual(file.Fleet, a.Fleet) || !equalChecks(file.Pools, a.Pools)},
		{"tenant", !slices.Equal(file.Tenants, a.Tenants)},
	} {
		if setting.changed {
			names = append(names, setting.name)
		}
	}
	return names
}

// equalChecks reports whether both lists configure health checks for the same pools with the same paths.
func equalChecks(a, b []config.Pool) bool {
	paths := func(pools []config.Pool) map[string]string {
		m := map[string]string{}
		for _, p := range pools {
			if p.HealthCheckPath != "" {
				m[p.Name] = p.HealthCheckPath
			}
		}
		return m
	}
	return maps.Equal(paths(a), paths(b))
}

// longestDeadline returns the longest deadline of all classes in a configuration.
func longestDeadline(a *config.Appliance) (longest time.Duration) {
	for _, c := range a.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// SetDrained replaces the set of hosts drained by operators, keyed by pool name. Drained hosts get no new requests,
// regardless of their state in the endpoint list. It may be called on an appliance only, and is safe for concurrent use.
func (g *Gateway) SetDrained(hosts map[string][]string) {
	g.appliance.drained.Store(&hosts)
	if pools := g.appliance.published.Load(); pools != nil {
		for name, p := range *pools {
			p.overrides.setDrained(hosts[name])
		}
	}
}

// drainedHosts returns the hosts of a pool that are drained by operators.
func (s *appliance) drainedHosts(pool string) []string {
	if drained := s.drained.Load(); drained != nil {
		return (*drained)[pool]
	}
	return nil
}

// Pool returns the named pool of an appliance, or nil if there is none. It is safe for concurrent use.
func (g *Gateway) Pool(name string) *engine.Pool {
	pools := g.appliance.published.Load()
	if pools == nil {
		return nil
	}
	if p := (*pools)[name]; p != nil {
		return p.Pool
	}
	return nil
}
