// Package gateway assembles a gateway from frontends, the engine, pools with their transports, and the sources of
// endpoint lists. There are two kinds of gateways: a platform gateway, which is started and configured by the platform
// and has one pool, and an appliance, which has its own configuration file with listeners, routes and pools.
package gateway

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"dunemoor/internal/admin"
	"dunemoor/internal/body"
	"dunemoor/internal/config"
	"dunemoor/internal/engine"
	"dunemoor/internal/frontend"
	fcgi "dunemoor/internal/frontend/fastcgi"
	"dunemoor/internal/frontend/http1"
)

// Shares of config.SharedSockets in percent, for client connections. Connections to hosts have a share of their own
// (config.HostSockets): each request in flight needs one, and keeping more of them idle saves handshakes. The rest, at
// least 19 descriptors, is reserved for the listener, two discovery watches and the runtime (see config.SharedSockets).
const (
	clientPercent = 48
	sparePercent  = 2 // connections beyond the limit, accepted before new ones are closed immediately
)

// largeResponseShare is the share of the memory limit that all large responses together may occupy until they are
// delivered to their clients.
const largeResponseShare = 1.0 / 4

// Gateway is a running gateway. Unless stated otherwise, its methods must be called from one goroutine.
type Gateway struct {
	engine         *engine.Engine
	admission      *frontend.Admission
	server         *http1.Server
	fastCGI        *fcgi.Server // nil if no listener uses FastCGI
	listenerErrors chan error

	ctx    context.Context // canceled when the gateway stops
	cancel context.CancelFunc

	maxSockets  int   // limit of file descriptors of the process
	memoryLimit int64 // bytes

	// Exactly one of these is set, depending on the kind of gateway.
	appliance *appliance
	platform  *platform
}

// newGateway returns a Gateway without pools and listeners.
func newGateway(seed uint64, maxSockets int, memoryLimit int64, o http1.Options) *Gateway {
	g := &Gateway{
		engine:         engine.New(seed),
		listenerErrors: make(chan error, 1),
		maxSockets:     maxSockets,
		memoryLimit:    memoryLimit,
	}
	g.admission = frontend.NewAdmission(g.engine, body.NewBudget(memoryLimit))
	o.MaxConns, o.SpareConns = clientSocketLimits(maxSockets)
	g.server = http1.New(g.admission, o)
	g.ctx, g.cancel = context.WithCancel(context.Background())
	go g.server.RunDrain(g.ctx)
	return g
}

// clientSocketLimits returns the number of descriptors for client connections, and the number of spare connections that
// are accepted beyond it before new connections are closed immediately.
func clientSocketLimits(maxSockets int) (limit, spare int) {
	shared := config.SharedSockets(maxSockets)
	limit = shared * clientPercent / 100
	return limit, shared*(clientPercent+sparePercent)/100 - limit
}

// serve accepts HTTP/1.1 connections from ln.
func (g *Gateway) serve(ln net.Listener) { g.serveWith(g.server.Serve, ln) }

// serveWith accepts connections from ln with the Serve method of a frontend.
func (g *Gateway) serveWith(serve func(net.Listener) error, ln net.Listener) {
	go func() {
		if err := serve(ln); err != nil {
			g.reportListenerError(fmt.Errorf("listen: %s: %w", ln.Addr(), err))
		}
	}()
}

// reportListenerError reports a listener that has failed. Only the first error is kept.
func (g *Gateway) reportListenerError(err error) {
	select {
	case g.listenerErrors <- err:
	default:
	}
}

// ListenerErrors returns the channel on which the error of a failed listener is sent.
func (g *Gateway) ListenerErrors() <-chan error { return g.listenerErrors }

// Dump writes the contents of the flight recorder to files.
func (g *Gateway) Dump() { g.engine.Dump() }

// Stop shuts the gateway down gracefully: it waits for the responses to open requests, as long as the shutdown of the
// frontends allows, and then for recordings to be written, but for these not longer than the timeout.
func (g *Gateway) Stop(timeout time.Duration) {
	if g.platform != nil && g.platform.halveLimits != nil {
		g.platform.halveLimits()
	}
	var frontends sync.WaitGroup
	if g.fastCGI != nil {
		frontends.Go(g.fastCGI.Shutdown)
	}
	g.server.Shutdown()
	frontends.Wait()
	g.cancel()
	g.engine.Wait(timeout)
}

// closeTimeout is the maximum time that Close waits for recordings to be written.
const closeTimeout = time.Minute

// Close stops the gateway immediately.
func (g *Gateway) Close() {
	g.server.Close()
	if g.fastCGI != nil {
		g.fastCGI.Close()
	}
	g.cancel()
	g.engine.Wait(closeTimeout)
}

// ServeAdmin serves the admin API on ln. others has the calls of other components, keyed by path.
func (g *Gateway) ServeAdmin(ln net.Listener, others map[string]admin.Call) {
	go func() {
		if err := admin.New(g, others).Serve(g.ctx, ln); err != nil {
			g.reportListenerError(fmt.Errorf("admin: %s: %w", ln.Addr(), err))
		}
	}()
}

// Ready reports whether requests can be served, and the reason if they cannot.
func (g *Gateway) Ready() (bool, string) { return g.admission.Health() }

// Quiesce starts a drain: the health check fails, and client connections are closed after their responses. If a drain is
// already in progress, it only logs.
func (g *Gateway) Quiesce() {
	g.admission.StartDrain()
	slog.Info("draining")
}

// Resume cancels a drain.
func (g *Gateway) Resume() {
	g.admission.CancelDrain()
	slog.Info("drain canceled, serving")
}

// memoryBytes converts a memory limit from MiB to bytes; 0 stands for the default.
func memoryBytes(mb int) int64 { return int64(cmp.Or(mb, config.DefaultMemoryMB)) << 20 }
