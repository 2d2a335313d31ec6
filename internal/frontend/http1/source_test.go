package http1

import (
	"net"
	"testing"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/frontend"
	"dunemoor/internal/testutil"
)

// A read that ends as we gave the body up is not taken for a client that is too slow: it guards
// against blaming the client, with 408, for a host that broke off.
func TestGivenUpIsNotTooSlow(t *testing.T) {
	ln := testutil.Listen(t, "127.0.0.1:0", nil)
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	c, err := newClientConn(nc.(*net.TCPConn), &ListenOptions{})
	if err != nil {
		t.Fatal(err)
	}
	s := &clientSource{
		c: c, body: &bodyReader{c: c, left: 1}, x: &frontend.Entry{}, meter: body.Meter{Pace: body.Pace{IdleTimeout: time.Minute}},
		alarm: body.LazyDeadline{SetDeadline: c.SetReadDeadline},
	}
	flow := body.NewStream(s, -1)
	if err := flow.Consume(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := flow.Read(make([]byte, 1))
		ended <- err
	}()
	testutil.WaitUntil(t, "it is being read", func() bool {
		if s.busy.TryLock() {
			s.busy.Unlock()
			return false
		}
		return true
	})
	flow.Close()
	if err := <-ended; err != body.ErrConsumed || flow.Err() != body.ErrConsumed {
		t.Errorf("it ended with %v, and is said to with %v", err, flow.Err())
	}
}
