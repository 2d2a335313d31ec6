// Package hollow runs fleets of gateways on the loopback to measure what a fleet costs by its size. Some or
// all of the gateways are hollow: they run the program's own fleet part (internal/fleet and the packages below
// it) on real sockets and disks, without the part that serves requests, and many of them share a process.
// What the processes use is counted by the kernel.
//
// A Fleet starts and controls the processes. A process of hollow gateways runs Serve: it takes requests on its
// standard input and writes replies and events to its standard output. Relays and gateways may also be
// processes of the program itself, which are controlled by their admin address and their log.
package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"runtime"
	"slices"
	"sync"
	"time"

	"dunemoor/internal/fleet"
)

// maxRequestBytes is the longest line that a hollow host reads.
const maxRequestBytes = 16 << 20

// eventMessages are the log messages that are passed on as events, as the program words them.
var eventMessages = []string{"session opened", "session expired", "became leader", "fleet bootstrapped", "lease acquired"}

// hollowHost is a process of hollow gateways. It is no host of a pool.
type hollowHost struct {
	mu       sync.Mutex // guards gateways
	gateways map[string]*gateway

	writing sync.Mutex // guards replies
	replies *json.Encoder
}

// Serve runs a hollow host: it carries out the requests that it reads from in and writes replies
// and events to out, until in ends. It then stops all gateways that it has started. Meanwhile the process's
// default logger is its own. It returns the first error of in or out, or that of a malformed request.
func Serve(in io.Reader, out io.Writer) error {
	h := &hollowHost{gateways: map[string]*gateway{}, replies: json.NewEncoder(out)}
	previous := slog.Default()
	slog.SetDefault(slog.New(logHandler{h}))
	defer slog.SetDefault(previous)
	defer h.close()

	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxRequestBytes)
	for lines.Scan() {
		var r request
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return fmt.Errorf("read host request: %w", err)
		}
		if err := h.write(h.do(&r)); err != nil {
			return err
		}
	}
	return lines.Err()
}

func (h *hollowHost) write(r *reply) error {
	h.writing.Lock()
	defer h.writing.Unlock()
	return h.replies.Encode(r)
}

// close stops all gateways.
func (h *hollowHost) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	var closing sync.WaitGroup
	for _, g := range h.gateways {
		closing.Go(g.close)
	}
	closing.Wait()
}

// do carries out a request.
func (h *hollowHost) do(r *request) *reply {
	switch {
	case len(r.Start) > 0:
		return errorReply(h.startAll(r.Start))
	case r.Override != nil:
		return errorReply(h.setOverride(r.Override))
	case r.OverrideLoad != nil:
		applied, failed := h.applyOverrides(r.OverrideLoad)
		return &reply{Applied: applied, Failed: failed}
	case r.Report:
		return &reply{Report: h.report(r.Status, r.Metrics)}
	default:
		return &reply{}
	}
}

// startAll starts gateways by their files, and returns the first error. A gateway that fails to start doesn't
// keep those after it from being started.
func (h *hollowHost) startAll(files []string) error {
	var first error
	for _, file := range files {
		err := h.start(file)
		if first == nil {
			first = err
		}
	}
	return first
}

// start starts a gateway by its file.
func (h *hollowHost) start(file string) error {
	g, err := startGateway(file)
	if err != nil {
		return fmt.Errorf("start gateway of %s: %w", file, err)
	}
	h.mu.Lock()
	_, running := h.gateways[g.name]
	h.gateways[g.name] = g
	h.mu.Unlock()
	if running {
		return fmt.Errorf("start gateway %s: already running", g.name)
	}
	g.run(func(at time.Time) {
		h.write(&reply{Event: OverrideEvent, Gateway: g.name, UnixNano: at.UnixNano()})
	})
	return nil
}

// gateway returns a gateway that runs.
func (h *hollowHost) gateway(name string) (*gateway, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.gateways[name]
	if g == nil {
		return nil, fmt.Errorf("gateway %s is not running", name)
	}
	return g, nil
}

// allGateways returns the gateways that run, in no order.
func (h *hollowHost) allGateways() []*gateway {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []*gateway
	for _, g := range h.gateways {
		list = append(list, g)
	}
	return list
}

// report returns the hollow host's report, where asked with the status and the metrics of each gateway.
func (h *hollowHost) report(withStatus, withMetrics bool) *Report {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	r := &Report{
		Goroutines: runtime.NumGoroutine(),
		Heap:       memory.HeapInuse + memory.StackInuse,
	}
	if !withStatus && !withMetrics {
		return r
	}
	r.Gateways = map[string]*Status{}
	for _, g := range h.allGateways() {
		s := &Status{}
		if withStatus {
			g.readStatus(s)
		}
		if withMetrics {
			s.Metrics = parseFleetMetrics(g.call(fleet.PathMetrics))
		}
		r.Gateways[g.name] = s
	}
	return r
}

// logHandler takes the log of a hollow host's gateways and passes some of its messages on as events.
type logHandler struct{ host *hollowHost }

func (l logHandler) Enabled(_ context.Context, level slog.Level) bool { return level >= slog.LevelInfo }
func (l logHandler) WithAttrs([]slog.Attr) slog.Handler               { return l }
func (l logHandler) WithGroup(string) slog.Handler                    { return l }

func (l logHandler) Handle(_ context.Context, r slog.Record) error {
	if !slices.Contains(eventMessages, r.Message) {
		return nil
	}
	return l.host.write(&reply{Event: r.Message, UnixNano: r.Time.UnixNano()})
}
