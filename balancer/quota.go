package balancer

// quotaBurstSeconds is the burst that a tenant may accumulate, in seconds of its quota.
const quotaBurstSeconds = 1.0

// tenantQuotas decides which requests exceed the quota of their tenant. Such requests are not rejected for
// that reason, but have a lower priority in the queues. The quota applies to all instances together; each
// instance grants an equal share of it.
type tenantQuotas struct {
	buckets []tokenBucket // token bucket of each tenant
}

// configure sets the quotas. Tenants that were configured before keep their tokens.
func (q *tenantQuotas) configure(tenants []Tenant, instances int) {
	previous := q.buckets
	q.buckets = nil
	for i, tenant := range tenants {
		rate := tenant.Quota / float64(instances)
		bucket := tokenBucket{tokens: rate * quotaBurstSeconds, rate: rate}
		if i < len(previous) {
			bucket.tokens = previous[i].tokens
			bucket.refilledAt = previous[i].refilledAt
		}
		q.buckets = append(q.buckets, bucket)
	}
}

// take counts a request and reports whether it is within the quota of the tenant. An unknown tenant has no
// quota.
func (q *tenantQuotas) take(now Time, tenant int) bool {
	known := tenant >= 0 && tenant < len(q.buckets)
	return !known || q.buckets[tenant].take(now)
}

// tokenBucket limits a rate and allows bursts of up to quotaBurstSeconds.
type tokenBucket struct {
	tokens     float64 // tokens at the time refilledAt
	rate       float64 // tokens per second; 0 for no limit
	refilledAt Time
}

// take takes a token for one request. It returns false if none is available.
func (t *tokenBucket) take(now Time) bool {
	if t.rate <= 0 {
		return true
	}
	refilled := t.tokens + float64((now-t.refilledAt).Seconds()*t.rate)
	t.tokens = min(refilled, max(1, t.rate*quotaBurstSeconds))
	t.refilledAt = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}
