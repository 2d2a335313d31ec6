package fastcgi

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/engine"
	"dunemoor/internal/fastcgi"
	"dunemoor/internal/testutil"
)

// valuesBehavior is what a responder does when it receives GET_VALUES.
type valuesBehavior string

const (
	emptyValues     valuesBehavior = "empty reply"
	multiplexing    valuesBehavior = "multiplexes"
	closeConnection valuesBehavior = "closes the connection"
)

// respondFunc writes the response to a request.
type respondFunc func(c net.Conn, id uint16, params map[string]string, body string)

// responder is a test responder. respond writes the bytes of each response.
type responder struct {
	net.Listener
	values  valuesBehavior
	respond respondFunc

	requests atomic.Int64 // number of requests that were received completely
	conns    atomic.Int64
	aborts   atomic.Int64
}

// openTarget is the target of a request that stays open after respond has returned.
const openTarget = "/open"

func startResponder(t testing.TB, values valuesBehavior, respond respondFunc) *responder {
	r := &responder{Listener: testutil.Listen(t, "127.0.0.1:0", nil), values: values, respond: respond}
	t.Cleanup(func() { r.Close() })
	go r.serve()
	return r
}

func (r *responder) serve() {
	for {
		c, err := r.Accept()
		if err != nil {
			return
		}
		r.conns.Add(1)
		go r.serveConn(c)
	}
}

func (r *responder) serveConn(c net.Conn) {
	defer c.Close()
	rc := &responderConn{responder: r, conn: c, params: map[uint16]map[string]string{}, bodies: map[uint16][]byte{}}
	rc.server = fastcgi.NewServer(rc, 10)
	b := make([]byte, 4096)
	for {
		n, err := c.Read(b)
		if rc.server.Feed(b[:n]) != nil || err != nil {
			return
		}
	}
}

// responderConn is a connection of a responder.
type responderConn struct {
	responder *responder
	conn      net.Conn
	server    *fastcgi.Server
	params    map[uint16]map[string]string
	bodies    map[uint16][]byte
}

func (rc *responderConn) Request(id uint16, encoded []byte, _ bool, _ error) {
	params := map[string]string{}
	fastcgi.ForEachParam(encoded, func(name, value []byte) error {
		params[string(name)] = string(value)
		return nil
	})
	rc.params[id] = params
}

func (rc *responderConn) Body(id uint16, part []byte, end bool) {
	rc.bodies[id] = append(rc.bodies[id], part...)
	if !end {
		return
	}
	rc.responder.requests.Add(1)
	body := string(rc.bodies[id])
	delete(rc.bodies, id)
	if rc.params[id]["REQUEST_URI"] != openTarget {
		rc.server.RequestEnded(id)
	}
	rc.responder.respond(rc.conn, id, rc.params[id], body)
}

func (rc *responderConn) Abort(uint16) { rc.responder.aborts.Add(1) }

func (rc *responderConn) Reply([]byte) {
	var values []byte
	switch rc.responder.values {
	case closeConnection:
		rc.conn.Close()
		return
	case multiplexing:
		values = fastcgi.AppendPair(values, fastcgi.MpxsConns, "1")
		values = fastcgi.AppendPair(values, fastcgi.MaxReqs, "10")
	}
	rc.conn.Write(fastcgi.AppendRecord(nil, fastcgi.GetValuesResult, 0, values))
}

// okRecords returns the records of a complete response.
func okRecords(id uint16, text string) []byte {
	records := stdoutRecords(id, "Content-Type: text/plain\r\n\r\n"+text)
	records = fastcgi.AppendStreamEnd(records, fastcgi.Stdout, id)
	return fastcgi.AppendEndRequest(records, id, fastcgi.EndRequestBody{})
}

func stdoutRecords(id uint16, text string) []byte {
	return fastcgi.AppendStream(nil, fastcgi.Stdout, id, []byte(text))
}

func endRecord(id uint16, end fastcgi.EndRequestBody) []byte {
	return fastcgi.AppendEndRequest(nil, id, end)
}

// completedRecords returns the records of a response that ends with REQUEST_COMPLETE, without the end of STDOUT.
func completedRecords(id uint16, output string) []byte {
	return append(stdoutRecords(id, output), endRecord(id, fastcgi.EndRequestBody{})...)
}

// newTestHost returns a host of a new Transport at an address.
func newTestHost(t *testing.T, addr string) (*Transport, *host) {
	transport := NewTransport(Options{MaxConns: 64, DocumentRoot: "/srv/www", Params: map[string]string{"APP_ENV": "test"}})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go transport.Run(ctx)
	h := transport.Host("x").(*host)
	h.Update(addr, 0, true)
	return transport, h
}

func newTestRequest(method, target, text string) *engine.Request {
	return &engine.Request{
		Method: method, Target: target, Host: "calendar.example.org", Deadline: time.Now().Add(testutil.WaitTimeout),
		Header: http.Header{
			"X-Request-Id": {testutil.NewID()}, "Content-Type": {"text/plain"}, "Bad_Name": {"x"},
			"Proxy": {"http://evil"}, "Cookie": {"a=1", "b=2"},
		},
		Body: body.NewBuffered([]byte(text)),
	}
}

// attempt makes an attempt and reads the body of the response.
func attempt(h *host, x *engine.Request) (result engine.Result, text string, err error) {
	ctx, cancel := context.WithDeadline(context.Background(), x.Deadline)
	defer cancel()
	result = h.Attempt(ctx, x)
	received := append([]byte(nil), result.Response.Body.Bytes()...)
	if stream := result.Response.Body.Stream(); stream != nil {
		stream.Consume()
		var rest []byte
		rest, err = io.ReadAll(stream)
		received = append(received, rest...)
	}
	result.Response.Release()
	return result, string(received), err
}

// checkGoodResponse makes an attempt and checks that the body of its response is "good".
func checkGoodResponse(t *testing.T, h *host, target, text string) {
	t.Helper()
	if _, got, err := attempt(h, newTestRequest("POST", target, text)); got != "good" || err != nil {
		t.Errorf("%s: got body %q, error %v, want \"good\"", target, got, err)
	}
}

// waitForMultiplexing makes an attempt and waits until the transport has received the responder's values, according to
// which the responder multiplexes.
func waitForMultiplexing(t *testing.T, transport *Transport, h *host) {
	t.Helper()
	attempt(h, newTestRequest("POST", "/first", ""))
	testutil.WaitUntil(t, "the responder has sent its values", func() bool {
		transport.mu.Lock()
		defer transport.mu.Unlock()
		return h.values.Multiplexes
	})
}

// waitForOnlyConn waits until a host has one connection, and returns it.
func waitForOnlyConn(t *testing.T, transport *Transport, h *host) *conn {
	t.Helper()
	var only *conn
	testutil.WaitUntil(t, "the host has one connection", func() bool {
		transport.mu.Lock()
		defer transport.mu.Unlock()
		conns := transport.conns.Conns(h)
		if len(conns) != 1 {
			return false
		}
		only = conns[0]
		return true
	})
	return only
}

// isWriting reports whether records are being written to a connection.
func isWriting(c *conn) bool {
	return len(c.writeLock) > 0
}

// waitUntilNoneOpen waits until all connections have ended.
func waitUntilNoneOpen(t *testing.T, transport *Transport) {
	t.Helper()
	testutil.WaitUntil(t, "all connections have ended", func() bool {
		transport.mu.Lock()
		defer transport.mu.Unlock()
		return transport.conns.NumOpen() == 0
	})
}

// disconnectedClient is a client that has disconnected once gone is set.
type disconnectedClient struct{ gone atomic.Bool }

func (c *disconnectedClient) Gone() bool { return c.gone.Load() }
