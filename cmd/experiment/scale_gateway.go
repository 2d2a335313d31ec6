package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"dunemoor/internal/experiment/faulttest"
)

// cpuTick is the unit of CPU time in /proc/PID/stat (USER_HZ, 100 a second on Linux).
const cpuTick = 10 * time.Millisecond

// logTimeout is the timeout of a wait for a line of the program's log.
const logTimeout = 3 * time.Minute

// gatewayProcess is a process of the program that runs with a configuration file.
type gatewayProcess struct {
	process *faulttest.Process
	listen  string // address of the listener for clients
	reloads int    // number of reloads requested so far

	mu      sync.Mutex
	log     bytes.Buffer
	changed chan struct{} // closed, and replaced, when a line is added to log
}

// startGateway writes a configuration file, starts the program with it, and returns when the program serves requests.
// If the program ends instead, the error contains its output.
func startGateway(ctx context.Context, env *scaleEnv, config string) (*gatewayProcess, error) {
	binary, err := env.program(ctx)
	if err != nil {
		return nil, err
	}
	dir, err := env.makeDir("gateway")
	if err != nil {
		return nil, err
	}
	_, listen, _ := strings.Cut(config, "[[listener]]\naddress = \"")
	listen, _, _ = strings.Cut(listen, "\"")
	g := &gatewayProcess{listen: listen, changed: make(chan struct{})}
	path := filepath.Join(dir, configName)
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		return nil, err
	}
	if g.process, err = faulttest.StartProcess("box", binary, []string{"--appliance", path}, nil, io.Discard, g.addLine); err != nil {
		return nil, err
	}
	if err := g.waitForLog(ctx, "msg=serving", 1); err != nil {
		g.process.Kill()
		return nil, err
	}
	return g, nil
}

func (g *gatewayProcess) addLine(line string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.log.WriteString(line + "\n")
	close(g.changed)
	g.changed = make(chan struct{})
}

// waitForLog waits until the log contains a text the given number of times.
func (g *gatewayProcess) waitForLog(ctx context.Context, text string, times int) error {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	for {
		g.mu.Lock()
		log := g.log.String()
		changed := g.changed
		g.mu.Unlock()
		if strings.Count(log, text) >= times {
			return nil
		}
		select {
		case <-changed:
		case <-g.process.Done():
			return fmt.Errorf("the program ended: %.300s", strings.TrimSpace(log))
		case <-ctx.Done():
			return fmt.Errorf("wait for log line %q: %w", text, ctx.Err())
		}
	}
}

// cpuTime returns the CPU time of all threads of the process.
func (g *gatewayProcess) cpuTime() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", g.process.Pid()))
	if err != nil {
		return 0, err
	}
	// proc_pid_stat(5): utime and stime are the 14th and 15th fields. The second field, in parentheses, may contain
	// spaces.
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	if len(fields) < 13 {
		return 0, fmt.Errorf("/proc/%d/stat: %d fields", g.process.Pid(), len(fields))
	}
	user, userErr := strconv.ParseInt(fields[11], 10, 64)
	system, systemErr := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * cpuTick, errors.Join(userErr, systemErr)
}

// memory returns the resident memory of the process and its peak, in MB (2^20 bytes).
func (g *gatewayProcess) memory() (resident, peak float64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.process.Pid()))
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		name, value, _ := strings.Cut(line, ":")
		if name != "VmRSS" && name != "VmHWM" {
			continue
		}
		kb, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 64)
		if err != nil {
			return 0, 0, err
		}
		if name == "VmRSS" {
			resident = kb / 1024
		} else {
			peak = kb / 1024
		}
	}
	return resident, peak, nil
}

// cpuDuring returns the CPU time that the process uses during a call.
func (g *gatewayProcess) cpuDuring(call func() error) (time.Duration, error) {
	before, err := g.cpuTime()
	if err != nil {
		return 0, err
	}
	if err := call(); err != nil {
		return 0, err
	}
	after, err := g.cpuTime()
	return after - before, err
}

// reload sends SIGHUP to the program, and waits until the configuration is reloaded.
func (g *gatewayProcess) reload(ctx context.Context) error {
	if err := syscall.Kill(g.process.Pid(), syscall.SIGHUP); err != nil {
		return err
	}
	g.reloads++
	return g.waitForLog(ctx, `msg="configuration reloaded"`, g.reloads)
}

// Bounds of the number of reloads that reloadCost measures, and of their total CPU time. The measurement ends when
// both minimums or one of the maximums are reached.
const (
	minReloads      = 5
	maxReloads      = 50
	smallMaxReloads = 2 // used instead of maxReloads in a small run
	minReloadCPU    = 100 * cpuTick
	maxReloadCPU    = 5 * time.Second
)

// reloadCost returns the mean CPU time of a reload. It measures several reloads, within the bounds above, because a
// single one may take less than the resolution of the clock.
func (g *gatewayProcess) reloadCost(ctx context.Context, env *scaleEnv) (time.Duration, error) {
	limit := maxReloads
	if env.small {
		limit = smallMaxReloads
	}
	n := 0
	cpu, err := g.cpuDuring(func() error {
		before, err := g.cpuTime()
		if err != nil {
			return err
		}
		for n < limit {
			if err := g.reload(ctx); err != nil {
				return err
			}
			n++
			now, err := g.cpuTime()
			if err != nil {
				return err
			}
			used := now - before
			preciseEnough := used >= minReloadCPU && n >= minReloads
			if preciseEnough || used >= maxReloadCPU {
				return nil
			}
		}
		return nil
	})
	return cpu / time.Duration(max(n, 1)), err
}

// probeInterval is the pause between the requests of a probe, which use about 1% of a core.
const probeInterval = 20 * time.Millisecond

// startProbe sends requests, one at a time, for a path whose pool has no live host, so that the event loop of the
// gateway responds itself. stop ends the probe and returns the longest response time, regardless of the status of the
// response.
func (g *gatewayProcess) startProbe(ctx context.Context) (stop func() time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	longest := make(chan time.Duration, 1)
	go func() { longest <- g.probe(ctx) }()
	return func() time.Duration {
		cancel()
		return <-longest
	}
}

func (g *gatewayProcess) probe(ctx context.Context) (longest time.Duration) {
	client := http.Client{Timeout: logTimeout}
	for ctx.Err() == nil {
		startedAt := time.Now()
		g.probeOnce(&client)
		longest = max(longest, time.Since(startedAt))
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
	}
	return longest
}

// probeOnce sends a request and reads the whole response, even if the probe is stopped in the meantime.
func (g *gatewayProcess) probeOnce(client *http.Client) {
	request, err := http.NewRequest("GET", "http://"+g.listen+"/part-0/probe", nil)
	if err != nil {
		return
	}
	request.Host = "shop-0.example.org"
	response, err := client.Do(request)
	if err != nil {
		return
	}
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
}

// idleSeconds is how long the program is measured at rest, in seconds.
const idleSeconds = 3

// idleCPU returns the CPU time per second at rest. It first waits until work that follows the start is done.
func (g *gatewayProcess) idleCPU(env *scaleEnv) (time.Duration, error) {
	settle := time.Second
	span := idleSeconds * time.Second
	if env.small {
		settle = 0
		span = 200 * time.Millisecond
	}
	time.Sleep(settle)
	cpu, err := g.cpuDuring(func() error {
		time.Sleep(span)
		return nil
	})
	return time.Duration(float64(cpu) / span.Seconds()), err
}

// addCPU adds a point with a CPU time that is the mean of a number of measurements.
func (s *seriesSet) addCPU(size int, name string, cpu time.Duration, measurements int) {
	s.add(size, name, "CPU ms", float64(cpuTick.Milliseconds())/float64(max(measurements, 1)), float64(cpu.Microseconds())/1000)
}

// addGateway measures a start of the program with a configuration, reloads, and, if idle is set, the program at rest.
// The size is the number of items that seriesSet.by names in the configuration.
func (s *seriesSet) addGateway(ctx context.Context, env *scaleEnv, size int, config string, idle bool) error {
	fmt.Fprintf(env.progress, "%d %ss\n", size, s.by)
	g, err := startGateway(ctx, env, config)
	if err != nil {
		return fmt.Errorf("%d %ss: %w", size, s.by, err)
	}
	defer g.process.Kill()
	startCPU, err := g.cpuTime()
	if err != nil {
		return err
	}
	resident, peak, err := g.memory()
	if err != nil {
		return err
	}
	s.addCPU(size, "start", startCPU, 1)
	s.add(size, "resident after the start", "MB", 1, resident)
	s.add(size, "peak of the start", "MB", 1, peak)
	if idle {
		cpu, err := g.idleCPU(env)
		if err != nil {
			return err
		}
		s.addCPU(size, "a second at rest", cpu, idleSeconds)
	}
	stop := g.startProbe(ctx)
	reloadCPU, err := g.reloadCost(ctx, env)
	longest := stop()
	if err != nil {
		return err
	}
	s.add(size, "longest answer during reloads", "ms", 1, float64(longest.Microseconds())/1000)
	s.addCPU(size, "a reload", reloadCPU, g.reloads)
	if _, peak, err = g.memory(); err != nil {
		return err
	}
	s.add(size, "peak with reloads", "MB", 1, peak)
	return nil
}
