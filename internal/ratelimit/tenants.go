package ratelimit

import (
	"sync"
	"time"
)

// Tenant is one of the tenants that share a gateway.
type Tenant struct {
	Name   string
	Weight float64 // above 0
}

// TenantLimits are the limits of all tenants together. A limit of 0 means that there is none.
type TenantLimits struct {
	Rate       float64 // requests a second
	Concurrent int     // requests in flight
}

const (
	// burstSpan is the time for which a tenant's bucket accumulates its share of the rate, and the common bucket what
	// tenants do not use. A tenant that sends requests again has its full share within this time.
	burstSpan = time.Second
	// maxElapsed bounds the time for which the buckets are filled at once.
	maxElapsed = 10 * burstSpan
	// reservedShare is the share of TenantLimits.Concurrent that is not lent, so that a tenant that sends requests
	// again may start some at once. The rest of its share becomes available as lent ones end.
	reservedShare = 0.2
)

// Tenants divides a rate and a number of requests in flight among tenants by weight. Each tenant has a token bucket
// that is filled at its share of the rate. Tokens above the capacity of that bucket go to a common bucket that any
// tenant may use.
type Tenants struct {
	mu       sync.Mutex // guards all below
	limits   TenantLimits
	tenants  []tenant
	common   float64 // tokens that any tenant may use, as of filledAt
	inFlight int     // requests in flight of all tenants
	filledAt Time
	began    bool // filledAt is set
}

// tenant is the state of a Tenant.
type tenant struct {
	share    float64 // share of the sum of the weights, and so of the limits
	tokens   float64 // requests that the tenant may send, as of filledAt
	inFlight int     // requests in flight
}

// NewTenants returns Tenants for a list of tenants, which are identified by their index in the list.
func NewTenants(list []Tenant, limits TenantLimits) *Tenants {
	t := &Tenants{limits: limits}
	sum := 0.0
	for _, x := range list {
		sum += x.Weight
	}
	for _, x := range list {
		share := x.Weight / sum
		t.tenants = append(t.tenants, tenant{share: share, tokens: share * limits.Rate * burstSpan.Seconds()})
	}
	return t
}

// fill fills the buckets for the time that has passed.
func (t *Tenants) fill(now Time) {
	if !t.began {
		t.began = true
		t.filledAt = now
	}
	if now <= t.filledAt {
		return
	}
	elapsed := min(now-t.filledAt, maxElapsed).Seconds()
	t.filledAt = now
	span := burstSpan.Seconds()
	for i := range t.tenants {
		x := &t.tenants[i]
		rate := x.share * t.limits.Rate
		x.tokens += rate * elapsed
		capacity := max(rate*span, 1)
		if x.tokens > capacity {
			t.common += x.tokens - capacity
			x.tokens = capacity
		}
	}
	t.common = min(t.common, t.limits.Rate*span)
}

// Begin decides whether a request of a tenant is admitted. If it is, the caller calls End once when the request has
// ended.
func (t *Tenants) Begin(now Time, i int) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := &t.tenants[i]
	if t.limits.Concurrent > 0 && !t.mayBegin(x) {
		return Concurrent
	}
	if t.limits.Rate > 0 {
		t.fill(now)
		switch {
		case x.tokens >= 1:
			x.tokens--
		case t.common >= 1:
			t.common--
		default:
			return Rate
		}
	}
	x.inFlight++
	t.inFlight++
	return Admitted
}

// mayBegin reports whether a tenant may have another request in flight, either of its own share or lent by others.
func (t *Tenants) mayBegin(x *tenant) bool {
	limit := float64(t.limits.Concurrent)
	own := max(x.share*limit, 1)
	lendable := (1 - reservedShare) * limit
	return float64(x.inFlight) < own || float64(t.inFlight) < lendable
}

// End records the end of a request that was admitted.
func (t *Tenants) End(i int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tenants[i].inFlight--
	t.inFlight--
}
