package transport

import (
	"testing"

	"dunemoor/internal/cluster/relay"
)

// The loop that owns a Transport may dial while another goroutine closes it: Close waits for what was started
// before, and nothing is started after.
func TestCloseWhileDialing(t *testing.T) {
	for range 200 {
		gateway, _ := newSide(t, "g1", "key", false)
		dialed := make(chan struct{})
		go func() {
			defer close(dialed)
			for range 8 {
				gateway.Dial("r1", "127.0.0.1:1", relay.KindJoin, nil)
			}
		}()
		gateway.Close()
		_, endsAtClose := gateway.seen()
		<-dialed
		if _, ends := gateway.seen(); len(ends) != len(endsAtClose) {
			t.Fatalf("got %d streams that ended after Close, want none", len(ends)-len(endsAtClose))
		}
	}
}
