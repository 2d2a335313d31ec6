// Package fair keeps one client or tenant from taking what others need. It does no I/O and
// reads no clock. Its methods may be called from any goroutine.
package fair

import (
	"math"
	"sync"
	"time"
)

// Time is an instant on the gateway's own clock.
type Time = time.Duration

// Verdict says what becomes of a request.
type Verdict uint8

// Verdicts.
const (
	Admitted   Verdict = iota
	Rate               // it has asked more often than its share
	Concurrent         // it has too many requests out
	Repeats            // it repeats more than its first tries allow
)

var verdictNames = [...]string{"admitted", "rate", "concurrent", "repeats"}

// String names the verdict, for counters.
func (v Verdict) String() string { return verdictNames[v] }

// ClientLimits are what one client may do. A limit of 0 is none.
type ClientLimits struct {
	Rate       float64 // requests a second
	Burst      float64 // requests that may be saved up
	Concurrent int     // requests out at once
}

const (
	ways       = 8   // entries of a set: one is looked for among these
	sets       = 64  // locks
	entryBytes = 32  // of an entry, as the tests check
	repeatPart = 0.5 // repeats a client may make for each first try
	repeatMost = 5   // repeats saved up
)

// entry is what is kept of a client.
type entry struct {
	key     uint64
	tokens  float32
	repeats float32
	at      int64 // of the last request, ns
	away    int32 // ms behind at: it was told to stay away so long
	out     int32
}

// Clients is a table of fixed size. A client that is not in it takes the place of the one of
// its set that asked longest ago and has nothing out; so a million new addresses push out each
// other and those that have not asked for long, and the table never grows. What is forgotten
// begins anew with a full burst: limits hold for those that ask often.
type Clients struct {
	limits ClientLimits
	seed   uint64
	shards [sets]shard
	mask   uint64
}

type shard struct {
	mu      sync.Mutex
	entries []entry
}

// NewClients returns a table of at most so many bytes, 16 KiB at least. The seed is unknown to
// clients: else they could pick keys of one set.
func NewClients(limits ClientLimits, bytes int, seed uint64) *Clients {
	perShard := ways
	for perShard*2*sets*entryBytes <= bytes {
		perShard *= 2
	}
	c := &Clients{limits: limits, seed: seed, mask: uint64(perShard/ways - 1)}
	for i := range c.shards {
		c.shards[i].entries = make([]entry, perShard)
	}
	return c
}

// Bytes is what the entries take.
func (c *Clients) Bytes() int { return sets * len(c.shards[0].entries) * entryBytes }

// Set changes the limits. What is out stays; a client that has more out than it may have now is
// let in again when it has less.
func (c *Clients) Set(limits ClientLimits) {
	for i := range c.shards {
		c.shards[i].mu.Lock()
	}
	c.limits = limits
	for i := range c.shards {
		c.shards[i].mu.Unlock()
	}
}

// find is the client's entry; its shard is locked.
func (c *Clients) find(s *shard, h uint64, now Time) *entry {
	set := s.entries[(h>>8&c.mask)*ways:][:ways]
	var oldest *entry
	for i := range set {
		e := &set[i]
		if e.key == h {
			return e
		}
		if e.out == 0 && (oldest == nil || e.at < oldest.at) {
			oldest = e
		}
	}
	if oldest == nil {
		return nil // all have requests out: this one goes uncounted
	}
	*oldest = entry{key: h, tokens: float32(c.limits.Burst), repeats: repeatMost, at: int64(now)}
	return oldest
}

func (c *Clients) hash(key uint64) uint64 { return max(mix(key^c.seed), 1) }

// Begin is a request of a client, and says whether it is let in; then End is called once when
// it is over. repeat says that the client marks it as a repeat. One that comes back sooner than
// it was told to counts as one too, and soon says so; where spared is set, as for what is worth
// most, that is not looked at: a household that asks for much else may still book.
func (c *Clients) Begin(now Time, key uint64, repeat, spared bool) (v Verdict, soon bool) {
	h := c.hash(key)
	s := &c.shards[h%sets]
	s.mu.Lock()
	defer s.mu.Unlock()
	e := c.find(s, h, now)
	if e == nil {
		return Admitted, false
	}
	passed := max(int64(now)-e.at, 0) // a clock that went back gives nothing
	if e.away > 0 && passed < int64(e.away)*int64(time.Millisecond) {
		soon = !spared
		repeat = repeat || soon
		e.away -= int32(passed / int64(time.Millisecond))
	} else {
		e.away = 0
	}
	e.at = max(e.at, int64(now))
	if c.limits.Rate > 0 {
		e.tokens = float32(math.Min(float64(e.tokens)+c.limits.Rate*float64(passed)/1e9, math.Max(c.limits.Burst, 1)))
	}
	switch {
	case c.limits.Rate > 0 && e.tokens < 1:
		return Rate, soon
	case c.limits.Concurrent > 0 && int(e.out) >= c.limits.Concurrent:
		return Concurrent, soon
	case repeat && e.repeats < 1:
		return Repeats, soon
	case repeat:
		e.repeats--
	default:
		e.repeats = min(e.repeats+repeatPart, repeatMost)
	}
	if c.limits.Rate > 0 {
		e.tokens--
	}
	e.out++
	return Admitted, soon
}

// End is the end of a request that was let in.
func (c *Clients) End(key uint64) {
	h := c.hash(key)
	s := &c.shards[h%sets]
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.entries[(h>>8&c.mask)*ways:][:ways]
	for i := range set {
		if e := &set[i]; e.key == h && e.out > 0 {
			e.out--
			return
		}
	}
}

// Away notes that a client was told to stay away for a time.
func (c *Clients) Away(now Time, key uint64, after time.Duration) {
	h := c.hash(key)
	s := &c.shards[h%sets]
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := c.find(s, h, now); e != nil {
		e.at, e.away = max(e.at, int64(now)), int32(min(after.Milliseconds(), math.MaxInt32))
	}
}

// mix spreads the bits of z (splitmix64's finalizer).
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
