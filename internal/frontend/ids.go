package frontend

import (
	"hash/maphash"
	"sync"
	"time"
)

// idMemory is how long an id is remembered after its request has ended, at least (at most
// twice that): what repeats it may have been on its way meanwhile.
const idMemory = 2 * time.Second

// ids holds the ids of requests that are open, and for idMemory of those that were. It
// is the Gate's; there are no more open than client connections, and no more
// remembered than requests come within twice idMemory.
type ids struct {
	mu           sync.Mutex
	open         map[uint64]struct{}
	ended, older map[uint64]struct{}
	turned       time.Time // when ended was begun
}

// idSeed makes the hashes of ids unknown to clients.
var idSeed = maphash.MakeSeed()

// start opens an id unless it is open or was a moment ago.
func (s *ids) start(id string, now time.Time) bool {
	h := maphash.String(idSeed, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil || now.Sub(s.turned) > idMemory {
		if s.open == nil || now.Sub(s.turned) > 2*idMemory {
			s.ended = nil
		}
		s.older, s.ended, s.turned = s.ended, map[uint64]struct{}{}, now
		if s.open == nil {
			s.open = map[uint64]struct{}{}
		}
	}
	for _, m := range []map[uint64]struct{}{s.open, s.ended, s.older} {
		if _, there := m[h]; there {
			return false
		}
	}
	s.open[h] = struct{}{}
	return true
}

func (s *ids) end(id string) {
	h := maphash.String(idSeed, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, h)
	s.ended[h] = struct{}{}
}
