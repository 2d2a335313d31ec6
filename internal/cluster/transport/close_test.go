package transport

import (
	"testing"

	"dunemoor/internal/cluster/relay"
)

// Dial may be called while another goroutine calls Close. Close waits for the goroutines
// of earlier dials, and later dials start none.
func TestCloseWaitsForDialsInProgress(t *testing.T) {
	for range 200 {
		gateway := newGateway(t, "g1", "key")
		dialed := make(chan struct{})
		go func() {
			defer close(dialed)
			for range 8 {
				gateway.Dial("r1", "127.0.0.1:1", relay.KindJoin, nil)
			}
		}()
		gateway.Close()
		_, endsAtClose := gateway.received()
		<-dialed
		if _, ends := gateway.received(); len(ends) != len(endsAtClose) {
			t.Fatalf("got %d streams that ended after Close, want none", len(ends)-len(endsAtClose))
		}
	}
}
