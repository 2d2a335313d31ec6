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
	entryBytes         = 32  // size of a clientEntry, as the tests check
	duplicatesPerFirst = 0.5 // duplicates that a client may send for each first request
	maxSavedDuplicates = 5   // duplicates that it may save up
	// shardBits is how many low bits of a hash do not choose the set: the lowest ones choose the shard.
	shardBits = 8

	nanosPerMilli  = int64(time.Millisecond)
	nanosPerSecond = 1e9
)

// clientEntry is the state of a client. Its units are small ones, as the table has many entries.
type clientEntry struct {
	hash             uint64  // of the client's key; 0: the entry is free
	tokens           float32 // requests that it may send, as of lastNanos
	duplicates       float32 // duplicates that it may send
	lastNanos        int64   // time of the last request, or of the last Retry-After
	retryAfterMillis int32   // after lastNanos; 0: none
	inFlight         int32   // requests
}

// Clients is a table of fixed size. A client that is not in it replaces the one of its set that sent a request longest ago
// and has none in flight: a million new addresses replace one another and clients that are idle, and the table never
// grows. A client that was replaced begins anew with a full burst: limits hold for clients that send requests often.
type Clients struct {
	limits ClientLimits // read with the lock of any shard, written with those of all
	seed   uint64
	shards [shardCount]shard
	mask   uint64 // sets of a shard, less one: they are a power of two
}

// shard is a part of the table with its lock.
type shard struct {
	mu      sync.Mutex // guards entries
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

// lock locks the shard of a client, and returns it with the hash of the client's key, which is never 0. The caller
// unlocks it.
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
		entry := &set[i]
		if entry.hash == hash {
			return entry
		}
		older := oldest == nil || entry.lastNanos < oldest.lastNanos
		if entry.inFlight == 0 && older {
			oldest = entry
		}
	}
	if oldest == nil {
		return nil
	}
	*oldest = clientEntry{
		hash: hash, tokens: float32(c.limits.Burst), duplicates: maxSavedDuplicates, lastNanos: int64(now),
	}
	return oldest
}

// Begin decides on a request of a client; if it is admitted, End is called once when it is over. duplicate says that the
// client marks it as one. A request before the client's Retry-After counts as a duplicate too, and early reports that;
// where exempt is set, as for requests of the highest weight, this is not checked: a household that requests much else may
// still book.
func (c *Clients) Begin(now Time, key uint64, duplicate, exempt bool) (d Decision, early bool) {
	s, hash := c.lock(key)
	defer s.mu.Unlock()
	entry := c.find(s, hash, now)
	if entry == nil {
		return Admitted, false
	}
	elapsedNanos := max(int64(now)-entry.lastNanos, 0) // a clock that went back gives nothing
	if elapsedNanos < int64(entry.retryAfterMillis)*nanosPerMilli {
		early = !exempt
		duplicate = duplicate || early
		entry.retryAfterMillis -= int32(elapsedNanos / nanosPerMilli)
	} else {
		entry.retryAfterMillis = 0
	}
	entry.lastNanos = max(entry.lastNanos, int64(now))
	return c.decide(entry, elapsedNanos, duplicate), early
}

// decide admits a request of a client or not. elapsedNanos is the time since its last request.
func (c *Clients) decide(entry *clientEntry, elapsedNanos int64, duplicate bool) Decision {
	rateLimited := c.limits.Rate > 0
	if rateLimited {
		refilled := float64(entry.tokens) + c.limits.Rate*float64(elapsedNanos)/nanosPerSecond
		entry.tokens = float32(math.Min(refilled, math.Max(c.limits.Burst, 1)))
	}
	switch {
	case rateLimited && entry.tokens < 1:
		return Rate
	case c.limits.Concurrent > 0 && int(entry.inFlight) >= c.limits.Concurrent:
		return Concurrent
	case duplicate && entry.duplicates < 1:
		return Duplicates
	case duplicate:
		entry.duplicates--
	default:
		entry.duplicates = min(entry.duplicates+duplicatesPerFirst, maxSavedDuplicates)
	}
	if rateLimited {
		entry.tokens--
	}
	entry.inFlight++
	return Admitted
}

// End reports the end of a request that was admitted.
func (c *Clients) End(key uint64) {
	s, hash := c.lock(key)
	defer s.mu.Unlock()
	set := c.set(s, hash)
	for i := range set {
		entry := &set[i]
		if entry.hash == hash && entry.inFlight > 0 {
			entry.inFlight--
			return
		}
	}
}

// SetRetryAfter records the Retry-After that a client was given.
func (c *Clients) SetRetryAfter(now Time, key uint64, after time.Duration) {
	s, hash := c.lock(key)
	defer s.mu.Unlock()
	entry := c.find(s, hash, now)
	if entry == nil {
		return
	}
	entry.lastNanos = max(entry.lastNanos, int64(now))
	entry.retryAfterMillis = int32(min(after.Milliseconds(), math.MaxInt32))
}

// mixBits spreads the bits of z (the finalizer of splitmix64).
func mixBits(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
