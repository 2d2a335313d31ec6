// Command dunemoor is one gateway: it takes clients' requests and passes them on to
// hosts as the decision module says. It is configured by the platform's GW_ variables, or
// by the file of an appliance.
package main

import (
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"dunemoor/internal/admin"
	"dunemoor/internal/config"
	"dunemoor/internal/engine"
	"dunemoor/internal/fleet"
	"dunemoor/internal/gateway"
)

// memoryShare is the part of the memory limit at which the collector works harder;
// the rest is for stacks, the binary and what the kernel holds for us.
const memoryShare = 0.7

// recordedWithin is how long the exit waits for the last of a flight recording: what is
// left then is some 500 KB at most. Where nothing is recorded there is no wait.
const recordedWithin = time.Second

func main() {
	// A file that must not grow further is to fail as a full disk does, not to end the process.
	signal.Ignore(syscall.SIGXFSZ)
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	record := flag.String("flight", "", "the flight recorder's settings, a TOML `file`; nothing is recorded without")
	appliance := flag.String("appliance", "", "serve by this TOML `file`, not as the platform's GW_ variables say")
	flag.Parse()
	// Two channels: any number of SIGHUPs must not crowd out a SIGTERM.
	stop, hup, usr1 := make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(hup, syscall.SIGHUP)
	signal.Notify(usr1, syscall.SIGUSR1)
	if err := launch(*appliance, *record, stop, hup, usr1); err != nil {
		fmt.Fprintf(os.Stderr, "dunemoor: %v\n", err)
		os.Exit(1)
	}
}

// launch serves by the file of an appliance, or as the platform says.
func launch(appliance, record string, stop, hup, usr1 <-chan os.Signal) error {
	var rc *engine.RecordingConfig
	var err error
	if record != "" {
		if rc, err = config.LoadRecording(record); err != nil {
			return err
		}
	}
	var g *gateway.Gateway
	var part *fleet.Fleet // nil: this gateway stands alone
	reload := func() error { return reloadAppliance(g, appliance) }
	if appliance != "" {
		a, wrong := config.LoadAppliance(appliance)
		if len(wrong) > 0 {
			return errors.Join(wrong...)
		}
		limit(a.Limits.Cores, a.Limits.MemoryMB)
		calls, err := operators(a.Admin)
		if err != nil {
			return err
		}
		if !a.Serves() {
			return launchRelay(a, appliance, calls, stop, hup)
		}
		var sources func(pool, addr string) gateway.Source
		var about map[string]admin.Call
		var drained map[string][]string
		if a.Fleet != nil {
			if part, err = fleet.Join(a); err != nil {
				return err
			}
			if err := part.Start(); err != nil {
				return err
			}
			sources, about, drained = part.Source, part.Calls(), part.Drained()
		}
		if g, err = gateway.StartAppliance(a, rc, sources, drained); err != nil {
			return err
		}
		if part != nil {
			part.SetPools(func(name string) (fleet.Pool, bool) {
				p := g.Pool(name)
				return p, p != nil
			}, g.SetDrained)
		}
		if calls != nil {
			g.Admin(calls, about)
		}
		slog.Info("serving", "name", a.Name, "listeners", len(a.Listeners), "pools", len(a.Pools), "routes", len(a.Routes))
	} else {
		cfg, err := config.LoadPlatform(os.Getenv)
		if err != nil {
			return err
		}
		limit(cfg.Cores, cfg.MemoryMB)
		ln, err := clients(cfg)
		if err != nil {
			return err
		}
		calls, err := operators(cfg.Admin)
		if err != nil {
			return err
		}
		if g, err = gateway.StartPlatform(cfg, rc, ln); err != nil {
			return err
		}
		g.ShareMachine(os.TempDir(), func(part float64) { limitMemory(part * float64(cfg.MemoryMB)) })
		if calls != nil {
			g.Admin(calls, nil)
		}
		reload = func() error { return reloadPlatform(g, cfg) }
		slog.Info("serving", "name", cfg.Name, "listen", cfg.Listen)
	}
	return run(g, part, reload, stop, hup, usr1)
}

// operators opens the socket for operators' calls; nil where there is no address for one.
func operators(addr string) (net.Listener, error) {
	if addr == "" {
		return nil, nil
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	return ln, nil
}

// clients opens the socket where clients connect, or takes over the one that the platform
// holds for us and other processes. That one outlives us: closing ours ends nothing.
func clients(cfg *config.Platform) (net.Listener, error) {
	if cfg.ClientsFD == 0 {
		ln, err := net.Listen("tcp", cfg.Listen)
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		return ln, nil
	}
	f := os.NewFile(uintptr(cfg.ClientsFD), "clients")
	defer f.Close() // what is made of it is a copy
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("GW_FD: %d: %w", cfg.ClientsFD, err)
	}
	return ln, nil
}

// limit keeps the runtime within what the process may use.
func limit(cores float64, memoryMB int) {
	if cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cores)))
	}
	limitMemory(float64(memoryMB))
}

func limitMemory(mb float64) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(memoryShare * mb * (1 << 20)))
	}
}

// run serves until SIGTERM or SIGINT, and then ends in order. SIGHUP makes it read the
// configuration anew, SIGUSR1 write out what the flight recorder holds.
func run(g *gateway.Gateway, part *fleet.Fleet, reload func() error, stop, hup, usr1 <-chan os.Signal) error {
	for {
		select {
		case err := <-g.ListenerErrors():
			return err
		case <-hup:
			if err := reload(); err != nil {
				slog.Error("configuration not reloaded, the old one stays", "err", err)
			}
		case <-usr1:
			g.Dump()
		case s := <-stop:
			// From here on signals are left unread: neither SIGHUP nor a second
			// SIGTERM may end the process with requests unanswered.
			slog.Info("stopping", "signal", s.String())
			var left sync.WaitGroup
			if part != nil {
				left.Go(part.Leave) // its duties go on elsewhere while it answers what it has
			}
			g.Stop(recordedWithin)
			left.Wait()
			slog.Info("stopped")
			return nil
		}
	}
}

// reloadPlatform takes over discovery and settings from the configuration as it is now. All else
// there is used from the next start on. A file that is in error, or lacks what the one at the
// start had, changes nothing.
func reloadPlatform(g *gateway.Gateway, first *config.Platform) error {
	cfg, err := config.ReloadPlatform(os.Getenv, first)
	if err != nil {
		return err
	}
	if err := g.Retune(cfg); err != nil {
		return err
	}
	g.SetDiscovery(cfg.Discovery)
	slog.Info("configuration reloaded", "discovery", cfg.Discovery, "classes", len(cfg.Classes))
	return nil
}

// reloadAppliance serves by the file as it is now. One that is in error changes nothing.
func reloadAppliance(g *gateway.Gateway, path string) error {
	a, wrong := config.LoadAppliance(path)
	if len(wrong) > 0 {
		for _, err := range wrong[1:] {
			slog.Error("configuration", "err", err) // a line each; the caller says the first
		}
		return wrong[0]
	}
	if !a.Serves() {
		return fmt.Errorf("%s: listener: there is none: whether a relay serves requests is used from the next start on", path)
	}
	if err := g.Reload(a); err != nil {
		return err
	}
	slog.Info("configuration reloaded", "listeners", len(a.Listeners), "pools", len(a.Pools), "routes", len(a.Routes))
	return nil
}
