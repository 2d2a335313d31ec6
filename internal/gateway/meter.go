package gateway

import (
	"context"
	"log/slog"
	"math"
	"os"
	"runtime"
	"runtime/metrics"
	"sync/atomic"
	"syscall"
	"time"

	"dunemoor/internal/overload"
)

const (
	// samplesPerDescriptorCount is how many samples there are for each count of the descriptors, whose cost grows with
	// their number.
	samplesPerDescriptorCount = 10
	// pingInterval is how often a byte is sent through a pipe. A runtime that has more to do than it can polls the
	// network seldom, and handles what has arrived in order: a request that waits in its socket waits as long as the
	// byte does, and neither the loop nor the run queue show it.
	pingInterval = 10 * time.Millisecond
)

// sampleProcess samples the process for the overload controller, until ctx ends.
func (g *Gateway) sampleProcess(ctx context.Context) {
	tick := time.NewTicker(overload.Interval)
	defer tick.Stop()
	m := newProcessMeter(g.memoryLimit, g.maxSockets)
	if err := m.startPing(ctx); err != nil {
		slog.Warn("measuring how long received bytes wait is not possible", "err", err)
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

// processMeter measures the state of the process.
type processMeter struct {
	memoryLimit float64 // bytes
	maxSockets  float64 // file descriptors
	metrics     []metrics.Sample
	runQueue    []uint64      // the last counts of the run-queue histogram
	gcSeconds   float64       // at the last sample
	cpuSeconds  float64       // at the last sample
	samples     int           // so far
	descriptors float64       // in use at the last count, as a share of maxSockets
	usedCPU     time.Duration // by usedAt
	usedAt      time.Time     // of the last sample

	fastestPing atomic.Int64 // since the last sample, ns; 0: none has arrived
	pingSent    atomic.Int64 // when the byte under way was sent, ns; 0: none is under way
}

// Indices of processMeter.metrics.
const (
	metricRunQueue = iota
	metricHeap
	metricStacks
	metricGCSeconds
	metricCPUSeconds
)

// newProcessMeter returns a meter of a process with a memory limit in bytes and a limit of file descriptors.
func newProcessMeter(memoryLimit int64, maxSockets int) *processMeter {
	m := &processMeter{memoryLimit: float64(memoryLimit), maxSockets: float64(maxSockets)}
	for _, name := range []string{
		"/sched/latencies:seconds", "/gc/heap/live:bytes", "/memory/classes/heap/stacks:bytes",
		"/cpu/classes/gc/total:cpu-seconds", "/cpu/classes/total:cpu-seconds",
	} {
		m.metrics = append(m.metrics, metrics.Sample{Name: name})
	}
	return m
}

// startPing sends bytes through a pipe, until ctx ends.
func (m *processMeter) startPing(ctx context.Context) error {
	r, w, err := os.Pipe()
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { r.Close(); w.Close() })
	go m.sendPings(ctx, w)
	go m.receivePings(r)
	return nil
}

// sendPings sends a byte at each pingInterval, unless one is under way.
func (m *processMeter) sendPings(ctx context.Context, w *os.File) {
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	for range tick.C {
		if m.pingSent.Load() != 0 {
			if ctx.Err() != nil {
				return
			}
			continue // one at a time
		}
		m.pingSent.Store(time.Now().UnixNano())
		if _, err := w.Write([]byte{1}); err != nil {
			return
		}
	}
}

// receivePings receives the bytes and keeps the shortest time that one took.
func (m *processMeter) receivePings(r *os.File) {
	var b [1]byte
	for {
		if _, err := r.Read(b[:]); err != nil {
			return
		}
		elapsed := max(time.Now().UnixNano()-m.pingSent.Swap(0), 1)
		if fastest := m.fastestPing.Load(); fastest == 0 || elapsed < fastest {
			m.fastestPing.Store(elapsed)
		}
	}
}

// pollDelay returns the shortest time that a byte took since the last sample, or the age of the one under way.
func (m *processMeter) pollDelay() time.Duration {
	fastest := m.fastestPing.Swap(0)
	if sent := m.pingSent.Load(); fastest == 0 && sent != 0 {
		fastest = time.Now().UnixNano() - sent
	}
	return time.Duration(max(fastest, 0))
}

// sample returns the state of the process since the last sample.
func (m *processMeter) sample() (s overload.Sample) {
	metrics.Read(m.metrics)
	if h := m.metrics[metricRunQueue].Value; h.Kind() == metrics.KindFloat64Histogram {
		s.RunQueue = m.medianRunQueue(h.Float64Histogram())
	}
	bytes := 0.0
	for _, x := range []metrics.Value{m.metrics[metricHeap].Value, m.metrics[metricStacks].Value} {
		if x.Kind() == metrics.KindUint64 {
			bytes += float64(x.Uint64())
		}
	}
	s.Heap = bytes / m.memoryLimit
	s.GC = m.gcShare()
	if m.samples%samplesPerDescriptorCount == 0 {
		if list, err := os.ReadDir("/proc/self/fd"); err == nil {
			m.descriptors = float64(len(list)) / m.maxSockets
		}
	}
	m.samples++
	s.Busy = m.cpuShare()
	s.Files = m.descriptors
	s.Poll = m.pollDelay()
	return s
}

// gcShare returns the share of the CPU time that the garbage collector has used since the last sample.
func (m *processMeter) gcShare() (share float64) {
	gc, cpu := m.metrics[metricGCSeconds].Value, m.metrics[metricCPUSeconds].Value
	if gc.Kind() != metrics.KindFloat64 || cpu.Kind() != metrics.KindFloat64 {
		return 0
	}
	if elapsed := cpu.Float64() - m.cpuSeconds; elapsed > 0 {
		share = (gc.Float64() - m.gcSeconds) / elapsed
	}
	m.gcSeconds = gc.Float64()
	m.cpuSeconds = cpu.Float64()
	return share
}

// cpuShare returns the share of the cores that the process has used since the last sample. The runtime's own count is
// updated only by the garbage collector.
func (m *processMeter) cpuShare() (share float64) {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	now := time.Now()
	used := time.Duration(r.Utime.Nano() + r.Stime.Nano())
	if span := now.Sub(m.usedAt); !m.usedAt.IsZero() && span > 0 {
		share = float64(used-m.usedCPU) / float64(span) / float64(runtime.GOMAXPROCS(0))
	}
	m.usedCPU = used
	m.usedAt = now
	return share
}

// medianRunQueue returns what half of the goroutines that became ready since the last sample waited less than, by the
// lower bounds of the buckets: not the mean, which a few long waits move, and not the minimum, as the runtime runs some
// that were just woken before all others.
func (m *processMeter) medianRunQueue(h *metrics.Float64Histogram) time.Duration {
	total := uint64(0)
	if len(m.runQueue) != len(h.Counts) {
		m.runQueue = make([]uint64, len(h.Counts))
	}
	added := make([]uint64, len(h.Counts))
	for i, n := range h.Counts {
		added[i] = n - m.runQueue[i]
		total += added[i]
		m.runQueue[i] = n
	}
	seen := uint64(0)
	for i, n := range added {
		seen += n
		if n > 0 && seen*2 >= total {
			return time.Duration(math.Max(h.Buckets[i], 0) * float64(time.Second))
		}
	}
	return 0
}
