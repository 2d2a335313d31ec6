package config

import (
	"cmp"
	"net/textproto"
	"slices"

	"dunemoor/internal/ratelimit"
)

// Defaults and bounds of limits.
const (
	DefaultMemoryMB      = 64
	defaultSockets       = 1024
	minSockets           = 64
	defaultHeadKB        = 12  // a head of the platform's protocol several times over, and most browsers' cookies
	defaultHeaders       = 100 // browsers send some twenty
	defaultClientTableKB = 512 // 16,384 clients
	maxTenants           = 1024
	defaultTenantHeader  = "X-Tenant-Id"
	// burstFactor is how many seconds of its rate a client may save up by default.
	burstFactor = 2
)

const (
	// ownSockets is how many descriptors the process itself needs at least: the three that it is started with, the
	// runtime's two, a listener and its epoll set, the operators' address and a call there, a watch of discovery and the
	// one that replaces it, files that are read, and a connection that is just accepted or closed.
	ownSockets = 19
	// sharedPercent is the share of SharedSockets, in percent, that connections use: those of clients 50 (package
	// gateway), those to hosts 42 (hostShare). The rest is for the process itself.
	sharedPercent = 92
	// hostShare is the share of SharedSockets that connections to hosts may use.
	hostShare = 0.42
)

// SharedSockets returns the number of descriptors that the shares of clients and hosts are computed from: all, or as many
// fewer as leave ownSockets when both use their shares up.
func SharedSockets(all int) int { return max(min(all, (all-ownSockets)*100/sharedPercent), 0) }

// HostSockets returns how many descriptors connections to hosts may use.
func HostSockets(all int) float64 { return hostShare * float64(SharedSockets(all)) }

// readProcessLimits reads what the process may use.
func (c *checker) readProcessLimits(a *Appliance, f *applianceFile) {
	a.Limits = Limits{
		Cores: f.Limits.Cores, MemoryMB: cmp.Or(f.Limits.MemoryMB, DefaultMemoryMB), Sockets: cmp.Or(f.Limits.Sockets, defaultSockets),
		HeadKB: cmp.Or(f.Limits.HeadKB, defaultHeadKB), Headers: cmp.Or(f.Limits.Headers, defaultHeaders),
		NoLoadShedding: f.Limits.Overload != nil && !*f.Limits.Overload,
	}
	c.checkRange("limits", 0, "memory_mb", float64(a.Limits.MemoryMB), 16, 1<<20)
	c.checkRange("limits", 0, "sockets", float64(a.Limits.Sockets), minSockets, 1<<20)
	c.checkRange("limits", 0, "head_kb", float64(a.Limits.HeadKB), 1, 64)
	c.checkRange("limits", 0, "headers", float64(a.Limits.Headers), 8, 1000)
	c.checkRange("limits", 0, "cores", a.Limits.Cores, 0, 1024)
}

// readClientLimits reads what one client may use.
func (c *checker) readClientLimits(a *Appliance, f *applianceFile) {
	l, x := &a.Limits, &f.Limits.Client
	l.Clients = ratelimit.ClientLimits{Rate: x.Rate, Burst: cmp.Or(x.Burst, burstFactor*x.Rate), Concurrent: x.Concurrent}
	l.ClientTableKB = cmp.Or(x.TableKB, defaultClientTableKB)
	c.checkRange("limits.client", 0, "rate", l.Clients.Rate, 0, 1e6)
	c.checkRange("limits.client", 0, "burst", l.Clients.Burst, 0, 1e6)
	c.checkRange("limits.client", 0, "concurrent", float64(l.Clients.Concurrent), 0, 1<<20)
	c.checkRange("limits.client", 0, "table_kb", float64(l.ClientTableKB), 16, 1<<20)
}

// readTenantLimits reads what tenants may use.
func (c *checker) readTenantLimits(a *Appliance, f *applianceFile) {
	l, x := &a.Limits, &f.Limits.Tenants
	l.Tenants = ratelimit.TenantLimits{Rate: x.Rate, Concurrent: x.Concurrent}
	l.TenantHeader = cmp.Or(textproto.CanonicalMIMEHeaderKey(x.Header), defaultTenantHeader)
	c.checkRange("limits.tenants", 0, "rate", l.Tenants.Rate, 0, 1e7)
	c.checkRange("limits.tenants", 0, "concurrent", float64(l.Tenants.Concurrent), 0, 1<<20)
	if len(f.Tenant) > maxTenants {
		c.addErrorf("tenant", maxTenants, "", "more than %d tenants", maxTenants)
	}
	for i, t := range f.Tenant {
		if t.Name == "" {
			c.addErrorf("tenant", i, "name", "is missing")
		}
		c.checkName("tenant", i, t.Name)
		if slices.ContainsFunc(a.Tenants, func(o ratelimit.Tenant) bool { return o.Name == t.Name }) {
			c.addErrorf("tenant", i, "name", "%q is taken", t.Name)
		}
		weight := cmp.Or(t.Weight, 1)
		c.checkRange("tenant", i, "weight", weight, 0.001, 1e6)
		a.Tenants = append(a.Tenants, ratelimit.Tenant{Name: t.Name, Weight: weight})
	}
	if len(f.Tenant) > 0 && l.Tenants == (ratelimit.TenantLimits{}) {
		c.addErrorf("tenant", 0, "name", "limits.tenants sets neither rate nor concurrent: what would they share")
	}
}
