package route

import "time"

// Time is an instant on the gateway's own clock.
type Time = time.Duration

// Failover settings of a pool, and their defaults.
const (
	// DefaultMinShare is the share of its hosts that a pool needs to carry all its traffic: 1 in 1.4, the
	// overprovisioning factor of Envoy's priority levels.
	DefaultMinShare = 1 / 1.4
	// settleTime is how long a pool must have had more usable hosts before its share of the traffic rises again, so
	// that a flapping host moves no traffic.
	settleTime = 2 * time.Second
	// returnTime is the time in which the traffic of a pool rises from none to all of it again, as hosts that return
	// are warming up.
	returnTime = 10 * time.Second
	// trialInterval is the time between trial requests to a pool that gets no traffic as none of its hosts is usable.
	// Without trial requests its recovery would not be detected.
	trialInterval = 250 * time.Millisecond
	// idempotentTrialTime is how long after a trial is due only an idempotent request may be used for it. After that
	// any request may, as there may be no idempotent ones.
	idempotentTrialTime = 5 * time.Second
	// maxPools is the length of a chain up to which Choose does not allocate.
	maxPools = 8
)

// Chain is a pool with its fallback pools, in order. It decides how much of the traffic goes to each: pool i has a
// capacity of
//
//	c_i = min(1, usable_i / (hosts_i x minShare_i))
//
// and gets the traffic that the pools before it leave, at most c_i. If the capacities of all pools sum up to less
// than 1, the shares are in proportion to the capacities: rejecting requests to relieve one pool would not help, as
// the others have no capacity for them either. If no pool has a usable host, all traffic goes to the first pool,
// whose balancer rejects it at once.
//
// A decrease of c takes effect at once. An increase takes effect after settleTime without another decrease, and then
// at a rate of 1 per returnTime. This guards against flapping and against overloading hosts that are warming up.
type Chain struct {
	pools []chainPool
}

// chainPool is the state of a pool in a Chain.
type chainPool struct {
	minShare    float64
	capacity    float64 // c that is in effect
	target      float64 // c by the hosts that are usable now
	risesAt     Time    // time from which capacity may rise
	updatedAt   Time    // time of the last call of advance
	initialized bool    // SetUsable was called
	hosts       int     // hosts of the pool, usable or not
	trialAt     Time    // time of the next trial
}

// NewChain returns a Chain. minShares has for each pool the share of its hosts that must be usable for it to carry
// all its traffic, above 0 and at most 1.
func NewChain(minShares ...float64) *Chain {
	c := &Chain{pools: make([]chainPool, len(minShares))}
	for i, share := range minShares {
		c.pools[i] = chainPool{minShare: share}
	}
	return c
}

// SetUsable sets how many hosts a pool has, and how many of them are usable. The first call for a pool takes effect
// at once.
func (c *Chain) SetUsable(now Time, pool, usable, hosts int) {
	p := &c.pools[pool]
	p.advance(now)
	target := 0.0
	if hosts > 0 {
		target = min(1, float64(usable)/(float64(hosts)*p.minShare))
	}
	if !p.initialized || target < p.capacity {
		p.capacity = target
	}
	p.initialized = true
	riseBegins := target > p.target && p.target <= p.capacity
	if target < p.target || riseBegins {
		p.risesAt = now + settleTime
	}
	firstHosts := hosts > 0 && p.hosts == 0
	lostOrNew := p.target > 0 || firstHosts
	if target <= 0 && lostOrNew {
		p.trialAt = now + trialInterval
	}
	p.target = target
	p.hosts = hosts
}

// Trial reports whether a request is to be sent to a pool that gets no traffic, and to which, to detect whether the
// pool's hosts have recovered. idempotent means that the request may be sent again whatever its result is.
func (c *Chain) Trial(now Time, idempotent bool) (pool int, ok bool) {
	left := 1.0
	for i := range c.pools {
		p := &c.pools[i]
		p.advance(now)
		if p.trialDue(now, idempotent) {
			p.trialAt = now + trialInterval
			return i, true
		}
		left -= p.capacity
		if left <= 0 {
			break
		}
	}
	return 0, false
}

// trialDue reports whether a trial request is due for a pool without a usable host.
func (p *chainPool) trialDue(now Time, idempotent bool) bool {
	noneUsable := p.target <= 0 && p.hosts > 0
	if !noneUsable || now < p.trialAt {
		return false
	}
	return idempotent || now-p.trialAt >= idempotentTrialTime
}

// Next returns the pool to which a request goes after a pool has rejected it: the next pool in order with a capacity
// above 0 or, if the request was a trial, the first such pool other than the one that rejected it.
func (c *Chain) Next(now Time, from int, trial bool) (pool int, ok bool) {
	for i := range c.pools {
		p := &c.pools[i]
		p.advance(now)
		inOrder := i > from || trial && i != from
		if p.capacity > 0 && inOrder {
			return i, true
		}
	}
	return 0, false
}

// advance raises the capacity of a pool as far as it may have risen by now.
func (p *chainPool) advance(now Time) {
	risingSince := max(p.updatedAt, p.risesAt)
	if p.capacity < p.target && now > risingSince {
		p.capacity = min(p.target, p.capacity+float64(now-risingSince)/float64(returnTime))
	}
	p.updatedAt = now
}

// Shares appends the share of the traffic that each pool gets. The shares sum up to 1.
func (c *Chain) Shares(now Time, dst []float64) []float64 {
	first := len(dst) // index of the first pool's share
	left := 1.0
	sum := 0.0
	for i := range c.pools {
		p := &c.pools[i]
		p.advance(now)
		share := min(left, p.capacity)
		left -= share
		sum += share
		dst = append(dst, share)
	}
	if sum <= 0 {
		dst[first] = 1
		return dst
	}
	for i := range dst[first:] {
		dst[first+i] /= sum
	}
	return dst
}

// Choose returns the pool of a request. u is at least 0 and below 1. The pool for the same u changes only as the
// shares do, so that requests with the same key, from which u is derived, stay at their pool as long as possible.
func (c *Chain) Choose(now Time, u float64) int {
	var space [maxPools]float64
	shares := c.Shares(now, space[:0])
	for i, share := range shares {
		u -= share
		if u < 0 {
			return i
		}
	}
	for i := len(shares) - 1; i > 0; i-- { // rounding made the sum slightly less than 1
		if shares[i] > 0 {
			return i
		}
	}
	return 0
}

// Unit derives the u of Choose from a key.
func Unit(key string) float64 { return float64(hash(key)>>11) / (1 << 53) }
