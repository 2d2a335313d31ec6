// Command dunemoor is one gateway: it takes clients' requests and passes them on to
// hosts as the decision module says. It is configured by the GW_ variables.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"lynxspool"
	"lynxspool/internal/gateway"
)

// memoryShare is the part of the memory limit at which the collector works harder;
// the rest is for stacks, the binary and what the kernel holds for us.
const memoryShare = 0.7

func main() {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	// Two channels: any number of SIGHUPs must not crowd out a SIGTERM.
	stop, hup := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(hup, syscall.SIGHUP)
	cfg, err := gateway.Load(os.Getenv)
	if err == nil {
		err = run(cfg, stop, hup)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "dunemoor: %v\n", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT, and then ends in order. SIGHUP makes it read the
// configuration anew.
func run(cfg *gateway.Config, stop, hup <-chan os.Signal) error {
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	}
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(cfg.MemoryMB) * (1 << 20)))
	}
	pool := gateway.NewPool(cfg)
	discovery := gateway.NewDiscovery(cfg)
	loop, err := gateway.NewLoop(cfg, pool, discovery.Watch)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go pool.Run(ctx)
	go loop.Run(ctx)
	loop.Members(lynxspool.ListSaved, cfg.Known)
	go discovery.Run(ctx, loop)
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
			reload(discovery)
		case s := <-stop:
			// From here on signals are left unread: neither SIGHUP nor a second
			// SIGTERM may end the process with requests unanswered.
			slog.Info("stopping", "signal", s.String())
			server.Stop()
			slog.Info("stopped")
			return nil
		}
	}
}

// reload takes over the address of discovery from the configuration as it is now. All
// else there is used from the next start on. A file that is in error changes nothing.
func reload(discovery *gateway.Discovery) {
	cfg, err := gateway.Reload(os.Getenv)
	if err != nil {
		slog.Error("configuration not reloaded, the old one stays", "err", err)
		return
	}
	discovery.Move(cfg.Discovery)
	slog.Info("configuration reloaded", "discovery", cfg.Discovery)
}
