package fair

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
	Concurrent int     // requests out at once
}

const (
	// burstSpan is how long a tenant may save up its share, and for how long what it leaves is
	// lent at most: so what is lent is taken back within it.
	burstSpan = time.Second
	// ownPart is the part of the places that is not lent, so that one who comes back to its
	// share finds some free at once; the others come free as what was lent ends.
	ownPart = 0.2
)

// Tenants shares a rate and places by weight. Each has a bucket that fills at its part of the
// rate; what a full bucket can't take goes into a pot that whoever is short may draw from.
type Tenants struct {
	mu     sync.Mutex
	limits TenantLimits
	list   []tenant
	pot    float64
	out    int
	at     Time
	began  bool
}

type tenant struct {
	share  float64 // of all
	tokens float64
	out    int
}

// NewTenants returns the shares of tenants, which are known by their place in the list.
func NewTenants(list []Tenant, limits TenantLimits) *Tenants {
	t := &Tenants{limits: limits}
	sum := 0.0
	for _, x := range list {
		sum += x.Weight
	}
	for _, x := range list {
		share := x.Weight / sum
		t.list = append(t.list, tenant{share: share, tokens: share * limits.Rate * burstSpan.Seconds()})
	}
	return t
}

// fill lets time pass: full buckets run over into the pot.
func (t *Tenants) fill(now Time) {
	if !t.began {
		t.began, t.at = true, now
	}
	if now <= t.at {
		return
	}
	passed := min(now-t.at, 10*burstSpan).Seconds()
	t.at = now
	span := burstSpan.Seconds()
	for i := range t.list {
		x := &t.list[i]
		rate := x.share * t.limits.Rate
		x.tokens += rate * passed
		if most := max(rate*span, 1); x.tokens > most {
			t.pot += x.tokens - most
			x.tokens = most
		}
	}
	t.pot = min(t.pot, t.limits.Rate*span)
}

// Begin is a request of a tenant, and says whether it is let in; then End is called once.
func (t *Tenants) Begin(now Time, i int) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := &t.list[i]
	if most := t.limits.Concurrent; most > 0 {
		own := max(x.share*float64(most), 1)
		if float64(x.out) >= own && float64(t.out) >= (1-ownPart)*float64(most) {
			return Concurrent
		}
	}
	if t.limits.Rate > 0 {
		t.fill(now)
		switch {
		case x.tokens >= 1:
			x.tokens--
		case t.pot >= 1:
			t.pot--
		default:
			return Rate
		}
	}
	x.out++
	t.out++
	return Admitted
}

// End is the end of a request that was let in.
func (t *Tenants) End(i int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list[i].out--
	t.out--
}
