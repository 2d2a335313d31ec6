package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dunemoor/internal/fastcgi"
	"dunemoor/internal/testutil"
)

const (
	// slowUploadTimeout is the X-Timeout of the requests whose host reads slowly.
	slowUploadTimeout = 1500 * time.Millisecond
	// maxResponseDelay is how long after its timeout a request may get its response. Later, the request is lost.
	maxResponseDelay = 500 * time.Millisecond
	// slowUploadBytes is more than the host reads in time, and less than the sockets hold.
	slowUploadBytes = 6 << 20
)

// readSlowly reads 4 MB a second until the connection ends.
func readSlowly(c net.Conn) {
	const pause = 10 * time.Millisecond
	for {
		time.Sleep(pause)
		if _, err := io.CopyN(io.Discard, c, 40<<10); err != nil {
			return
		}
	}
}

// A web server has its final response in time if the host reads the body slowly, counted from when it has written the last
// byte. On a connection for one request reading may be blocked until then, so that the end of the body isn't read.
func TestSlowlyReadFastCGIUploadIsAnsweredInTime(t *testing.T) {
	for _, upstream := range []string{"http1", "fastcgi"} {
		for _, flags := range []uint8{0, fastcgi.KeepConn} {
			t.Run(fmt.Sprintf("host over %s, flags %d", upstream, flags), func(t *testing.T) {
				t.Parallel()
				addr := startRawHost(t, readSlowly)
				pool := poolConfig("p", fmt.Sprintf("protocol = %q", upstream), addr)
				g := startAppliance(t, baseConfig+pool+routeConfig("r", `pool = "p"`)+fastCGIListener)
				w := dialFastCGI(t, g.fastCGIAddr())
				params := fastCGIParams("POST", "/api/1", "CONTENT_LENGTH", fmt.Sprint(slowUploadBytes),
					"HTTP_X_REQUEST_ID", testutil.NewID(), "HTTP_X_PRIORITY_CLASS", "book", "HTTP_X_TIMEOUT", fmt.Sprint(slowUploadTimeout.Seconds()))
				written := make(chan time.Time, 1)
				go func() {
					w.Write(fastCGIRequest(1, flags, params, strings.Repeat("x", slowUploadBytes), true))
					written <- time.Now()
				}()
				text, _ := w.readUntilEnd(1)
				respondedAt := time.Now()
				if !strings.HasPrefix(text, "Status: 50") {
					t.Errorf("response %.40q, want a failure", text)
				}
				w.Close() // ends the write
				if late := respondedAt.Sub((<-written).Add(slowUploadTimeout)); late > maxResponseDelay {
					t.Errorf("response %v after the timeout, want at most %v", late, maxResponseDelay)
				}
			})
		}
	}
}

// The same for an HTTP client of a FastCGI responder.
func TestSlowlyReadUploadToResponderIsAnsweredInTime(t *testing.T) {
	addr := startRawHost(t, readSlowly)
	g := startAppliance(t, baseConfig+poolConfig("p", `protocol = "fastcgi"`, addr)+routeConfig("r", `pool = "p"`))
	for _, framing := range []string{"length", "chunked"} {
		t.Run(framing, func(t *testing.T) {
			content := []byte(strings.Repeat("x", slowUploadBytes))
			header := fmt.Sprintf("Content-Length: %d", len(content))
			if framing == "chunked" {
				header, content = "Transfer-Encoding: chunked", chunkedBody(content, 16<<10, "")
			}
			c := dialURL(t, g.urls[0])
			c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
			written := make(chan time.Time, 1)
			go func() {
				fmt.Fprintf(c, "POST /api/1 HTTP/1.1\r\nHost: a\r\nX-Priority-Class: book\r\nX-Timeout: %v\r\nX-Request-ID: %s\r\n%s\r\n\r\n",
					slowUploadTimeout.Seconds(), testutil.NewID(), header)
				c.Write(content)
				written <- time.Now()
			}()
			status, err := readStatus(c)
			respondedAt := time.Now()
			if err != nil || status < http.StatusInternalServerError {
				t.Errorf("status %d, error %v, want a failure", status, err)
			}
			c.Close() // ends the write
			if late := respondedAt.Sub((<-written).Add(slowUploadTimeout)); late > maxResponseDelay {
				t.Errorf("response %v after the timeout, want at most %v", late, maxResponseDelay)
			}
		})
	}
}

// readStatus reads a response and returns its status.
func readStatus(c net.Conn) (status int, err error) {
	line := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(c, line); err != nil {
		return 0, err
	}
	_, err = fmt.Sscanf(string(line), "HTTP/1.1 %d", &status)
	return status, err
}
