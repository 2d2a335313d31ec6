package fleet

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"dunemoor/internal/cluster/leaseholder"
	"dunemoor/internal/cluster/node"
	"dunemoor/internal/discovery"
	"dunemoor/internal/fleet/endpoints"
)

const (
	// listLeasePrefix is the prefix of the names of list leases, followed by the pool. The holder watches
	// discovery for the fleet.
	listLeasePrefix = "list/"
	// maxListEvents is the capacity of a list's event queue. Events that do not fit are lost, and requested
	// again.
	maxListEvents = 64
	// watchCheckInterval is how often a list checks whether discovery must be watched.
	watchCheckInterval = 250 * time.Millisecond
	// minHeartbeatInterval is the minimum time between a publication to all gateways and a heartbeat after it.
	minHeartbeatInterval = endpoints.HeartbeatInterval / 2
	// minResyncInterval is the minimum time between two requests for the full list.
	minResyncInterval = watchCheckInterval
)

// endpointPublication is what the holder of a list lease publishes.
type endpointPublication struct {
	endpoints.Update
	Hosts []discovery.Member `json:"hosts,omitempty"`
}

// publisher sends what a list has to tell other gateways. It is implemented by cluster.Cluster.
type publisher interface {
	Publish(to string, l *leaseholder.Lease, seq uint64, body []byte)
	RequestResync(lease string, body []byte)
}

// endpointList provides the endpoint list of a pool through the fleet. It is a gateway.Source. One goroutine follows the
// list for all calls of Run: while a reload replaces a pool there are two.
type endpointList struct {
	publisher  publisher
	fleetCtx   context.Context // canceled when the gateway leaves the fleet
	pool, addr string
	leaseName  string
	events     chan func(*listFollower)
	watches    atomic.Uint64 // number of watches of discovery since the start

	startOnce sync.Once
	started   atomic.Bool
	ended     chan struct{} // closed when follow has returned
}

func newEndpointList(fleetCtx context.Context, p publisher, pool, addr string) *endpointList {
	return &endpointList{
		publisher: p, fleetCtx: fleetCtx, pool: pool, addr: addr, leaseName: listLeasePrefix + pool,
		events: make(chan func(*listFollower), maxListEvents), ended: make(chan struct{}),
	}
}

// Run passes the list to a sink until ctx is done: at once the list as it is known, and then all updates.
func (l *endpointList) Run(ctx context.Context, sink discovery.Sink) {
	l.startOnce.Do(func() {
		l.started.Store(true)
		go l.follow()
	})
	s := &subscription{sink}
	if !l.do(func(x *listFollower) { x.subscribe(s) }) {
		discovery.NewWatcher(l.addr, false, 0).Run(ctx, sink) // the gateway has left the fleet
		return
	}
	<-ctx.Done()
	l.do(func(x *listFollower) { delete(x.subscriptions, s) })
}

// leave makes the list come from discovery itself, because the gateway leaves the fleet.
func (l *endpointList) leave() {
	if l.started.Load() {
		l.do(func(x *listFollower) { x.state.Leave() })
	}
}

// do calls a function in the list's goroutine and waits for its end. It returns false if that goroutine has ended.
func (l *endpointList) do(f func(*listFollower)) bool {
	handled := make(chan struct{})
	event := func(x *listFollower) {
		f(x)
		close(handled)
	}
	select {
	case l.events <- event:
	case <-l.ended:
		return false
	}
	select {
	case <-handled:
		return true
	case <-l.ended:
		return false
	}
}

// enqueue queues a function for the list's goroutine. It returns false if the queue is full.
func (l *endpointList) enqueue(do func(*listFollower)) bool {
	select {
	case l.events <- do:
		return true
	default:
		return false
	}
}

// runAsHolder is the work under the list lease. Discovery is watched while it runs.
func (l *endpointList) runAsHolder(ctx context.Context, lease *leaseholder.Lease) {
	if !l.enqueue(func(x *listFollower) { x.setLease(lease) }) {
		return // the runner starts the work again
	}
	<-ctx.Done()
	stopped := make(chan struct{})
	stop := func(x *listFollower) {
		if x.lease == lease {
			x.setLease(nil)
		}
		close(stopped)
	}
	select {
	case l.events <- stop:
		select {
		case <-stopped:
		case <-l.fleetCtx.Done():
		}
	case <-l.fleetCtx.Done():
	}
}

// ReceivePublication implements cluster.Subscriber.
func (l *endpointList) ReceivePublication(p node.Publication) {
	var update endpointPublication
	if err := json.Unmarshal(p.Body, &update); err != nil {
		slog.Warn("malformed endpoint publication", "pool", l.pool, "err", err)
		return
	}
	l.enqueue(func(x *listFollower) { x.receive(p.Token, &update) })
}

// Resync implements cluster.Subscriber. It sends the full list to the gateway that requests it.
func (l *endpointList) Resync(from string, _ []byte) {
	l.enqueue(func(x *listFollower) {
		if x.lease == nil || x.state.Version() == 0 {
			return
		}
		full := endpoints.Update{Kind: endpoints.KindFull, Version: x.state.Version()}
		x.publish(from, full, x.sortedHosts())
	})
}
