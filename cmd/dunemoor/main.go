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
	cfg, err := gateway.Load(os.Getenv)
	if err == nil {
		err = run(cfg)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "dunemoor: %v\n", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT, and then ends in order.
func run(cfg *gateway.Config) error {
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	}
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(cfg.MemoryMB) * (1 << 20)))
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)

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
	broken := make(chan error, 1)
	go func() { broken <- server.Serve(ln) }()
	slog.Info("serving", "name", cfg.Name, "listen", cfg.Listen)
	select {
	case err := <-broken:
		return fmt.Errorf("listen: %w", err)
	case s := <-signals:
		slog.Info("stopping", "signal", s.String())
	}
	server.Stop()
	slog.Info("stopped")
	return nil
}
