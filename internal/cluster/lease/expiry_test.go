package lease

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A session expires when its time is over and not before, whatever is renewed, opened and reset meanwhile,
// although a leader checks only when one may be over.
func TestExpired(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		s, tracker, now := NewState(1), NewExpiryTracker(0), time.Duration(0)
		expiring := map[uint64]time.Duration{}
		for opening := range uint64(3000) {
			now += time.Duration(r.Int64N(int64(100 * time.Millisecond)))
			switch id := 1 + r.Uint64N(s.LastSessionID+1); r.IntN(30) {
			case 0:
				tracker.Reset(now)
			case 1, 2:
				res := s.Apply(s.Revision+1, &Command{Op: OpOpenSession, Open: &OpenRequest{Name: fmt.Sprint("g", r.IntN(20)), DiskID: 1, OpenSequence: opening + 1}})
				if r.IntN(2) == 0 { // else it was opened by a former leader
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
				t.Fatalf("seed %d at %v: %v are over, want %v", seed, now, got, want)
			}
			for _, id := range want {
				if r.IntN(2) == 0 {
					s.Apply(s.Revision+1, &Command{Op: OpExpireSession, Session: id})
				}
			}
		}
	}
}
