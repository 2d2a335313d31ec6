package fleet

import (
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
	"dunemoor/internal/fleet/lists"
)

// listPrefix begins the names of the duties to watch discovery for the fleet; the pool follows.
const listPrefix = "list/"

const (
	// inboxMost bounds what waits for a pool's list; what is over it is lost, and asked for again.
	inboxMost = 64
	// lookEvery is how often it is looked whether a watch is due.
	lookEvery = 250 * time.Millisecond
	// wantEvery is the least time between two questions for the whole list.
	wantEvery = lookEvery
)

// told is an owner's word with its hosts, as it goes from gateway to gateway.
type told struct {
	lists.Word
	Hosts []discovery.Member `json:"hosts,omitempty"`
}

// list is a pool's list of hosts by way of the fleet.
type list struct {
	f          *Fleet
	pool, addr string
	name       string // of the duty
	inbox      chan func(*listening)
	calls      atomic.Uint64 // watches of discovery begun
}

// listening is a list while its pool follows it: all of it belongs to one goroutine.
type listening struct {
	*list
	to     discovery.Sink
	state  *lists.Follower
	hosts  map[string]discovery.Member
	hold   *leaseholder.Lease // nil: we are not the owner
	seq    uint64
	wanted time.Duration
	beat   time.Duration
	cancel context.CancelFunc // of the watch that is on
	watch  uint64             // its number
}

// post has the list's goroutine do something, unless too much waits.
func (l *list) post(do func(*listening)) bool {
	select {
	case l.inbox <- do:
		return true
	default:
		return false
	}
}

// work is the duty's: while it is held discovery is watched from here.
func (l *list) work(ctx context.Context, h *leaseholder.Lease) {
	if !l.post(func(x *listening) { x.own(h) }) {
		return // begun anew in a moment
	}
	<-ctx.Done()
	stopped := make(chan struct{})
	end := func(x *listening) {
		if x.hold == h {
			x.own(nil)
		}
		close(stopped)
	}
	select {
	case l.inbox <- end:
		select {
		case <-stopped:
		case <-l.f.ctx.Done():
		}
	case <-l.f.ctx.Done():
	}
}

// ReceivePublication takes an owner's word.
func (l *list) ReceivePublication(n node.Publication) {
	var t told
	if err := json.Unmarshal(n.Body, &t); err != nil {
		slog.Warn("a list of the fleet can't be read", "pool", l.pool, "err", err)
		return
	}
	l.post(func(x *listening) { x.hear(n.Token, &t) })
}

// Resync is another gateway's wish for the whole list.
func (l *list) Resync(from string, _ []byte) {
	l.post(func(x *listening) {
		if x.hold != nil && x.state.Version() > 0 {
			x.tell(from, lists.Word{Kind: lists.Whole, Version: x.state.Version()}, slices.SortedFunc(maps.Values(x.hosts), byID))
		}
	})
}

func byID(a, b discovery.Member) int {
	if a.ID < b.ID {
		return -1
	}
	return 1
}

// Run tells a pool of its hosts until ctx ends.
func (l *list) Run(ctx context.Context, to discovery.Sink) {
	x := &listening{list: l, to: to, state: lists.New(leaseholder.Now()), hosts: map[string]discovery.Member{}}
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	var watches sync.WaitGroup
	defer watches.Wait()
	defer func() {
		if x.cancel != nil {
			x.cancel()
		}
	}()
	for {
		x.look(ctx, &watches)
		select {
		case <-ctx.Done():
			return
		case do := <-l.inbox:
			do(x)
		case <-tick.C:
		}
	}
}

// look begins or ends the watch, and says that the list stands.
func (x *listening) look(ctx context.Context, watches *sync.WaitGroup) {
	now := leaseholder.Now()
	was := x.state.Alone()
	due := x.state.Watch(now)
	if alone := x.state.Alone(); alone && !was {
		slog.Info("no endpoint updates from the fleet, watching discovery directly", "pool", x.pool)
	}
	switch {
	case due && x.cancel == nil:
		wctx, cancel := context.WithCancel(ctx)
		x.cancel = cancel
		x.watch++
		x.calls.Add(1)
		w, n := discovery.NewWatcher(x.addr, false, x.state.Version()), x.watch
		watches.Go(func() { w.Run(wctx, &direct{x.list, wctx, n}) })
	case !due && x.cancel != nil:
		x.cancel()
		x.cancel = nil
	}
	if !due && x.state.Version() == 0 {
		x.ask(now)
	}
	if x.hold != nil && x.state.Version() > 0 && now >= x.beat+lists.BeatEvery {
		x.tell("", lists.Word{Kind: lists.Beat, Version: x.state.Version()}, nil)
	}
}

// direct is the sink of a watch of ours.
type direct struct {
	*list
	ctx   context.Context
	watch uint64
}

// Members is of discovery.Sink.
func (d *direct) Members(kind balancer.ListKind, list discovery.MemberList) {
	select {
	case d.inbox <- func(x *listening) {
		if x.watch == d.watch && x.cancel != nil {
			x.direct(kind, list)
		}
	}:
	case <-d.ctx.Done():
	}
}

// direct takes what discovery told us, and passes it on as the owner.
func (x *listening) direct(kind balancer.ListKind, list discovery.MemberList) {
	from := x.state.Version()
	whole := kind != balancer.ListChanges
	if kind == balancer.ListFailed || !x.state.Direct(list.Version, whole) {
		return
	}
	x.take(whole, list.Servers)
	x.to.Members(kind, list)
	if x.hold == nil {
		return
	}
	w := lists.Word{Kind: lists.Changes, From: from, Version: list.Version}
	if whole {
		w.Kind = lists.Whole
	}
	x.tell("", w, list.Servers)
}

// take keeps the whole list, for those who want it.
func (x *listening) take(whole bool, hosts []discovery.Member) {
	if whole {
		clear(x.hosts)
	}
	for _, h := range hosts {
		if h.State == "gone" {
			delete(x.hosts, h.ID)
		} else {
			x.hosts[h.ID] = h
		}
	}
}

// own takes note of whether we hold the duty.
func (x *listening) own(h *leaseholder.Lease) {
	x.hold, x.seq, x.beat = h, 0, 0
	x.state.Own(leaseholder.Now(), h != nil)
	if h != nil && x.state.Version() > 0 {
		// Others may be behind what we know.
		x.tell("", lists.Word{Kind: lists.Beat, Version: x.state.Version()}, nil)
	}
}

// tell passes a word on, if we may.
func (x *listening) tell(to string, w lists.Word, hosts []discovery.Member) {
	b, err := json.Marshal(told{w, hosts})
	if err != nil {
		slog.Error("a list can't be passed on", "pool", x.pool, "err", err)
		return
	}
	x.seq++
	if to == "" {
		x.beat = leaseholder.Now()
	}
	if x.hold.Valid() {
		x.f.c.Publish(to, x.hold, x.seq, b)
	}
}

// hear takes an owner's word.
func (x *listening) hear(token uint64, t *told) {
	now := leaseholder.Now()
	alone := x.state.Alone()
	switch x.state.Hear(now, token, t.Word) {
	case lists.Take:
		x.take(t.Kind == lists.Whole, t.Hosts)
		kind := balancer.ListChanges
		if t.Kind == lists.Whole {
			kind = balancer.ListFull
		}
		x.to.Members(kind, discovery.MemberList{Version: t.Version, Full: kind == balancer.ListFull, Servers: t.Hosts})
	case lists.Behind:
		x.ask(now)
	}
	if alone && !x.state.Alone() {
		slog.Info("endpoint updates from the fleet resumed", "pool", x.pool, "version", x.state.Version())
	}
}

// ask asks the owner for the whole list, not too often.
func (x *listening) ask(now time.Duration) {
	if x.hold == nil && now >= x.wanted+wantEvery {
		x.wanted = now
		x.f.c.RequestResync(x.name, nil)
	}
}
