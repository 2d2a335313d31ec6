package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"dunemoor/internal/frontend"
	"dunemoor/internal/testutil"
)

// A host receives a whole booking by its Content-Length, runs it and resets the connection before the web server has ended
// STDIN. Guards against a rejection, after which the client would book a second time: the booking has failed.
func TestFastCGIUploadIsNotRejectedAfterLastByteOfContent(t *testing.T) {
	const bodyBytes = frontend.MaxBufferedBytes + 40<<10 // longer than what is buffered
	received := make(chan struct{}, 2)
	addr := startRawHost(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if n, err := io.Copy(io.Discard, r.Body); n != bodyBytes || err != nil {
			t.Errorf("the host received %d bytes, error %v, want %d", n, err, bodyBytes)
		}
		received <- struct{}{}
		testutil.ResetConnection(c, nil, 0)
	})
	g := startAppliance(t, baseConfig+poolConfig("p", "", addr)+routeConfig("r", `pool = "p"`)+fastCGIListener)
	w := dialFastCGI(t, g.fastCGIAddr())
	params := fastCGIParams("POST", "/api/1", "CONTENT_LENGTH", fmt.Sprint(bodyBytes),
		"HTTP_X_REQUEST_ID", testutil.NewID(), "HTTP_X_PRIORITY_CLASS", "book", "HTTP_X_TIMEOUT", "15")
	w.Write(fastCGIRequest(1, 0, params, strings.Repeat("x", bodyBytes), false))
	<-received
	// The response does not wait for the end of STDIN, which never comes.
	text, _ := w.readUntilEnd(1)
	if want := fmt.Sprintf("Status: %d ", http.StatusBadGateway); !strings.HasPrefix(text, want) {
		t.Errorf("response %q, want one that begins with %q", text, want)
	}
	if n := len(received); n != 0 {
		t.Errorf("%d more attempts, want none", n)
	}
	if got, want := g.Status().(Status).Uploads, (Uploads{MayHaveRun: 1}); got != want {
		t.Errorf("counted %+v, want %+v", got, want)
	}
}
