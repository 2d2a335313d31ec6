// Package testutil has what tests of several packages share: hosts on loopback sockets whose responses are
// scripted, requests in the platform's protocol, waiting on conditions, and failpoint builds. Only tests
// import it.
package testutil

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"
)

const (
	// WaitTimeout is how long tests wait for a condition: long, as machines may be busy.
	WaitTimeout = 20 * time.Second
	// PollInterval is the time between two checks of a condition.
	PollInterval = 2 * time.Millisecond
)

// WaitUntil waits for a condition, and ends the test after WaitTimeout. what names the condition.
func WaitUntil(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(WaitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("no %q after %v", what, WaitTimeout)
		}
		time.Sleep(PollInterval)
	}
}

// Listen opens a TCP listener. control, which may be nil, is that of a net.ListenConfig.
func Listen(t testing.TB, address string, control func(string, string, syscall.RawConn) error) net.Listener {
	t.Helper()
	ln, err := (&net.ListenConfig{Control: control}).Listen(context.Background(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return ln
}
