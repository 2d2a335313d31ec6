package frontend

import (
	"hash/maphash"
	"sync"
	"time"
)

const (
	// idRetention is the minimum time for which an id is kept after its request has ended, unless there are more than
	// maxRecentIDs. A client that has left may send a request again as long as it would have waited for its response, 3 s
	// at most, and a host may run the first one that long. An id is kept for at most twice this time.
	idRetention = 4 * time.Second
	// maxRecentIDs is the number of ended requests whose ids are kept for sure; twice as many are kept at most. An id
	// takes some 20 bytes.
	maxRecentIDs = 100_000
	// maxIDLength is the maximum length of a request id in bytes.
	maxIDLength = 64
)

// requestIDs holds the ids of requests that are open or have recently ended, so that no id is used twice: hosts cannot
// distinguish two requests with the same id. Its size is bounded by the number of client connections plus twice
// maxRecentIDs.
type requestIDs struct {
	mu        sync.Mutex          // guards the fields below
	open      map[uint64]struct{} // hashes of the ids of open requests
	recent    map[uint64]struct{} // hashes of the ids of requests that ended since rotatedAt
	older     map[uint64]struct{} // hashes of the ids of requests that ended in the period before rotatedAt
	rotatedAt time.Time
}

// idSeed is a random hash seed, so that clients cannot choose ids whose hashes collide.
var idSeed = maphash.MakeSeed()

// start marks an id as open and reports whether it was unused.
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

// rotate drops the ids of requests that ended before the previous period. The caller holds mu.
func (s *requestIDs) rotate(now time.Time) {
	if s.open == nil {
		s.open = map[uint64]struct{}{}
		s.recent = map[uint64]struct{}{}
		s.rotatedAt = now
		return
	}
	age := now.Sub(s.rotatedAt)
	if age <= idRetention && len(s.recent) < maxRecentIDs {
		return
	}
	s.older = s.recent
	if age > 2*idRetention {
		s.older = nil
	}
	s.recent = map[uint64]struct{}{}
	s.rotatedAt = now
}

// end marks the id of an open request as recently ended.
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

// SharedIDs holds the ids of the requests of several processes that serve the same clients. Start records an id, and returns
// false if any of them has had it recently. End records the end of its request.
type SharedIDs interface {
	Start(id string) bool
	End(id string)
}

// ShareIDs makes the Admission reject ids that another process has had. It may be called at any time.
func (a *Admission) ShareIDs(ids SharedIDs) { a.sharedIDs.Store(&ids) }

// startID marks an id as open and reports whether it was unused, by this process and those that share their ids.
func (a *Admission) startID(id string, now time.Time) bool {
	if !a.ids.start(id, now) {
		return false
	}
	if shared := a.sharedIDs.Load(); shared != nil && !(*shared).Start(id) {
		a.ids.end(id)
		return false
	}
	return true
}

// endID marks the id of an open request as recently ended.
func (a *Admission) endID(id string) {
	a.ids.end(id)
	if shared := a.sharedIDs.Load(); shared != nil {
		(*shared).End(id)
	}
}

// isValidID reports whether an id has a valid length and only characters that need no escaping in headers and logs.
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
