package lease

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// sinceAll is Since by a look at everything.
func sinceAll(s *State, index uint64) (members []Member, duties []LeaseView) {
	whole := index < s.CompactedRevision || index == 0
	for _, name := range slices.Sorted(maps.Keys(s.Members)) {
		if m := s.Members[name]; whole || m.ModRevision > index {
			members = append(members, *m)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Leases)) {
		if d := s.Leases[name]; whole || d.ModRevision > index {
			duties = append(duties, LeaseView{d.Name, d.HolderSession, d.Holder, d.Token, d.TransferTo})
		}
	}
	return members, duties
}

// Whatever has happened, also behind a snapshot and behind more than is kept: what is told by what
// has changed is what a look at everything tells, and who offers a duty is who does.
func TestSince(t *testing.T) {
	for seed := range uint64(6) {
		r := rand.New(rand.NewPCG(seed, 1))
		s, index := NewState(1), uint64(0)
		offers := []string{"d0", "d1", "d2", "d3", "d4", "d5"}
		for opening := range uint64(4 * maxChangeLog) {
			index++
			if opening%1000 == 999 {
				b := s.Encode()
				if s = NewState(0); s.Decode(b) != nil {
					t.Fatal("no state")
				}
			}
			x := s.Members[fmt.Sprint("g", r.IntN(20))]
			id := uint64(0)
			if x != nil {
				id = x.Session
			}
			d := offers[r.IntN(len(offers))]
			token := uint64(0)
			if s.Leases[d] != nil {
				token = s.Leases[d].Token
			}
			s.Apply(index, &[]Command{
				{Op: OpOpenSession, Open: &OpenRequest{Name: fmt.Sprint("g", r.IntN(20)), DiskID: 1, OpenSequence: opening + 1, CandidateLeases: offers[:r.IntN(len(offers)+1)]}},
				{Op: OpExpireSession, Session: id}, {Op: OpAssign, Lease: d, Token: token, Session: id}, {Op: OpAcquire, Session: id, Lease: d}, {Op: OpRelease, Session: id, Lease: d, Token: token},
				{Op: OpTransfer, Lease: d}, {Op: OpWrite, Session: id, Lease: d, Token: token, Key: "k", Value: "v"},
				{Op: OpCollectGarbage, Name: fmt.Sprint("g", r.IntN(20)), Lease: d, Token: token, Session: id},
			}[r.IntN(8)])
			if opening%50 != 0 {
				continue
			}
			for range 4 {
				from := index - min(index, r.Uint64N(1+uint64(1)<<r.IntN(15)))
				members, duties := sinceAll(s, from)
				v := s.DeltaSince(from)
				if !reflect.DeepEqual(v.Members, members) || !reflect.DeepEqual(v.Leases, duties) {
					t.Fatalf("seed %d: since %d of %d: %+v, and by a look at all %+v %+v", seed, from, index, v, members, duties)
				}
				lean := s.CompactDeltaSince(from, "g1")
				own := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Name != "g1" })
				if !slices.Equal(lean.Members, own) || !reflect.DeepEqual(lean.Leases, duties) || len(members) > 0 && lean.SessionCount != len(s.Sessions) {
					t.Fatalf("seed %d: lean since %d of %d: %+v", seed, from, index, lean)
				}
			}
			kept := s.candidateSessions()
			s.candidates = nil
			for _, d := range offers {
				if !slices.Equal(kept[d], s.candidateSessions()[d]) {
					t.Fatalf("seed %d: who offers %s is kept wrong", seed, d)
				}
			}
		}
	}
}

// Only relays keep the record where there are any, and a fleet with relays may have more members
// than a mesh.
func TestParts(t *testing.T) {
	s := NewState(1)
	open := func(i int, p Role) Result {
		return s.Apply(s.Revision+1, &Command{Op: OpOpenSession, Open: &OpenRequest{Name: fmt.Sprint("g", i), DiskID: uint64(i + 1), OpenSequence: 1, Role: p}})
	}
	open(0, RoleRelay)
	open(1, RoleGateway)
	open(2, "")
	for i, want := range []Code{OK, Rejected, OK} {
		if r := s.Apply(s.Revision+1, &Command{Op: OpAddReplica, Name: fmt.Sprint("g", i)}); r.Code != want {
			t.Errorf("keep of g%d: %+v", i, r)
		}
	}
	for i := 3; i < maxMeshMembers; i++ {
		open(i, "")
	}
	if r := open(maxMeshMembers, ""); r.Code != Rejected {
		t.Error("a mesh takes more than it may:", r)
	}
	for i := maxMeshMembers; i < MaxMembers; i++ {
		if r := open(i, RoleGateway); r.Code != OK {
			t.Fatal(r)
		}
	}
	if r := open(MaxMembers, RoleGateway); r.Code != Rejected {
		t.Error("a fleet takes more than it may:", r)
	}
}

// A session lapses when its time is over and not before, whatever is renewed, opened and begun
// anew meanwhile, though a leader looks at all only when one may be over.
func TestLapsed(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		s, w, now := NewState(1), NewExpiryTracker(0), time.Duration(0)
		lapsing := map[uint64]time.Duration{}
		for opening := range uint64(3000) {
			now += time.Duration(r.Int64N(int64(100 * time.Millisecond)))
			switch id := 1 + r.Uint64N(s.LastSessionID+1); r.IntN(30) {
			case 0:
				w.Reset(now)
			case 1, 2:
				res := s.Apply(s.Revision+1, &Command{Op: OpOpenSession, Open: &OpenRequest{Name: fmt.Sprint("g", r.IntN(20)), DiskID: 1, OpenSequence: opening + 1}})
				if r.IntN(2) == 0 { // else it was opened by a leader of before
					w.SessionOpened(now, res.Session)
				}
			default:
				if s.Sessions[id] != nil {
					w.Renew(id, now)
				}
			}
			var want []uint64
			for _, id := range slices.Sorted(maps.Keys(s.Sessions)) {
				if at, ok := lapsing[id]; now >= w.deadline(id) && (!ok || now >= at+expireRetryInterval) {
					lapsing[id] = now
					want = append(want, id)
				}
			}
			if got := w.Expired(now, s); !slices.Equal(got, want) {
				t.Fatalf("seed %d at %v: %v are over, and %v", seed, now, got, want)
			}
			for _, id := range want {
				if r.IntN(2) == 0 {
					s.Apply(s.Revision+1, &Command{Op: OpExpireSession, Session: id})
				}
			}
		}
	}
}

// Thousands that come at once are told of one another by a number: a lean view gathers and sorts none
// of their names.
func TestLeanCostsNoNames(t *testing.T) {
	s := NewState(1)
	for i := range uint64(4000) {
		s.Apply(i+1, &Command{Op: OpOpenSession, Open: &OpenRequest{Name: fmt.Sprint("g", i), DiskID: i + 1, OpenSequence: 1, Role: RoleGateway}})
	}
	// The own member, and what a whole view lists beside: nothing that grows.
	for index, most := range map[uint64]float64{0: 12, 1: 4, 2000: 4} {
		var v StateDelta
		if n := testing.AllocsPerRun(10, func() { v = s.CompactDeltaSince(index, "g7") }); n > most || v.SessionCount != 4000 {
			t.Errorf("behind %d: %v allocations, %d members", index, n, v.SessionCount)
		}
	}
}
