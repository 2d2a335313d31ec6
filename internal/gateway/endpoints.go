package gateway

import (
	"sync"
	"sync/atomic"

	"dunemoor/balancer"
	"dunemoor/internal/discovery"
	"dunemoor/internal/engine"
	"dunemoor/internal/override"
)

// overrideFilter applies operators' overrides to the endpoint list of a pool before it reaches the pool.
type overrideFilter struct {
	mu     sync.Mutex
	filter *override.Filter
	pool   *engine.Pool
}

// update passes an update of the endpoint list to the pool, with the overrides applied.
func (f *overrideFilter) update(kind balancer.ListKind, list discovery.MemberList) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if kind != balancer.ListFailed {
		list.Servers = f.filter.ApplyList(kind == balancer.ListFull, list.Servers)
	}
	f.pool.UpdateEndpoints(kind, list)
}

// setDrained replaces the overrides and updates the hosts whose state changes.
func (f *overrideFilter) setDrained(drained []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if changed := f.filter.SetDrained(drained); len(changed) > 0 {
		f.pool.UpdateEndpoints(balancer.ListChanges, discovery.MemberList{Servers: changed})
	}
}

// endpointSink receives the endpoint list of a source until another source replaces it.
type endpointSink struct {
	target    *overrideFilter
	current   *atomic.Pointer[endpointSink] // sink of the pool's current source
	firstList chan struct{}                 // closed when the first list arrives
	received  atomic.Bool                   // a list has arrived
}

// UpdateEndpoints implements discovery.Sink.
func (s *endpointSink) UpdateEndpoints(kind balancer.ListKind, list discovery.MemberList) {
	if s.current.Load() != s {
		return // a late update of a replaced source must not overwrite the list of the current one
	}
	s.target.update(kind, list)
	if kind != balancer.ListFailed && s.received.CompareAndSwap(false, true) {
		close(s.firstList)
	}
}
