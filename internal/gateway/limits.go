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
	// minRetryAfter is the Retry-After of a rejection without pressure. Ordinary clients wait whole seconds: so that
	// they come back spread, it is several.
	minRetryAfter = 4 * time.Second
	// maxAdmissionRetryAfter is the longest Retry-After of a rejection at admission.
	maxAdmissionRetryAfter = 30 * time.Second
)

// setLimits sets up load shedding and the limits of clients and tenants.
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

// classRanks returns what the ranks of the classes depend on when load is shed.
func classRanks(c *classes) []overload.Rank {
	ranks := make([]overload.Rank, len(c.list))
	for i, k := range c.list {
		ranks[i] = overload.Rank{Weight: cmp.Or(k.PriorityWeight, 1), LatencyObjective: cmp.Or(k.LatencyObjective, k.Deadline)}
	}
	return ranks
}
