package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/body"
	"dunemoor/internal/config"
	"dunemoor/internal/discovery"
	"dunemoor/internal/engine"
	fcgi "dunemoor/internal/front/fastcgi"
	"dunemoor/internal/front/http1"
	responders "dunemoor/internal/host/fastcgi"
	hosts "dunemoor/internal/host/http1"
	"dunemoor/internal/overload"
	"dunemoor/internal/override"
	"dunemoor/internal/route"
)

const (
	// retryAfterMost is the longest that a refusal tells a client to stay away.
	retryAfterMost = 5 * time.Second
	// A host that has just started is taken to fall over at overloadFactor times what it can
	// do, kept up for overloadTime. They bind only where the file says how hosts start.
	overloadFactor = 2.5
	overloadTime   = 1500 * time.Millisecond
	// listWait is how long a reload waits for the discovery of a new pool to name a host, so
	// that requests do not find the pool empty. If it has not by then, they do.
	listWait = 2 * time.Second
)

// box is what an appliance keeps beside the engine.
type box struct {
	file      *config.Appliance
	recording *engine.RecordingConfig
	sources   func(pool, discovery string) Source
	pools     map[string]*boxPool
	shown     atomic.Pointer[map[string]*boxPool] // the same, for whoever looks on
	listeners map[string]net.Listener             // by address as the file has it
	drained   atomic.Pointer[map[string][]string] // by pool: hosts that operators want drained
}

// transport is what makes the attempts of a pool, whatever its protocol.
type transport interface {
	engine.Transport
	Limit(sockets int, memory int64)
}

// boxPool is a pool with where its members come from.
type boxPool struct {
	*engine.Pool
	cfg       config.Pool
	transport transport
	ctx       context.Context
	cancel    context.CancelFunc
	settings  balancer.Settings
	sources   func(pool, discovery string) Source
	source    context.CancelFunc // ends the source of members
	sink      *atomic.Pointer[feed]
	worded    *worded
}

// worded is the list of a pool with operators' words on its hosts.
type worded struct {
	mu    sync.Mutex
	words *override.Filter
	pool  *engine.Pool
}

// list passes on what a source tells, with the words on it.
func (s *worded) list(kind balancer.ListKind, list discovery.MemberList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if kind != balancer.ListFailed {
		list.Servers = s.words.ApplyList(kind == balancer.ListFull, list.Servers)
	}
	s.pool.UpdateEndpoints(kind, list)
}

// say takes the words as they are now.
func (s *worded) say(drained []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if changed := s.words.SetDrained(drained); len(changed) > 0 {
		s.pool.UpdateEndpoints(balancer.ListChanges, discovery.MemberList{Servers: changed})
	}
}

// Drained has hosts get nothing new, whatever their lists say: by pool, all that operators want so.
func (g *Gateway) Drained(hosts map[string][]string) {
	g.box.drained.Store(&hosts)
	if pools := g.box.shown.Load(); pools != nil {
		for name, p := range *pools {
			p.worded.say(hosts[name])
		}
	}
}

// drainedOf is the hosts of a pool that operators want drained.
func (b *box) drainedOf(pool string) []string {
	if d := b.drained.Load(); d != nil {
		return (*d)[pool]
	}
	return nil
}

// feed passes on what a source tells, until another source has taken its place.
type feed struct {
	to   *worded
	now  *atomic.Pointer[feed]
	told chan struct{} // closed by the first list
	once atomic.Bool
}

func (f *feed) UpdateEndpoints(kind balancer.ListKind, list discovery.MemberList) {
	if f.now.Load() != f {
		return // it was replaced: a last word of the old source must not undo the new one's
	}
	f.to.list(kind, list)
	if kind != balancer.ListFailed && f.once.CompareAndSwap(false, true) {
		close(f.told)
	}
}

// Pool is the pool of that name as it is now; nil: there is none.
func (g *Gateway) Pool(name string) *engine.Pool {
	if pools := g.box.shown.Load(); pools != nil && (*pools)[name] != nil {
		return (*pools)[name].Pool
	}
	return nil
}

// Source tells a pool of its members until ctx ends.
type Source interface {
	Run(ctx context.Context, to discovery.Sink)
}

// StartAppliance serves by a file. Nothing is left behind where it fails. Where sources is not
// nil, it makes the source of a pool whose members a discovery service tells; drained is what
// Drained would be told first.
func StartAppliance(a *config.Appliance, rc *engine.RecordingConfig, sources func(pool, discovery string) Source, drained map[string][]string) (*Gateway, error) {
	g := newGateway(rand.Uint64(), a.Limits.Sockets, memoryOf(a.Limits.MemoryMB), http1.Options{Longest: longest(a), Plain: true, Head: a.Limits.HeadKB << 10})
	g.gate.HeadersMost = a.Limits.Headers
	if sources == nil {
		sources = func(_, addr string) Source { return discovery.NewWatcher(addr, false, 0) }
	}
	g.box = &box{recording: rc, sources: sources, pools: map[string]*boxPool{}, listeners: map[string]net.Listener{}}
	g.box.drained.Store(&drained)
	g.limits(a)
	go g.engine.Run(g.ctx)
	if g.engine.Overload != nil {
		go g.watchSelf(g.ctx)
	}
	if err := g.apply(a, false); err != nil {
		g.Close()
		return nil, err
	}
	return g, nil
}

// Reload serves by another file, all at once. Where it can't, it says why and nothing has
// changed. Requests that are in end as they began.
func (g *Gateway) Reload(a *config.Appliance) error {
	late := g.later(a)
	if err := g.apply(a, true); err != nil {
		return err
	}
	if len(late) > 0 {
		slog.Warn("settings changed in the file are used from the next start on", "settings", strings.Join(late, ", "))
	}
	return nil
}

// later names the settings of a file that differ from those in use and need a new start.
func (g *Gateway) later(a *config.Appliance) (names []string) {
	was, now := g.box.file.Limits, a.Limits
	for _, s := range []struct {
		name    string
		changed bool
	}{
		{"admin", g.box.file.Admin != a.Admin}, {"limits.cores", was.Cores != now.Cores}, {"limits.memory_mb", was.MemoryMB != now.MemoryMB},
		{"limits.sockets", was.Sockets != now.Sockets}, {"limits.head_kb", was.HeadKB != now.HeadKB},
		{"limits.headers", was.Headers != now.Headers}, {"limits.overload", was.NoOverload != now.NoOverload},
		// The client's limits are used at once, where there is a table to keep them in.
		{"limits.client", g.gate.Limits.Clients == nil && was.Clients != now.Clients},
		{"limits.client.table_kb", was.ClientsKB != now.ClientsKB},
		{"limits.tenants", was.Tenants != now.Tenants || was.TenantName != now.TenantName},
		{"fleet", !reflect.DeepEqual(g.box.file.Fleet, a.Fleet) || !sameChecks(g.box.file.Pools, a.Pools)},
		{"tenant", !slices.Equal(g.box.file.Tenants, a.Tenants)},
	} {
		if s.changed {
			names = append(names, s.name)
		}
	}
	return names
}

// sameChecks says whether the fleet has the same pools to try, by the same paths.
func sameChecks(a, b []config.Pool) bool {
	paths := func(pools []config.Pool) map[string]string {
		m := map[string]string{}
		for _, p := range pools {
			if p.Check != "" {
				m[p.Name] = p.Check
			}
		}
		return m
	}
	return maps.Equal(paths(a), paths(b))
}

func longest(a *config.Appliance) (d time.Duration) {
	for _, c := range a.Classes {
		d = max(d, c.Deadline)
	}
	return d
}

// apply takes a file over. All that can fail comes before all that changes anything.
func (g *Gateway) apply(a *config.Appliance, running bool) error {
	b := g.box
	var opened []net.Listener
	var made []*boxPool
	undo := func(err error) error {
		for _, ln := range opened {
			ln.Close()
		}
		for _, p := range made {
			p.source()
			p.cancel()
		}
		g.engine.DropUnused()
		return err
	}
	listeners := map[string]net.Listener{}
	for _, l := range a.Listeners {
		ln := b.listeners[listenerKey(l)]
		if ln == nil {
			var err error
			if ln, err = listen(l); err != nil {
				return undo(fmt.Errorf("listener %s: %w", l.Name, err))
			}
			opened = append(opened, ln)
		}
		listeners[listenerKey(l)] = ln
	}
	classes := classesOf(a)
	shares := sharesOf(a)
	pools := map[string]*boxPool{}
	var uses []engine.PoolUse
	for i, cfg := range a.Pools {
		set := settings(cfg, classes.list)
		p := b.pools[cfg.Name]
		if p == nil || !reflect.DeepEqual(p.settings, set) || !sameProtocol(p.cfg, cfg) {
			var err error
			if p, err = g.newPool(a, cfg, set, classes.names); err == nil {
				made = append(made, p)
				err = p.follow(cfg, running)
			}
			if err != nil {
				return undo(fmt.Errorf("pool %s: %w", cfg.Name, err))
			}
		} else if cfg.File != "" && cfg.File != p.cfg.File {
			if _, err := discovery.ReadFile(cfg.File); err != nil {
				return undo(fmt.Errorf("pool %s: %w", cfg.Name, err))
			}
		}
		pools[cfg.Name] = p
		uses = append(uses, engine.PoolUse{Pool: p.Pool, MinShare: cfg.Need, Fallback: a.Pools[i].Fallback})
	}
	var routes []*engine.Route
	var retries []engine.Retries
	for i, r := range a.Routes {
		routes = append(routes, routeOf(a.Table.Routes()[i].Name, r, classes, g.engine.Overload != nil))
		retries = append(retries, engine.Retries{Share: r.RetryShare, Floor: r.RetryFloor})
	}
	plan := g.engine.NewSnapshot(a.Table, routes, retries, uses...)

	// From here on nothing fails.
	for i, cfg := range a.Pools {
		p := pools[cfg.Name]
		p.transport.Limit(int(shares[i]*config.HostSockets(g.sockets)), int64(shares[i]*largeShare*float64(g.memory)))
		if p == b.pools[cfg.Name] && !sameSource(p.cfg, cfg) {
			p.source()
			if err := p.follow(cfg, false); err != nil {
				slog.Error("members not read", "pool", cfg.Name, "err", err)
			}
		}
		p.cfg = cfg
	}
	g.server.SetLongest(longest(a))
	if l := g.gate.Limits; l.Clients != nil {
		l.Clients.Set(a.Limits.Clients)
	}
	if c := g.engine.Overload; c != nil {
		_, _, n := overload.Ranks(rankList(classes))
		c.SetRanks(n)
	}
	g.engine.Use(plan)
	b.pools, b.file = pools, a
	b.shown.Store(&pools)
	for name, p := range pools {
		p.worded.say(b.drainedOf(name)) // what was said while it was made
	}
	for key, ln := range b.listeners {
		if listeners[key] != nil {
			continue
		}
		if strings.HasPrefix(key, fastCGIKey) {
			g.responder.Leave(ln)
		} else {
			g.server.Leave(ln)
		}
	}
	if g.responder == nil && slices.ContainsFunc(a.Listeners, func(l config.Listener) bool { return l.Protocol == config.FastCGI }) {
		g.startResponder()
	}
	for _, l := range a.Listeners {
		ln := listeners[listenerKey(l)]
		opened := slices.Contains(opened, ln)
		if l.Protocol == config.FastCGI {
			g.responder.Tune(ln, fcgi.ListenOptions{Trusted: l.Trusted})
			if opened {
				g.serveBy(g.responder.Serve, ln)
			}
			continue
		}
		g.server.Tune(ln, http1.ListenOptions{Trusted: l.Trusted, Proxy: l.Proxy})
		if opened {
			g.serve(ln)
		}
	}
	b.listeners = listeners
	return nil
}

// fastCGIKey begins the keys of listeners that speak FastCGI: a reload that changes what is spoken
// at an address opens it anew.
const fastCGIKey = "fastcgi "

func listenerKey(l config.Listener) string {
	if l.Protocol == config.FastCGI {
		return fastCGIKey + l.Address
	}
	return l.Address
}

// listen opens a listener. A socket file whose owner has gone is in nobody's way.
func listen(l config.Listener) (net.Listener, error) {
	path, unix := strings.CutPrefix(l.Address, "unix:")
	if !unix {
		return net.Listen("tcp", l.Address)
	}
	ln, err := net.Listen("unix", path)
	if !errors.Is(err, syscall.EADDRINUSE) {
		return ln, err
	}
	if c, derr := net.Dial("unix", path); derr == nil {
		c.Close()
		return nil, err // somebody listens there
	}
	if info, serr := os.Lstat(path); serr != nil || info.Mode().Type() != os.ModeSocket {
		return nil, err
	}
	if err := os.Remove(path); err != nil {
		return nil, err
	}
	return net.Listen("unix", path)
}

// responderShare is the part of the connections of clients that web servers by FastCGI may have:
// each carries many requests.
const responderShare = 4

// startResponder makes the front for FastCGI.
func (g *Gateway) startResponder() {
	most, spare := clientParts(g.sockets)
	g.responder = fcgi.New(g.gate, fcgi.Options{Conns: most / responderShare})
	g.server.Limit(most-most/responderShare, spare)
}

// settings are those of a pool's module.
func settings(p config.Pool, classes []balancer.Class) balancer.Settings {
	return balancer.Settings{
		Instances: 1, Classes: classes, MaxAttempts: 4, Cancel: true, MaxRetryAfter: retryAfterMost,
		SlowStartShare: p.Cold.From, SlowStartWindow: p.Cold.WarmAfter, OverloadFactor: overloadFactor, OverloadWindow: overloadTime,
	}
}

// newPool makes a pool that has no members yet.
func (g *Gateway) newPool(a *config.Appliance, cfg config.Pool, set balancer.Settings, names []string) (*boxPool, error) {
	p := &boxPool{cfg: cfg, settings: set, sources: g.box.sources, source: func() {}, sink: new(atomic.Pointer[feed])}
	if cfg.Protocol == config.FastCGI {
		p.transport = responders.New(responders.Options{Budget: g.gate.Bodies, Root: cfg.Root, Params: cfg.Params})
	} else {
		p.transport = hosts.New(hosts.Options{Budget: g.gate.Bodies})
	}
	p.ctx, p.cancel = context.WithCancel(g.ctx)
	pc := engine.PoolConfig{
		Name: cfg.Name, Settings: set, Seed: rand.Uint64(), Transport: p.transport,
		Stop: p.cancel, // the source ends with it
	}
	if rc := g.box.recording; rc != nil {
		own := *rc
		if own.File != "" {
			ext := filepath.Ext(own.File)
			own.File = strings.TrimSuffix(own.File, ext) + "-" + cfg.Name + ext
		}
		pc.Recording = &engine.Recording{RecordingConfig: &own, Name: a.Name + "-" + cfg.Name, Classes: names}
	}
	var err error
	if p.Pool, err = g.engine.NewPool(pc); err != nil {
		p.cancel()
		return nil, err
	}
	p.worded = &worded{words: override.NewFilter(g.box.drainedOf(cfg.Name)), pool: p.Pool}
	go p.transport.Run(p.ctx)
	return p, nil
}

// sameProtocol says whether two pools speak alike to their hosts.
func sameProtocol(p, q config.Pool) bool {
	return p.Protocol == q.Protocol && p.Root == q.Root && reflect.DeepEqual(p.Params, q.Params)
}

// sameSource says whether two pools have their members from the same place.
func sameSource(p, q config.Pool) bool {
	return p.File == q.File && p.Discovery == q.Discovery && reflect.DeepEqual(p.Members, q.Members)
}

// follow has the pool's members come from where cfg says, and nowhere else any more. With
// must set, they have to be there; else the pool may begin with none.
func (p *boxPool) follow(cfg config.Pool, must bool) error {
	ctx, cancel := context.WithCancel(p.ctx)
	f := &feed{to: p.worded, now: p.sink, told: make(chan struct{})}
	p.source = cancel
	p.sink.Store(f)
	switch {
	case cfg.File != "":
		list, err := discovery.ReadFile(cfg.File)
		if err != nil && must {
			return err
		}
		if err == nil {
			f.UpdateEndpoints(balancer.ListFull, list)
		}
		go discovery.NewFile(cfg.File).Run(ctx, f)
	case cfg.Discovery != "":
		go p.sources(cfg.Name, cfg.Discovery).Run(ctx, f)
		if must {
			select {
			case <-f.told:
			case <-time.After(listWait):
				slog.Warn("no host is told yet", "pool", cfg.Name, "discovery", cfg.Discovery)
			}
		}
	default:
		f.UpdateEndpoints(balancer.ListFull, memberList(cfg.Members))
	}
	return nil
}

func memberList(members []config.Member) discovery.MemberList {
	list := discovery.MemberList{Full: true}
	for _, m := range members {
		list.Servers = append(list.Servers, discovery.Member{
			ID: m.ID, Addr: m.Address, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell, State: "ready",
		})
	}
	return list
}

// classes are those of an appliance as its modules number them: the file's in their order, and
// behind them, of each that may be sent again, one of which nothing may.
type classes struct {
	list  []balancer.Class
	names []string
	index map[string]int
	once  []int // by the number of a class of the file
}

func classesOf(a *config.Appliance) *classes {
	c := &classes{index: map[string]int{}, once: make([]int, len(a.Classes))}
	for i, k := range a.Classes {
		c.list, c.names = append(c.list, k.Class), append(c.names, k.Name)
		c.index[k.Name], c.once[i] = i, i
	}
	for i, k := range a.Classes {
		if k.Idempotency == balancer.NonIdempotent {
			continue
		}
		k.Idempotency, k.DedupWindow = balancer.NonIdempotent, 0
		c.once[i] = len(c.list)
		c.list, c.names = append(c.list, k.Class), append(c.names, k.Name+" once")
	}
	return c
}

// routeOf is a route of the file for the engine.
func routeOf(name string, r config.Route, c *classes, shed bool) *engine.Route {
	out := &engine.Route{
		Name: name, Classes: c.list, ClassNames: c.index, Streams: protocolStreams(),
		Classify: func(a *engine.Response) balancer.Result { return route.Protocol(a.Status, unseen(a)) },
	}
	if shed {
		out.FirstRanks, out.DuplicateRanks, _ = overload.Ranks(rankList(c))
	}
	if r.Class == "" {
		return out
	}
	i := c.index[r.Class]
	out.Plain = &engine.Plain{
		Class: i, NonIdempotentClass: c.once[i], Timeout: r.Timeout, RetryableMethods: r.Repeatable,
		MaxTunnels: r.Upgrades, RequestHeaders: r.Request, ResponseHeaders: r.Answer,
	}
	pace := body.Pace{Idle: r.Idle, Least: r.LeastRate}
	out.Streams = &engine.Streams{BufferBytes: r.Hold, MaxBodyBytes: r.MaxBody, HeadDeadlineOnly: r.Stream, Pace: pace, Upload: pace}
	out.ForwardsFailures = true
	failures := r.Failures
	out.Classify = func(a *engine.Response) balancer.Result { return route.Plain(a.Status, unseen(a), failures) }
	return out
}

// sharesOf is the part of descriptors and memory for hosts that each pool has: its own, where
// the file says so, and of what is left as much as the others.
func sharesOf(a *config.Appliance) []float64 {
	shares, left, rest := make([]float64, len(a.Pools)), 1.0, 0
	for i, p := range a.Pools {
		shares[i] = p.Sockets
		left -= p.Sockets
		if p.Sockets == 0 {
			rest++
		}
	}
	for i := range shares {
		if shares[i] == 0 {
			shares[i] = left / float64(rest)
		}
	}
	return shares
}
