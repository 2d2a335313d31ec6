package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"reflect"
	"slices"
	"strings"

	"dunemoor/internal/config"
	"dunemoor/internal/discovery"
	"dunemoor/internal/engine"
	fcgi "dunemoor/internal/frontend/fastcgi"
	"dunemoor/internal/frontend/http1"
	"dunemoor/internal/overload"
)

// configChange is a configuration that is being applied. All steps that can fail are done in prepare, before the running
// configuration is changed by commit.
type configChange struct {
	file            *config.Appliance
	classes         *classes
	listeners       map[string]net.Listener // keyed by listenerKey
	openedListeners []net.Listener          // listeners that this change has opened
	pools           map[string]*appliancePool
	createdPools    []*appliancePool // pools that this change has created
	snapshot        *engine.Snapshot
}

// apply puts a configuration into use. A request is served with the routes and pools of one configuration, never with a
// mixture. If apply returns an error, the previous configuration stays in use. If running is set, new pools must get an
// endpoint list first (see awaitFirstLists); at startup they may be without one. The wait ends with ctx, whose error is then
// returned.
func (g *Gateway) apply(ctx context.Context, a *config.Appliance, running bool) error {
	c := &configChange{file: a, classes: newClasses(a), listeners: map[string]net.Listener{}, pools: map[string]*appliancePool{}}
	if err := g.prepare(ctx, c, running); err != nil {
		g.revert(c)
		return err
	}
	g.commit(c)
	return nil
}

// prepare does all steps of a change that can fail. The running configuration is not modified.
func (g *Gateway) prepare(ctx context.Context, c *configChange, running bool) error {
	if err := g.openListeners(c); err != nil {
		return err
	}
	var uses []engine.PoolUse
	for _, cfg := range c.file.Pools {
		p, err := g.preparePool(c, cfg, running)
		if err != nil {
			return fmt.Errorf("pool %s: %w", cfg.Name, err)
		}
		c.pools[cfg.Name] = p
		uses = append(uses, engine.PoolUse{Pool: p.Pool, MinShare: cfg.MinShare, Fallback: cfg.Fallback})
	}
	if running {
		if err := awaitFirstLists(ctx, c.createdPools); err != nil {
			return err
		}
	}
	var routes []*engine.Route
	var retries []engine.Retries
	for i, r := range c.file.Routes {
		routes = append(routes, newRoute(c.file.Table.Routes()[i].Name, r, c.classes, g.engine.Overload != nil))
		retries = append(retries, engine.Retries{Share: r.RetryShare, Floor: r.RetryFloor})
	}
	c.snapshot = g.engine.NewSnapshot(c.file.Table, routes, retries, uses...)
	return nil
}

// openListeners opens the listeners that are not open yet.
func (g *Gateway) openListeners(c *configChange) error {
	for _, l := range c.file.Listeners {
		ln := g.appliance.listeners[listenerKey(l)]
		if ln == nil {
			var err error
			if ln, err = listen(l); err != nil {
				return fmt.Errorf("listener %s: %w", l.Name, err)
			}
			c.openedListeners = append(c.openedListeners, ln)
		}
		c.listeners[listenerKey(l)] = ln
	}
	return nil
}

// preparePool returns the existing pool, or a new one if there is none or its settings or protocol have changed.
func (g *Gateway) preparePool(c *configChange, cfg config.Pool, running bool) (*appliancePool, error) {
	settings := balancerSettings(cfg, c.classes.list)
	p := g.appliance.pools[cfg.Name]
	if p == nil || !reflect.DeepEqual(p.settings, settings) || !equalProtocols(p.cfg, cfg) {
		p, err := g.newPool(c.file, cfg, settings, c.classes.names)
		if err != nil {
			return nil, err
		}
		c.createdPools = append(c.createdPools, p)
		return p, p.setSource(cfg, running)
	}
	if cfg.File != "" && cfg.File != p.cfg.File {
		if _, err := discovery.ReadFile(cfg.File); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// revert releases what prepare has opened and created.
func (g *Gateway) revert(c *configChange) {
	for _, ln := range c.openedListeners {
		ln.Close()
	}
	for _, p := range c.createdPools {
		p.stopSource()
		p.cancel()
	}
	g.engine.DropUnused()
}

// commit puts a prepared change into use. It cannot fail: if a members file has become unreadable since prepare, the pool
// keeps its list.
func (g *Gateway) commit(c *configChange) {
	g.commitPools(c)
	g.admission.SetLongestDeadline(longestDeadline(c.file))
	if l := g.admission.Limits; l.Clients != nil {
		l.Clients.SetLimits(c.file.Limits.Clients)
	}
	if controller := g.engine.Overload; controller != nil {
		_, _, n := overload.Ranks(classRanks(c.classes))
		controller.SetRanks(n)
	}
	g.engine.Use(c.snapshot)
	state := g.appliance
	state.pools = c.pools
	state.file = c.file
	state.published.Store(&c.pools)
	for name, p := range c.pools {
		p.overrides.setDrained(state.drainedHosts(name)) // SetDrained may have run while the pool was being created
	}
	g.commitListeners(c)
}

// commitPools sets the resource limits of all pools, and replaces the sources that have changed.
func (g *Gateway) commitPools(c *configChange) {
	shares := poolShares(c.file)
	for i, cfg := range c.file.Pools {
		p := c.pools[cfg.Name]
		p.transport.SetLimits(int(shares[i]*config.HostSockets(g.maxSockets)), int64(shares[i]*largeResponseShare*float64(g.memoryLimit)))
		if p == g.appliance.pools[cfg.Name] && !equalSources(p.cfg, cfg) {
			p.stopSource()
			if err := p.setSource(cfg, false); err != nil {
				slog.Error("read members failed", "pool", cfg.Name, "err", err)
			}
		}
		p.cfg = cfg
	}
}

// commitListeners closes the listeners that were removed, and starts to serve the new ones.
func (g *Gateway) commitListeners(c *configChange) {
	a := g.appliance
	for key, ln := range a.listeners {
		if c.listeners[key] != nil {
			continue
		}
		if strings.HasPrefix(key, fastCGIKeyPrefix) {
			g.fastCGI.CloseListener(ln)
		} else {
			g.server.CloseListener(ln)
		}
	}
	needsFastCGI := slices.ContainsFunc(c.file.Listeners, func(l config.Listener) bool { return l.Protocol == config.FastCGI })
	if needsFastCGI && g.fastCGI == nil {
		g.startFastCGI()
	}
	for _, l := range c.file.Listeners {
		ln := c.listeners[listenerKey(l)]
		serve := g.server.Serve
		if l.Protocol == config.FastCGI {
			g.fastCGI.SetListenOptions(ln, fcgi.ListenOptions{TrustedProxies: l.TrustedProxies})
			serve = g.fastCGI.Serve
		} else {
			g.server.SetListenOptions(ln, http1.ListenOptions{TrustedProxies: l.TrustedProxies, ProxyProtocol: l.ProxyProtocol})
		}
		if slices.Contains(c.openedListeners, ln) {
			g.serveWith(serve, ln)
		}
	}
	a.listeners = c.listeners
}
