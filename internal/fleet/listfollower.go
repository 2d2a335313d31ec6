package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/cluster/leaseholder"
	"dunemoor/internal/discovery"
	"dunemoor/internal/fleet/endpoints"
)

// subscription is a call of endpointList.Run.
type subscription struct{ sink discovery.Sink }

// listFollower is the state of a running endpointList. It is owned by one goroutine.
type listFollower struct {
	*endpointList
	subscriptions  map[*subscription]struct{}
	state          *endpoints.Follower
	hosts          map[string]discovery.Member // hosts of the full list, by ID
	lease          *leaseholder.Lease          // nil if this gateway is not the holder
	publicationSeq uint64                      // sequence number of the last publication under lease
	resyncAt       time.Duration               // time at which the full list was last requested
	publishedAt    time.Duration               // time at which the last publication to all gateways was sent
	ongoingWatches sync.WaitGroup              // goroutines of watches, also of canceled ones
	cancelWatch    context.CancelFunc          // nil if discovery is not watched
	watchSeq       uint64                      // number of the last watch
}

// follow handles the events of the list. It returns when the gateway has left the fleet and there is no subscription.
func (l *endpointList) follow() {
	defer close(l.ended)
	x := &listFollower{
		endpointList: l, subscriptions: map[*subscription]struct{}{}, state: endpoints.NewFollower(leaseholder.Now()),
		hosts: map[string]discovery.Member{},
	}
	defer x.ongoingWatches.Wait()
	defer x.stopWatch()
	tick := time.NewTicker(watchCheckInterval)
	defer tick.Stop()
	for !x.state.HasLeft() || len(x.subscriptions) > 0 {
		x.check()
		select {
		case do := <-l.events:
			do(x)
		case <-tick.C:
		}
	}
}

// subscribe adds a subscription, which gets the list as it is known.
func (x *listFollower) subscribe(s *subscription) {
	x.subscriptions[s] = struct{}{}
	if version := x.state.Version(); version > 0 {
		s.sink.UpdateEndpoints(balancer.ListFull, discovery.MemberList{Version: version, Full: true, Servers: x.sortedHosts()})
	}
}

// deliver passes an update to all subscriptions.
func (x *listFollower) deliver(kind balancer.ListKind, list discovery.MemberList) {
	for s := range x.subscriptions {
		s.sink.UpdateEndpoints(kind, list)
	}
}

// sortedHosts returns the hosts of the full list, by ID.
func (x *listFollower) sortedHosts() []discovery.Member {
	byID := func(a, b discovery.Member) int { return cmp.Compare(a.ID, b.ID) }
	return slices.SortedFunc(maps.Values(x.hosts), byID)
}

// check starts or stops the watch of discovery. Without a subscription the list is only watched for other gateways.
func (x *listFollower) check() {
	now := leaseholder.Now()
	wasInFallback := x.state.InFallback()
	isNeeded := x.lease != nil || len(x.subscriptions) > 0
	watch := x.state.ShouldWatch(now) && isNeeded
	if x.state.InFallback() && !wasInFallback && !x.state.HasLeft() {
		slog.Info("no endpoint updates from the fleet, watching discovery directly", "pool", x.pool)
	}
	switch {
	case watch && x.cancelWatch == nil:
		x.startWatch()
	case !watch:
		x.stopWatch()
	}
	if !watch && isNeeded && x.state.Version() == 0 {
		x.requestResync(now)
	}
}

func (x *listFollower) startWatch() {
	ctx, cancel := context.WithCancel(context.Background())
	x.cancelWatch = cancel
	x.watchSeq++
	x.watches.Add(1)
	w := discovery.NewWatcher(x.addr, false, x.state.Version())
	sink := &watchSink{x.endpointList, ctx, x.watchSeq}
	w.OnHeartbeat = sink.heartbeat
	x.ongoingWatches.Go(func() { w.Run(ctx, sink) })
}

// stopWatch ends the watch of discovery, if there is one.
func (x *listFollower) stopWatch() {
	if x.cancelWatch != nil {
		x.cancelWatch()
		x.cancelWatch = nil
	}
}

// watchSink is the sink of one watch of discovery.
type watchSink struct {
	*endpointList
	ctx      context.Context
	watchSeq uint64
}

// UpdateEndpoints implements discovery.Sink.
func (s *watchSink) UpdateEndpoints(kind balancer.ListKind, list discovery.MemberList) {
	s.enqueue(func(x *listFollower) { x.receiveDirect(kind, list) })
}

// heartbeat is called when discovery confirms that the list has not changed.
func (s *watchSink) heartbeat() { s.enqueue((*listFollower).publishHeartbeat) }

// enqueue queues a function that the list's goroutine calls, unless the watch has been stopped by then.
func (s *watchSink) enqueue(do func(*listFollower)) {
	event := func(x *listFollower) {
		if x.watchSeq == s.watchSeq && x.cancelWatch != nil {
			do(x)
		}
	}
	select {
	case s.events <- event:
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
	x.deliver(kind, list)
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
}

// publishHeartbeat publishes that the list is current, if this gateway is the holder. It is called when discovery has just
// confirmed the list, and not at intervals: a heartbeat proves to the other gateways that what they have is current, and
// not only that the holder is up. Otherwise a holder whose discovery is silent would keep them all on an old list.
func (x *listFollower) publishHeartbeat() {
	isDue := leaseholder.Now() >= x.publishedAt+minHeartbeatInterval
	if x.lease != nil && x.state.Version() > 0 && isDue {
		x.publish("", endpoints.Update{Kind: endpoints.KindHeartbeat, Version: x.state.Version()}, nil)
	}
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
		x.publisher.Publish(to, x.lease, x.publicationSeq, b)
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
		x.deliver(kind, discovery.MemberList{Version: p.Version, Full: full, Servers: p.Hosts})
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
		x.publisher.RequestResync(x.leaseName, nil)
	}
}
