package fastcgi

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/fcgi"
	"strings"
	"testing"
)

// connListener is a listener that accepts the in-memory connections that are sent to conns.
type connListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *connListener) Close() error   { return nil }
func (l *connListener) Addr() net.Addr { return &net.TCPAddr{} }

// benchResponder answers each request as soon as it is complete. It writes the responses to w, if that is not nil.
type benchResponder struct {
	server *Server
	w      io.Writer
	stdout string
	buf    []byte
}

func (r *benchResponder) Request(uint16, []byte, bool, error) {}
func (r *benchResponder) Abort(uint16)                        {}
func (r *benchResponder) Reply([]byte)                        {}

func (r *benchResponder) Body(id uint16, _ []byte, end bool) {
	if !end {
		return
	}
	r.server.RequestEnded(id)
	r.buf = AppendStream(r.buf[:0], Stdout, id, []byte(r.stdout))
	r.buf = AppendStreamEnd(r.buf, Stdout, id)
	r.buf = AppendEndRequest(r.buf, id, EndRequestBody{})
	if r.w != nil {
		r.w.Write(r.buf)
	}
}

// benchParams appends the parameters of n header fields to params.
func benchParams(params []byte, n int) []byte {
	for i := range n {
		params = AppendPair(params, fmt.Sprintf("HTTP_X_HEADER_%d", i), "a value of the usual length")
	}
	return params
}

// BenchmarkServer decodes requests with 20 parameters and a body of 1 KiB.
func BenchmarkServer(b *testing.B) {
	request := requestRecords(1, KeepConn, string(benchParams(nil, 20)), strings.Repeat("x", 1024))
	var responder benchResponder
	responder.server = NewServer(&responder, 5)
	b.SetBytes(int64(len(request)))
	b.ReportAllocs()
	for b.Loop() {
		if err := responder.server.Feed(request); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkBesideNetHTTP processes requests with 20 parameters and a body of 16 KiB over an in-memory connection, with
// Server and with net/http/fcgi.
//
//	go test -run xxx -bench Beside ./internal/fastcgi
func BenchmarkBesideNetHTTP(b *testing.B) {
	var params []byte
	params = AppendPair(params, "REQUEST_METHOD", "POST")
	params = AppendPair(params, "SERVER_PROTOCOL", "HTTP/1.1")
	params = AppendPair(params, "CONTENT_LENGTH", "16384")
	params = benchParams(params, 17)
	request := requestRecords(1, KeepConn, string(params), strings.Repeat("x", 16384))
	b.Run("ours", func(b *testing.B) {
		near, far := net.Pipe()
		defer near.Close()
		go serveBench(far)
		benchRoundTrips(b, near, request)
	})
	b.Run("standard", func(b *testing.B) {
		near, far := net.Pipe()
		listener := &connListener{make(chan net.Conn, 1), make(chan struct{})}
		defer close(listener.done)
		defer near.Close()
		listener.conns <- far
		go fcgi.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			io.WriteString(w, "done")
		}))
		benchRoundTrips(b, near, request)
	})
}

// serveBench serves the requests of a connection with a Server and a benchResponder.
func serveBench(c net.Conn) {
	responder := &benchResponder{w: c, stdout: "Status: 200 OK\r\nContent-Type: text/plain\r\n\r\ndone"}
	responder.server = NewServer(responder, 5)
	buf := make([]byte, 16<<10)
	for {
		n, err := c.Read(buf)
		if err != nil || responder.server.Feed(buf[:n]) != nil {
			return
		}
	}
}

// benchRoundTrips repeatedly writes a request and reads the response up to its END_REQUEST.
func benchRoundTrips(b *testing.B, c net.Conn, request []byte) {
	var scanner Scanner
	var rest []byte
	buf := make([]byte, 4096)
	b.SetBytes(int64(len(request)))
	b.ReportAllocs()
	for b.Loop() {
		go c.Write(request)
		for done := false; !done; {
			event, _, next, err := scanner.Next(rest)
			if err != nil {
				b.Fatal(err)
			}
			rest = next
			if event == NeedMore {
				n, err := c.Read(buf)
				if err != nil {
					b.Fatal(err)
				}
				rest = buf[:n]
			}
			done = event == RecordEnd && scanner.Header().Type == EndRequest
		}
	}
}
