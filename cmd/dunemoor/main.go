// Command dunemoor is one gateway: it accepts requests of clients and forwards them to hosts as its balancers
// decide. It is configured by the platform's GW_ variables, or by an appliance's file.
//
// SIGTERM and SIGINT shut it down gracefully, SIGHUP reloads the configuration, and SIGUSR1 writes a dump of the
// flight recorder.
package main

import (
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

// recordingTimeout is how long the exit waits for the rest of a flight recording, which has some 500 KB at most.
// Without a recording there is no wait.
const recordingTimeout = time.Second

func main() {
	// A write beyond the file size limit must fail as on a full disk, and not end the process.
	signal.Ignore(syscall.SIGXFSZ)
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	recording := flag.String("flight", "", "the flight recorder's settings, a TOML `file`; nothing is recorded without")
	appliance := flag.String("appliance", "", "serve by this TOML `file`, not as the platform's GW_ variables say")
	flag.Parse()
	if err := launch(*appliance, *recording, notifySignals()); err != nil {
		fmt.Fprintf(os.Stderr, "dunemoor: %v\n", err)
		os.Exit(1)
	}
}

// signals are the signals that the program handles. Each has a channel of its own, so that any number of one
// doesn't displace another.
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

// launch serves by an appliance's file, or by the platform's variables where appliance is "".
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

// server is a gateway that serves.
type server struct {
	gateway *gateway.Gateway
	fleet   *fleet.Fleet // nil: the gateway isn't part of one
	reload  func() error // reloads the configuration; an error changes nothing
}

// run serves until SIGTERM or SIGINT, or the failure of a listener.
func (srv *server) run(s signals) error {
	for {
		select {
		case err := <-srv.gateway.ListenerErrors():
			return err
		case <-s.reload:
			if err := srv.reload(); err != nil {
				slog.Error("configuration reload failed, keeping the old one", "err", err)
			}
		case <-s.dump:
			srv.gateway.Dump()
		case received := <-s.stop:
			srv.shutDown(received)
			return nil
		}
	}
}

// shutDown ends the gateway gracefully. Signals are no longer read: neither SIGHUP nor a second SIGTERM may end
// the process with requests in flight.
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
