package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"

	"dunemoor/internal/admin"
	"dunemoor/internal/config"
	"dunemoor/internal/engine"
	"dunemoor/internal/fleet"
	"dunemoor/internal/gateway"
)

// launchAppliance runs the gateway or the relay that an appliance's file describes.
func launchAppliance(path string, recording *engine.RecordingConfig, s signals) error {
	a, errs := config.LoadAppliance(path)
	if len(errs) > 0 {
		return errors.Join(errs...)
	}
	limitResources(a.Limits.Cores, a.Limits.MemoryMB)
	adminListener, err := listenForAdmin(a.Admin)
	if err != nil {
		return err
	}
	if !a.Serves() {
		return launchRelay(a, path, adminListener, s)
	}
	srv := &server{}
	var calls map[string]admin.Call
	if a.Fleet == nil {
		srv.gateway, err = gateway.StartAppliance(a, recording, nil, nil)
	} else {
		srv.gateway, srv.fleet, err = startFleetMember(a, recording)
	}
	if err != nil {
		return err
	}
	if srv.fleet != nil {
		calls = srv.fleet.Calls()
	}
	if adminListener != nil {
		srv.gateway.ServeAdmin(adminListener, calls)
	}
	srv.reload = func(ctx context.Context) error { return reloadAppliance(ctx, srv.gateway, path) }
	slog.Info("serving", "name", a.Name, "listeners", len(a.Listeners), "pools", len(a.Pools), "routes", len(a.Routes))
	return srv.run(s)
}

// startFleetMember joins a fleet, and starts a gateway that receives its endpoint lists and overrides from the fleet.
func startFleetMember(a *config.Appliance, recording *engine.RecordingConfig) (*gateway.Gateway, *fleet.Fleet, error) {
	member, err := fleet.Join(a)
	if err != nil {
		return nil, nil, err
	}
	if err := member.Start(); err != nil {
		return nil, nil, err
	}
	g, err := gateway.StartAppliance(a, recording, member.Source, member.Drained())
	if err != nil {
		return nil, nil, err
	}
	member.SetPools(func(name string) (fleet.Pool, bool) {
		p := g.Pool(name)
		return p, p != nil
	}, g.SetDrained)
	return g, member, nil
}

// reloadAppliance reads the file again and applies it. If the file has errors nothing changes: the first error is
// returned, and the others are logged.
func reloadAppliance(ctx context.Context, g *gateway.Gateway, path string) error {
	a, errs := config.LoadAppliance(path)
	if len(errs) > 0 {
		for _, err := range errs[1:] {
			slog.Error("invalid configuration", "err", err)
		}
		return errs[0]
	}
	if !a.Serves() {
		return fmt.Errorf("%s: listener: none is configured: a change to a relay that serves no requests takes effect at the next start", path)
	}
	if err := g.Reload(ctx, a); err != nil {
		return err
	}
	slog.Info("configuration reloaded", "listeners", len(a.Listeners), "pools", len(a.Pools), "routes", len(a.Routes))
	return nil
}
