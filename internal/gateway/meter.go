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
	// samplesPerDescriptorCount is the number of samples for which one count of the open descriptors is used. The cost of
	// counting grows with their number.
	samplesPerDescriptorCount = 10
	// pingInterval is the interval at which a byte is sent through a pipe to measure the delay of the network poller. An
	// overloaded Go runtime polls the network rarely and handles ready descriptors in order, so a request waits in its
	// socket for as long as the byte waits in the pipe. Neither the event loop nor the run queue shows this delay.
	pingInterval = 10 * time.Millisecond
)

// sampleProcess passes samples of the process state to the overload controller until ctx is done.
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

// processMeter measures the load of the process: CPU, memory, descriptors and scheduling delays.
type processMeter struct {
	memoryLimit         float64 // bytes
	maxSockets          float64 // limit of file descriptors
	metrics             []metrics.Sample
	runQueue            []uint64      // counts of the run-queue histogram at the last sample
	gcSeconds           float64       // CPU seconds of the garbage collector at the last sample
	availableCPUSeconds float64       // CPU seconds available to the process (GOMAXPROCS x time) at the last sample
	samples             int           // number of samples taken
	descriptors         float64       // open descriptors at the last count, as a share of maxSockets
	usedCPU             time.Duration // CPU time of the process at usedAt
	usedAt              time.Time     // time of the last sample

	fastestPing atomic.Int64 // shortest pipe delay since the last sample in ns; 0 if no byte has arrived
	pingSent    atomic.Int64 // Unix time in ns at which the byte in the pipe was sent; 0 if the pipe is empty
}

// Indices of processMeter.metrics.
const (
	metricRunQueue = iota
	metricHeap
	metricStacks
	metricGCSeconds
	metricAvailableCPUSeconds
)

// newProcessMeter returns a processMeter for a memory limit in bytes and a limit of file descriptors.
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

// startPing starts measuring the poll delay with a pipe, until ctx is done.
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

// sendPings sends a byte every pingInterval, unless the previous one has not been received yet.
func (m *processMeter) sendPings(ctx context.Context, w *os.File) {
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	for range tick.C {
		if m.pingSent.Load() != 0 {
			if ctx.Err() != nil {
				return
			}
			continue // the previous byte was not received yet, and at most one byte is in the pipe
		}
		m.pingSent.Store(monotonicNanoseconds())
		if _, err := w.Write([]byte{1}); err != nil {
			return
		}
	}
}

// receivePings receives the bytes and records the shortest delay.
func (m *processMeter) receivePings(r *os.File) {
	var b [1]byte
	for {
		if _, err := r.Read(b[:]); err != nil {
			return
		}
		elapsed := max(monotonicNanoseconds()-m.pingSent.Swap(0), 1)
		if fastest := m.fastestPing.Load(); fastest == 0 || elapsed < fastest {
			m.fastestPing.Store(elapsed)
		}
	}
}

// clockStart is the origin of monotonicNanoseconds.
var clockStart = time.Now()

// monotonicNanoseconds returns the time since the start of the process. Steps of the wall clock have no effect on it.
func monotonicNanoseconds() int64 { return int64(time.Since(clockStart)) }

// pollDelay returns the shortest delay of a byte since the last sample. If none has arrived, it returns the age of the
// byte in the pipe.
func (m *processMeter) pollDelay() time.Duration {
	fastest := m.fastestPing.Swap(0)
	if sent := m.pingSent.Load(); fastest == 0 && sent != 0 {
		fastest = monotonicNanoseconds() - sent
	}
	return time.Duration(max(fastest, 0))
}

// sample measures the process. Rates and delays cover the time since the last sample.
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
	s.Descriptors = m.descriptors
	s.Poll = m.pollDelay()
	return s
}

// gcShare returns the share of the available CPU time that the garbage collector has used since the last sample.
func (m *processMeter) gcShare() (share float64) {
	gc, available := m.metrics[metricGCSeconds].Value, m.metrics[metricAvailableCPUSeconds].Value
	if gc.Kind() != metrics.KindFloat64 || available.Kind() != metrics.KindFloat64 {
		return 0
	}
	if elapsed := available.Float64() - m.availableCPUSeconds; elapsed > 0 {
		share = (gc.Float64() - m.gcSeconds) / elapsed
	}
	m.gcSeconds = gc.Float64()
	m.availableCPUSeconds = available.Float64()
	return share
}

// cpuShare returns the share of GOMAXPROCS cores that the process has used since the last sample. It uses getrusage, as
// the CPU metrics of runtime/metrics are updated only by garbage collections.
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

// medianRunQueue returns the median time that goroutines which became runnable since the last sample waited in the run
// queue, as the lower bound of its histogram bucket. The mean would be distorted by a few long waits. The minimum would
// be too low, as the runtime runs some goroutines that were just woken before all others.
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
