package ratelimit

import (
	"sync"
	"time"
)

// Tenant is one of those who share a gateway.
type Tenant struct {
	Name   string
	Weight float64 // above 0
}

// TenantLimits are what all tenants share. A limit of 0 is none.
type TenantLimits struct {
	Rate       float64 // requests a second
	Concurrent int     // requests in flight
}

const (
	// burstSpan is how long a tenant may save up its share of the rate, and over how long what it leaves is saved up for
	// others: a tenant that returns has its share again within it.
	burstSpan = time.Second
	// maxElapsed bounds the time that is made up for at once.
	maxElapsed = 10 * burstSpan
	// reservedShare is the share of TenantLimits.Concurrent that is not lent, so that a tenant which returns to its share
	// finds some free at once; the others become free as lent ones end.
	reservedShare = 0.2
)

// Tenants shares a rate and the requests in flight by weight. Each tenant has a bucket that fills at its share of the
// rate; what overflows goes into a common bucket that any tenant may use.
type Tenants struct {
	mu       sync.Mutex // guards all below
	limits   TenantLimits
	tenants  []tenant
	common   float64 // tokens that any tenant may use, as of filledAt
	inFlight int     // requests of all tenants
	filledAt Time
	began    bool // filledAt is set
}

// tenant is the state of a Tenant.
type tenant struct {
	share    float64 // of the weights of all, and so of the limits
	tokens   float64 // requests that it may send, as of filledAt
	inFlight int     // requests
}

// NewTenants returns the shares of tenants, which are known by their index in the list.
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

// Begin decides on a request of a tenant; if it is admitted, End is called once when it is over.
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

// mayBegin reports whether a tenant may have another request in flight: one of its own share, or one that is lent.
func (t *Tenants) mayBegin(x *tenant) bool {
	limit := float64(t.limits.Concurrent)
	own := max(x.share*limit, 1)
	lendable := (1 - reservedShare) * limit
	return float64(x.inFlight) < own || float64(t.inFlight) < lendable
}

// End reports the end of a request that was admitted.
func (t *Tenants) End(i int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tenants[i].inFlight--
	t.inFlight--
}
