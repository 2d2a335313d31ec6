package route

import "time"

// Time is an instant on the gateway's own clock.
type Time = time.Duration

// Fallback settings of a pool, and their defaults.
const (
	// DefaultNeed is the share of its hosts that a pool needs to carry all its traffic: 1 in
	// 1.4, the overprovisioning factor of Envoy's priority levels.
	DefaultNeed = 1 / 1.4
	// settleTime is how long a pool must have had more usable hosts before it is given more
	// again: a host that comes and goes moves nothing.
	settleTime = 2 * time.Second
	// returnTime is in what time a pool that had nothing is given all of its traffic again.
	// Hosts that come back are cold.
	returnTime = 10 * time.Second
	// trialEvery is how often a pool that gets nothing, as none of its hosts can be used, is
	// sent one request: without any it would not be seen that they are back.
	trialEvery = 250 * time.Millisecond
	// trialAny is how long such a request should be one that may run again; from then on any
	// will do, as there may be no other.
	trialAny = 5 * time.Second
)

// Chain is a pool and the pools that stand in for it, in their order. It decides how much
// of the traffic goes to each: pool i can carry
//
//	c_i = min(1, usable_i / (hosts_i x need_i))
//
// and gets what those before it leave, at most c_i. Where all of them together carry less
// than everything, each gets its part of what they carry: a pool is never spared by
// refusing what another could not do either. With nothing usable anywhere all goes to the
// first, whose Balancer refuses it at once.
//
// A fall of c counts at once. A rise counts after settleTime without a fall below it, and
// then by 1 in returnTime: it guards against flapping and against pushing cold hosts over.
type Chain struct {
	levels []level
}

type level struct {
	need    float64
	carries float64 // c as it counts
	goal    float64 // c as it is
	risesAt Time    // c may rise from then on
	at      Time    // of carries
	known   bool
	hosts   int
	trialAt Time // the next trial
}

// NewChain returns a Chain of pools with these needs, each above 0 and up to 1.
func NewChain(needs ...float64) *Chain {
	c := &Chain{levels: make([]level, len(needs))}
	for i, n := range needs {
		c.levels[i] = level{need: n}
	}
	return c
}

// Usable is news of a pool's hosts: how many there are, and how many of them take requests.
// The first news of a pool counts at once.
func (c *Chain) Usable(now Time, pool, usable, hosts int) {
	l := &c.levels[pool]
	l.advance(now)
	goal := 0.0
	if hosts > 0 {
		goal = min(1, float64(usable)/(float64(hosts)*l.need))
	}
	switch {
	case !l.known:
		l.known, l.carries = true, goal
	case goal < l.carries:
		l.carries = goal
	}
	if goal < l.goal || goal > l.goal && l.goal <= l.carries {
		l.risesAt = now + settleTime
	}
	if goal <= 0 && (l.goal > 0 || hosts > 0 && l.hosts == 0) {
		l.trialAt = now + trialEvery
	}
	l.goal, l.hosts = goal, hosts
}

// Trial says whether a request is to go to a pool that gets nothing by its share, to see
// whether its hosts are back. safe says that it may be sent again, whatever becomes of it.
func (c *Chain) Trial(now Time, safe bool) (pool int, ok bool) {
	left := 1.0
	for i := range c.levels {
		l := &c.levels[i]
		l.advance(now)
		if l.goal <= 0 && l.hosts > 0 && now >= l.trialAt && (safe || now-l.trialAt >= trialAny) {
			l.trialAt = now + trialEvery
			return i, true
		}
		if left -= l.carries; left <= 0 {
			break
		}
	}
	return 0, false
}

// Next is the pool that a request may go on to from a pool that turned it away: the next
// behind it that gets anything, or any other such pool for one that was a trial.
func (c *Chain) Next(now Time, from int, trial bool) (pool int, ok bool) {
	for i := range c.levels {
		l := &c.levels[i]
		if l.advance(now); l.carries > 0 && (i > from || trial && i != from) {
			return i, true
		}
	}
	return 0, false
}

// advance lets what a pool carries rise up to now.
func (l *level) advance(now Time) {
	if from := max(l.at, l.risesAt); l.carries < l.goal && now > from {
		l.carries = min(l.goal, l.carries+float64(now-from)/float64(returnTime))
	}
	l.at = now
}

// Shares appends the part of the traffic that each pool gets; they sum up to 1.
func (c *Chain) Shares(now Time, dst []float64) []float64 {
	from, left, sum := len(dst), 1.0, 0.0
	for i := range c.levels {
		l := &c.levels[i]
		l.advance(now)
		x := min(left, l.carries)
		left -= x
		sum += x
		dst = append(dst, x)
	}
	if sum <= 0 {
		dst[from] = 1
		return dst
	}
	for i := range dst[from:] {
		dst[from+i] /= sum
	}
	return dst
}

// Choose is the pool of a request. u is from 0 to below 1; of the same u the pool changes
// only as shares do, so that a key that gives u stays where it is as long as it can.
func (c *Chain) Choose(now Time, u float64) int {
	var room [8]float64
	shares := c.Shares(now, room[:0])
	for i, s := range shares {
		if u -= s; u < 0 {
			return i
		}
	}
	for i := len(shares) - 1; i > 0; i-- { // the sum came out a little under 1
		if shares[i] > 0 {
			return i
		}
	}
	return 0
}

// Unit makes a u for Choose of a key.
func Unit(key string) float64 { return float64(hash(key)>>11) / (1 << 53) }

// Budget bounds the retries of a route: a share of its first tries and a floor beside. It
// only ever takes retries away from what the decision module allows. It guards against
// retries that feed what they are a sign of.
type Budget struct {
	share  float64 // retries a first try
	floor  float64 // retries a second beside that
	tokens float64
	at     Time
	began  bool
}

// Retries may be saved up for so long, and of so many first tries: those of a route that
// was quiet must not come all at once.
const (
	budgetSpan  = 10 * time.Second
	budgetTries = 100
)

// NewBudget returns a Budget that has the floor of one second saved up.
func NewBudget(share, floor float64) *Budget {
	return &Budget{share: share, floor: floor, tokens: floor}
}

// Try is a first try.
func (b *Budget) Try(now Time) {
	b.fill(now)
	b.tokens = min(b.tokens+b.share, b.most())
}

// most is what may be saved up, one at least.
func (b *Budget) most() float64 { return max(1, b.floor*budgetSpan.Seconds(), b.share*budgetTries) }

// Retry says whether there may be a retry now, and takes it.
func (b *Budget) Retry(now Time) bool {
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) fill(now Time) {
	if !b.began {
		b.began, b.at = true, now
	}
	if now > b.at {
		b.tokens = min(b.tokens+b.floor*(now-b.at).Seconds(), b.most())
		b.at = now
	}
}
