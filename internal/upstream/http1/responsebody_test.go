package http1

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"weak"

	"dunemoor/balancer"
	"dunemoor/internal/body"
	"dunemoor/internal/testutil"
)

// Responses longer than maxSmallBytes are forwarded even without memory for large responses: a part is buffered within
// MaxLargeBytes, and the rest is streamed. The memory is returned when the response is released.
func TestLargeResponses(t *testing.T) {
	const length = 400 << 10
	text := strings.Repeat("0123456789abcdef", length/16)
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for rest := text; rest != ""; rest = rest[min(len(rest), 10000):] {
		part := rest[:min(len(rest), 10000)]
		chunked += fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	}
	for _, large := range []string{fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", length, text), chunked + "0\r\n\r\n"} {
		transport := newTestTransport()
		server := testutil.NewHost(t, testutil.RespondWith(large))
		h := newTestHost(transport, server.Addr())
		for _, maxLargeBytes := range []int64{0, length - 1, 10 * length} {
			name := fmt.Sprintf("with memory for %d bytes", maxLargeBytes)
			transport.SetLimits(1024, maxLargeBytes)
			got, response := attempt(t, h, newTestRequest("b"))
			if got != balancer.OK {
				t.Fatalf("%s: got outcome %v, want OK", name, got)
			}
			if reserved := transport.largeBytes.Load(); reserved > maxLargeBytes {
				t.Errorf("%s: got %d bytes reserved, want at most %d", name, reserved, maxLargeBytes)
			}
			received := append([]byte(nil), response.Body.Bytes()...)
			if stream := response.Body.Stream(); stream != nil {
				if err := stream.Consume(); err != nil {
					t.Fatal(err)
				}
				rest, err := io.ReadAll(stream)
				if err != nil {
					t.Errorf("%s: read streamed body: %v", name, err)
				}
				received = append(received, rest...)
			}
			if string(received) != text {
				t.Errorf("%s: got %d bytes, want the %d of the response", name, len(received), length)
			}
			response.Release()
			response.Release() // a second call does nothing
			if reserved := transport.largeBytes.Load(); reserved != 0 {
				t.Errorf("%s: got %d bytes reserved after the release, want 0", name, reserved)
			}
			checkConnCounts(t, name, h, 1, 1)
		}
	}
}

// A long response that its host does not complete is detected, and its connection is not used again.
func TestTruncatedLargeResponse(t *testing.T) {
	server := testutil.NewHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 4<<20, strings.Repeat("x", 2<<20))
		return false
	})
	h := newTestHost(newTestTransport(), server.Addr())
	got, response := attempt(t, h, newTestRequest("b"))
	stream := response.Body.Stream()
	if got != balancer.OK || stream == nil || stream.Consume() != nil {
		t.Fatalf("got outcome %v, stream %v, want OK with a stream", got, stream)
	}
	rest, err := io.ReadAll(stream)
	if received := len(response.Body.Bytes()) + len(rest); received > 2<<20 || err == nil {
		t.Errorf("got %d bytes and error %v, want at most %d and an error", received, err, 2<<20)
	}
	response.Release()
	checkConnCounts(t, "afterwards", h, 0, 0)
}

// A response to which RFC 9112, 6.3 assigns no body has none, even if its header has a Content-Length or a
// Transfer-Encoding. Otherwise the next response on the connection would be taken for its body.
func TestResponsesWithoutBody(t *testing.T) {
	for _, test := range []struct{ method, response string }{
		{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"},
		{"HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n"},
		{"DELETE", "HTTP/1.1 204 No Content\r\n\r\n"},
	} {
		server := testutil.NewHost(t, testutil.RespondWith(test.response))
		h := newTestHost(newTestTransport(), server.Addr())
		x := newTestRequest("")
		x.Method = test.method
		for range 2 {
			ctx, cancel := context.WithTimeout(context.Background(), testutil.WaitTimeout)
			result := h.Attempt(ctx, x)
			cancel()
			if !result.HasResponse || result.Response.Body.Len() != 0 {
				t.Errorf("%s %q: got %+v, want a response without a body", test.method, test.response, result)
			}
		}
		checkConnCounts(t, fmt.Sprintf("%s %q", test.method, test.response), h, 1, 1)
	}
}

// While a long response is streamed to a slow client, the buffered part that the client already has is not kept in memory:
// its memory is no longer reserved. Guards against a gateway that goes over its memory limit with many such clients.
func TestBufferedPartIsNotReferencedOnceReleased(t *testing.T) {
	const length = 2 * maxLargeBuffered
	text := strings.Repeat("0123456789abcdef", length/16)
	for name, response := range map[string]string{
		"length":  fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", length, text),
		"chunked": fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", length, text),
	} {
		t.Run(name, func(t *testing.T) {
			transport := newTestTransport()
			server := testutil.NewHost(t, testutil.RespondWith(response))
			h := newTestHost(transport, server.Addr())
			got, response := attempt(t, h, newTestRequest("b"))
			if got != balancer.OK || response.Body.Buffered() || len(response.Body.Bytes()) == 0 {
				t.Fatalf("got outcome %v, buffered %t, want OK with a stream after a buffered part", got, response.Body.Buffered())
			}
			buffer := weak.Make(&response.Body.Bytes()[0])
			response.ReleaseMemory()
			if used, _ := transport.bodyBudget.Used(body.ResponseBodies); used != 0 || transport.largeBytes.Load() != 0 {
				t.Errorf("got %d and %d bytes reserved, want 0", used, transport.largeBytes.Load())
			}
			testutil.CheckCollected(t, "the buffered part", buffer)
			response.Release()
		})
	}
}

// The memory of large responses is limited over all transports together, and shown by the budget.
func TestLargeResponsesAreReservedInBudget(t *testing.T) {
	budget := body.NewBudget(4 << 20) // a quarter of it is for large responses
	var transports [2]*Transport
	for i := range transports {
		transports[i] = NewTransport(Options{MaxConns: 1, MaxLargeBytes: 16 << 20, BodyBudget: budget})
	}
	if !transports[0].reserveLargeBytes(1 << 20) {
		t.Error("reserve within the budget: got false, want true")
	}
	if transports[1].reserveLargeBytes(1) || transports[1].largeBytes.Load() != 0 {
		t.Error("reserve beyond the budget: got true, or bytes that stay reserved, want false")
	}
	if used, _ := budget.Used(body.ResponseBodies); used != 1<<20 {
		t.Errorf("budget: got %d bytes in use, want %d", used, 1<<20)
	}
	transports[0].releaseLargeBytes(1 << 20)
	if used, _ := budget.Used(body.ResponseBodies); used != 0 {
		t.Errorf("budget after release: got %d bytes in use, want 0", used)
	}
}
