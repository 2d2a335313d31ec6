package frontend

import (
	"hash/maphash"
	"sync"
	"time"
)

const (
	// idMemory is how long an id is remembered after its request has ended, at least. A duplicate may have been on its
	// way until then. An id is remembered for twice that at most.
	idMemory = 2 * time.Second
	// maxIDLength is the longest id of a request, in bytes.
	maxIDLength = 64
)

// requestIDs holds the ids of requests that are open or ended a moment ago. Hosts can't tell two requests with one id
// apart. Its size is bounded by the connections of clients and the requests within twice idMemory.
type requestIDs struct {
	mu        sync.Mutex // guards all below
	open      map[uint64]struct{}
	recent    map[uint64]struct{} // ended since rotatedAt
	older     map[uint64]struct{} // ended in the period before
	rotatedAt time.Time
}

// idSeed makes the hashes of ids unpredictable for clients.
var idSeed = maphash.MakeSeed()

// start opens an id and reports whether it was free.
func (s *requestIDs) start(id string, now time.Time) bool {
	hash := maphash.String(idSeed, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	for _, inUse := range []map[uint64]struct{}{s.open, s.recent, s.older} {
		if _, found := inUse[hash]; found {
			return false
		}
	}
	s.open[hash] = struct{}{}
	return true
}

// rotate forgets the ids that ended two periods ago; mu is held.
func (s *requestIDs) rotate(now time.Time) {
	if s.open == nil {
		s.open = map[uint64]struct{}{}
		s.recent = map[uint64]struct{}{}
		s.rotatedAt = now
		return
	}
	age := now.Sub(s.rotatedAt)
	if age <= idMemory {
		return
	}
	s.older = s.recent
	if age > 2*idMemory {
		s.older = nil
	}
	s.recent = map[uint64]struct{}{}
	s.rotatedAt = now
}

// end closes an open id.
func (s *requestIDs) end(id string) {
	hash := maphash.String(idSeed, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, hash)
	s.recent[hash] = struct{}{}
}

// numOpen returns the number of open ids.
func (s *requestIDs) numOpen() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// isValidID reports whether an id has only characters without a meaning in header sections and logs.
func isValidID(id string) bool {
	if id == "" || len(id) > maxIDLength {
		return false
	}
	for _, c := range []byte(id) {
		switch {
		case isAlphanumeric(c):
		case c == '-', c == '_', c == '.', c == ':':
		default:
			return false
		}
	}
	return true
}
