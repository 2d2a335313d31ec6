// Package words merges operators' words on hosts with the list of a pool. It does no I/O.
//
// The rule: a host with a word on it drains, whatever its list says, but one that is gone is gone.
// Without a word, or with the word taken back, it is what its list said last. A word on a host that
// no list names waits for it. Words go by the pool and by the host's id there: a host that comes
// under another id is another host.
package words

import (
	"maps"
	"slices"

	"dunemoor/internal/discovery"
)

// draining is the state of a host that gets nothing new.
const draining = "draining"

// Pool is the list of one pool with the words on its hosts.
type Pool struct {
	drained map[string]bool
	listed  map[string]discovery.Member // as the list says
}

// New is a pool of which no list has come.
func New(drained []string) *Pool {
	p := &Pool{drained: map[string]bool{}, listed: map[string]discovery.Member{}}
	for _, id := range drained {
		p.drained[id] = true
	}
	return p
}

// Listed takes what a list says, and returns it as it is to be.
func (p *Pool) Listed(whole bool, hosts []discovery.Member) []discovery.Member {
	if whole {
		clear(p.listed)
	}
	out := slices.Clone(hosts)
	for i, h := range out {
		if h.State == "gone" {
			delete(p.listed, h.ID)
			continue
		}
		p.listed[h.ID] = h
		out[i] = p.merged(h)
	}
	return out
}

// Said takes the words as they are now, and returns the hosts that change by it.
func (p *Pool) Said(drained []string) (changed []discovery.Member) {
	was := p.drained
	p.drained = map[string]bool{}
	for _, id := range drained {
		p.drained[id] = true
	}
	for _, id := range slices.Sorted(maps.Keys(p.listed)) {
		if h := p.listed[id]; was[id] != p.drained[id] && h.State != draining {
			changed = append(changed, p.merged(h))
		}
	}
	return changed
}

func (p *Pool) merged(h discovery.Member) discovery.Member {
	if p.drained[h.ID] {
		h.State = draining
	}
	return h
}
