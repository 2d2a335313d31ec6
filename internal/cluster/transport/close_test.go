package transport

import (
	"testing"

	"dunemoor/internal/cluster/relay"
)

// The loop that owns a Transport may dial while another goroutine closes it: Close waits for what was started
// before, and nothing is started after.
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
