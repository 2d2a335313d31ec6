package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dunemoor/internal/testutil"
)

// If the host of an idempotent request fails within a response, the client can detect with any framing that
// the response is incomplete, and no other response is appended.
func TestTruncatedResponseIsSeenByClient(t *testing.T) {
	const chunkedHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunks := strings.Repeat("4\r\nxxxx\r\n", 50_000)
	for name, text := range map[string]string{
		"length":              "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("x", 200_000),
		"chunks":              chunkedHeader + chunks + "4\r\nxx",
		"truncated size line": chunkedHeader + chunks + "4",
		"no last chunk":       chunkedHeader + chunks,
		"broken chunks":       chunkedHeader + chunks + "zz\r\n",
	} {
		var hosts []*testutil.Host
		for range 2 {
			hosts = append(hosts, testutil.NewHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
				io.WriteString(c, text)
				return false
			}))
		}
		g := startAppliance(t, singleRouteConfig("", hosts[0].Addr(), hosts[1].Addr()))
		resp, err := http.Get(g.urls[0] + "/")
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		n, err := io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err == nil {
			t.Errorf("%s: complete response of %d bytes, want an error", name, n)
		}
		if n > 200_004 {
			t.Errorf("%s: %d bytes, want at most the 200000 of one host", name, n)
		}
		a, _, _ := hosts[0].Counts()
		b, _, _ := hosts[1].Counts()
		if a+b != 1 {
			t.Errorf("%s: %d requests at the hosts, want 1", name, a+b)
		}
		g.Close()
	}
}

// A response that is delimited by the end of the connection is complete after a regular close, but not after
// a reset.
func TestResponseEndedByConnectionIsCompleteUnlessReset(t *testing.T) {
	for _, reset := range []bool{false, true} {
		host := testutil.NewHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.0 200 OK\r\n\r\n"+strings.Repeat("x", 100_000))
			if reset {
				time.Sleep(100 * time.Millisecond) // otherwise the reset discards bytes that were not read yet
				c.(*net.TCPConn).SetLinger(0)
			}
			return false
		})
		g := startAppliance(t, singleRouteConfig("", host.Addr()))
		resp, err := http.Get(g.urls[0] + "/")
		if err != nil {
			t.Fatal(err)
		}
		n, err := io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if reset != (err != nil) || !reset && n != 100_000 {
			t.Errorf("reset %t: %d bytes, error %v, want 100000 bytes or an error after a reset", reset, n, err)
		}
		g.Close()
	}
}

// A malformed response, such as one with ambiguous framing, results in a 502 and never in bytes of another
// response. The request is not retried.
func TestMalformedResponseIsBadGateway(t *testing.T) {
	for name, text := range map[string]string{
		"two lengths":         "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\ngood",
		"length and chunks":   "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
		"negative length":     "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\ngood",
		"signed length":       "HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\ngood",
		"another encoding":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\ngood",
		"unrequested upgrade": "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
		"binary data":         "\x80\x01\x02",
	} {
		host := testutil.NewHost(t, testutil.RespondWith(text))
		g := startAppliance(t, singleRouteConfig("", host.Addr()))
		if resp, body := fetch(t, "POST", g.urls[0]+"/", "b"); resp.StatusCode != 502 {
			t.Errorf("%s: status %d, body %q, want 502", name, resp.StatusCode, body)
		}
		if n, _, _ := host.Counts(); n != 1 {
			t.Errorf("%s: %d requests at the host, want 1", name, n)
		}
		g.Close()
	}
}

// Informational responses are forwarded, and their headers are not added to the final response.
func TestInformationalResponsesAreForwarded(t *testing.T) {
	addr, _ := startHTTPHost(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Link", "</a>; rel=preload")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("Link")
		io.WriteString(w, "done")
	})
	g := startAppliance(t, singleRouteConfig("", addr))
	var hints []string
	r, _ := http.NewRequest("GET", g.urls[0]+"/", nil)
	r = r.WithContext(httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
			hints = append(hints, fmt.Sprint(code, h.Get("Link")))
			return nil
		},
	}))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	if len(hints) != 1 || hints[0] != "103</a>; rel=preload" || string(text) != "done" || resp.Header.Get("Link") != "" {
		t.Errorf("informational responses %q, body %q, headers %v, want one 103 with a link and done without it",
			hints, text, resp.Header)
	}
}

// An HTTP/1.0 client, whose response is delimited by the end of the connection, gets a reset if the host
// closes the connection within the response.
func TestHTTP10TruncatedResponseIsReset(t *testing.T) {
	host := testutil.NewHost(t, func(c net.Conn, r *http.Request, _ int) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n")
		if r.URL.Path == "/whole" {
			io.WriteString(c, "0\r\n\r\n")
			return true
		}
		return false
	})
	g := startAppliance(t, baseConfig+poolConfig("p", "", host.Addr())+routeConfig("r", "pool = \"p\"\nclass = \"lookup\"\nstream = true"))
	for path, complete := range map[string]bool{"/whole": true, "/broken": false} {
		c := dialURL(t, g.urls[0])
		c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
		io.WriteString(c, "GET "+path+" HTTP/1.0\r\nHost: a\r\n\r\n")
		got, err := io.ReadAll(c)
		if (err == nil) != complete || complete && !strings.HasSuffix(string(got), "\r\n\r\nfirst") {
			t.Errorf("%s: response %q, error %v, want a complete one only of /whole", path, got, err)
		}
		c.Close()
	}
}

// Two of three hosts respond with 503. A GET is served by the third host. A POST is not retried, and its
// client gets the response of the first host tried.
func TestOnlyIdempotentRequestsAvoidFailingHosts(t *testing.T) {
	var posts, gets atomic.Int64
	var nodes []string
	for i := range 3 {
		addr, _ := startHTTPHost(t, func(w http.ResponseWriter, r *http.Request) {
			if r.Method == "POST" {
				posts.Add(1)
			} else {
				gets.Add(1)
			}
			if i < 2 {
				http.Error(w, "no: mending", http.StatusServiceUnavailable)
				return
			}
			io.WriteString(w, "yes")
		})
		nodes = append(nodes, addr)
	}
	g := startAppliance(t, singleRouteConfig("retry_share = 3.0\nretry_floor = 100.0", nodes...))
	for i := range 20 {
		before := posts.Load()
		resp, text := fetch(t, "POST", g.urls[0]+"/", "x")
		if n := posts.Load() - before; n != 1 {
			t.Errorf("POST %d sent %d times, want once", i, n)
		}
		if resp.StatusCode == 503 && text != "no: mending\n" || resp.StatusCode != 503 && text != "yes" {
			t.Errorf("POST %d: status %d, body %q, want the response of its host", i, resp.StatusCode, text)
		}
		if resp, text := fetch(t, "GET", g.urls[0]+"/", ""); resp.StatusCode != 200 || text != "yes" {
			t.Errorf("GET %d: status %d, body %q, want 200 and body yes", i, resp.StatusCode, text)
		}
	}
}
