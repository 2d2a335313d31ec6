package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"dunemoor/internal/testutil"
)

// A client that stops sending its body for the idle timeout gets a 408. If a host goes silent within a
// response, the client gets an incomplete response.
func TestIdlePeersAreCutOff(t *testing.T) {
	addr, _ := startHTTPHost(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == "POST" {
			io.Copy(io.Discard, r.Body)
			return
		}
		w.Header().Set("Content-Length", "1000000")
		io.Copy(w, randomBytes(1, 200_000))
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	g := startAppliance(t, singleRouteConfig("idle = \"200ms\"\nstream = true", addr))
	for what, text := range map[string]string{"buffered body": "10", "streamed body": "1000000"} {
		c := dialURL(t, g.urls[0])
		c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %s\r\n\r\nabc", text)
		if text != "10" {
			c.Write(make([]byte, 100_000))
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusRequestTimeout {
			t.Errorf("%s: response %+v, error %v, want 408", what, resp, err)
		}
		c.Close()
	}
	resp, err := http.Get(g.urls[0] + "/")
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, resp.Body); err == nil || n > 200_000 {
		t.Errorf("host that goes silent: %d bytes, error %v, want an error after 200000 bytes", n, err)
	}
	resp.Body.Close()
}

// Clients that disconnect within a request, within a response or right after a request leave no state.
func TestDisconnectedClientsLeaveNoState(t *testing.T) {
	addr, _ := startHTTPHost(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Length", "30000000")
		io.Copy(w, randomBytes(1, 30_000_000))
	})
	g := startAppliance(t, singleRouteConfig("", addr))
	before := runtime.NumGoroutine()
	var all sync.WaitGroup
	for i := range 30 {
		all.Go(func() {
			c, err := net.Dial("tcp", strings.TrimPrefix(g.urls[0], "http://"))
			if err != nil {
				t.Error(err)
				return
			}
			switch i % 3 {
			case 0:
				fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n%s", strings.Repeat("x", 500_000))
			case 1:
				io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
				io.CopyN(io.Discard, c, 1_000_000)
			case 2:
				fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n%s", strings.Repeat("x", 100_000))
			}
			c.Close()
		})
	}
	all.Wait()
	pool := g.appliance.pools["p"]
	testutil.WaitUntil(t, "no open request", func() bool { return pool.OpenRequests() == 0 })
	testutil.WaitUntil(t, "no buffered body", func() bool { return g.maxBufferedBytes() == 0 })
	testutil.WaitUntil(t, "no goroutine left", func() bool {
		http.DefaultClient.CloseIdleConnections()
		return runtime.NumGoroutine() <= before+8 // some for idle connections to the host
	})
	if resp, err := http.Post(g.urls[0]+"/", "", strings.NewReader("x")); err != nil || resp.StatusCode != 200 {
		t.Errorf("response %v, error %v, want status 200", resp, err)
	} else {
		resp.Body.Close()
	}
}
