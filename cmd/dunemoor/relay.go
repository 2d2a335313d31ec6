package main

import (
	"context"
	"log/slog"
	"net"
	"reflect"
	"strings"

	"dunemoor/internal/admin"
	"dunemoor/internal/config"
	"dunemoor/internal/fleet"
)

// relayTarget implements admin.Target for a relay without listeners.
type relayTarget struct{ fleet *fleet.Fleet }

// Ready implements admin.Target.
func (t relayTarget) Ready() (bool, string) { return true, "a relay, it serves no requests\n" }

// Quiesce implements admin.Target. There is nothing to drain: the relay's streams to gateways end when the process ends.
func (t relayTarget) Quiesce() {}

// Resume implements admin.Target.
func (t relayTarget) Resume() {}

// Status implements admin.Target.
func (t relayTarget) Status() any { return t.fleet.Status() }

// launchRelay runs a relay without listeners until SIGTERM or SIGINT is received, or its admin listener fails.
func launchRelay(a *config.Appliance, path string, adminListener net.Listener, s signals) error {
	member, err := fleet.Join(a)
	if err != nil {
		return err
	}
	if err := member.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	adminErrors := make(chan error, 1)
	if adminListener != nil {
		go func() {
			if err := admin.New(relayTarget{member}, member.Calls()).Serve(ctx, adminListener); err != nil {
				adminErrors <- err
			}
		}()
	}
	slog.Info("relaying", "name", a.Name, "fleet", a.Fleet.ID)
	for {
		select {
		case err := <-adminErrors:
			return err
		case <-s.reload:
			checkRelayFile(a, path)
		case received := <-s.stop:
			slog.Info("stopping", "signal", received.String())
			member.Leave()
			slog.Info("stopped")
			return nil
		}
	}
}

// checkRelayFile logs which settings in a relay's file have changed, or the errors in the file.
func checkRelayFile(before *config.Appliance, path string) {
	now, errs := config.LoadAppliance(path)
	if len(errs) > 0 {
		for _, err := range errs {
			slog.Error("invalid configuration", "err", err)
		}
		return
	}
	if changed := changedRelaySettings(before, now); len(changed) > 0 {
		slog.Warn("changed settings take effect at the next start", "settings", strings.Join(changed, ", "))
	}
}

// changedRelaySettings returns the names of a relay's settings that differ. All of them take effect at the next start.
func changedRelaySettings(before, now *config.Appliance) []string {
	settings := []struct {
		name    string
		changed bool
	}{
		{"name", before.Name != now.Name},
		{"admin", before.Admin != now.Admin},
		{"limits", before.Limits != now.Limits},
		{"fleet", !reflect.DeepEqual(before.Fleet, now.Fleet)},
		{"listener", now.Serves()},
	}
	var changed []string
	for _, s := range settings {
		if s.changed {
			changed = append(changed, s.name)
		}
	}
	return changed
}
