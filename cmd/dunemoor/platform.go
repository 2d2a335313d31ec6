package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"

	"dunemoor/internal/config"
	"dunemoor/internal/engine"
	"dunemoor/internal/gateway"
)

// launchPlatform runs a gateway with the platform's environment variables and configuration.
func launchPlatform(recording *engine.RecordingConfig, s signals) error {
	cfg, err := config.LoadPlatform(os.Getenv)
	if err != nil {
		return err
	}
	limitResources(cfg.Cores, cfg.MemoryMB)
	clients, err := listenForClients(cfg)
	if err != nil {
		return err
	}
	admin, err := listenForAdmin(cfg.Admin)
	if err != nil {
		return err
	}
	g, err := gateway.StartPlatform(cfg, recording, clients)
	if err != nil {
		return err
	}
	g.ShareMachine(os.TempDir(), func(share float64) { limitMemory(share * float64(cfg.MemoryMB)) })
	if admin != nil {
		g.ServeAdmin(admin, nil)
	}
	slog.Info("serving", "name", cfg.Name, "listen", cfg.Listen)
	srv := &server{gateway: g, reload: func(context.Context) error { return reloadPlatform(g, cfg) }}
	return srv.run(s)
}

// listenForClients opens the socket for clients, or takes over the one that the platform shares between processes.
// Closing this process's copy doesn't close the shared socket.
func listenForClients(cfg *config.Platform) (net.Listener, error) {
	if cfg.ClientsFD == 0 {
		ln, err := net.Listen("tcp", cfg.Listen)
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		return ln, nil
	}
	f := os.NewFile(uintptr(cfg.ClientsFD), "clients")
	defer f.Close() // net.FileListener duplicates the descriptor
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("GW_FD: %d: %w", cfg.ClientsFD, err)
	}
	return ln, nil
}

// reloadPlatform reads the configuration again, and applies its settings and its discovery address; other changes take
// effect at the next start. first is the configuration with which the program was started. After an error nothing has
// changed.
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
