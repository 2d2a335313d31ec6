package faulttest

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Gateway is a gateway or relay of a Fleet, with its process, files and addresses.
type Gateway struct {
	Name    string
	fleet   *Fleet
	dir     string // data directory, called its disk below
	file    string // configuration file
	clients string // address for clients
	admin   string // address for operators
	peers   string // address for other gateways

	mu      sync.Mutex // guards the fields below
	process *Process   // nil: the gateway is down
	paused  bool
}

// Start starts the gateway's process.
func (g *Gateway) Start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process != nil {
		return fmt.Errorf("%s is already running", g.Name)
	}
	env := append([]string{
		"DUNEMOOR_STOP_FILE=" + g.pauseFile(),
		"DUNEMOOR_STUCK_FILE=" + g.hungSyncFile(),
		"DUNEMOOR_CLOCK_FILE=" + g.clockFile(),
	}, g.fleet.Env...)
	onLogLine := func(line string) { g.fleet.History.addLogLine(g.Name, line) }
	p, err := StartProcess(g.Name, g.fleet.Program, []string{"--appliance", g.file}, env, g.fleet.log, onLogLine)
	if err != nil {
		return err
	}
	g.process = p
	g.paused = false
	g.fleet.History.addFault("start", g.Name)
	return nil
}

// Kill kills the gateway's process, if it has one.
func (g *Gateway) Kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process == nil {
		return
	}
	g.fleet.History.addFault("kill", g.Name)
	g.process.Kill()
	g.process = nil
	g.paused = false
}

// startIfDown starts the gateway unless it has a process.
func (g *Gateway) startIfDown() error {
	if g.IsDown() {
		return g.Start()
	}
	return nil
}

// Pause pauses the gateway's process, if it runs.
func (g *Gateway) Pause() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process == nil || g.paused {
		return nil
	}
	g.fleet.History.addFault("stop", g.Name)
	g.paused = true
	return g.process.Pause()
}

// Resume resumes the gateway's process, if it is paused.
func (g *Gateway) Resume() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process == nil || !g.paused {
		return nil
	}
	g.fleet.History.addFault("continue", g.Name)
	g.paused = false
	return g.process.Resume()
}

// pauseFile returns the path of a file. While it exists, the process pauses at the point that DUNEMOOR_STOP_AT names, and
// removes the file.
func (g *Gateway) pauseFile() string { return g.file + ".stop" }

// PauseAt makes the process pause when it next reaches a point, and waits until it has. The binary must be built with the
// tag failpoints, and DUNEMOOR_STOP_AT in the environment of the process must name the point.
func (g *Gateway) PauseAt(ctx context.Context, point string) error {
	if err := os.WriteFile(g.pauseFile(), nil, 0o600); err != nil {
		return err
	}
	reached := func(e Event) bool { return e.Kind == PausedAtPoint && e.Gateway == g.Name && e.Cause == point }
	_, _, err := g.fleet.History.Wait(ctx, g.fleet.History.Len(), reached)
	if err != nil && os.Remove(g.pauseFile()) == nil { // if the file is gone, the process has just paused
		return fmt.Errorf("%s did not reach %q: %w", g.Name, point, err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.paused = true
	return nil
}

// Terminate shuts the gateway down gracefully and returns its exit code.
func (g *Gateway) Terminate(timeout time.Duration) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process == nil {
		return 0, fmt.Errorf("%s is not running", g.Name)
	}
	g.fleet.History.addFault("terminate", g.Name)
	p := g.process
	if err := p.Terminate(); err != nil {
		return 0, err
	}
	select {
	case <-p.Done():
		g.process = nil
		return p.ExitCode(), nil
	case <-time.After(timeout):
		return 0, fmt.Errorf("%s is still running %v after SIGTERM", g.Name, timeout)
	}
}

// IsRunning reports whether the gateway has a process that Pause or PauseAt has not paused.
func (g *Gateway) IsRunning() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.process != nil && !g.paused
}

// IsDown reports whether the gateway has no process.
func (g *Gateway) IsDown() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.process == nil
}

// HasExited reports whether the gateway's process has ended without Kill or Terminate.
func (g *Gateway) HasExited() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process == nil {
		return false
	}
	select {
	case <-g.process.Done():
		return true
	default:
		return false
	}
}

// clockFile returns the path of the file with the offset of the gateway's wall clock, in seconds.
func (g *Gateway) clockFile() string { return g.file + ".clock" }

// SetClockOffset sets the offset of the gateway's wall clock, and waits until it is in effect. The binary must be built by
// BuildWithClockOffset.
func (g *Gateway) SetClockOffset(ctx context.Context, offset time.Duration) error {
	logStart := len(g.fleet.LogText())
	g.fleet.History.addFault("clock", g.Name)
	seconds := int64(offset.Seconds())
	newFile := g.clockFile() + ".new"
	if err := os.WriteFile(newFile, fmt.Appendf(nil, "%d\n", seconds), 0o600); err != nil {
		return err
	}
	if err := os.Rename(newFile, g.clockFile()); err != nil {
		return err
	}
	want := fmt.Sprintf("%s the clock is off by %d s", g.Name, seconds)
	return g.fleet.WaitUntil(ctx, want, maxTransferTime, func() bool {
		return strings.Contains(g.fleet.LogText()[logStart:], want)
	})
}
