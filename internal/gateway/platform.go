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
	upstreamhttp1 "dunemoor/internal/upstream/http1"
)

// firstListTimeout limits how long a gateway that takes over from another process waits for a list from discovery before
// it serves with the list from its configuration. It must be ready within 6 s.
const firstListTimeout = 2 * time.Second

// platform is the state of a platform gateway, which has one pool.
type platform struct {
	pool           *engine.Pool
	transport      *upstreamhttp1.Transport
	watcher        *discovery.Watcher // delivers the endpoint list of the pool
	indexedClasses []classid.Class    // classes by their index in the balancer
	sharesSocket   bool               // the listening socket for clients is held by the platform
	halveLimits    func()             // halves the limits of memory and descriptors; nil unless sharesSocket
}

// StartPlatform starts a platform gateway that serves clients on ln.
func StartPlatform(cfg *config.Platform, rc *engine.RecordingConfig, ln net.Listener) (*Gateway, error) {
	shared := cfg.ClientsFD > 0
	g := newGateway(cfg.Seed, cfg.Sockets, cfg.Memory(), http1.Options{SharedListeners: shared})
	g.admission.SetLongestDeadline(longestPlatformDeadline(cfg))
	p := &platform{sharesSocket: shared}
	g.platform = p
	p.transport = upstreamhttp1.NewTransport(upstreamhttp1.Options{
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
	p.indexedClasses = classesByIndex(cfg)
	g.engine.Use(g.platformSnapshot(cfg))
	if !shared {
		go p.watcher.Run(g.ctx, p.pool)
		g.serve(ln)
		return g, nil
	}
	g.serveAfterFirstList(ln)
	return g, nil
}

// serveAfterFirstList starts to serve when discovery has sent a list, or after firstListTimeout. Until then another
// process serves the clients of the shared socket.
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

// firstListSink is a Sink that signals the arrival of the first list.
type firstListSink struct {
	discovery.Sink
	once  sync.Once
	first chan struct{} // closed when the first list arrives
}

// UpdateEndpoints implements discovery.Sink.
func (s *firstListSink) UpdateEndpoints(kind balancer.ListKind, list discovery.MemberList) {
	s.Sink.UpdateEndpoints(kind, list)
	if kind != balancer.ListFailed {
		s.once.Do(func() { close(s.first) })
	}
}

// poolConfig returns the configuration of the gateway's only pool.
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

// protocolStreams returns how bodies are buffered and timed in the platform's protocol. Up to 64 KiB of a body are
// buffered, so that a request can be retried. The deadline of a response applies to its header section and to the part of
// its body that is buffered, but not to a part that is streamed. Clients may send 64 kB/s in pieces; a client is too slow
// below an eighth of that. An upload without a byte for 2 s is taken to be dead, as a bad request must get an error
// response within 3 s. Receivers of responses, and hosts, may pause longer.
func protocolStreams() *engine.Streams {
	return &engine.Streams{
		BufferBytes:        frontend.MaxBufferedBytes,
		MaxBodyBytes:       frontend.MaxBodyBytes,
		HeaderDeadlineOnly: true,
		Pace:               body.Pace{IdleTimeout: 10 * time.Second},
		Upload:             body.Pace{IdleTimeout: 2 * time.Second, MinRate: 8 << 10},
	}
}

// platformSnapshot returns a Snapshot with one route to the gateway's only pool, for the classes in indexedClasses.
func (g *Gateway) platformSnapshot(cfg *config.Platform) *engine.Snapshot {
	indexed := g.platform.indexedClasses
	names := make(map[string]int, len(cfg.Classes))
	rules := make([]balancer.Class, len(indexed))
	for i, c := range indexed {
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

// notProcessed reports whether the response proves that the host has not processed the request.
func notProcessed(r *engine.Response) bool { return r.Header.Get("X-Not-Processed") == "1" }

// classesByIndex returns the classes of a configuration, with their names, in the order of their indexes.
func classesByIndex(cfg *config.Platform) []classid.Class {
	list := make([]classid.Class, len(cfg.Settings.Classes))
	for i, c := range cfg.Settings.Classes {
		list[i].Rules = c
	}
	for name, i := range cfg.Classes {
		list[i].Name = name
	}
	return list
}

// longestPlatformDeadline returns the longest deadline of all classes in a platform configuration.
func longestPlatformDeadline(cfg *config.Platform) (longest time.Duration) {
	for _, c := range cfg.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// Retune applies new settings to new requests; requests in flight keep the settings that they started with. If it
// returns an error, the previous settings stay in use. It may be called on a platform gateway only.
func (g *Gateway) Retune(cfg *config.Platform) error {
	p := g.platform
	old := p.indexedClasses
	err := g.engine.Retune(p.pool, func(inUse func(int) bool) (balancer.Settings, []int, []string, *engine.Snapshot) {
		list, from := classid.Assign(old, classesByIndex(cfg), inUse)
		settings := cfg.Settings
		settings.Classes = make([]balancer.Class, len(list))
		names := make([]string, len(list))
		for i, c := range list {
			settings.Classes[i] = c.Rules
			names[i] = c.Name
		}
		p.indexedClasses = list
		return settings, from, names, g.platformSnapshot(cfg)
	})
	if err != nil {
		p.indexedClasses = old
		return err
	}
	g.admission.SetLongestDeadline(longestPlatformDeadline(cfg))
	return nil
}

// SetDiscovery changes the address of the discovery service. It may be called on a platform gateway only.
func (g *Gateway) SetDiscovery(addr string) { g.platform.watcher.SetAddress(addr) }

// shareIDs shares the ids of requests with the process that this one takes over from, and with the next one.
func (g *Gateway) shareIDs(dir string) {
	ids, err := instancelock.OpenSharedIDs(dir)
	if err != nil {
		slog.Warn("ids are not shared with the other process", "err", err)
		return
	}
	g.admission.ShareIDs(ids)
}

// ShareMachine halves the gateway's limits of memory and file descriptors while another process holds the instance lock in
// dir, which is the case while one process takes over from the other. setMemory is called with the gateway's share of the
// memory, 0.5 or 1. ShareMachine must be called before Stop. It has no effect unless the listening socket is held by the
// platform.
func (g *Gateway) ShareMachine(dir string, setMemory func(share float64)) {
	p := g.platform
	if p == nil || !p.sharesSocket {
		return
	}
	g.shareIDs(dir)
	// setHalves sets the limits to halves/2 of the configured ones.
	setHalves := func(halves int) {
		setMemory(float64(halves) / 2)
		g.admission.Bodies.SetMemoryLimit(g.memoryLimit * int64(halves) / 2)
		sockets := g.maxSockets * halves / 2
		g.server.SetConnLimits(clientSocketLimits(sockets))
		p.transport.SetLimits(int(config.HostSockets(sockets)), int64(largeResponseShare*float64(g.memoryLimit)*float64(halves)/2))
	}
	p.halveLimits = func() { setHalves(1) }
	_, alone, err := instancelock.TryLock(dir)
	if err != nil {
		slog.Warn("instance lock unavailable, using half of the limits", "err", err)
	}
	if alone {
		return // the lock is held until the process ends
	}
	setHalves(1)
	if err == nil {
		go func() {
			if _, err := instancelock.WaitLock(g.ctx, dir); err == nil {
				setHalves(2)
			}
		}()
	}
}
