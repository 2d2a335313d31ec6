package ratelimit

import (
	"math"
	"sync"
	"time"
)

// ClientLimits are the limits of one client. A limit of 0 means that there is none.
type ClientLimits struct {
	Rate       float64 // requests a second
	Burst      float64 // unused requests that a client may accumulate
	Concurrent int     // requests in flight
}

const (
	entriesPerSet      = 8 // number of entries in which a client may be stored
	shardCount         = 64
	entryBytes         = 32  // size of a clientEntry, as the tests check
	duplicatesPerFirst = 0.5 // duplicates that a client may send for each first request
	maxSavedDuplicates = 5   // unused duplicates that a client may accumulate
	// shardBits is how many low bits of a hash are not used to choose the set, as the lowest bits choose the shard.
	shardBits = 8

	nanosPerMilli  = int64(time.Millisecond)
	nanosPerSecond = 1e9
)

// clientEntry is the state of a client. Its fields have small types, as the table has many entries.
type clientEntry struct {
	hash             uint64  // hash of the client's key; 0: the entry is free
	tokens           float32 // requests that the client may send, as of lastNanos
	duplicates       float32 // duplicates that the client may send
	lastNanos        int64   // time of the last request, or of the last call of SetRetryAfter
	retryAfterMillis int32   // time from lastNanos to the end of the Retry-After; 0: none
	inFlight         int32   // requests in flight
}

// Clients is a table of fixed size. A client that is not in it replaces the client of its set whose last request is
// the oldest and that has no request in flight. So a million new addresses replace only one another and idle clients,
// and the table never grows. A client that was replaced starts again with a full burst, so the limits are effective
// for clients that send requests often.
type Clients struct {
	limits ClientLimits // read with the lock of any shard held, written with all of them held
	seed   uint64
	shards [shardCount]shard
	mask   uint64 // number of sets in a shard, which is a power of two, minus one
}

// shard is a part of the table with its lock.
type shard struct {
	mu      sync.Mutex // guards entries
	entries []clientEntry
}

// NewClients returns a table whose entries take at most the given number of bytes, but at least 16 KiB. The seed must
// be unknown to clients, which could otherwise choose keys that belong to one set.
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

// SetLimits changes the limits. It does not affect requests in flight; a client with more requests in flight than the
// new limit is admitted again once it is below the limit.
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

// set returns the entries in which a client may be stored. The caller holds the lock of its shard.
func (c *Clients) set(s *shard, hash uint64) []clientEntry {
	return s.entries[(hash>>shardBits&c.mask)*entriesPerSet:][:entriesPerSet]
}

// find returns the entry of a client, which it creates if there is none. It returns nil if all clients of the set
// have requests in flight; the client is then not limited. The caller holds the lock of its shard.
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

// Begin decides whether a request of a client is admitted. If it is, the caller calls End once when the request has
// ended. duplicate means that the client marks the request as a duplicate. A request before the end of the client's
// Retry-After counts as a duplicate too, and early reports that. This is not checked if exempt is set, as for
// requests of the highest weight: a household that sends many other requests may still book.
func (c *Clients) Begin(now Time, key uint64, duplicate, exempt bool) (d Decision, early bool) {
	s, hash := c.lock(key)
	defer s.mu.Unlock()
	entry := c.find(s, hash, now)
	if entry == nil {
		return Admitted, false
	}
	elapsedNanos := max(int64(now)-entry.lastNanos, 0) // a clock that was set back adds no tokens
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

// decide checks a request of a client against the limits, and counts it if it is admitted. elapsedNanos is the time
// since the client's last request.
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

// End records the end of a request that was admitted.
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

// SetRetryAfter records the Retry-After that was sent to a client.
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
