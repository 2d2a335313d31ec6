package engine

import (
	"testing"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/discovery"
)

// A pool without hosts rejects at once, with Retry-After, and is not ready.
func TestPoolWithoutHostsRejects(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, h *harness) {
		transport := newScriptedTransport("a", respondWith(200, 0))
		pool := h.newPool(transport, 0)
		h.useRoute(protocolRoute(), nil, pool)
		for name, list := range map[string]discovery.MemberList{
			"no member":    {Full: true},
			"all draining": {Full: true, Servers: []discovery.Member{{ID: "h-1", Addr: "127.0.0.1:9", State: "draining"}}},
		} {
			pool.UpdateEndpoints(balancer.ListFull, list)
			for class := range testClasses {
				began := time.Now()
				_, response := h.do(class)
				if took := time.Since(began); response.Kind != Rejected || response.RetryAfter == 0 || took > rejectionTimeout {
					t.Errorf("%s, class %d: got %+v after %v, want kind %d within %v, with Retry-After", name, class, response, took, Rejected, rejectionTimeout)
				}
			}
			if pool.Ready() || transport.total > 0 {
				t.Errorf("%s: got ready %t and %d attempts, want false and 0", name, pool.Ready(), transport.total)
			}
		}
		pool.UpdateEndpoints(balancer.ListFull, memberList(1, time.Time{}))
		if _, response := h.do(classIdempotent); response.Kind != Served || !pool.Ready() {
			t.Errorf("with a host: got %+v, ready %t, want it served, ready true", response, pool.Ready())
		}
	})
}
