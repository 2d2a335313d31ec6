package ratelimit

import (
	"math"
	"sync"
	"time"
)

// ClientLimits are what one client may do. A limit of 0 is none.
type ClientLimits struct {
	Rate       float64 // requests a second
	Burst      float64 // requests that may be saved up
	Concurrent int     // requests in flight
}

const (
	entriesPerSet      = 8 // a client's entry is looked for among these
	shardCount         = 64
	entryBytes         = 32  // of a clientEntry, as the tests check
	duplicatesPerFirst = 0.5 // that a client may send for each first request
	maxSavedDuplicates = 5
	// shardBits are the bits of a hash that choose something else than the set.
	shardBits = 8
)

// clientEntry is the state of a client.
type clientEntry struct {
	key        uint64
	tokens     float32
	duplicates float32 // that it may send
	at         int64   // of the last request, ns
	retryAfter int32   // ms after at
	inFlight   int32
}

// Clients is a table of fixed size. A client that is not in it replaces the one of its set that sent a request longest ago
// and has none in flight: a million new addresses replace one another and clients that are idle, and the table never
// grows. A client that was replaced begins anew with a full burst: limits hold for clients that send requests often.
type Clients struct {
	limits ClientLimits
	seed   uint64
	shards [shardCount]shard
	mask   uint64 // of the number of a set
}

// shard is a part of the table with its lock.
type shard struct {
	mu      sync.Mutex
	entries []clientEntry
}

// NewClients returns a table of at most so many bytes, 16 KiB at least. The seed has to be unknown to clients: they could
// choose keys of one set otherwise.
func NewClients(limits ClientLimits, bytes int, seed uint64) *Clients {
	perShard := entriesPerSet
	for perShard*2*shardCount*entryBytes <= bytes {
		perShard *= 2
	}
	c := &Clients{limits: limits, seed: seed, mask: uint64(perShard/entriesPerSet - 1)}
	for i := range c.shards {
		c.shards[i].entries = make([]clientEntry, perShard)
	}
	return c
}

// TableBytes returns the size of the entries.
func (c *Clients) TableBytes() int { return shardCount * len(c.shards[0].entries) * entryBytes }

// SetLimits changes the limits. Requests in flight stay; a client that has more in flight than it may is admitted again
// once it has less.
func (c *Clients) SetLimits(limits ClientLimits) {
	for i := range c.shards {
		c.shards[i].mu.Lock()
	}
	c.limits = limits
	for i := range c.shards {
		c.shards[i].mu.Unlock()
	}
}

// lock locks the shard of a client. The caller unlocks it.
func (c *Clients) lock(key uint64) (s *shard, hash uint64) {
	hash = max(mixBits(key^c.seed), 1)
	s = &c.shards[hash%shardCount]
	s.mu.Lock()
	return s, hash
}

// set returns the entries that a client may have; its shard is locked.
func (c *Clients) set(s *shard, hash uint64) []clientEntry {
	return s.entries[(hash>>shardBits&c.mask)*entriesPerSet:][:entriesPerSet]
}

// find returns the entry of a client, or nil where all of its set have requests in flight: the client is not limited then.
// Its shard is locked.
func (c *Clients) find(s *shard, hash uint64, now Time) *clientEntry {
	set := c.set(s, hash)
	var oldest *clientEntry
	for i := range set {
		e := &set[i]
		if e.key == hash {
			return e
		}
		if e.inFlight == 0 && (oldest == nil || e.at < oldest.at) {
			oldest = e
		}
	}
	if oldest == nil {
		return nil
	}
	*oldest = clientEntry{key: hash, tokens: float32(c.limits.Burst), duplicates: maxSavedDuplicates, at: int64(now)}
	return oldest
}

// Begin decides on a request of a client; if it is admitted, End is called once when it is over. duplicate says that the
// client marks it as one. A request before the client's Retry-After counts as a duplicate too, and early reports that;
// where exempt is set, as for requests of the highest weight, this is not checked: a household that requests much else may
// still book.
func (c *Clients) Begin(now Time, key uint64, duplicate, exempt bool) (d Decision, early bool) {
	s, hash := c.lock(key)
	defer s.mu.Unlock()
	e := c.find(s, hash, now)
	if e == nil {
		return Admitted, false
	}
	elapsed := max(int64(now)-e.at, 0) // a clock that went back gives nothing
	if e.retryAfter > 0 && elapsed < int64(e.retryAfter)*int64(time.Millisecond) {
		early = !exempt
		duplicate = duplicate || early
		e.retryAfter -= int32(elapsed / int64(time.Millisecond))
	} else {
		e.retryAfter = 0
	}
	e.at = max(e.at, int64(now))
	return c.decide(e, elapsed, duplicate), early
}

// decide admits a request of a client or not. elapsed is the time since its last request, ns.
func (c *Clients) decide(e *clientEntry, elapsed int64, duplicate bool) Decision {
	if c.limits.Rate > 0 {
		e.tokens = float32(math.Min(float64(e.tokens)+c.limits.Rate*float64(elapsed)/1e9, math.Max(c.limits.Burst, 1)))
	}
	switch {
	case c.limits.Rate > 0 && e.tokens < 1:
		return Rate
	case c.limits.Concurrent > 0 && int(e.inFlight) >= c.limits.Concurrent:
		return Concurrent
	case duplicate && e.duplicates < 1:
		return Duplicates
	case duplicate:
		e.duplicates--
	default:
		e.duplicates = min(e.duplicates+duplicatesPerFirst, maxSavedDuplicates)
	}
	if c.limits.Rate > 0 {
		e.tokens--
	}
	e.inFlight++
	return Admitted
}

// End reports the end of a request that was admitted.
func (c *Clients) End(key uint64) {
	s, hash := c.lock(key)
	defer s.mu.Unlock()
	set := c.set(s, hash)
	for i := range set {
		if e := &set[i]; e.key == hash && e.inFlight > 0 {
			e.inFlight--
			return
		}
	}
}

// SetRetryAfter records the Retry-After that a client was given.
func (c *Clients) SetRetryAfter(now Time, key uint64, after time.Duration) {
	s, hash := c.lock(key)
	defer s.mu.Unlock()
	if e := c.find(s, hash, now); e != nil {
		e.at, e.retryAfter = max(e.at, int64(now)), int32(min(after.Milliseconds(), math.MaxInt32))
	}
}

// mixBits spreads the bits of z (the finalizer of splitmix64).
func mixBits(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
