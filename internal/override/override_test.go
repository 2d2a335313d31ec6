package override

import (
	"math/rand/v2"
	"slices"
	"testing"

	"dunemoor/internal/discovery"
)

// Random lists and overrides arrive in random order. The last state that the filter has returned for each host must
// follow from the last list and the last overrides.
func TestFilterAppliesLastOverridesToLastList(t *testing.T) {
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
		filter := NewFilter(drained)
		listed, applied := map[string]string{}, map[string]string{}
		for range 40 {
			if r.IntN(2) == 0 {
				drained = draw()
				for _, h := range filter.SetDrained(drained) {
					applied[h.ID] = h.State
				}
			} else {
				full := r.IntN(3) == 0
				if full {
					clear(listed)
					clear(applied) // hosts that are not in a full list are gone
				}
				var list []discovery.Member
				for _, id := range ids {
					if r.IntN(2) == 0 {
						list = append(list, discovery.Member{ID: id, State: states[r.IntN(len(states))]})
						listed[id] = list[len(list)-1].State
					}
				}
				for _, h := range filter.ApplyList(full, list) {
					applied[h.ID] = h.State
				}
			}
			for id, want := range listed {
				if want == "ready" && slices.Contains(drained, id) {
					want = "draining"
				}
				if applied[id] != want {
					t.Fatalf("seed %d: state of %s: got %q, want %q, with overrides of %v", seed, id, applied[id], want, drained)
				}
			}
		}
	}
}
