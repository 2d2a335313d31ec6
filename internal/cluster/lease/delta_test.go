package lease

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

// fullScan returns the changes since a revision by scanning all members and leases.
func fullScan(s *State, revision uint64) (members []Member, leases []LeaseView) {
	full := revision < s.CompactedRevision || revision == 0
	for _, name := range slices.Sorted(maps.Keys(s.Members)) {
		if m := s.Members[name]; full || m.ModRevision > revision {
			members = append(members, *m)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Leases)) {
		if l := s.Leases[name]; full || l.ModRevision > revision {
			leases = append(leases, LeaseView{l.Name, l.HolderSession, l.Holder, l.Token, l.TransferTo})
		}
	}
	return members, leases
}

// TestDeltaSince checks after random commands, also after a restore from a snapshot and with more changes
// than the change log holds, that a delta equals the result of a full scan, and that the index of
// candidates equals one that is rebuilt from the sessions.
func TestDeltaSince(t *testing.T) {
	for seed := range uint64(6) {
		r := rand.New(rand.NewPCG(seed, 1))
		s, index := NewState(1), uint64(0)
		candidates := []string{"d0", "d1", "d2", "d3", "d4", "d5"}
		for opening := range uint64(4 * maxChangeLog) {
			index++
			if opening%1000 == 999 {
				b := s.Encode()
				if s = NewState(0); s.Decode(b) != nil {
					t.Fatal("Decode of the encoded state failed")
				}
			}
			x := s.Members[fmt.Sprint("g", r.IntN(20))]
			id := uint64(0)
			if x != nil {
				id = x.Session
			}
			d := candidates[r.IntN(len(candidates))]
			token := uint64(0)
			if s.Leases[d] != nil {
				token = s.Leases[d].Token
			}
			s.Apply(index, &[]Command{
				{Op: OpOpenSession, Open: &OpenRequest{Name: fmt.Sprint("g", r.IntN(20)), DiskID: 1, OpenSequence: opening + 1, CandidateLeases: candidates[:r.IntN(len(candidates)+1)]}},
				{Op: OpExpireSession, Session: id}, {Op: OpAssign, Lease: d, Token: token, Session: id}, {Op: OpAcquire, Session: id, Lease: d}, {Op: OpRelease, Session: id, Lease: d, Token: token},
				{Op: OpTransfer, Lease: d}, {Op: OpWrite, Session: id, Lease: d, Token: token, Key: "k", Value: "v"},
				{Op: OpCollectGarbage, Name: fmt.Sprint("g", r.IntN(20)), Lease: d, Token: token, Session: id},
			}[r.IntN(8)])
			if opening%50 != 0 {
				continue
			}
			for range 4 {
				from := index - min(index, r.Uint64N(1+uint64(1)<<r.IntN(15)))
				members, leases := fullScan(s, from)
				v := s.DeltaSince(from)
				if !reflect.DeepEqual(v.Members, members) || !reflect.DeepEqual(v.Leases, leases) {
					t.Fatalf("seed %d: delta since revision %d of %d: got %+v, want as in a full scan %+v and %+v", seed, from, index, v, members, leases)
				}
				compact := s.CompactDeltaSince(from, "g1")
				own := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Name != "g1" })
				if !slices.Equal(compact.Members, own) || !reflect.DeepEqual(compact.Leases, leases) || len(members) > 0 && compact.SessionCount != len(s.Sessions) {
					t.Fatalf("seed %d: compact delta since revision %d of %d differs from a full scan: got %+v", seed, from, index, compact)
				}
			}
			indexed := s.candidateSessions()
			s.candidates = nil
			for _, d := range candidates {
				if !slices.Equal(indexed[d], s.candidateSessions()[d]) {
					t.Fatalf("seed %d: the index of candidates for lease %s differs from a rebuilt one", seed, d)
				}
			}
		}
	}
}

// TestCompactDeltaAllocations guards against a compact delta that collects or sorts the names of all
// members: thousands of gateways may open sessions at once, and each of them receives only their number.
func TestCompactDeltaAllocations(t *testing.T) {
	s := NewState(1)
	for i := range uint64(4000) {
		s.Apply(i+1, &Command{Op: OpOpenSession, Open: &OpenRequest{Name: fmt.Sprint("g", i), DiskID: i + 1, OpenSequence: 1, Role: RoleGateway}})
	}
	// A compact delta allocates for the named member, and a full one for its other lists. The bounds do not
	// depend on the number of members.
	for index, most := range map[uint64]float64{0: 12, 1: 4, 2000: 4} {
		var d StateDelta
		if n := testing.AllocsPerRun(10, func() { d = s.CompactDeltaSince(index, "g7") }); n > most || d.SessionCount != 4000 {
			t.Errorf("compact delta since revision %d: too many allocations (%v) or wrong number of sessions (got %d, want 4000)", index, n, d.SessionCount)
		}
	}
}
