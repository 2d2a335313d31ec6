// Package hollow runs fleets of gateways on the loopback interface to measure the cost of a fleet as a function of
// its size. Some or all of the gateways are hollow: they run the program's fleet part (internal/fleet and the
// packages that it uses) on real sockets and disks, without the part that serves requests, and many of them can share
// a process. The usage of the processes is measured by the kernel.
//
// A Fleet starts and controls the processes. A process of hollow gateways runs Serve: it reads requests from its
// standard input and writes replies and events to its standard output. Relays and gateways may also be processes of
// the program itself, which are observed through their admin address and their log.
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

// eventMessages are the log messages of the program that are reported as events.
var eventMessages = []string{"session opened", "session expired", "became leader", "fleet bootstrapped", "lease acquired"}

// hollowHost is a process of hollow gateways. It is unrelated to the hosts of a pool.
type hollowHost struct {
	mu       sync.Mutex // guards gateways
	gateways map[string]*gateway

	writing sync.Mutex // guards replies
	replies *json.Encoder
}

// Serve runs a hollow host: it executes the requests that it reads from in and writes replies and events to out,
// until in ends. Then it stops all gateways that it has started. While it runs, it replaces the process's default
// logger. It returns the first error of in or out, or that of a malformed request.
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
			return fmt.Errorf("decode request to the hollow host: %w", err)
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

// do executes a request.
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

// startAll starts gateways from their configuration files and returns the first error. It starts all other gateways
// even if one fails.
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

// start starts a gateway from its configuration file.
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

// gateway returns the running gateway with a name.
func (h *hollowHost) gateway(name string) (*gateway, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.gateways[name]
	if g == nil {
		return nil, fmt.Errorf("gateway %s is not running", name)
	}
	return g, nil
}

// allGateways returns all running gateways, in no particular order.
func (h *hollowHost) allGateways() []*gateway {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []*gateway
	for _, g := range h.gateways {
		list = append(list, g)
	}
	return list
}

// report returns the hollow host's report on itself, with the status and the metrics of each gateway if requested.
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

// logHandler handles the log records of a hollow host's gateways. It reports those in eventMessages as events and
// discards all others.
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
