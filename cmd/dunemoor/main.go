// Command dunemoor runs one gateway, which accepts requests from clients and forwards them to the hosts that its
// balancers select. It is configured by the platform's GW_ environment variables, or by an appliance's file. An
// appliance's file without listeners makes it a relay of a fleet, which serves no requests.
//
// SIGTERM and SIGINT shut it down gracefully, SIGHUP reloads the configuration, and SIGUSR1 writes a dump of the
// flight recorder.
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"dunemoor/internal/config"
	"dunemoor/internal/engine"
	"dunemoor/internal/fleet"
	"dunemoor/internal/gateway"
)

// recordingTimeout is how long the program waits before it exits until the rest of a flight recording is written, which
// is some 500 KB at most. Without a recording there is no wait.
const recordingTimeout = time.Second

func main() {
	// A write beyond the file size limit must fail like a write to a full disk, and not end the process.
	signal.Ignore(syscall.SIGXFSZ)
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	recording := flag.String("flight", "", "TOML `file` with the flight recorder's settings; without it nothing is recorded")
	appliance := flag.String("appliance", "", "TOML `file` of an appliance, which replaces the configuration by the platform's GW_ variables")
	flag.Parse()
	if err := launch(*appliance, *recording, notifySignals()); err != nil {
		fmt.Fprintf(os.Stderr, "dunemoor: %v\n", err)
		os.Exit(1)
	}
}

// signals are the channels of the signals that the program handles. Each has a channel of its own, so that repeated
// signals of one kind don't displace others.
type signals struct {
	stop   <-chan os.Signal
	reload <-chan os.Signal
	dump   <-chan os.Signal
}

func notifySignals() signals {
	stop := make(chan os.Signal, 1)
	reload := make(chan os.Signal, 1)
	dump := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Notify(dump, syscall.SIGUSR1)
	return signals{stop: stop, reload: reload, dump: dump}
}

// launch runs the program with an appliance's file, or with the platform's variables if appliance is "". recording is the
// path of the flight recorder's settings, or "".
func launch(appliance, recording string, s signals) error {
	var recordingConfig *engine.RecordingConfig
	if recording != "" {
		var err error
		if recordingConfig, err = config.LoadRecording(recording); err != nil {
			return err
		}
	}
	if appliance != "" {
		return launchAppliance(appliance, recordingConfig, s)
	}
	return launchPlatform(recordingConfig, s)
}

// server is a running gateway.
type server struct {
	gateway *gateway.Gateway
	fleet   *fleet.Fleet                // nil if the gateway is not a member of a fleet
	reload  func(context.Context) error // reloads the configuration; if it returns an error nothing has changed
}

// run serves until SIGTERM or SIGINT is received, or a listener fails.
func (srv *server) run(s signals) error {
	for {
		select {
		case err := <-srv.gateway.ListenerErrors():
			return err
		case <-s.reload:
			if stop := srv.handleReload(s); stop != nil {
				srv.shutDown(stop)
				return nil
			}
		case <-s.dump:
			srv.gateway.Dump()
		case stop := <-s.stop:
			srv.shutDown(stop)
			return nil
		}
	}
}

// handleReload reloads the configuration, which may wait for endpoint lists. SIGTERM and SIGINT end the reload, since the
// time until the process is killed has begun; the signal is returned, nil if none was received.
func (srv *server) handleReload(s signals) (stop os.Signal) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- srv.reload(ctx) }()
	stopSignals := s.stop
	for {
		select {
		case err := <-done:
			if err != nil {
				slog.Error("configuration reload failed, keeping the old one", "err", err)
			}
			return stop
		case <-s.dump:
			srv.gateway.Dump()
		case stop = <-stopSignals:
			stopSignals = nil
			cancel()
		}
	}
}

// shutDown stops the gateway gracefully. Signals are still caught but no longer handled: neither SIGHUP nor a second
// SIGTERM may end the process with requests in flight.
func (srv *server) shutDown(received os.Signal) {
	slog.Info("stopping", "signal", received.String())
	var leaving sync.WaitGroup
	if srv.fleet != nil {
		leaving.Go(srv.fleet.Leave) // other gateways take over its leases while it finishes its requests
	}
	srv.gateway.Stop(recordingTimeout)
	leaving.Wait()
	slog.Info("stopped")
}
