// Package testutil contains helpers for the tests of several packages: hosts on loopback sockets whose
// responses are scripted, requests in the platform's protocol, waiting for conditions, virtual time, and
// builds with failpoints. Only tests import it.
package testutil

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"
)

const (
	// WaitTimeout is how long tests wait for a condition. It is long because machines may be busy.
	WaitTimeout = 20 * time.Second
	// PollInterval is the time between two checks of a condition.
	PollInterval = 2 * time.Millisecond
)

// WaitUntil waits until condition returns true, and fails the test after WaitTimeout. what describes the condition.
func WaitUntil(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(WaitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %q after %v", what, WaitTimeout)
		}
		time.Sleep(PollInterval)
	}
}

// Listen opens a TCP listener. control is the Control function of the net.ListenConfig, and may be nil.
func Listen(t testing.TB, address string, control func(string, string, syscall.RawConn) error) net.Listener {
	t.Helper()
	ln, err := (&net.ListenConfig{Control: control}).Listen(context.Background(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return ln
}
