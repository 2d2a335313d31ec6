// Package override applies operators' overrides of hosts to the endpoint list of a pool. It does no I/O.
//
// A host with an override drains, whatever its list says, but one that is gone is gone. Without an override,
// or when it is removed, the host is what its list said last. An override of a host that no list has waits
// for it. Hosts are identified by the pool and their ID in the pool's list: a host that returns with another
// ID is another host.
package override

import (
	"maps"
	"slices"

	"dunemoor/internal/discovery"
)

// Filter applies overrides to the endpoint list of one pool.
type Filter struct {
	drained map[string]bool             // hosts with an override
	listed  map[string]discovery.Member // as the list says
}

// NewFilter returns the filter of a pool without a list.
func NewFilter(drained []string) *Filter {
	return &Filter{drained: set(drained), listed: map[string]discovery.Member{}}
}

func set(ids []string) map[string]bool {
	s := map[string]bool{}
	for _, id := range ids {
		s[id] = true
	}
	return s
}

// ApplyList takes the entries of a list, which is the full one or has changes, and returns them with the
// overrides applied.
func (f *Filter) ApplyList(full bool, hosts []discovery.Member) []discovery.Member {
	if full {
		clear(f.listed)
	}
	out := slices.Clone(hosts)
	for i, h := range out {
		if h.State == discovery.StateGone {
			delete(f.listed, h.ID)
			continue
		}
		f.listed[h.ID] = h
		out[i] = f.withOverride(h)
	}
	return out
}

// SetDrained sets the hosts with an override, and returns the entries that change thereby.
func (f *Filter) SetDrained(drained []string) (changed []discovery.Member) {
	previous := f.drained
	f.drained = set(drained)
	for _, id := range slices.Sorted(maps.Keys(f.listed)) {
		if h := f.listed[id]; previous[id] != f.drained[id] && h.State != discovery.StateDraining {
			changed = append(changed, f.withOverride(h))
		}
	}
	return changed
}

func (f *Filter) withOverride(h discovery.Member) discovery.Member {
	if f.drained[h.ID] {
		h.State = discovery.StateDraining
	}
	return h
}
