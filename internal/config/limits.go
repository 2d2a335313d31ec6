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
	defaultHeadKB        = 12  // several times a header section of the platform's protocol, and enough for most browsers' cookies
	defaultHeaders       = 100 // browsers send about 20
	defaultClientTableKB = 512 // enough for 16,384 clients
	maxTenants           = 1024
	defaultTenantHeader  = "X-Tenant-Id"
	// burstFactor is the default burst of a client, in seconds of its rate.
	burstFactor = 2
)

const (
	// ownSockets is the minimum number of descriptors for the process itself: standard input, output and error, two of
	// the Go runtime, a listener and its epoll set, the admin listener and one admin connection, a discovery watch and the
	// one that replaces it, files being read, and connections that are just being accepted or closed.
	ownSockets = 19
	// sharedPercent is the percentage of SharedSockets that connections may use: 50 for clients (see package gateway) and
	// 42 for hosts (hostShare). The rest is for the process itself.
	sharedPercent = 92
	// hostShare is the share of SharedSockets that connections to hosts may use.
	hostShare = 0.42
)

// SharedSockets returns the number of descriptors from which the shares of clients and hosts are computed. This is all of
// them, or fewer if that is needed to leave ownSockets descriptors when clients and hosts use up their shares.
func SharedSockets(all int) int { return max(min(all, (all-ownSockets)*100/sharedPercent), 0) }

// HostSockets returns the number of descriptors that connections to hosts may use.
func HostSockets(all int) float64 { return hostShare * float64(SharedSockets(all)) }

// readProcessLimits reads the resource limits of the process.
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

// readClientLimits reads the limits of each client.
func (c *checker) readClientLimits(a *Appliance, f *applianceFile) {
	l, x := &a.Limits, &f.Limits.Client
	l.Clients = ratelimit.ClientLimits{Rate: x.Rate, Burst: cmp.Or(x.Burst, burstFactor*x.Rate), Concurrent: x.Concurrent}
	l.ClientTableKB = cmp.Or(x.TableKB, defaultClientTableKB)
	c.checkRange("limits.client", 0, "rate", l.Clients.Rate, 0, 1e6)
	c.checkRange("limits.client", 0, "burst", l.Clients.Burst, 0, 1e6)
	c.checkRange("limits.client", 0, "concurrent", float64(l.Clients.Concurrent), 0, 1<<20)
	c.checkRange("limits.client", 0, "table_kb", float64(l.ClientTableKB), 16, 1<<20)
}

// readTenantLimits reads the tenants and the limits that they share.
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
		c.addErrorf("tenant", 0, "name", "limits.tenants sets neither rate nor concurrent, so that tenants have nothing to share")
	}
}
