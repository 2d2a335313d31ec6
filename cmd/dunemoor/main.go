// Command dunemoor is one gateway: it takes clients' requests and passes them on to
// hosts as the decision module says. It is configured by the GW_ variables.
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"lynxspool"
	"lynxspool/internal/discovery"
	"lynxspool/internal/gateway"
)

// memoryShare is the part of the memory limit at which the collector works harder;
// the rest is for stacks, the binary and what the kernel holds for us.
const memoryShare = 0.7

// recordedWithin is how long the exit waits for the last of a flight recording: what is
// left then is some 500 KB at most. Where nothing is recorded there is no wait.
const recordedWithin = time.Second

func main() {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	record := flag.String("flight", "", "the flight recorder's settings, a TOML `file`; nothing is recorded without")
	flag.Parse()
	// Two channels: any number of SIGHUPs must not crowd out a SIGTERM.
	stop, hup, usr1 := make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(hup, syscall.SIGHUP)
	signal.Notify(usr1, syscall.SIGUSR1)
	cfg, err := gateway.Load(os.Getenv)
	var rc *gateway.RecordingConfig
	if err == nil && *record != "" {
		rc, err = gateway.LoadRecording(*record)
	}
	if err == nil {
		err = run(cfg, rc, stop, hup, usr1)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "dunemoor: %v\n", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT, and then ends in order. SIGHUP makes it read the
// configuration anew, SIGUSR1 write out what the flight recorder holds.
func run(cfg *gateway.Config, rc *gateway.RecordingConfig, stop, hup, usr1 <-chan os.Signal) error {
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	}
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(cfg.MemoryMB) * (1 << 20)))
	}
	pool := gateway.NewPool(cfg)
	watcher := discovery.NewWatcher(cfg.Discovery, cfg.Settings.Ask, cfg.Known.Version)
	loop, err := gateway.NewLoop(cfg, pool, watcher.Watch)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if rc != nil {
		if err := loop.Record(cfg, rc); err != nil {
			return fmt.Errorf("flight: %w", err)
		}
	}
	go pool.Run(ctx)
	go loop.Run(ctx)
	loop.Members(lynxspool.ListSaved, cfg.Known)
	go watcher.Run(ctx, loop)
	server := gateway.NewServer(cfg, loop)
	server.Listen(ln)
	broken := make(chan error, 1)
	go func() { broken <- server.Serve() }()
	slog.Info("serving", "name", cfg.Name, "listen", cfg.Listen)
	for {
		select {
		case err := <-broken:
			return fmt.Errorf("listen: %w", err)
		case <-hup:
			reload(watcher)
		case <-usr1:
			loop.Dump()
		case s := <-stop:
			// From here on signals are left unread: neither SIGHUP nor a second
			// SIGTERM may end the process with requests unanswered.
			slog.Info("stopping", "signal", s.String())
			server.Stop()
			cancel()
			loop.Wait(recordedWithin)
			slog.Info("stopped")
			return nil
		}
	}
}

// reload takes over the address of discovery from the configuration as it is now. All
// else there is used from the next start on. A file that is in error changes nothing.
func reload(watcher *discovery.Watcher) {
	cfg, err := gateway.Reload(os.Getenv)
	if err != nil {
		slog.Error("configuration not reloaded, the old one stays", "err", err)
		return
	}
	watcher.Move(cfg.Discovery)
	slog.Info("configuration reloaded", "discovery", cfg.Discovery)
}
