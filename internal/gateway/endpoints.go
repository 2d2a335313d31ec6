package gateway

import (
	"sync"
	"sync/atomic"

	"dunemoor/balancer"
	"dunemoor/internal/discovery"
	"dunemoor/internal/engine"
	"dunemoor/internal/override"
)

// overrideFilter passes a pool its endpoint list with operators' overrides applied.
type overrideFilter struct {
	mu     sync.Mutex
	filter *override.Filter
	pool   *engine.Pool
}

// update applies an update of the list.
func (f *overrideFilter) update(kind balancer.ListKind, list discovery.MemberList) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if kind != balancer.ListFailed {
		list.Servers = f.filter.ApplyList(kind == balancer.ListFull, list.Servers)
	}
	f.pool.UpdateEndpoints(kind, list)
}

// setDrained replaces the overrides.
func (f *overrideFilter) setDrained(drained []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if changed := f.filter.SetDrained(drained); len(changed) > 0 {
		f.pool.UpdateEndpoints(balancer.ListChanges, discovery.MemberList{Servers: changed})
	}
}

// endpointSink receives the list of a source until another source has replaced it.
type endpointSink struct {
	target    *overrideFilter
	current   *atomic.Pointer[endpointSink]
	firstList chan struct{} // closed by the first list
	received  atomic.Bool
}

// UpdateEndpoints implements discovery.Sink.
func (s *endpointSink) UpdateEndpoints(kind balancer.ListKind, list discovery.MemberList) {
	if s.current.Load() != s {
		return // a late update of the old source must not undo the new one's
	}
	s.target.update(kind, list)
	if kind != balancer.ListFailed && s.received.CompareAndSwap(false, true) {
		close(s.firstList)
	}
}
