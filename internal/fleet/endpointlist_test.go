package fleet

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/cluster/leaseholder"
	"dunemoor/internal/cluster/node"
	"dunemoor/internal/discovery"
	"dunemoor/internal/fleet/endpoints"
	"dunemoor/internal/testutil"
)

// silentPublisher is a publisher to a fleet without other gateways.
type silentPublisher struct{}

func (silentPublisher) Publish(string, *leaseholder.Lease, uint64, []byte) {}
func (silentPublisher) RequestResync(string, []byte)                       {}

// listRecorder is a sink that keeps the list as a pool would.
type listRecorder struct {
	mu    sync.Mutex
	hosts map[string]string // state by ID
}

func (r *listRecorder) UpdateEndpoints(kind balancer.ListKind, list discovery.MemberList) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if kind == balancer.ListFull || r.hosts == nil {
		r.hosts = map[string]string{}
	}
	for _, h := range list.Servers {
		r.hosts[h.ID] = h.State
	}
}

// state returns the state of a host, and whether it is known.
func (r *listRecorder) state(id string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, ok := r.hosts[id]
	return state, ok
}

// newTestList returns a list whose discovery refuses all calls.
func newTestList(t *testing.T) *endpointList {
	return newEndpointList(t.Context(), silentPublisher{}, "web", "127.0.0.1:1")
}

// publish makes a list receive a publication of the holder.
func publish(t *testing.T, l *endpointList, u endpoints.Update, hosts ...discovery.Member) {
	t.Helper()
	body, err := json.Marshal(endpointPublication{u, hosts})
	if err != nil {
		t.Fatal(err)
	}
	l.ReceivePublication(node.Publication{Token: 1, Body: body})
}

// run calls Run until the returned function is called.
func run(l *endpointList, sink discovery.Sink) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		l.Run(ctx, sink)
		close(ended)
	}()
	return func() {
		cancel()
		<-ended
	}
}

// While a reload replaces a pool, the old and the new pool receive each update, and the new one begins with the list as it
// is known. Guards against updates that reach only one of them, so that the other goes on sending to hosts that drain.
func TestReplacedPoolsReceiveAllUpdates(t *testing.T) {
	const added = 20
	testutil.VirtualTime(t, func(t *testing.T) {
		l := newTestList(t)
		var pools [2]listRecorder
		stopOld := run(l, &pools[0])
		synctest.Wait()
		publish(t, l, endpoints.Update{Kind: endpoints.KindFull, Version: 1}, discovery.Member{ID: "first", State: discovery.StateReady})
		synctest.Wait()
		stopNew := run(l, &pools[1])
		synctest.Wait()
		if _, ok := pools[1].state("first"); !ok {
			t.Error("the new pool has no hosts, want the list as it is known")
		}
		for i := range added {
			host := discovery.Member{ID: string(rune('a' + i)), State: discovery.StateDraining}
			publish(t, l, endpoints.Update{Kind: endpoints.KindChanges, From: uint64(i + 1), Version: uint64(i + 2)}, host)
			synctest.Wait()
			for j := range pools {
				if state, ok := pools[j].state(host.ID); !ok || state != discovery.StateDraining {
					t.Errorf("pool %d has host %s in state %q, known %t, want it draining", j, host.ID, state, ok)
				}
			}
		}
		stopOld()
		publish(t, l, endpoints.Update{Kind: endpoints.KindChanges, From: added + 1, Version: added + 2}, discovery.Member{ID: "last", State: discovery.StateReady})
		synctest.Wait()
		if _, ok := pools[1].state("last"); !ok {
			t.Error("the new pool does not receive an update after the end of the old one")
		}
		if _, ok := pools[0].state("last"); ok {
			t.Error("the old pool receives an update after its end")
		}
		l.leave()
		stopNew()
		<-l.ended
	})
}

// A gateway that leaves the fleet watches discovery at once, and ignores publications. Guards against hosts that drain
// while it finishes its requests: former members get no publications.
func TestListIsWatchedWhileGatewayLeaves(t *testing.T) {
	testutil.VirtualTime(t, func(t *testing.T) {
		l := newTestList(t)
		var pool listRecorder
		stop := run(l, &pool)
		synctest.Wait()
		publish(t, l, endpoints.Update{Kind: endpoints.KindFull, Version: 1}, discovery.Member{ID: "a", State: discovery.StateReady})
		synctest.Wait()
		if n := l.watches.Load(); n != 0 {
			t.Errorf("%d watches of a list that the fleet publishes, want none", n)
		}
		l.leave()
		synctest.Wait()
		if n := l.watches.Load(); n != 1 {
			t.Errorf("%d watches after the gateway has left the fleet, want 1 at once", n)
		}
		publish(t, l, endpoints.Update{Kind: endpoints.KindFull, Version: 2}, discovery.Member{ID: "b", State: discovery.StateReady})
		synctest.Wait()
		if !slices.Equal(keys(&pool), []string{"a"}) {
			t.Errorf("got hosts %v, want those of before", keys(&pool))
		}
		stop()
		<-l.ended
	})
}

// A holder publishes a heartbeat when discovery confirms the list, and none while discovery is silent. Guards against a
// holder that keeps the whole fleet on an old list.
func TestHolderWithSilentDiscoveryPublishesNoHeartbeat(t *testing.T) {
	testutil.VirtualTime(t, func(t *testing.T) {
		l := newTestList(t)
		stop := run(l, &listRecorder{})
		synctest.Wait()
		publish(t, l, endpoints.Update{Kind: endpoints.KindFull, Version: 1}, discovery.Member{ID: "a", State: discovery.StateReady})
		l.do(func(x *listFollower) { x.setLease(&leaseholder.Lease{Name: l.leaseName, Token: 2}) })
		publications := func() (n uint64) {
			l.do(func(x *listFollower) { n = x.publicationSeq })
			return n
		}
		// The clock of leases is real, so the last publication is moved to the past in place of waiting for it to be.
		l.do(func(x *listFollower) { x.publishedAt = leaseholder.Now() - endpoints.PublicationTimeout })
		time.Sleep(2 * watchCheckInterval) // virtual: the list is checked again
		if n := publications(); n != 0 {
			t.Errorf("%d publications while discovery is silent, want none", n)
		}
		for range 3 {
			l.do((*listFollower).publishHeartbeat)
			l.do((*listFollower).publishHeartbeat) // discovery confirms the list twice at once
			l.do(func(x *listFollower) { x.publishedAt -= endpoints.HeartbeatInterval })
		}
		if n := publications(); n != 3 {
			t.Errorf("%d publications after three heartbeats of discovery, want 3", n)
		}
		l.leave()
		stop()
		<-l.ended
	})
}

func keys(r *listRecorder) (ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.hosts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
