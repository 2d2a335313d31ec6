package fastcgi

import (
	"io"
	"net"
	"testing"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/engine"
	"dunemoor/internal/fastcgi"
	"dunemoor/internal/frontend"
	"dunemoor/internal/testutil"
)

// A request that has arrived in part when Shutdown starts to close connections is read completely and answered. The
// test guards against a connection that is closed by another goroutine than the one that reads it.
func TestShutdownServesPartialRequest(t *testing.T) {
	testutil.VirtualTime(t, func(t *testing.T) {
		admission := frontend.NewAdmission(engine.New(1), body.NewBudget(1<<20))
		s := New(admission, Options{MaxConns: 8})
		client, server := net.Pipe()
		c := newConn(s, server, &ListenOptions{})
		s.conns[c] = struct{}{}
		served, stopped := make(chan struct{}), make(chan struct{})
		go func() {
			c.serve()
			close(served)
		}()
		go func() {
			s.Shutdown()
			close(stopped)
		}()
		records := fastcgi.AppendBeginRequest(nil, 1, fastcgi.BeginRequestBody{Role: fastcgi.Responder})
		records = fastcgi.AppendStream(records, fastcgi.Params, 1, fastcgi.AppendPair(nil, "REQUEST_METHOD", "GET"))
		records = fastcgi.AppendStreamEnd(records, fastcgi.Params, 1)
		records = fastcgi.AppendStreamEnd(records, fastcgi.Stdin, 1)
		time.Sleep(frontend.BacklogGrace - shutdownPollInterval)
		client.Write(records[:4]) // a part of the first record's header
		time.Sleep(checkInterval / 2)
		if _, err := client.Write(records[4:]); err != nil {
			t.Fatalf("write the rest of the request: got %v, want an open connection", err)
		}
		got, err := io.ReadAll(client)
		if err != nil || len(got) == 0 {
			t.Errorf("got %q, %v, want a response and the end of the connection", got, err)
		}
		<-served
		<-stopped
	})
}
