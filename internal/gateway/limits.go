package gateway

import (
	"cmp"
	"math/rand/v2"
	"time"

	"dunemoor/internal/config"
	"dunemoor/internal/frontend"
	"dunemoor/internal/overload"
	"dunemoor/internal/ratelimit"
)

const (
	// minRetryAfter is the Retry-After of a rejection while there is no overload pressure. Ordinary clients wait for
	// whole seconds, so it has to be several seconds for their retries to spread out.
	minRetryAfter = 4 * time.Second
	// maxAdmissionRetryAfter is the longest Retry-After of a rejection at admission.
	maxAdmissionRetryAfter = 30 * time.Second
)

// setLimits sets up load shedding and the client and tenant limits.
func (g *Gateway) setLimits(a *config.Appliance) {
	l := &frontend.Limits{
		MinRetryAfter: minRetryAfter,
		MaxRetryAfter: maxAdmissionRetryAfter,
		TenantHeader:  a.Limits.TenantHeader,
		TenantIndex:   map[string]int{},
	}
	if !a.Limits.NoLoadShedding {
		_, _, n := overload.Ranks(classRanks(newClasses(a)))
		l.Overload = overload.New(n)
		g.engine.Overload = l.Overload
	}
	if c := a.Limits.Clients; c != (ratelimit.ClientLimits{}) || !a.Limits.NoLoadShedding {
		l.Clients = ratelimit.NewClients(c, a.Limits.ClientTableKB<<10, rand.Uint64())
	}
	if len(a.Tenants) > 0 {
		l.Tenants = ratelimit.NewTenants(a.Tenants, a.Limits.Tenants)
		for i, t := range a.Tenants {
			l.TenantIndex[t.Name] = i
		}
	}
	g.admission.Limits = l
}

// classRanks returns the weight and latency objective of each class, which determine its rank in load shedding.
func classRanks(c *classes) []overload.RankedClass {
	ranks := make([]overload.RankedClass, len(c.list))
	for i, k := range c.list {
		ranks[i] = overload.RankedClass{Weight: cmp.Or(k.PriorityWeight, 1), LatencyObjective: cmp.Or(k.LatencyObjective, k.Deadline)}
	}
	return ranks
}
