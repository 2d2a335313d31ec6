package fastcgi

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/engine"
	"dunemoor/internal/fastcgi"
	"dunemoor/internal/frontend"
)

// A request whose bytes have come in part when connections begin to end is read on and answered:
// it guards against a close by another than the goroutine that reads.
func TestHalfARequestAsConnectionsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(frontend.NewAdmission(engine.New(1), body.NewBudget(1<<20)), Options{MaxConns: 8})
		ours, theirs := net.Pipe()
		c := newConn(s, theirs, &ListenOptions{})
		s.conns[c] = struct{}{}
		served, stopped := make(chan struct{}), make(chan struct{})
		go func() { c.serve(); close(served) }()
		go func() { s.Shutdown(); close(stopped) }()
		text := fastcgi.AppendBeginRequest(nil, 1, fastcgi.BeginRequestBody{Role: fastcgi.Responder})
		text = fastcgi.AppendStream(text, fastcgi.Params, 1, fastcgi.AppendPair(nil, "REQUEST_METHOD", "GET"))
		text = fastcgi.AppendStreamEnd(fastcgi.AppendStreamEnd(text, fastcgi.Params, 1), fastcgi.Stdin, 1)
		time.Sleep(backlogTime - waitEvery)
		ours.Write(text[:4]) // of a head
		time.Sleep(lookEvery / 2)
		if _, err := ours.Write(text[4:]); err != nil {
			t.Fatalf("closed in the midst of a request: %v", err)
		}
		got, err := io.ReadAll(ours)
		if err != nil || len(got) == 0 {
			t.Errorf("%q, %v, want an answer and an orderly end", got, err)
		}
		<-served
		<-stopped
	})
}
