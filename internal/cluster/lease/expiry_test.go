package lease

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestExpired checks that Expired returns each session once its deadline has passed and never earlier, with
// random renewals, new sessions and resets in between. It guards against a nextCheck that is too late and
// makes Expired skip an expired session.
func TestExpired(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		s, tracker, now := NewState(1), NewExpiryTracker(0), time.Duration(0)
		expiring := map[uint64]time.Duration{}
		for step := range uint64(3000) {
			now += time.Duration(r.Int64N(int64(100 * time.Millisecond)))
			switch id := 1 + r.Uint64N(s.LastSessionID+1); r.IntN(30) {
			case 0:
				tracker.Reset(now)
			case 1, 2:
				res := s.Apply(s.Revision+1, &Command{Op: OpOpenSession, Open: &OpenRequest{Name: fmt.Sprint("g", r.IntN(20)), DiskID: 1, OpenSequence: step + 1}})
				if r.IntN(2) == 0 { // otherwise a former leader opened it
					tracker.SessionOpened(now, res.Session)
				}
			default:
				if s.Sessions[id] != nil {
					tracker.Renew(id, now)
				}
			}
			var want []uint64
			for _, id := range slices.Sorted(maps.Keys(s.Sessions)) {
				if at, ok := expiring[id]; now >= tracker.deadline(id) && (!ok || now >= at+expireRetryInterval) {
					expiring[id] = now
					want = append(want, id)
				}
			}
			if got := tracker.Expired(now, s); !slices.Equal(got, want) {
				t.Fatalf("seed %d at %v: expired sessions: got %v, want %v", seed, now, got, want)
			}
			for _, id := range want {
				if r.IntN(2) == 0 {
					s.Apply(s.Revision+1, &Command{Op: OpExpireSession, Session: id})
				}
			}
		}
	}
}
