package gateway

import (
	"cmp"
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"os"
	"runtime"
	"runtime/metrics"
	"sync/atomic"
	"syscall"
	"time"

	"dunemoor/internal/config"
	"dunemoor/internal/fair"
	"dunemoor/internal/front"
	"dunemoor/internal/overload"
)

const (
	// adviceBase is what a client is told to stay away when nothing presses. Ordinary clients
	// hear whole seconds: so that they come back spread, it is several.
	adviceBase = 4 * time.Second
	// adviceMost is the longest that a refusal at the gate tells a client to stay away.
	adviceMost = 30 * time.Second
	// filesEvery is how often descriptors are counted, which costs as much as they are many.
	filesEvery = 10 // samples
)

// limits sets up what turns requests away at the gate.
func (g *Gateway) limits(a *config.Appliance) {
	l := &front.Limits{Base: adviceBase, Most: adviceMost, TenantName: a.Limits.TenantName, TenantOf: map[string]int{}}
	if !a.Limits.NoOverload {
		_, _, n := overload.Ranks(rankList(classesOf(a)))
		l.Overload = overload.New(n)
		g.engine.Overload = l.Overload
	}
	if c := a.Limits.Clients; c != (fair.ClientLimits{}) || !a.Limits.NoOverload {
		l.Clients = fair.NewClients(c, a.Limits.ClientsKB<<10, rand.Uint64())
	}
	if len(a.Tenants) > 0 {
		l.Tenants = fair.NewTenants(a.Tenants, a.Limits.Tenants)
		for i, t := range a.Tenants {
			l.TenantOf[t.Name] = i
		}
	}
	g.gate.Limits = l
}

// rankList is where the classes stand when something has to go.
func rankList(c *classes) []overload.Rank {
	ranks := make([]overload.Rank, len(c.list))
	for i, k := range c.list {
		ranks[i] = overload.Rank{Worth: cmp.Or(k.PriorityWeight, 1), Aim: cmp.Or(k.LatencyObjective, k.Deadline)}
	}
	return ranks
}

// watchSelf samples the process for the controller, until ctx ends.
func (g *Gateway) watchSelf(ctx context.Context) {
	tick := time.NewTicker(overload.Interval)
	defer tick.Stop()
	m := newMeter(g.memory, g.sockets)
	if err := m.ping(ctx); err != nil {
		slog.Warn("how long bytes wait to be read is not known", "err", err)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			g.engine.Sample(m.sample())
		}
	}
}

// meter reads how the process stands.
type meter struct {
	memory  float64
	sockets float64
	samples []metrics.Sample
	queue   []uint64 // counts of the run-queue histogram as they were
	gc, cpu float64
	n       int
	files   float64
	used    time.Duration // CPU time of the process as it was
	usedAt  time.Time

	pings atomic.Int64 // the least that one took since the last look, ns; 0: none came
	sent  atomic.Int64 // when the one that is under way was sent, ns; 0: none is
}

// pingEvery is how often a byte is sent to ourselves. A runtime that has more to do than it can
// looks seldom for what has come, and takes it in the order in which it came: so a request that
// waits in its socket waits as long as the byte does, and neither the loop nor the run queue
// tell of it.
const pingEvery = 10 * time.Millisecond

// ping begins to send bytes through a pipe, until ctx ends.
func (m *meter) ping(ctx context.Context) error {
	r, w, err := os.Pipe()
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { r.Close(); w.Close() })
	go func() {
		tick := time.NewTicker(pingEvery)
		defer tick.Stop()
		for range tick.C {
			if m.sent.Load() != 0 {
				if ctx.Err() != nil {
					return
				}
				continue // one at a time
			}
			m.sent.Store(time.Now().UnixNano())
			if _, err := w.Write([]byte{1}); err != nil {
				return
			}
		}
	}()
	go func() {
		var b [1]byte
		for {
			if _, err := r.Read(b[:]); err != nil {
				return
			}
			took := max(time.Now().UnixNano()-m.sent.Swap(0), 1)
			if old := m.pings.Load(); old == 0 || took < old {
				m.pings.Store(took)
			}
		}
	}()
	return nil
}

// poll is the least that a byte took since the last look, or the age of the one under way.
func (m *meter) poll() time.Duration {
	least := m.pings.Swap(0)
	if sent := m.sent.Load(); least == 0 && sent != 0 {
		least = time.Now().UnixNano() - sent
	}
	return time.Duration(max(least, 0))
}

func newMeter(memory int64, sockets int) *meter {
	m := &meter{memory: float64(memory), sockets: float64(sockets)}
	for _, name := range []string{
		"/sched/latencies:seconds", "/gc/heap/live:bytes", "/memory/classes/heap/stacks:bytes",
		"/cpu/classes/gc/total:cpu-seconds", "/cpu/classes/total:cpu-seconds",
	} {
		m.samples = append(m.samples, metrics.Sample{Name: name})
	}
	return m
}

func (m *meter) sample() (s overload.Sample) {
	metrics.Read(m.samples)
	if h := m.samples[0].Value; h.Kind() == metrics.KindFloat64Histogram {
		s.RunQueue = m.middle(h.Float64Histogram())
	}
	bytes := 0.0
	for _, x := range m.samples[1:3] {
		if x.Value.Kind() == metrics.KindUint64 {
			bytes += float64(x.Value.Uint64())
		}
	}
	s.Heap = bytes / m.memory
	if a, b := m.samples[3].Value, m.samples[4].Value; a.Kind() == metrics.KindFloat64 && b.Kind() == metrics.KindFloat64 {
		gc, cpu := a.Float64()-m.gc, b.Float64()-m.cpu
		if m.gc, m.cpu = a.Float64(), b.Float64(); cpu > 0 {
			s.GC = gc / cpu
		}
	}
	if m.n%filesEvery == 0 {
		if list, err := os.ReadDir("/proc/self/fd"); err == nil {
			m.files = float64(len(list)) / m.sockets
		}
	}
	m.n++
	s.Busy = m.busy()
	s.Files, s.Poll = m.files, m.poll()
	return s
}

// busy is the share of the cores that the process has used since the last look. The runtime's own
// count is brought up to date by the collector only.
func (m *meter) busy() (share float64) {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	now, used := time.Now(), time.Duration(r.Utime.Nano()+r.Stime.Nano())
	if span := now.Sub(m.usedAt); !m.usedAt.IsZero() && span > 0 {
		share = float64(used-m.used) / float64(span) / float64(runtime.GOMAXPROCS(0))
	}
	m.used, m.usedAt = used, now
	return share
}

// middle is what half of the goroutines that became ready since the last look waited less than,
// by the buckets' lower bounds: not the mean, which a few long runs move, and not the least, as
// the runtime runs some that were just woken ahead of all others.
func (m *meter) middle(h *metrics.Float64Histogram) time.Duration {
	total := uint64(0)
	if len(m.queue) != len(h.Counts) {
		m.queue = make([]uint64, len(h.Counts))
	}
	fresh := make([]uint64, len(h.Counts))
	for i, n := range h.Counts {
		fresh[i] = n - m.queue[i]
		total += fresh[i]
		m.queue[i] = n
	}
	seen := uint64(0)
	for i, n := range fresh {
		if seen += n; n > 0 && seen*2 >= total {
			return time.Duration(math.Max(h.Buckets[i], 0) * float64(time.Second))
		}
	}
	return 0
}
