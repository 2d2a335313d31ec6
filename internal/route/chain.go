package route

import "time"

// Time is an instant on the gateway's own clock.
type Time = time.Duration

// Failover settings of a pool, and their defaults.
const (
	// DefaultMinShare is the share of its hosts that a pool needs to carry all its traffic: 1 in 1.4, the
	// overprovisioning factor of Envoy's priority levels.
	DefaultMinShare = 1 / 1.4
	// settleTime is how long a pool must have had more usable hosts before it is given more again: a host that comes and
	// goes moves nothing.
	settleTime = 2 * time.Second
	// returnTime is the time in which a pool that had nothing is given all of its traffic again. Hosts that return are
	// warming up.
	returnTime = 10 * time.Second
	// trialInterval is how often a pool that gets nothing, as none of its hosts can be used, is sent one request: without
	// any nobody would notice that they are back.
	trialInterval = 250 * time.Millisecond
	// idempotentTrialTime is how long such a request has to be an idempotent one; then any will do, as there may be no
	// other.
	idempotentTrialTime = 5 * time.Second
	// maxPools is the size of a chain that is handled without allocating.
	maxPools = 8
)

// Chain is a pool with the pools that stand in for it, in order. It decides how much of the traffic goes to each: pool i
// has a capacity of
//
//	c_i = min(1, usable_i / (hosts_i x minShare_i))
//
// and gets what those before it leave, at most c_i. Where all of them together can carry less than everything, each gets
// its part of what they can: no pool is spared by rejecting what another could not do either. With nothing usable anywhere
// all goes to the first, whose Balancer rejects it at once.
//
// A fall of c counts at once. A rise counts after settleTime without a fall below it, and then by 1 in returnTime: it
// guards against flapping and against overloading hosts that are warming up.
type Chain struct {
	pools []chainPool
}

// chainPool is the state of a pool in a Chain.
type chainPool struct {
	minShare  float64
	capacity  float64 // c as it counts
	target    float64 // c by the hosts that are usable now
	risesAt   Time    // capacity may rise from then on
	updatedAt Time    // when capacity was last raised to what the time allows
	known     bool    // there was a report of its hosts
	hosts     int
	trialAt   Time // the next trial
}

// NewChain returns a Chain of pools with these shares of hosts that each needs, above 0 and up to 1.
func NewChain(minShares ...float64) *Chain {
	c := &Chain{pools: make([]chainPool, len(minShares))}
	for i, share := range minShares {
		c.pools[i] = chainPool{minShare: share}
	}
	return c
}

// SetUsable reports how many hosts a pool has, and how many of them can be used. The first report of a pool counts at once.
func (c *Chain) SetUsable(now Time, pool, usable, hosts int) {
	p := &c.pools[pool]
	p.advance(now)
	target := 0.0
	if hosts > 0 {
		target = min(1, float64(usable)/(float64(hosts)*p.minShare))
	}
	if !p.known || target < p.capacity {
		p.capacity = target
	}
	p.known = true
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

// Trial reports whether a request is to go to a pool that has no share of the traffic, to find out whether its hosts are
// back. idempotent says that the request may be sent again, whatever becomes of it.
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

// trialDue reports whether a pool without a usable host is to get a trial.
func (p *chainPool) trialDue(now Time, idempotent bool) bool {
	noneUsable := p.target <= 0 && p.hosts > 0
	if !noneUsable || now < p.trialAt {
		return false
	}
	return idempotent || now-p.trialAt >= idempotentTrialTime
}

// Next returns the pool that a request may go to after one that rejected it: the next with a capacity, or any other such
// pool where the request was a trial.
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

// advance lets the capacity of a pool rise up to now.
func (p *chainPool) advance(now Time) {
	risingSince := max(p.updatedAt, p.risesAt)
	if p.capacity < p.target && now > risingSince {
		p.capacity = min(p.target, p.capacity+float64(now-risingSince)/float64(returnTime))
	}
	p.updatedAt = now
}

// Shares appends the share of the traffic that each pool gets; they sum up to 1.
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

// Choose returns the pool of a request. u is from 0 to below 1; the pool of the same u changes only as shares do, so that a
// key that gives u stays at its pool as long as it can.
func (c *Chain) Choose(now Time, u float64) int {
	var space [maxPools]float64
	shares := c.Shares(now, space[:0])
	for i, share := range shares {
		u -= share
		if u < 0 {
			return i
		}
	}
	for i := len(shares) - 1; i > 0; i-- { // the sum was a little under 1
		if shares[i] > 0 {
			return i
		}
	}
	return 0
}

// Unit returns a u for Choose from a key.
func Unit(key string) float64 { return float64(hash(key)>>11) / (1 << 53) }
