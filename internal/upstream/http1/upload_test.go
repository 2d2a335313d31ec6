package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/body"
	"dunemoor/internal/body/bodytest"
	"dunemoor/internal/engine"
	"dunemoor/internal/testutil"
)

const (
	uploadStart = "start of the body, " // the buffered part
	uploadEnd   = "end of the body"     // the streamed part
)

// newUploadRequest returns a request of the platform's protocol with a streamed body.
func newUploadRequest(length int64, source body.Source) *engine.Request {
	x := newTestRequest("")
	x.Body = body.NewStreamed([]byte(uploadStart), body.NewStream(source, length))
	return x
}

// resettingHost starts a host that reads a part of a request's body, or all of it if bodyBytes is -1, writes response, and
// resets the connection.
func resettingHost(t *testing.T, bodyBytes int64, response string) (addr string) {
	t.Helper()
	ln := testutil.Listen(t, "127.0.0.1:0", nil)
	t.Cleanup(func() { ln.Close() })
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			t.Error(err)
			return
		}
		if bodyBytes >= 0 {
			_, err = io.CopyN(io.Discard, r.Body, bodyBytes)
		} else {
			_, err = io.Copy(io.Discard, r.Body)
		}
		if err != nil {
			t.Error(err)
		}
		io.WriteString(c, response)
		if err := waitUntilReceived(c); err != nil {
			t.Error(err)
		}
		testutil.ResetConnection(c, nil, 0)
	}()
	return ln.Addr().String()
}

// A host that has received the last byte of a request may have run it, whether or not the client has ended the body at its
// side. Guards against a rejection or a retry of such a request, which would run it twice. Reset and InvalidResponse mean that
// it may have run, ConnectFailed that it has not.
func TestResetDuringUploadIsResetIfHostHasLastByte(t *testing.T) {
	const total = int64(len(uploadStart) + len(uploadEnd))
	for _, test := range []struct {
		name      string
		length    int64
		bodyBytes int64 // bytes of the body that the host reads, or -1 for all of it
		ends      bool  // whether the client ends the body
		response  string
		want      balancer.Result
	}{
		{"known length", total, total, true, "", balancer.Reset},
		{"known length, body not ended by the client", total, total, false, "", balancer.Reset},
		{"known length, body not ended, response begun", total, total, false, "HTTP/1.1 200 OK\r\nConte", balancer.InvalidResponse},
		{"known length, body not ended, response truncated", total, total, false, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ngo", balancer.Reset},
		{"known length, last byte missing", total + 1, total, false, "", balancer.ConnectFailed},
		{"chunks", -1, -1, true, "", balancer.Reset},
		{"chunks without the last", -1, total, false, "", balancer.ConnectFailed},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newTestHost(newTestTransport(), resettingHost(t, test.bodyBytes, test.response))
			x := newUploadRequest(test.length, bodytest.NewSource(test.ends, uploadEnd))
			if got, _ := attempt(t, h, x); got != test.want {
				t.Errorf("got outcome %v, want %v", got, test.want)
			}
			checkConnCounts(t, "afterwards", h, 0, 0)
		})
	}
}

// errLateWrite is the error of a write that has sent all of its bytes.
var errLateWrite = errors.New("write failed after its last byte")

// lateWriteConn is a connection whose write of the last part of a body returns after the connection was closed, although
// the peer has received the part.
type lateWriteConn struct {
	net.Conn
	last     string // the end of what is written
	writeErr error  // error of the last write
	closed   context.Context
	close    context.CancelFunc
}

func (c *lateWriteConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil || !bytes.HasSuffix(p, []byte(c.last)) {
		return n, err
	}
	<-c.closed.Done()
	return n, c.writeErr
}

func (c *lateWriteConn) Close() error {
	c.close()
	return c.Conn.Close()
}

// The host has received the last byte, and the write that sent it is in progress when the attempt ends, or returns an
// error. Guards against a rejection or a retry of a request that may have run.
func TestWriteInProgressIsNoProofThatRequestNeverRan(t *testing.T) {
	const total = int64(len(uploadStart) + len(uploadEnd))
	for _, test := range []struct {
		name   string
		length int64
		last   string
		err    error
	}{
		{"known length", total, uploadEnd, nil},
		{"known length, with an error", total, uploadEnd, errLateWrite},
		{"chunks", -1, "0\r\n\r\n", nil},
		{"chunks, with an error", -1, "0\r\n\r\n", errLateWrite},
	} {
		t.Run(test.name, func(t *testing.T) {
			transport := newTestTransport()
			transport.dialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := transport.dialer.DialContext(ctx, network, addr)
				closed, cancel := context.WithCancel(context.Background())
				return &lateWriteConn{Conn: c, last: test.last, writeErr: test.err, closed: closed, close: cancel}, err
			}
			h := newTestHost(transport, resettingHost(t, test.length, ""))
			x := newUploadRequest(test.length, bodytest.NewSource(true, uploadEnd))
			if got, _ := attempt(t, h, x); got != balancer.Reset {
				t.Errorf("got outcome %v, want Reset", got)
			}
		})
	}
}

// A host hangs within an upload. The client may have sent its last byte already, which waits in the buffers of sockets as
// the gateway reads no further, so the attempt ends within the request's timeout, with the proof that the request never
// ran. Guards against a response that is late by the pace that hosts may have otherwise.
func TestUploadToHangingHostEndsWithinTimeout(t *testing.T) {
	ln := testutil.Listen(t, "127.0.0.1:0", shrinkBuffer(syscall.SO_RCVBUF))
	defer ln.Close()
	transport := newTestTransport()
	transport.dialer.Control = shrinkBuffer(syscall.SO_SNDBUF)
	h := newTestHost(transport, ln.Addr().String())
	part := strings.Repeat("x", 32<<10)
	const parts = 64 // more than the sockets hold
	x := newUploadRequest(int64(len(uploadStart)+parts*len(part)), bodytest.NewSource(true, slices.Repeat([]string{part}, parts)...))
	x.Timeout = 100 * time.Millisecond
	x.Route = &engine.Route{Streams: &engine.Streams{Pace: body.Pace{IdleTimeout: 2 * testutil.WaitTimeout}}}
	if got, _ := attempt(t, h, x); got != balancer.ConnectFailed {
		t.Errorf("got outcome %v, want ConnectFailed", got)
	}
}
