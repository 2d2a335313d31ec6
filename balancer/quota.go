package balancer

// quotaBurstSeconds is how many seconds of its quota a tenant may save up.
const quotaBurstSeconds = 1.0

// tenantQuotas decides which requests are beyond their tenant's quota. They are not rejected for that, but
// have a lower priority in the queues. The quota holds over all instances, and each instance grants an equal
// part of it.
type tenantQuotas struct {
	buckets []tokenBucket // by tenant
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

// take counts a request, and reports whether it is within the tenant's quota. An unknown tenant has none.
func (q *tenantQuotas) take(now Time, tenant int) bool {
	known := tenant >= 0 && tenant < len(q.buckets)
	return !known || q.buckets[tenant].take(now)
}

// tokenBucket limits a rate, with bursts of up to quotaBurstSeconds.
type tokenBucket struct {
	tokens     float64 // at the time refilledAt
	rate       float64 // tokens a second; 0: no limit
	refilledAt Time
}

// take takes a token for one request. It reports false where there is none.
func (t *tokenBucket) take(now Time) bool {
	if t.rate <= 0 {
		return true
	}
	refilled := t.tokens + (now-t.refilledAt).Seconds()*t.rate
	t.tokens = min(refilled, max(1, t.rate*quotaBurstSeconds))
	t.refilledAt = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}
