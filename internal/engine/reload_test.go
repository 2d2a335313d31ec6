package engine

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dunemoor/balancer"
)

// 200 requests are in flight at a reload that removes their pool. Each ends in that pool, which is stopped exactly
// once, after the last of them, and new requests go to the new pool.
func TestReloadKeepsRequestsInFlight(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, h *harness) {
		release := make(chan struct{})
		old := newScriptedTransport("a", func(context.Context, string, *Request) Result {
			<-release
			return Result{HasResponse: true, Response: Response{Kind: Served, Status: 200}}
		})
		next := newScriptedTransport("b", respondWith(200, time.Millisecond))
		oldPool := h.newPool(old, 120)
		h.useRoute(protocolRoute(), nil, oldPool)

		var requests sync.WaitGroup
		var mu sync.Mutex
		var servedBefore, servedAfter int
		start := func(served *int) {
			requests.Go(func() {
				if _, response := h.do(classIdempotent); response.Kind == Served {
					mu.Lock()
					*served++
					mu.Unlock()
				}
			})
		}
		for range 200 {
			start(&servedBefore)
			time.Sleep(100 * time.Microsecond)
		}
		synctest.Wait()
		if got := oldPool.OpenRequests(); got != 200 {
			t.Fatalf("before the reload: got %d open requests, want 200", got)
		}

		held := h.Snapshot() // held by a client whose body is still arriving
		h.useRoute(protocolRoute(), nil, h.newPool(next, 6))
		for range 50 {
			start(&servedAfter)
			time.Sleep(time.Millisecond)
		}
		synctest.Wait()
		if servedAfter != 50 || next.attemptCount() != 50 || h.poolStop["a"] != 0 {
			t.Errorf("after the reload: got %d served, %d attempts in the new pool, %d stops of the old one, want 50, 50 and 0",
				servedAfter, next.attemptCount(), h.poolStop["a"])
		}

		close(release)
		requests.Wait()
		synctest.Wait()
		if servedBefore != 200 || h.poolStop["a"] != 0 {
			t.Errorf("while a client holds the old Snapshot: got %d served of those in flight, %d stops of the old pool, want 200 and 0", servedBefore, h.poolStop["a"])
		}
		checkServedOn(t, h, held, old)
		held.Release()
		synctest.Wait()
		if h.poolStop["a"] != 1 || h.poolStop["b"] != 0 {
			t.Errorf("stops of pools: got %v, want a once and b never", h.poolStop)
		}
		checkOneSnapshotLeft(t, h)
	})
}

// checkServedOn checks that a request on a Snapshot is served by one attempt of a transport.
func checkServedOn(t *testing.T, h *harness, s *Snapshot, transport *scriptedTransport) {
	t.Helper()
	request := &Request{Method: "GET", Target: "/", Route: s.routes[0], Class: classIdempotent, Deadline: time.Now().Add(time.Second)}
	response, _ := h.Do(context.Background(), request)
	if attempts := transport.attemptsOf(request); response.Kind != Served || attempts != 1 {
		t.Errorf("last request on the old Snapshot: got %+v after %d attempts in the old pool, want it served after 1", response, attempts)
	}
}

// checkOneSnapshotLeft checks, in the loop, that the engine keeps one pool, and neither an old Snapshot nor a request.
func checkOneSnapshotLeft(t *testing.T, h *harness) {
	t.Helper()
	done := make(chan struct{})
	h.post(func(balancer.Time) {
		if len(h.pools) != 1 || len(h.superseded) != 0 || len(h.requests) != 0 {
			t.Errorf("the engine keeps %d pools, %d old Snapshots, %d requests, want 1, 0 and 0", len(h.pools), len(h.superseded), len(h.requests))
		}
		close(done)
	})
	<-done
}

// A pool that was created for the next Snapshot is kept when an old Snapshot is released. The test guards against
// stopping it together with the unused pools. DropUnused closes a pool that no Snapshot has used.
func TestReloadKeepsPoolMadeBeforeUse(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, h *harness) {
		newPool := func(name string) *Pool { return h.newPool(newScriptedTransport(name, respondWith(200, 0)), 3) }
		h.useRoute(protocolRoute(), nil, newPool("a"))
		held := h.Snapshot()
		h.useRoute(protocolRoute(), nil, newPool("b"))
		made := newPool("c")
		held.Release()
		synctest.Wait()
		h.useRoute(protocolRoute(), nil, made)
		if _, response := h.do(classIdempotent); response.Kind != Served {
			t.Errorf("request to the new pool: got %+v, want it served", response)
		}
		unused := newPool("d") // created by a reload that fails and drops its pools
		h.DropUnused()
		synctest.Wait()
		if h.poolStop["a"] != 1 || h.poolStop["b"] != 1 || h.poolStop["c"] != 0 || h.poolStop["d"] != 1 {
			t.Errorf("stops of pools: got %v, want a, b and d once and c never", h.poolStop)
		}
		if got := unused.OpenRequests(); got != 0 {
			t.Errorf("open requests of the unused pool: got %d, want 0", got)
		}
	})
}

// A Snapshot without changes keeps the state of failover chains and retry budgets. The test guards against a reload
// that sends traffic to a failed pool again, or refills an exhausted retry budget.
func TestReloadKeepsBudgetAndFailoverState(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, h *harness) {
		primary := newScriptedTransport("a", endWith(balancer.ConnectFailed))
		fallback := newScriptedTransport("b", respondWith(200, time.Millisecond))
		primaryPool, fallbackPool := h.newPool(primary, 4), h.newPool(fallback, 4)
		first := h.useRoute(protocolRoute(), &Retries{Share: 0.2, Floor: 1}, primaryPool, fallbackPool)
		h.load(100, 3*time.Second, mixedClass)
		before := primary.attemptCount()
		same := h.useRoute(protocolRoute(), &Retries{Share: 0.2, Floor: 1}, primaryPool, fallbackPool)
		h.load(100, time.Second, mixedClass)
		if got := primary.attemptCount() - before; got > 8 {
			t.Errorf("attempts in the failed pool in the second after the reload: got %d, want 8 at most", got)
		}
		if same.routes[0].budget != first.routes[0].budget {
			t.Error("reload without a change: got a new retry budget, want the old one")
		}
		if same.chains[0].state != first.chains[0].state {
			t.Error("reload without a change: got a new state of the failover chain, want the old one")
		}
		changed := h.useRoute(protocolRoute(), &Retries{Share: 0.5, Floor: 1}, primaryPool, fallbackPool)
		if changed.routes[0].budget == same.routes[0].budget {
			t.Error("reload with another retry share: got the old retry budget, want a new one")
		}
	})
}
