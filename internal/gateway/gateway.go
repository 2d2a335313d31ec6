// Package gateway puts a gateway together: fronts, engine, pools with their transports, and
// where their hosts are told, for the platform or as an appliance that stands by itself.
package gateway

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/admin"
	"dunemoor/internal/body"
	"dunemoor/internal/config"
	"dunemoor/internal/discovery"
	"dunemoor/internal/engine"
	"dunemoor/internal/front"
	fcgi "dunemoor/internal/front/fastcgi"
	"dunemoor/internal/front/http1"
	hosts "dunemoor/internal/host/http1"
	"dunemoor/internal/places"
	"dunemoor/internal/route"
	"dunemoor/internal/sole"
)

// Shares of the descriptors, in hundredths. Clients hold a third of all at most for
// their requests; each request out holds one to a host, and the more of those stay
// idle beside, the fewer handshakes. What is left, 19 at the least, is for the listener, two
// watches of discovery and the runtime: nobody else may take it (config.SharedSockets).
const (
	clientSockets = 48
	clientSpare   = 2
)

// largeShare is the part of the memory limit that large answers may fill, all together,
// until their clients have them.
const largeShare = 1.0 / 4

// Gateway is one that serves. Its methods are called from one goroutine.
type Gateway struct {
	engine *engine.Engine
	gate   *front.Gate
	server *http1.Server
	// responder is the front for web servers that speak FastCGI, nil where none can.
	responder *fcgi.Server
	broken    chan error // a listener that ended by itself

	ctx    context.Context // of all that runs
	cancel context.CancelFunc

	sockets int
	memory  int64

	watcher *discovery.Watcher // of the platform
	half    func()             // leaves half of what the machine has to another process; nil: there is none
	box     *box               // of an appliance

	// Of the platform.
	pool      *engine.Pool
	classes   []places.Class // by their number
	transport *hosts.Transport
	shared    bool // the platform holds the socket for clients
}

// newGateway makes one that has no pool yet.
func newGateway(seed uint64, sockets int, memory int64, o http1.Options) *Gateway {
	g := &Gateway{engine: engine.New(seed), broken: make(chan error, 1), sockets: sockets, memory: memory}
	g.gate = front.NewGate(g.engine, body.NewBudget(memory))
	o.Sockets, o.Spare = clientParts(sockets)
	g.server = http1.New(g.gate, o)
	g.ctx, g.cancel = context.WithCancel(context.Background())
	go g.server.Drain(g.ctx)
	return g
}

// clientParts is how many of so many descriptors are for clients, and how many more before a
// new connection is closed at once.
func clientParts(sockets int) (most, spare int) {
	sockets = config.SharedSockets(sockets)
	most = sockets * clientSockets / 100
	return most, sockets*(clientSockets+clientSpare)/100 - most
}

// serve takes requests from ln.
func (g *Gateway) serve(ln net.Listener) { g.serveBy(g.server.Serve, ln) }

// serveBy has a front take requests from ln.
func (g *Gateway) serveBy(serve func(net.Listener) error, ln net.Listener) {
	go func() {
		if err := serve(ln); err != nil {
			select {
			case g.broken <- fmt.Errorf("listen: %s: %w", ln.Addr(), err):
			default: // another has said so
			}
		}
	}()
}

// Broken tells of a listener that has ended by itself.
func (g *Gateway) Broken() <-chan error { return g.broken }

// Dump has what the flight recorder holds written out.
func (g *Gateway) Dump() { g.engine.Dump() }

// Stop ends service in order: all that was taken is answered. It waits for what is recorded
// to be written, for so long at most.
func (g *Gateway) Stop(recorded time.Duration) {
	if g.half != nil {
		g.half()
	}
	var fronts sync.WaitGroup
	if g.responder != nil {
		fronts.Go(g.responder.Stop)
	}
	g.server.Stop()
	fronts.Wait()
	g.cancel()
	g.engine.Wait(recorded)
}

// Close ends it all at once.
func (g *Gateway) Close() {
	g.server.Close()
	if g.responder != nil {
		g.responder.Close()
	}
	g.cancel()
	g.engine.Wait(time.Minute)
}

// StartPlatform serves on ln as the platform says.
func StartPlatform(cfg *config.Platform, rc *engine.RecordingConfig, ln net.Listener) (*Gateway, error) {
	longest := time.Duration(0)
	for _, c := range cfg.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	shared := cfg.ClientsFD > 0
	g := newGateway(cfg.Seed, cfg.Sockets, cfg.Memory(), http1.Options{Longest: longest, Shared: shared})
	transport := hosts.New(hosts.Options{
		Sockets: int(config.HostSockets(cfg.Sockets)), Memory: int64(largeShare * float64(cfg.Memory())),
		ConnIdle: cfg.ConnIdle, DialTimeout: cfg.DialTimeout, Budget: g.gate.Bodies,
	})
	g.transport, g.shared = transport, shared
	g.watcher = discovery.NewWatcher(cfg.Discovery, cfg.Settings.Poll, cfg.Known.Version)
	pc := engine.PoolConfig{
		Settings: cfg.Settings, Seed: cfg.Seed, Zones: cfg.Zones, Kinds: cfg.Kinds, Transport: transport, Poll: g.watcher.Watch,
	}
	if rc != nil {
		classes := make([]string, len(cfg.Classes))
		for name, i := range cfg.Classes {
			classes[i] = name
		}
		pc.Recording = &engine.Recording{RecordingConfig: rc, Name: cfg.Name, Classes: classes}
	}
	pool, err := g.engine.NewPool(pc)
	if err != nil {
		g.cancel()
		return nil, err
	}
	go transport.Run(g.ctx)
	go g.engine.Run(g.ctx)
	pool.UpdateEndpoints(balancer.ListSaved, cfg.Known)
	g.pool, g.classes = pool, named(cfg)
	g.engine.Use(g.platformPlan(cfg))
	if !shared {
		go g.watcher.Run(g.ctx, pool)
		g.serve(ln)
		return g, nil
	}
	// Another process serves meanwhile: there is time to hear of the hosts as they are now.
	g.gate.Wait()
	heard := newsSink{Sink: pool, first: make(chan struct{})}
	go g.watcher.Run(g.ctx, &heard)
	go func() {
		select {
		case <-heard.first:
		case <-time.After(listTime):
		case <-g.ctx.Done():
			return
		}
		g.serve(ln)
		g.gate.Go()
	}()
	return g, nil
}

// protocolStreams is how bodies flow in our own protocol: up to 64 KiB are held whole, so that
// a request can be sent again; the time of a longer answer is for its first bytes. Clients may
// send 64 kB a second, in pieces: an eighth of that is slow, and without a byte for 2 s nothing
// more will come, as whoever sends what is bad is owed an error within 3 s. Whoever takes an
// answer, or makes one, may rest for longer.
func protocolStreams() *engine.Streams {
	return &engine.Streams{
		BufferBytes: front.MaxHeld, MaxBodyBytes: front.MaxBody, HeadDeadlineOnly: true,
		Pace:   body.Pace{Idle: 10 * time.Second},
		Upload: body.Pace{Idle: 2 * time.Second, Least: 8 << 10},
	}
}

// platformPlan is the one route to the one pool, for the classes of cfg by their numbers.
func (g *Gateway) platformPlan(cfg *config.Platform) *engine.Snapshot {
	names := make(map[string]int, len(cfg.Classes))
	rules := make([]balancer.Class, len(g.classes))
	for i, c := range g.classes {
		if rules[i] = c.Rules; !c.Rules.Retired {
			names[c.Name] = i
		}
	}
	return g.engine.NewSnapshot(nil, []*engine.Route{{
		Classes: rules, ClassNames: names, Tenants: cfg.Tenants, Streams: protocolStreams(),
		Classify: func(a *engine.Response) balancer.Result { return route.Protocol(a.Status, unseen(a)) },
	}}, nil, engine.PoolUse{Pool: g.pool, MinShare: 1})
}

// named is the classes of a configuration in their order.
func named(cfg *config.Platform) []places.Class {
	list := make([]places.Class, len(cfg.Settings.Classes))
	for i, c := range cfg.Settings.Classes {
		list[i].Rules = c
	}
	for name, i := range cfg.Classes {
		list[i].Name = name
	}
	return list
}

// Retune has the settings of cfg take effect for what comes from now on; requests under way
// keep what they came under. On an error nothing has changed.
func (g *Gateway) Retune(cfg *config.Platform) error {
	was := g.classes
	err := g.engine.Retune(g.pool, func(inUse func(int) bool) (balancer.Settings, []int, []string, *engine.Snapshot) {
		list, from := places.Next(was, named(cfg), inUse)
		set := cfg.Settings
		set.Classes = make([]balancer.Class, len(list))
		names := make([]string, len(list))
		for i, c := range list {
			set.Classes[i], names[i] = c.Rules, c.Name
		}
		g.classes = list
		return set, from, names, g.platformPlan(cfg)
	})
	if err != nil {
		g.classes = was
		return err
	}
	longest := time.Duration(0)
	for _, c := range cfg.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	g.server.SetLongest(longest)
	return nil
}

// listTime is how long a gateway that takes over from another waits for discovery to speak
// before it serves by the list that it was given: it must be ready within 6 s.
const listTime = 2 * time.Second

// newsSink tells when the first news of the hosts has come.
type newsSink struct {
	discovery.Sink
	once  sync.Once
	first chan struct{}
}

func (s *newsSink) UpdateEndpoints(kind balancer.ListKind, list discovery.MemberList) {
	s.Sink.UpdateEndpoints(kind, list)
	if kind != balancer.ListFailed {
		s.once.Do(func() { close(s.first) })
	}
}

// Admin answers the calls of operators on ln, with those of other parts by their paths.
func (g *Gateway) Admin(ln net.Listener, others map[string]admin.Call) {
	go func() {
		if err := admin.New(g, others).Serve(g.ctx, ln); err != nil {
			select {
			case g.broken <- fmt.Errorf("admin: %s: %w", ln.Addr(), err):
			default: // another has said so
			}
		}
	}()
}

// Ready says whether requests can be served, and if not why.
func (g *Gateway) Ready() (bool, string) { return g.gate.Health() }

// Quiesce begins a drain: health says no, and connections end so that all have had what they
// came for. A second call changes nothing.
func (g *Gateway) Quiesce() {
	g.gate.Quiesce()
	slog.Info("draining")
}

// Resume ends a drain.
func (g *Gateway) Resume() {
	g.gate.Resume()
	slog.Info("drain ended, serving")
}

// ShareBy has the gateway use half of what the machine has while another process that claims
// the same folder runs, as where one takes over from the other; limit is told the part of the
// memory. It is called before Stop, and changes nothing where the platform holds no socket.
func (g *Gateway) ShareBy(dir string, limit func(part float64)) {
	if g.transport == nil || !g.shared {
		return
	}
	use := func(part int) { // in halves
		limit(float64(part) / 2)
		g.server.Limit(clientParts(g.sockets * part / 2))
		g.transport.Limit(int(config.HostSockets(g.sockets*part/2)), int64(largeShare*float64(g.memory)*float64(part)/2))
	}
	g.half = func() { use(1) }
	_, alone, err := sole.Try(dir)
	if err != nil {
		slog.Warn("whether another gateway runs is not known, using half of the limits", "err", err)
	}
	if alone {
		return // the claim is kept until the process ends
	}
	use(1)
	if err == nil {
		go func() {
			if _, err := sole.Wait(g.ctx, dir); err == nil {
				use(2)
			}
		}()
	}
}

// Move has the list of hosts come from another address.
func (g *Gateway) Move(addr string) { g.watcher.Move(addr) }

// unseen says whether a host proves to have turned a request away unseen.
func unseen(a *engine.Response) bool { return a.Header.Get("X-Not-Processed") == "1" }

// memoryOf is the limit in bytes.
func memoryOf(mb int) int64 { return int64(cmp.Or(mb, config.DefaultMemoryMB)) << 20 }
