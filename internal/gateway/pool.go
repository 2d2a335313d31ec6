package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"path/filepath"
	"reflect"
	"strings"
	"sync/atomic"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/config"
	"dunemoor/internal/discovery"
	"dunemoor/internal/engine"
	"dunemoor/internal/override"
	upstreamfcgi "dunemoor/internal/upstream/fastcgi"
	upstreamhttp1 "dunemoor/internal/upstream/http1"
)

const (
	// maxBalancerRetryAfter is the longest Retry-After of a request that is rejected by a balancer.
	maxBalancerRetryAfter = 5 * time.Second
	// overloadFactor and overloadWindow define when a host in slow start is overloaded: if its load stays at
	// overloadFactor times its present capacity for overloadWindow. This matters only if the file configures slow start
	// for the pool. The balancer also derives the time spans of its rate estimates from overloadWindow.
	overloadFactor = 2.5
	overloadWindow = 1500 * time.Millisecond
	// reloadListTimeout limits how long a reload waits for the first endpoint lists of all new pools from discovery. The
	// wait avoids rejecting requests because a pool is still empty.
	reloadListTimeout = 2 * time.Second
	// memberReady is the state of hosts that are listed in the configuration file.
	memberReady = "ready"
)

// transport sends the attempts of a pool to its hosts, over HTTP/1.1 or FastCGI.
type transport interface {
	engine.Transport
	SetLimits(sockets int, memory int64)
}

// appliancePool is a pool of an appliance with the source of its endpoint list.
type appliancePool struct {
	*engine.Pool
	cfg       config.Pool
	settings  balancer.Settings // a reload that changes them replaces the pool
	transport transport
	ctx       context.Context // canceled when the engine stops the pool
	cancel    context.CancelFunc

	newSource   SourceFunc
	stopSource  context.CancelFunc            // stops the current source
	currentSink *atomic.Pointer[endpointSink] // sink of the current source
	overrides   *overrideFilter
}

// balancerSettings returns the balancer settings of a pool.
func balancerSettings(p config.Pool, classes []balancer.Class) balancer.Settings {
	return balancer.Settings{
		Instances:       1,
		Classes:         classes,
		MaxAttempts:     engine.MaxAttempts,
		Cancel:          true,
		MaxRetryAfter:   maxBalancerRetryAfter,
		SlowStartShare:  p.SlowStart.Share,
		SlowStartWindow: p.SlowStart.Window,
		OverloadFactor:  overloadFactor,
		OverloadWindow:  overloadWindow,
	}
}

// newPool returns a pool without endpoints.
func (g *Gateway) newPool(a *config.Appliance, cfg config.Pool, settings balancer.Settings, classNames []string) (*appliancePool, error) {
	p := &appliancePool{
		cfg:         cfg,
		settings:    settings,
		newSource:   g.appliance.newSource,
		stopSource:  func() {},
		currentSink: new(atomic.Pointer[endpointSink]),
	}
	if cfg.Protocol == config.FastCGI {
		p.transport = upstreamfcgi.NewTransport(upstreamfcgi.Options{BodyBudget: g.admission.Bodies, DocumentRoot: cfg.ScriptRoot, Params: cfg.Params})
	} else {
		p.transport = upstreamhttp1.NewTransport(upstreamhttp1.Options{BodyBudget: g.admission.Bodies})
	}
	p.ctx, p.cancel = context.WithCancel(g.ctx)
	var err error
	p.Pool, err = g.engine.NewPool(engine.PoolConfig{
		Name:      cfg.Name,
		Settings:  settings,
		Seed:      rand.Uint64(),
		Transport: p.transport,
		Stop:      p.cancel, // stops the source too
		Recording: poolRecording(g.appliance.recording, a.Name, cfg.Name, classNames),
	})
	if err != nil {
		p.cancel()
		return nil, err
	}
	p.overrides = &overrideFilter{filter: override.NewFilter(g.appliance.drainedHosts(cfg.Name)), pool: p.Pool}
	go p.transport.Run(p.ctx)
	return p, nil
}

// poolRecording returns the recording configuration of a pool. Each pool is recorded to its own file, whose name is the
// configured one with the pool name before the extension.
func poolRecording(rc *engine.RecordingConfig, gateway, pool string, classNames []string) *engine.Recording {
	if rc == nil {
		return nil
	}
	own := *rc
	if own.File != "" {
		ext := filepath.Ext(own.File)
		own.File = strings.TrimSuffix(own.File, ext) + "-" + pool + ext
	}
	return &engine.Recording{RecordingConfig: &own, Name: gateway + "-" + pool, Classes: classNames}
}

// equalProtocols reports whether two pools use the same protocol with the same FastCGI settings.
func equalProtocols(p, q config.Pool) bool {
	return p.Protocol == q.Protocol && p.ScriptRoot == q.ScriptRoot && reflect.DeepEqual(p.Params, q.Params)
}

// equalSources reports whether two pools get their endpoint lists from the same source.
func equalSources(p, q config.Pool) bool {
	return p.File == q.File && p.Discovery == q.Discovery && reflect.DeepEqual(p.Members, q.Members)
}

// setSource starts the source of the pool's endpoint list that is configured in cfg. The caller has stopped the previous
// source; late updates of it are ignored. If required is set, an unreadable members file is an error.
func (p *appliancePool) setSource(cfg config.Pool, required bool) error {
	ctx, cancel := context.WithCancel(p.ctx)
	sink := &endpointSink{target: p.overrides, current: p.currentSink, firstList: make(chan struct{})}
	p.stopSource = cancel
	p.currentSink.Store(sink)
	switch {
	case cfg.File != "":
		list, err := discovery.ReadFile(cfg.File)
		if err != nil && required {
			return err
		}
		if err == nil {
			sink.UpdateEndpoints(balancer.ListFull, list)
		}
		go discovery.NewFile(cfg.File).Run(ctx, sink)
	case cfg.Discovery != "":
		go p.newSource(cfg.Name, cfg.Discovery).Run(ctx, sink)
	default:
		sink.UpdateEndpoints(balancer.ListFull, memberList(cfg.Members))
	}
	return nil
}

// awaitFirstList waits until the pool has received an endpoint list. It returns false if ctx ends first.
func (p *appliancePool) awaitFirstList(ctx context.Context) bool {
	firstList := p.currentSink.Load().firstList
	select {
	case <-firstList:
		return true
	default:
	}
	select {
	case <-firstList:
		return true
	case <-ctx.Done():
		return false
	}
}

// awaitFirstLists waits until all pools have received an endpoint list, and no longer than reloadListTimeout in all. It
// returns the error of ctx if that ends first.
func awaitFirstLists(ctx context.Context, pools []*appliancePool) error {
	timeout, cancel := context.WithTimeout(ctx, reloadListTimeout)
	defer cancel()
	for _, p := range pools {
		if p.awaitFirstList(timeout) {
			continue
		}
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("wait for the endpoint list of pool %s: %w", p.cfg.Name, err)
		}
		slog.Warn("no endpoint list received yet", "pool", p.cfg.Name, "discovery", p.cfg.Discovery)
	}
	return nil
}

// memberList converts the static members of the configuration file to an endpoint list.
func memberList(members []config.Member) discovery.MemberList {
	list := discovery.MemberList{Full: true}
	for _, m := range members {
		list.Servers = append(list.Servers, discovery.Member{
			ID: m.ID, Addr: m.Address, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell, State: memberReady,
		})
	}
	return list
}

// poolShares returns for each pool its share of the descriptors and memory for hosts: the configured share, or an equal
// part of the rest if the file sets none.
func poolShares(a *config.Appliance) []float64 {
	shares := make([]float64, len(a.Pools))
	left := 1.0
	unset := 0 // number of pools without a configured share
	for i, p := range a.Pools {
		shares[i] = p.SocketShare
		left -= p.SocketShare
		if p.SocketShare == 0 {
			unset++
		}
	}
	for i := range shares {
		if shares[i] == 0 {
			shares[i] = left / float64(unset)
		}
	}
	return shares
}
