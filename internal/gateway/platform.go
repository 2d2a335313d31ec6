package gateway

import (
	"log/slog"
	"net"
	"sync"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/body"
	"dunemoor/internal/classid"
	"dunemoor/internal/config"
	"dunemoor/internal/discovery"
	"dunemoor/internal/engine"
	"dunemoor/internal/frontend"
	"dunemoor/internal/frontend/http1"
	"dunemoor/internal/instancelock"
	"dunemoor/internal/route"
	hosts "dunemoor/internal/upstream/http1"
)

// firstListTimeout is how long a gateway that takes over from another waits for discovery before it serves by the list
// that it was given: it has to be ready within 6 s.
const firstListTimeout = 2 * time.Second

// platform is the state of a gateway of the platform, which has one pool.
type platform struct {
	pool         *engine.Pool
	transport    *hosts.Transport
	watcher      *discovery.Watcher // of the pool's endpoint list
	numbered     []classid.Class    // the classes by their number
	sharesSocket bool               // the platform holds the socket for clients
	useHalf      func()             // leaves half of the machine to another process; nil: there is none
}

// StartPlatform starts a gateway of the platform that serves on ln.
func StartPlatform(cfg *config.Platform, rc *engine.RecordingConfig, ln net.Listener) (*Gateway, error) {
	shared := cfg.ClientsFD > 0
	g := newGateway(cfg.Seed, cfg.Sockets, cfg.Memory(), http1.Options{
		LongestDeadline: longestPlatformDeadline(cfg),
		SharedListeners: shared,
	})
	p := &platform{sharesSocket: shared}
	g.platform = p
	p.transport = hosts.NewTransport(hosts.Options{
		MaxConns:        int(config.HostSockets(cfg.Sockets)),
		MaxLargeBytes:   int64(largeResponseShare * float64(cfg.Memory())),
		HostIdleTimeout: cfg.ConnIdle,
		DialTimeout:     cfg.DialTimeout,
		BodyBudget:      g.admission.Bodies,
	})
	p.watcher = discovery.NewWatcher(cfg.Discovery, cfg.Settings.Poll, cfg.Known.Version)
	var err error
	p.pool, err = g.engine.NewPool(p.poolConfig(cfg, rc))
	if err != nil {
		g.cancel()
		return nil, err
	}
	go p.transport.Run(g.ctx)
	go g.engine.Run(g.ctx)
	p.pool.UpdateEndpoints(balancer.ListSaved, cfg.Known)
	p.numbered = classesByNumber(cfg)
	g.engine.Use(g.platformSnapshot(cfg))
	if !shared {
		go p.watcher.Run(g.ctx, p.pool)
		g.serve(ln)
		return g, nil
	}
	g.serveAfterFirstList(ln)
	return g, nil
}

// serveAfterFirstList serves once discovery has sent a list: another process serves meanwhile.
func (g *Gateway) serveAfterFirstList(ln net.Listener) {
	g.admission.SetNotReady()
	sink := firstListSink{Sink: g.platform.pool, first: make(chan struct{})}
	go g.platform.watcher.Run(g.ctx, &sink)
	go func() {
		select {
		case <-sink.first:
		case <-time.After(firstListTimeout):
		case <-g.ctx.Done():
			return
		}
		g.serve(ln)
		g.admission.SetReady()
	}()
}

// firstListSink reports when the first list has arrived.
type firstListSink struct {
	discovery.Sink
	once  sync.Once
	first chan struct{}
}

// UpdateEndpoints implements discovery.Sink.
func (s *firstListSink) UpdateEndpoints(kind balancer.ListKind, list discovery.MemberList) {
	s.Sink.UpdateEndpoints(kind, list)
	if kind != balancer.ListFailed {
		s.once.Do(func() { close(s.first) })
	}
}

// poolConfig returns the configuration of the only pool.
func (p *platform) poolConfig(cfg *config.Platform, rc *engine.RecordingConfig) engine.PoolConfig {
	pc := engine.PoolConfig{
		Settings:  cfg.Settings,
		Seed:      cfg.Seed,
		Zones:     cfg.Zones,
		Kinds:     cfg.Kinds,
		Transport: p.transport,
		Poll:      p.watcher.Poll,
	}
	if rc != nil {
		names := make([]string, len(cfg.Classes))
		for name, i := range cfg.Classes {
			names[i] = name
		}
		pc.Recording = &engine.Recording{RecordingConfig: rc, Name: cfg.Name, Classes: names}
	}
	return pc
}

// protocolStreams is how bodies flow in the platform's protocol. Up to 64 KiB are buffered, so that a request can be
// sent again; the deadline of a longer response is for its first bytes. Clients may send 64 kB a second, in pieces: an
// eighth of that is slow, and after 2 s without a byte nothing more will come, as whoever sends a bad request is owed
// an error within 3 s. Receivers of responses, and hosts, may pause for longer.
func protocolStreams() *engine.Streams {
	return &engine.Streams{
		BufferBytes:      frontend.MaxBufferedBytes,
		MaxBodyBytes:     frontend.MaxBodyBytes,
		HeadDeadlineOnly: true,
		Pace:             body.Pace{IdleTimeout: 10 * time.Second},
		Upload:           body.Pace{IdleTimeout: 2 * time.Second, MinRate: 8 << 10},
	}
}

// platformSnapshot returns the Snapshot with one route to the only pool, for the classes by their numbers.
func (g *Gateway) platformSnapshot(cfg *config.Platform) *engine.Snapshot {
	numbered := g.platform.numbered
	names := make(map[string]int, len(cfg.Classes))
	rules := make([]balancer.Class, len(numbered))
	for i, c := range numbered {
		rules[i] = c.Rules
		if !c.Rules.Retired {
			names[c.Name] = i
		}
	}
	return g.engine.NewSnapshot(nil, []*engine.Route{{
		Classes:    rules,
		ClassNames: names,
		Tenants:    cfg.Tenants,
		Streams:    protocolStreams(),
		Classify:   classifyProtocol,
	}}, nil, engine.PoolUse{Pool: g.platform.pool, MinShare: 1})
}

// classifyProtocol classifies a response by the platform's protocol.
func classifyProtocol(r *engine.Response) balancer.Result {
	return route.ClassifyProtocol(r.Status, notProcessed(r))
}

// notProcessed reports whether a host proves that it has not processed a request.
func notProcessed(r *engine.Response) bool { return r.Header.Get("X-Not-Processed") == "1" }

// classesByNumber returns the classes of a configuration in the order of their numbers.
func classesByNumber(cfg *config.Platform) []classid.Class {
	list := make([]classid.Class, len(cfg.Settings.Classes))
	for i, c := range cfg.Settings.Classes {
		list[i].Rules = c
	}
	for name, i := range cfg.Classes {
		list[i].Name = name
	}
	return list
}

// longestPlatformDeadline returns the longest deadline of all classes.
func longestPlatformDeadline(cfg *config.Platform) (longest time.Duration) {
	for _, c := range cfg.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// Retune puts new settings into effect for new requests; requests under way keep theirs. On an error nothing has
// changed. It is for a gateway of the platform.
func (g *Gateway) Retune(cfg *config.Platform) error {
	p := g.platform
	old := p.numbered
	err := g.engine.Retune(p.pool, func(inUse func(int) bool) (balancer.Settings, []int, []string, *engine.Snapshot) {
		list, from := classid.Assign(old, classesByNumber(cfg), inUse)
		settings := cfg.Settings
		settings.Classes = make([]balancer.Class, len(list))
		names := make([]string, len(list))
		for i, c := range list {
			settings.Classes[i] = c.Rules
			names[i] = c.Name
		}
		p.numbered = list
		return settings, from, names, g.platformSnapshot(cfg)
	})
	if err != nil {
		p.numbered = old
		return err
	}
	g.server.SetLongestDeadline(longestPlatformDeadline(cfg))
	return nil
}

// SetDiscovery has the endpoint list come from another address. It is for a gateway of the platform.
func (g *Gateway) SetDiscovery(addr string) { g.platform.watcher.SetAddress(addr) }

// ShareMachine limits the gateway to half of the machine while another process that has the lock in the same directory
// runs, as where one takes over from the other. setMemory is called with the gateway's share of the memory. ShareMachine
// is called before Stop, and does nothing where the platform holds no socket.
func (g *Gateway) ShareMachine(dir string, setMemory func(share float64)) {
	p := g.platform
	if p == nil || !p.sharesSocket {
		return
	}
	use := func(halves int) {
		setMemory(float64(halves) / 2)
		sockets := g.maxSockets * halves / 2
		g.server.SetConnLimits(clientSocketLimits(sockets))
		p.transport.SetLimits(int(config.HostSockets(sockets)), int64(largeResponseShare*float64(g.memoryLimit)*float64(halves)/2))
	}
	p.useHalf = func() { use(1) }
	_, alone, err := instancelock.TryLock(dir)
	if err != nil {
		slog.Warn("instance lock unavailable, using half of the limits", "err", err)
	}
	if alone {
		return // the lock is kept until the process ends
	}
	use(1)
	if err == nil {
		go func() {
			if _, err := instancelock.WaitLock(g.ctx, dir); err == nil {
				use(2)
			}
		}()
	}
}
