package http1

import (
	"testing"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/frontend"
	"dunemoor/internal/testutil"
)

// A read that is interrupted because the gateway closes the body must not be reported as a client that is too slow.
// Otherwise the client would get a 408 after a failure of a host.
func TestClosedUploadIsNotTooSlow(t *testing.T) {
	_, c := acceptPair(t)
	u := &upload{
		c:        c,
		body:     &bodyReader{c: c, remaining: 1},
		ticket:   &frontend.Ticket{},
		meter:    body.Meter{Pace: body.Pace{IdleTimeout: time.Minute}},
		deadline: body.LazyDeadline{SetDeadline: c.SetReadDeadline},
	}
	stream := body.NewStream(u, -1)
	if err := stream.Consume(); err != nil {
		t.Fatal(err)
	}
	readErr := make(chan error, 1)
	go func() {
		_, err := stream.Read(make([]byte, 1))
		readErr <- err
	}()
	testutil.WaitUntil(t, "a read is in progress", func() bool {
		if u.reading.TryLock() {
			u.reading.Unlock()
			return false
		}
		return true
	})
	stream.Close()
	if err := <-readErr; err != body.ErrConsumed || stream.Err() != body.ErrConsumed {
		t.Errorf("got read error %v, stream error %v, want %v for both", err, stream.Err(), body.ErrConsumed)
	}
}
