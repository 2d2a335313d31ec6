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

// webServer is the peer of a conn in a test.
type webServer struct {
	*testing.T
	net.Conn
	scanner fastcgi.Scanner
	unread  []byte                            // received, but not scanned yet
	end     []byte                            // body of the record that is being scanned
	ended   map[uint16]fastcgi.EndRequestBody // END_REQUEST by request id
}

// newTestConn returns a connection of a Server that has no snapshot, so that it answers each request with 503, and the
// web server at its other end.
func newTestConn(t *testing.T, s *Server) (*conn, *webServer) {
	t.Helper()
	client, server := net.Pipe()
	c := newConn(s, server, &ListenOptions{})
	return c, &webServer{T: t, Conn: client, ended: map[uint16]fastcgi.EndRequestBody{}}
}

func newTestServer(maxConns int) *Server {
	return New(frontend.NewAdmission(engine.New(1), body.NewBudget(1<<20)), Options{MaxConns: maxConns})
}

// requestRecords returns the records of a request without a body.
func requestRecords(id uint16, flags uint8) []byte {
	b := fastcgi.AppendBeginRequest(nil, id, fastcgi.BeginRequestBody{Role: fastcgi.Responder, Flags: flags})
	b = fastcgi.AppendStream(b, fastcgi.Params, id, fastcgi.AppendPair(nil, "REQUEST_METHOD", "GET"))
	b = fastcgi.AppendStreamEnd(b, fastcgi.Params, id)
	return fastcgi.AppendStreamEnd(b, fastcgi.Stdin, id)
}

// send sends a request without a body.
func (w *webServer) send(id uint16, flags uint8) {
	w.Helper()
	if _, err := w.Write(requestRecords(id, flags)); err != nil {
		w.Errorf("send request %d: %v", id, err)
	}
}

// awaitEnd reads until the END_REQUEST of a request, and reports whether it came before the end of the connection.
func (w *webServer) awaitEnd(id uint16) bool {
	w.Helper()
	buf := make([]byte, 4096)
	for {
		if _, ok := w.ended[id]; ok {
			return true
		}
		event, part, rest, err := w.scanner.Next(w.unread)
		if err != nil {
			w.Fatal(err)
		}
		w.unread = rest
		switch event {
		case fastcgi.NeedMore:
			n, err := w.Read(buf)
			if err != nil {
				return false
			}
			w.unread = append([]byte(nil), buf[:n]...)
		case fastcgi.RecordStart:
			w.end = nil
		case fastcgi.RecordContent:
			w.end = append(w.end, part...)
		case fastcgi.RecordEnd:
			w.recordEnd()
		}
	}
}

func (w *webServer) recordEnd() {
	w.Helper()
	if w.scanner.Header().Type != fastcgi.EndRequest {
		return
	}
	end, err := fastcgi.ParseEndRequest(w.end)
	if err != nil {
		w.Fatal(err)
	}
	w.ended[w.scanner.Header().ID] = end
}

// awaitClose fails the test if the connection does not end without further records.
func (w *webServer) awaitClose() {
	w.Helper()
	if rest, err := io.ReadAll(w); err != nil || len(rest) > 0 || len(w.unread) > 0 {
		w.Errorf("got %d bytes and %v, want the end of the connection", len(rest), err)
	}
}

// holdLastWrite makes the last write of a request wait until release is closed. held is closed when the request has been
// removed from the connection and waits.
func holdLastWrite(c *conn, id uint16) (held, release chan struct{}) {
	held, release = make(chan struct{}), make(chan struct{})
	c.beforeLastWrite = func(ending uint16) {
		if ending == id {
			close(held)
			<-release
		}
	}
	return held, release
}

// Requests that end side by side during Shutdown are all answered. The test guards against a connection that is closed
// after the response of the request that was removed last, while another one has not written its response yet.
func TestConnectionClosesAfterAllLastResponses(t *testing.T) {
	testutil.VirtualTime(t, func(t *testing.T) {
		s := newTestServer(8)
		s.shutdownEndsConns.Store(true)
		c, web := newTestConn(t, s)
		held, release := holdLastWrite(c, 1)
		go c.serve()
		web.send(1, fastcgi.KeepConn)
		<-held
		web.send(2, fastcgi.KeepConn)
		if !web.awaitEnd(2) {
			t.Error("the connection ended before the response to request 2")
		}
		time.Sleep(2 * checkInterval) // whatever closes the connection has had time to do so
		close(release)
		if !web.awaitEnd(1) {
			t.Error("the connection ended before the response to request 1")
		}
		web.awaitClose()
	})
}

// A response that the web server reads late is written as a whole during Shutdown. The test guards against the check for
// idle connections, which must not take a connection for idle while its last response is being written.
func TestConnectionIsNotClosedDuringLastWrite(t *testing.T) {
	testutil.VirtualTime(t, func(t *testing.T) {
		s := newTestServer(8)
		s.shutdownEndsConns.Store(true)
		c, web := newTestConn(t, s)
		go c.serve()
		web.send(1, fastcgi.KeepConn)
		time.Sleep(4 * checkInterval)
		if !web.awaitEnd(1) {
			t.Error("the connection ended before the response")
		}
		web.awaitClose()
	})
}

// A truncated response does not cut off the response to another request, neither of one that waits to be written nor of
// one that arrives as the connection is to be closed. It is marked by its application status then.
func TestTruncatedResponseDoesNotCutOffOthers(t *testing.T) {
	truncated := func(c *conn) *request {
		r := &request{c: c, id: 2, keepConn: true, truncated: true}
		c.requests[r.id] = r
		return r
	}
	testutil.VirtualTime(t, func(t *testing.T) {
		c, web := newTestConn(t, newTestServer(8))
		held, release := holdLastWrite(c, 1)
		go c.serve()
		web.send(1, fastcgi.KeepConn)
		<-held
		go truncated(c).finish(nil)
		if !web.awaitEnd(2) || web.ended[2].AppStatus != truncatedAppStatus {
			t.Errorf("truncated response beside another: got END_REQUEST %+v, want application status %d", web.ended[2], truncatedAppStatus)
		}
		close(release)
		if !web.awaitEnd(1) {
			t.Error("the connection ended before the response to request 1")
		}
		web.Close()
	})
	testutil.VirtualTime(t, func(t *testing.T) {
		c, web := newTestConn(t, newTestServer(8))
		truncated(c).finish(nil)
		go web.send(3, fastcgi.KeepConn)
		go c.serve()
		if !web.awaitEnd(3) {
			t.Error("the connection ended before the response to request 3")
		}
		if end, ok := web.ended[2]; !ok || end.AppStatus != truncatedAppStatus {
			t.Errorf("truncated response before another: got END_REQUEST %+v, want application status %d", end, truncatedAppStatus)
		}
		web.awaitClose()
	})
	testutil.VirtualTime(t, func(t *testing.T) {
		c, web := newTestConn(t, newTestServer(8))
		go c.serve()
		truncated(c).finish(nil)
		if web.awaitEnd(2) {
			t.Error("truncated response alone on its connection: got an END_REQUEST, want the end of the connection")
		}
	})
}

// A request that has arrived when its idle connection is evicted is served. The test guards against a connection that is
// closed by the goroutine that accepts another one.
func TestEvictedConnectionServesArrivedRequest(t *testing.T) {
	testutil.VirtualTime(t, func(t *testing.T) {
		s := newTestServer(1)
		idle, web := newTestConn(t, s)
		if !s.add(idle) {
			t.Fatal("the first connection was refused")
		}
		go web.send(1, fastcgi.KeepConn)
		other, otherWeb := newTestConn(t, s)
		if !s.add(other) {
			t.Fatal("the second connection was refused, want the first one to be evicted")
		}
		go idle.serve()
		if !web.awaitEnd(1) {
			t.Error("the evicted connection ended before the response")
		}
		web.awaitClose()
		otherWeb.Close()
	})
}

// While maxEvicting connections are being evicted, further connections are refused.
func TestEvictionsAreBounded(t *testing.T) {
	s := newTestServer(1)
	for i := range 2 * maxEvicting {
		c, _ := newTestConn(t, s)
		want := i <= maxEvicting
		if got := s.add(c); got != want {
			t.Errorf("connection %d, of which none is closed: got %v, want %v", i, got, want)
		}
	}
}

// halfClosedConn is a connection that can be closed for writing, and records what was read after that.
type halfClosedConn struct {
	net.Conn
	writeClosed chan struct{}
	closedEarly bool // Close was called before the peer had closed the connection
	peerClosed  bool
}

func (c *halfClosedConn) CloseWrite() error {
	close(c.writeClosed)
	return nil
}

func (c *halfClosedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		c.peerClosed = true
	}
	return n, err
}

func (c *halfClosedConn) Close() error {
	c.closedEarly = !c.peerClosed
	return c.Conn.Close()
}

// After the last response a connection is closed for writing, and what the web server still sends is read. The test
// guards against a close with unread bytes, which resets the connection before the web server has read the response.
func TestLastResponseIsFollowedByLingeringClose(t *testing.T) {
	testutil.VirtualTime(t, func(t *testing.T) {
		c, web := newTestConn(t, newTestServer(8))
		half := &halfClosedConn{Conn: c.nc, writeClosed: make(chan struct{})}
		c.nc = half
		served := make(chan struct{})
		go func() {
			c.serve()
			close(served)
		}()
		web.send(1, 0)
		if !web.awaitEnd(1) {
			t.Fatal("the connection ended before the response")
		}
		<-half.writeClosed
		web.send(2, 0) // crosses the close
		web.Close()
		<-served
		if half.closedEarly {
			t.Error("the connection was closed before the web server had closed it")
		}
	})
}

// A web server that sends requests and reads no responses makes the connection hold a bounded number of them, however many it
// sends.
func TestUnreadResponsesAreBounded(t *testing.T) {
	const requests = 20 * maxEnding
	c, web := newTestConn(t, newTestServer(8))
	held := func() int {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.ending + len(c.requests)
	}
	feeding := make(chan error, 1)
	go func() {
		var err error
		for id := uint16(1); id <= requests && err == nil; id++ {
			err = c.decoder.Feed(requestRecords(id, fastcgi.KeepConn))
			testutil.WaitUntil(t, "the response is being written", func() bool {
				c.mu.Lock()
				defer c.mu.Unlock()
				return len(c.requests) == 0
			})
		}
		feeding <- err
	}()
	testutil.WaitUntil(t, "responses wait for the web server", func() bool { return held() >= maxEnding })
	for range 100 {
		if n := held(); n > maxEnding+1 {
			t.Errorf("%d requests are held, want at most %d", n, maxEnding+1)
			break
		}
		time.Sleep(testutil.PollInterval)
	}
	go io.Copy(io.Discard, web)
	if err := <-feeding; err != nil {
		t.Error(err)
	}
	web.Close()
}
