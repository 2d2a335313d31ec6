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

// one is a listener that gives out one connection, in memory.
type one struct {
	conn chan net.Conn
	done chan struct{}
}

func (l *one) Accept() (net.Conn, error) {
	select {
	case c := <-l.conn:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *one) Close() error   { return nil }
func (l *one) Addr() net.Addr { return &net.TCPAddr{} }

// responder answers each request at once, by our machine.
type responder struct {
	net.Conn
	s   *Server
	out []byte
}

func (r *responder) Request(uint16, []byte, bool, error) {}
func (r *responder) Abort(uint16)                        {}
func (r *responder) Reply([]byte)                        {}
func (r *responder) Body(id uint16, _ []byte, end bool) {
	if end {
		r.s.RequestEnded(id)
		r.out = AppendStream(r.out[:0], Stdout, id, []byte("Status: 200 OK\r\nContent-Type: text/plain\r\n\r\ndone"))
		r.out = AppendEndRequest(AppendStreamEnd(r.out, Stdout, id), id, EndRequestBody{})
		r.Write(r.out)
	}
}

// BenchmarkBeside has requests of 20 parameters and 16 KiB answered over a connection in memory, by
// our machine and by net/http/fcgi, and tells the ratio of their times in one run.
//
//	go test -run xxx -bench Beside ./internal/fastcgi
func BenchmarkBeside(b *testing.B) {
	var params []byte
	params = AppendPair(params, "REQUEST_METHOD", "POST")
	params = AppendPair(params, "SERVER_PROTOCOL", "HTTP/1.1")
	params = AppendPair(params, "CONTENT_LENGTH", "16384")
	for i := range 17 {
		params = AppendPair(params, fmt.Sprintf("HTTP_X_HEADER_%d", i), "a value of the usual length")
	}
	in := message(1, KeepConn, string(params), strings.Repeat("x", 16384))
	ask := func(b *testing.B, c net.Conn) {
		var scan Scanner
		buf, rest := make([]byte, 4096), []byte(nil)
		b.SetBytes(int64(len(in)))
		b.ReportAllocs()
		for b.Loop() {
			go c.Write(in)
			for over := false; !over; {
				ev, _, more, err := scan.Next(rest)
				if err != nil {
					b.Fatal(err)
				}
				if rest = more; ev == NeedMore {
					n, err := c.Read(buf)
					if err != nil {
						b.Fatal(err)
					}
					rest = buf[:n]
				}
				over = ev == RecordEnd && scan.Header().Type == EndRequest
			}
		}
	}
	b.Run("ours", func(b *testing.B) {
		near, far := net.Pipe()
		defer near.Close()
		go func() {
			r := &responder{Conn: far}
			r.s = NewServer(r, 5)
			buf := make([]byte, 16<<10)
			for {
				n, err := far.Read(buf)
				if err != nil || r.s.Feed(buf[:n]) != nil {
					return
				}
			}
		}()
		ask(b, near)
	})
	b.Run("standard", func(b *testing.B) {
		near, far := net.Pipe()
		l := &one{make(chan net.Conn, 1), make(chan struct{})}
		defer close(l.done)
		defer near.Close()
		l.conn <- far
		go fcgi.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			io.WriteString(w, "done")
		}))
		ask(b, near)
	})
}
