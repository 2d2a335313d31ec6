package main

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"
)

// SIGTERM ends a reload that waits. Guards against a shutdown that begins only after the reload: the process is killed a
// fixed time after SIGTERM, and the requests that are in flight then get no response.
func TestStopSignalEndsReload(t *testing.T) {
	stop, started := make(chan os.Signal), make(chan struct{})
	srv := &server{reload: func(ctx context.Context) error {
		close(started)
		<-ctx.Done() // no endpoint list arrives
		return ctx.Err()
	}}
	handled := make(chan os.Signal, 1)
	go func() { handled <- srv.handleReload(signals{stop: stop}) }()
	<-started
	select {
	case stop <- syscall.SIGTERM:
	case <-time.After(waitTimeout):
		t.Fatal("SIGTERM is not received during a reload")
	}
	select {
	case got := <-handled:
		if got != syscall.SIGTERM {
			t.Errorf("got signal %v, want %v", got, syscall.SIGTERM)
		}
	case <-time.After(waitTimeout):
		t.Fatal("SIGTERM does not end the reload")
	}
}
