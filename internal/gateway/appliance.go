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

// appliance is the state of a gateway with a configuration file of its own.
type appliance struct {
	file      *config.Appliance
	recording *engine.RecordingConfig
	newSource SourceFunc
	pools     map[string]*appliancePool
	published atomic.Pointer[map[string]*appliancePool] // pools, for other goroutines
	listeners map[string]net.Listener                   // by listenerKey
	drained   atomic.Pointer[map[string][]string]       // by pool: hosts that operators drain
}

// Source sends a pool's endpoint list until ctx ends.
type Source interface {
	Run(ctx context.Context, to discovery.Sink)
}

// SourceFunc returns the Source of a pool whose endpoint list comes from the discovery service at an address.
type SourceFunc func(pool, discovery string) Source

// StartAppliance starts a gateway by its configuration file. Nothing is left behind where it fails. newSource may be nil;
// drained is as for SetDrained.
func StartAppliance(a *config.Appliance, rc *engine.RecordingConfig, newSource SourceFunc, drained map[string][]string) (*Gateway, error) {
	g := newGateway(rand.Uint64(), a.Limits.Sockets, memoryBytes(a.Limits.MemoryMB), http1.Options{
		LongestDeadline: longestDeadline(a),
		PlainRoutes:     true,
		MaxHeaderBytes:  a.Limits.HeadKB << 10,
	})
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
	if err := g.apply(a, false); err != nil {
		g.Close()
		return nil, err
	}
	return g, nil
}

// Reload serves by another file, all at once. On an error nothing has changed. Requests under way end as they began.
func (g *Gateway) Reload(a *config.Appliance) error {
	restart := g.needRestart(a)
	if err := g.apply(a, true); err != nil {
		return err
	}
	if len(restart) > 0 {
		slog.Warn("changed settings take effect at the next start", "settings", strings.Join(restart, ", "))
	}
	return nil
}

// needRestart returns the settings of a file that differ from those in use and take effect at the next start.
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
		// The limits of clients take effect at once, where there is a table to keep them in.
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

// equalChecks reports whether the same pools have health checks, by the same paths.
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

// longestDeadline returns the longest deadline of all classes of a file.
func longestDeadline(a *config.Appliance) (longest time.Duration) {
	for _, c := range a.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// SetDrained sets the hosts that operators drain, by pool: they get no new requests, whatever their lists say. It is for
// an appliance, and may be called by any goroutine.
func (g *Gateway) SetDrained(hosts map[string][]string) {
	g.appliance.drained.Store(&hosts)
	if pools := g.appliance.published.Load(); pools != nil {
		for name, p := range *pools {
			p.overrides.setDrained(hosts[name])
		}
	}
}

// drainedHosts returns the hosts of a pool that operators drain.
func (s *appliance) drainedHosts(pool string) []string {
	if drained := s.drained.Load(); drained != nil {
		return (*drained)[pool]
	}
	return nil
}

// Pool returns the pool of an appliance with a name, or nil. It may be called by any goroutine.
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
