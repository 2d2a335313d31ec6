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
		leaseNames := []string{"d0", "d1", "d2", "d3", "d4", "d5"}
		for step := range uint64(4 * maxChangeLog) {
			index++
			if step%1000 == 999 {
				b := s.Encode()
				s = NewState(0)
				if err := s.Decode(b); err != nil {
					t.Fatalf("seed %d: Decode of the encoded state: got %v, want no error", seed, err)
				}
			}
			member := s.Members[fmt.Sprint("g", r.IntN(20))]
			id := uint64(0)
			if member != nil {
				id = member.Session
			}
			name := leaseNames[r.IntN(len(leaseNames))]
			token := uint64(0)
			if s.Leases[name] != nil {
				token = s.Leases[name].Token
			}
			s.Apply(index, &[]Command{
				{Op: OpOpenSession, Open: &OpenRequest{Name: fmt.Sprint("g", r.IntN(20)), DiskID: 1, OpenSequence: step + 1, CandidateLeases: leaseNames[:r.IntN(len(leaseNames)+1)]}},
				{Op: OpExpireSession, Session: id}, {Op: OpAssign, Lease: name, Token: token, Session: id}, {Op: OpAcquire, Session: id, Lease: name}, {Op: OpRelease, Session: id, Lease: name, Token: token},
				{Op: OpTransfer, Lease: name}, {Op: OpWrite, Session: id, Lease: name, Token: token, Key: "k", Value: "v"},
				{Op: OpCollectGarbage, Name: fmt.Sprint("g", r.IntN(20)), Lease: name, Token: token, Session: id},
			}[r.IntN(8)])
			if step%50 != 0 {
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
			for _, name := range leaseNames {
				if !slices.Equal(indexed[name], s.candidateSessions()[name]) {
					t.Fatalf("seed %d: candidates for lease %s in the index differ from those in a rebuilt index", seed, name)
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
			t.Errorf("compact delta since revision %d: got %v allocations and %d sessions, want at most %v and 4000", index, n, d.SessionCount, most)
		}
	}
}
