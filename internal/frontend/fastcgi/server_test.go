package fastcgi

import (
	"io"
	"net"
	"testing"
	"time"

	"dunemoor/internal/fastcgi"
	"dunemoor/internal/frontend"
	"dunemoor/internal/testutil"
)

// A request that has arrived in part when Shutdown starts to close connections is read completely and answered. The
// test guards against a connection that is closed by another goroutine than the one that reads it.
func TestShutdownServesPartialRequest(t *testing.T) {
	testutil.VirtualTime(t, func(t *testing.T) {
		s := newTestServer(8)
		s.admission.SetLongestDeadline(3 * time.Second)
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

// A connection that always carries a request is closed after its last response, before the kill at the shortest of
// longest deadlines too. The test guards against requests that begin until the process is killed, and a shutdown that
// lasts longer than the time until the kill.
func TestShutdownEndsConnectionThatIsNeverIdle(t *testing.T) {
	const longestDeadline = time.Second
	testutil.VirtualTime(t, func(t *testing.T) {
		s := newTestServer(8)
		s.admission.SetLongestDeadline(longestDeadline)
		schedule := s.admission.ScheduleShutdown()
		c, web := newTestConn(t, s)
		s.add(c)
		held, release := holdLastWrite(c, 1)
		go c.serve()
		stopped := make(chan struct{})
		go func() {
			s.Shutdown()
			close(stopped)
		}()
		web.send(1, fastcgi.KeepConn)
		<-held
		time.Sleep(time.Until(schedule.CloseIdle) - shutdownPollInterval)
		web.send(2, fastcgi.KeepConn)
		if !web.awaitEnd(2) || web.ended[2].ProtocolStatus != fastcgi.RequestComplete {
			t.Errorf("request before the last step: got END_REQUEST %+v, want it answered", web.ended[2])
		}
		time.Sleep(2 * shutdownPollInterval)
		web.send(3, fastcgi.KeepConn)
		if !web.awaitEnd(3) || web.ended[3].ProtocolStatus != fastcgi.Overloaded {
			t.Errorf("request after it: got END_REQUEST %+v, want status %v", web.ended[3], fastcgi.Overloaded)
		}
		close(release)
		if !web.awaitEnd(1) {
			t.Error("the connection ended before the response to request 1")
		}
		web.awaitClose()
		<-stopped
		if now := time.Now(); now.After(schedule.Exit) {
			t.Errorf("Shutdown returned %v after the time to exit", now.Sub(schedule.Exit))
		}
	})
}
