package lease

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

// Whatever comes and goes: a duty is held by a living session that offers it or by nobody, tokens
// only grow, what was held stays where it was unless its owner went or it was moved, evening out
// ends, and the state comes back from its bytes.
func TestPlacement(t *testing.T) {
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 1))
		s, index := NewState(1), uint64(0)
		apply := func(c Command) Result {
			index++
			return s.Apply(index, &c)
		}
		var offers []string
		for i := range 60 {
			offers = append(offers, fmt.Sprintf("d%02d", i))
		}
		opening := uint64(0)
		open := func(i int) {
			opening++
			apply(Command{Op: OpOpenSession, Open: &OpenRequest{Name: fmt.Sprint("g", i), DiskID: uint64(i + 1), OpenSequence: opening, CandidateLeases: offers}})
		}
		settle := func() (moved int) {
			for range 200 {
				list := AssignFree(s)
				for _, c := range list {
					if res := apply(c); res.Code != OK {
						t.Fatalf("seed %d: %+v for %+v", seed, res, c)
					}
				}
				even := Rebalance(s)
				for _, c := range even {
					d := s.Leases[c.Lease]
					apply(c)
					apply(Command{Op: OpRelease, Session: d.HolderSession, Lease: c.Lease, Token: c.Token})
					moved++
				}
				if len(list)+len(even) == 0 {
					return moved
				}
			}
			t.Fatalf("seed %d: placing does not end", seed)
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
				t.Fatalf("seed %d: %d duties were lost, %d changed hands (%d moved)", seed, lost, changed, moved)
			}
			if most, least := slices.Max(slices.Collect(maps.Values(load))), slices.Min(slices.Collect(maps.Values(load))); most-least > maxImbalance {
				t.Fatalf("seed %d: one holds %d, another %d", seed, most, least)
			}
		}
		again := NewState(0)
		if err := again.Decode(s.Encode()); err != nil || string(again.Encode()) != string(s.Encode()) {
			t.Fatalf("seed %d: the state does not come back: %v", seed, err)
		}
	}
}
