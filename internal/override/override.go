// Package override applies operators' overrides of hosts to the endpoint list of a pool. It does no I/O.
//
// A host with an override is draining, whatever state its list has for it, unless the list has removed it. Without an
// override, or once the override is removed, the host has the state of the latest list. An override of a host that is
// not listed takes effect when the host is listed. Hosts are identified by the pool and their ID in the pool's list:
// a host that returns with another ID is a different host.
package override

import (
	"maps"
	"slices"

	"dunemoor/internal/discovery"
)

// Filter applies overrides to the endpoint list of one pool.
type Filter struct {
	drained map[string]bool             // hosts with an override
	listed  map[string]discovery.Member // entries of the list, without overrides
}

// NewFilter returns a Filter with an empty endpoint list. drained has the IDs of the hosts with an override.
func NewFilter(drained []string) *Filter {
	return &Filter{drained: toSet(drained), listed: map[string]discovery.Member{}}
}

func toSet(ids []string) map[string]bool {
	s := map[string]bool{}
	for _, id := range ids {
		s[id] = true
	}
	return s
}

// ApplyList updates the endpoint list, which hosts replaces if full is true and changes otherwise, and returns hosts
// with the overrides applied.
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

// SetDrained sets the IDs of the hosts with an override, and returns the entries whose state changes.
func (f *Filter) SetDrained(drained []string) (changed []discovery.Member) {
	previous := f.drained
	f.drained = toSet(drained)
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
