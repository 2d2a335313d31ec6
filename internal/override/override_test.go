package override

import (
	"math/rand/v2"
	"slices"
	"testing"

	"dunemoor/internal/discovery"
)

// Whatever lists and words come in whatever order: what was passed on last of each host is what
// the rule makes of the last list and the last words.
func TestRule(t *testing.T) {
	ids := []string{"a", "b", "c", "d"}
	states := []string{"ready", "draining", "gone"}
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		draw := func() (list []string) {
			for _, id := range ids {
				if r.IntN(3) == 0 {
					list = append(list, id)
				}
			}
			return list
		}
		drained := draw()
		p := NewFilter(drained)
		listed, told := map[string]string{}, map[string]string{}
		for range 40 {
			if r.IntN(2) == 0 {
				drained = draw()
				for _, h := range p.SetDrained(drained) {
					told[h.ID] = h.State
				}
			} else {
				whole := r.IntN(3) == 0
				if whole {
					clear(listed)
					clear(told) // those that a whole list does not name are gone
				}
				var list []discovery.Member
				for _, id := range ids {
					if r.IntN(2) == 0 {
						list = append(list, discovery.Member{ID: id, State: states[r.IntN(len(states))]})
						listed[id] = list[len(list)-1].State
					}
				}
				for _, h := range p.ApplyList(whole, list) {
					told[h.ID] = h.State
				}
			}
			for id, want := range listed {
				if want == "ready" && slices.Contains(drained, id) {
					want = "draining"
				}
				if told[id] != want {
					t.Fatalf("seed %d: %s is told as %q, not %q, with words on %v", seed, id, told[id], want, drained)
				}
			}
		}
	}
}
