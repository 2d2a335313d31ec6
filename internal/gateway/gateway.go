// Package gateway assembles a gateway from frontends, engine, pools with their transports, and the sources of
// endpoint lists. There are two kinds: a gateway of the platform, and an appliance with a configuration file of
// its own.
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

// Shares of the file descriptors, in percent. Clients have a third of all at most for their requests; each request
// in flight has one to a host, and the more of those stay idle, the fewer handshakes there are. What is left, 19 at
// least, is for the listener, two watches of discovery and the runtime: nobody else may use it
// (config.SharedSockets).
const (
	clientPercent = 48
	sparePercent  = 2
)

// largeResponseShare is the share of the memory limit that large responses may fill, all together, until their
// clients have them.
const largeResponseShare = 1.0 / 4

// Gateway is a running gateway. Its methods are called from one goroutine, unless they say otherwise.
type Gateway struct {
	engine         *engine.Engine
	admission      *frontend.Admission
	server         *http1.Server
	fastCGI        *fcgi.Server // nil: no listener speaks FastCGI
	listenerErrors chan error

	ctx    context.Context // of all that runs
	cancel context.CancelFunc

	maxSockets  int   // file descriptors of the process
	memoryLimit int64 // bytes

	// One of these is set, by the kind of the gateway.
	appliance *appliance
	platform  *platform
}

// newGateway returns a Gateway without pools.
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

// clientSocketLimits returns how many of the descriptors are for clients, and how many more there may be before a new
// connection is closed at once.
func clientSocketLimits(maxSockets int) (limit, spare int) {
	shared := config.SharedSockets(maxSockets)
	limit = shared * clientPercent / 100
	return limit, shared*(clientPercent+sparePercent)/100 - limit
}

// serve accepts requests by HTTP/1.1 from ln.
func (g *Gateway) serve(ln net.Listener) { g.serveWith(g.server.Serve, ln) }

// serveWith has a frontend accept requests from ln.
func (g *Gateway) serveWith(serve func(net.Listener) error, ln net.Listener) {
	go func() {
		if err := serve(ln); err != nil {
			g.reportListenerError(fmt.Errorf("listen: %s: %w", ln.Addr(), err))
		}
	}()
}

// reportListenerError reports that a listener has ended by itself. Only the first is kept.
func (g *Gateway) reportListenerError(err error) {
	select {
	case g.listenerErrors <- err:
	default:
	}
}

// ListenerErrors receives the error of a listener that has ended by itself.
func (g *Gateway) ListenerErrors() <-chan error { return g.listenerErrors }

// Dump writes the contents of the flight recorder to files.
func (g *Gateway) Dump() { g.engine.Dump() }

// Stop shuts the gateway down gracefully: all requests get their response. It waits for recordings to be written, at
// most for the timeout.
func (g *Gateway) Stop(timeout time.Duration) {
	if g.platform != nil && g.platform.useHalf != nil {
		g.platform.useHalf()
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

// closeTimeout is how long Close waits for recordings to be written.
const closeTimeout = time.Minute

// Close ends the gateway at once.
func (g *Gateway) Close() {
	g.server.Close()
	if g.fastCGI != nil {
		g.fastCGI.Close()
	}
	g.cancel()
	g.engine.Wait(closeTimeout)
}

// Admin serves the operators' calls on ln, with the calls of other parts by their paths.
func (g *Gateway) Admin(ln net.Listener, others map[string]admin.Call) {
	go func() {
		if err := admin.New(g, others).Serve(g.ctx, ln); err != nil {
			g.reportListenerError(fmt.Errorf("admin: %s: %w", ln.Addr(), err))
		}
	}()
}

// Ready reports whether requests can be served, and if not why.
func (g *Gateway) Ready() (bool, string) { return g.admission.Health() }

// Quiesce begins a drain: the health check fails, and connections end once their clients have their responses. A
// second call changes nothing.
func (g *Gateway) Quiesce() {
	g.admission.StartDrain()
	slog.Info("draining")
}

// Resume ends a drain.
func (g *Gateway) Resume() {
	g.admission.CancelDrain()
	slog.Info("drain canceled, serving")
}

// memoryBytes returns the memory limit in bytes.
func memoryBytes(mb int) int64 { return int64(cmp.Or(mb, config.DefaultMemoryMB)) << 20 }
