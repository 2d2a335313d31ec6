package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dunemoor/balancer"
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
	// minResyncInterval is the minimum time between two requests for the full list.
	minResyncInterval = watchCheckInterval
)

// endpointPublication is what the holder of a list lease publishes.
type endpointPublication struct {
	endpoints.Update
	Hosts []discovery.Member `json:"hosts,omitempty"`
}

// endpointList provides the endpoint list of a pool through the fleet. It is a gateway.Source.
type endpointList struct {
	fleet      *Fleet
	pool, addr string
	leaseName  string
	events     chan func(*listFollower)
	watches    atomic.Uint64 // number of watches of discovery since the start
}

func newEndpointList(f *Fleet, pool, addr string) *endpointList {
	return &endpointList{fleet: f, pool: pool, addr: addr, leaseName: listLeasePrefix + pool, events: make(chan func(*listFollower), maxListEvents)}
}

// listFollower is the state of a running endpointList. It is owned by one goroutine.
type listFollower struct {
	*endpointList
	sink           discovery.Sink
	state          *endpoints.Follower
	hosts          map[string]discovery.Member // hosts of the full list, by ID
	lease          *leaseholder.Lease          // nil if this gateway is not the holder
	publicationSeq uint64                      // sequence number of the last publication under lease
	resyncAt       time.Duration               // time at which the full list was last requested
	publishedAt    time.Duration               // time at which the last publication to all gateways was sent
	cancelWatch    context.CancelFunc          // nil if discovery is not watched
	watchSeq       uint64                      // number of the last watch
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
		case <-l.fleet.ctx.Done():
		}
	case <-l.fleet.ctx.Done():
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
		byID := func(a, b discovery.Member) int { return cmp.Compare(a.ID, b.ID) }
		full := endpoints.Update{Kind: endpoints.KindFull, Version: x.state.Version()}
		x.publish(from, full, slices.SortedFunc(maps.Values(x.hosts), byID))
	})
}

// Run passes the list to a sink until ctx is done.
func (l *endpointList) Run(ctx context.Context, sink discovery.Sink) {
	x := &listFollower{
		endpointList: l, sink: sink, state: endpoints.NewFollower(leaseholder.Now()), hosts: map[string]discovery.Member{},
	}
	tick := time.NewTicker(watchCheckInterval)
	defer tick.Stop()
	var watches sync.WaitGroup
	defer watches.Wait()
	defer func() {
		if x.cancelWatch != nil {
			x.cancelWatch()
		}
	}()
	for {
		x.check(ctx, &watches)
		select {
		case <-ctx.Done():
			return
		case do := <-l.events:
			do(x)
		case <-tick.C:
		}
	}
}

// check starts or stops the watch of discovery, and publishes a heartbeat if one is due.
func (x *listFollower) check(ctx context.Context, watches *sync.WaitGroup) {
	now := leaseholder.Now()
	wasInFallback := x.state.InFallback()
	watch := x.state.ShouldWatch(now)
	if x.state.InFallback() && !wasInFallback {
		slog.Info("no endpoint updates from the fleet, watching discovery directly", "pool", x.pool)
	}
	switch {
	case watch && x.cancelWatch == nil:
		x.startWatch(ctx, watches)
	case !watch && x.cancelWatch != nil:
		x.cancelWatch()
		x.cancelWatch = nil
	}
	if !watch && x.state.Version() == 0 {
		x.requestResync(now)
	}
	if x.lease != nil && x.state.Version() > 0 && now >= x.publishedAt+endpoints.HeartbeatInterval {
		x.publishHeartbeat()
	}
}

func (x *listFollower) startWatch(ctx context.Context, watches *sync.WaitGroup) {
	watchCtx, cancel := context.WithCancel(ctx)
	x.cancelWatch = cancel
	x.watchSeq++
	x.watches.Add(1)
	w := discovery.NewWatcher(x.addr, false, x.state.Version())
	sink := &watchSink{x.endpointList, watchCtx, x.watchSeq}
	watches.Go(func() { w.Run(watchCtx, sink) })
}

// watchSink is the sink of one watch of discovery.
type watchSink struct {
	*endpointList
	ctx      context.Context
	watchSeq uint64
}

// UpdateEndpoints implements discovery.Sink.
func (s *watchSink) UpdateEndpoints(kind balancer.ListKind, list discovery.MemberList) {
	receive := func(x *listFollower) {
		if x.watchSeq == s.watchSeq && x.cancelWatch != nil {
			x.receiveDirect(kind, list)
		}
	}
	select {
	case s.events <- receive:
	case <-s.ctx.Done():
	}
}

// receiveDirect handles a list from discovery itself, and publishes it if this gateway is the holder.
func (x *listFollower) receiveDirect(kind balancer.ListKind, list discovery.MemberList) {
	from := x.state.Version()
	full := kind != balancer.ListChanges
	if kind == balancer.ListFailed || !x.state.ReceiveDirect(list.Version, full) {
		return
	}
	x.store(full, list.Servers)
	x.sink.UpdateEndpoints(kind, list)
	if x.lease == nil {
		return
	}
	u := endpoints.Update{Kind: endpoints.KindChanges, From: from, Version: list.Version}
	if full {
		u.Kind = endpoints.KindFull
	}
	x.publish("", u, list.Servers)
}

// store updates the hosts of the full list, which is sent to gateways that request it.
func (x *listFollower) store(full bool, hosts []discovery.Member) {
	if full {
		clear(x.hosts)
	}
	for _, h := range hosts {
		if h.State == discovery.StateGone {
			delete(x.hosts, h.ID)
		} else {
			x.hosts[h.ID] = h
		}
	}
}

// setLease sets the lease that this gateway holds, nil for none.
func (x *listFollower) setLease(lease *leaseholder.Lease) {
	x.lease = lease
	x.publicationSeq = 0
	x.publishedAt = 0
	x.state.SetHolder(leaseholder.Now(), lease != nil)
	if lease != nil && x.state.Version() > 0 {
		x.publishHeartbeat() // other gateways may have an older list
	}
}

func (x *listFollower) publishHeartbeat() {
	x.publish("", endpoints.Update{Kind: endpoints.KindHeartbeat, Version: x.state.Version()}, nil)
}

// publish publishes an update to all gateways, or to one, while the lease is valid.
func (x *listFollower) publish(to string, u endpoints.Update, hosts []discovery.Member) {
	b, err := json.Marshal(endpointPublication{u, hosts})
	if err != nil {
		slog.Error("encode endpoint publication failed", "pool", x.pool, "err", err)
		return
	}
	x.publicationSeq++
	if to == "" {
		x.publishedAt = leaseholder.Now()
	}
	if x.lease.Valid() {
		x.fleet.cluster.Publish(to, x.lease, x.publicationSeq, b)
	}
}

// receive handles an update of a holder.
func (x *listFollower) receive(token uint64, p *endpointPublication) {
	now := leaseholder.Now()
	wasInFallback := x.state.InFallback()
	switch x.state.Receive(now, token, p.Update) {
	case endpoints.Apply:
		full := p.Kind == endpoints.KindFull
		x.store(full, p.Hosts)
		kind := balancer.ListChanges
		if full {
			kind = balancer.ListFull
		}
		x.sink.UpdateEndpoints(kind, discovery.MemberList{Version: p.Version, Full: full, Servers: p.Hosts})
	case endpoints.Outdated:
		x.requestResync(now)
	}
	if wasInFallback && !x.state.InFallback() {
		slog.Info("endpoint updates from the fleet resumed", "pool", x.pool, "version", x.state.Version())
	}
}

// requestResync requests the full list from the holder, at most once per minResyncInterval.
func (x *listFollower) requestResync(now time.Duration) {
	if x.lease == nil && now >= x.resyncAt+minResyncInterval {
		x.resyncAt = now
		x.fleet.cluster.RequestResync(x.leaseName, nil)
	}
}
