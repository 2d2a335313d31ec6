package lease

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

// Whatever sessions begin and end: a lease is held by a live candidate or by nobody, tokens only grow, a
// lease stays where it is unless its holder is gone or it is transferred, rebalancing ends, and the state
// can be decoded from its encoding.
func TestPlacement(t *testing.T) {
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 1))
		s, index := NewState(1), uint64(0)
		apply := func(c Command) Result {
			index++
			return s.Apply(index, &c)
		}
		var candidates []string
		for i := range 60 {
			candidates = append(candidates, fmt.Sprintf("d%02d", i))
		}
		sequence := uint64(0)
		open := func(i int) {
			sequence++
			apply(Command{Op: OpOpenSession, Open: &OpenRequest{Name: fmt.Sprint("g", i), DiskID: uint64(i + 1), OpenSequence: sequence, CandidateLeases: candidates}})
		}
		settle := func() (moved int) {
			for range 200 {
				assigned := AssignFree(s)
				for _, c := range assigned {
					if res := apply(c); res.Code != OK {
						t.Fatalf("seed %d: %+v for %+v", seed, res, c)
					}
				}
				transfers := Rebalance(s)
				for _, c := range transfers {
					d := s.Leases[c.Lease]
					apply(c)
					apply(Command{Op: OpRelease, Session: d.HolderSession, Lease: c.Lease, Token: c.Token})
					moved++
				}
				if len(assigned)+len(transfers) == 0 {
					return moved
				}
			}
			t.Fatalf("seed %d: placement does not settle", seed)
			return 0
		}
		for i := range 12 {
			open(i)
		}
		settle()
		for range 30 {
			before := map[string]uint64{}
			lost := 0
			for name, d := range s.Leases {
				before[name] = d.Token
			}
			x := slices.Sorted(maps.Keys(s.Sessions))
			if len(x) > 3 && r.IntN(2) == 0 {
				gone := x[r.IntN(len(x))]
				lost = len(s.LeasesOf(gone))
				apply(Command{Op: OpExpireSession, Session: gone})
			} else {
				open(r.IntN(12))
			}
			moved := settle()
			load := map[string]int{}
			changed := 0
			for name, d := range s.Leases {
				if d.HolderSession == 0 || s.Sessions[d.HolderSession] == nil || s.Sessions[d.HolderSession].Name != d.Holder {
					t.Fatalf("seed %d: %s is held by %d %s", seed, name, d.HolderSession, d.Holder)
				}
				if d.Token < before[name] {
					t.Fatalf("seed %d: the token of %s fell", seed, name)
				}
				if d.Token > before[name] {
					changed++
				}
				load[d.Holder]++
			}
			if lost > 0 && 2*changed > 3*lost {
				t.Fatalf("seed %d: %d leases lost their holder, %d were granted anew (%d transferred)", seed, lost, changed, moved)
			}
			if most, least := slices.Max(slices.Collect(maps.Values(load))), slices.Min(slices.Collect(maps.Values(load))); most-least > maxImbalance {
				t.Fatalf("seed %d: one holds %d, another %d", seed, most, least)
			}
		}
		again := NewState(0)
		if err := again.Decode(s.Encode()); err != nil || string(again.Encode()) != string(s.Encode()) {
			t.Fatalf("seed %d: the state is not the same after decoding: %v", seed, err)
		}
	}
}
