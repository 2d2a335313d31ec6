package main

import (
	"context"
	"log/slog"
	"net"
	"os"
	"reflect"
	"strings"

	"dunemoor/internal/admin"
	"dunemoor/internal/config"
	"dunemoor/internal/fleet"
)

// relayTarget is a relay that serves no requests, as operators' calls see it.
type relayTarget struct{ part *fleet.Fleet }

// Ready is of admin.Target.
func (t relayTarget) Ready() (bool, string) { return true, "a relay, it serves no requests\n" }

// Quiesce is of admin.Target: there is nothing to drain. Gateways leave when the process ends.
func (t relayTarget) Quiesce() {}

// Resume is of admin.Target.
func (t relayTarget) Resume() {}

// Status is of admin.Target.
func (t relayTarget) Status() any { return t.part.Status() }

// launchRelay runs a relay that serves no requests, until SIGTERM or SIGINT.
func launchRelay(a *config.Appliance, path string, calls net.Listener, stop, hup <-chan os.Signal) error {
	part, err := fleet.Join(a)
	if err != nil {
		return err
	}
	if err := part.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	broken := make(chan error, 1)
	if calls != nil {
		go func() {
			if err := admin.New(relayTarget{part}, part.Calls()).Serve(ctx, calls); err != nil {
				broken <- err
			}
		}()
	}
	slog.Info("relaying", "name", a.Name, "fleet", a.Fleet.ID)
	for {
		select {
		case err := <-broken:
			return err
		case <-hup:
			now, wrong := config.LoadAppliance(path)
			for _, err := range wrong {
				slog.Error("configuration", "err", err)
			}
			if len(wrong) == 0 {
				if late := laterAtRelay(a, now); len(late) > 0 {
					slog.Warn("settings changed in the file are used from the next start on", "settings", strings.Join(late, ", "))
				}
			}
		case s := <-stop:
			slog.Info("stopping", "signal", s.String())
			part.Leave()
			slog.Info("stopped")
			return nil
		}
	}
}

// laterAtRelay names what has changed in the file of a relay: all of it waits for the next start.
func laterAtRelay(was, now *config.Appliance) (names []string) {
	for _, s := range []struct {
		name    string
		changed bool
	}{
		{"name", was.Name != now.Name}, {"admin", was.Admin != now.Admin}, {"limits", was.Limits != now.Limits},
		{"fleet", !reflect.DeepEqual(was.Fleet, now.Fleet)}, {"listener", now.Serves()},
	} {
		if s.changed {
			names = append(names, s.name)
		}
	}
	return names
}
