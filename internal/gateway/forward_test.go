package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/pires/go-proxyproto"

	"dunemoor/internal/config"
	"dunemoor/internal/frontend"
	"dunemoor/internal/testutil"
)

// startForwardingAppliance starts a gateway in front of one host, with further settings of its listener and
// its route.
func startForwardingAppliance(t *testing.T, listener, route string) (*testAppliance, *testutil.Host) {
	t.Helper()
	host := testutil.NewHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nServer: theirs\r\nX-Old: 1\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\n"+
			"Connection: X-Hop\r\nX-Hop: 1\r\nRetry-After: 7\r\n\r\n")
		return true
	})
	text := strings.Replace(baseConfig, "address = \"127.0.0.1:0\"", "address = \"127.0.0.1:0\"\n"+listener, 1)
	return startAppliance(t, text+poolConfig("p", "", host.Addr())+routeConfig("r", "pool = \"p\"\nclass = \"lookup\"\n"+route)), host
}

// forwardingHeaders returns the forwarding headers of the last request at a host.
func forwardingHeaders(h *testutil.Host) (list [4]string) {
	h.Mu.Lock()
	defer h.Mu.Unlock()
	r := h.Requests[len(h.Requests)-1]
	for i, name := range []string{"X-Forwarded-For", "X-Forwarded-Proto", "X-Forwarded-Host", "Forwarded"} {
		list[i] = strings.Join(r.Header[name], "|")
	}
	return list
}

// Forwarding headers of a client are passed on only if the client is a trusted proxy. Otherwise clients
// could forge the client address that hosts receive.
func TestForwardedHeadersOfUntrustedClientsAreReplaced(t *testing.T) {
	forged := []string{"X-Forwarded-For", "9.9.9.9", "X-Forwarded-Proto", "https", "X-Forwarded-Host", "bank.example",
		"Forwarded", "for=9.9.9.9;proto=https", "Host", "h.org"}
	for _, c := range []struct {
		listener string
		want     [4]string
	}{
		{"", [4]string{"127.0.0.1", "http", "h.org", "for=127.0.0.1;host=h.org;proto=http"}},
		{"trusted = [\"10.0.0.0/8\", \"::1\"]", [4]string{"127.0.0.1", "http", "h.org", "for=127.0.0.1;host=h.org;proto=http"}},
		{"trusted = [\"10.0.0.0/8\", \"127.0.0.0/8\"]", [4]string{"9.9.9.9, 127.0.0.1", "https", "bank.example",
			"for=9.9.9.9;proto=https, for=127.0.0.1;host=h.org;proto=http"}},
	} {
		g, host := startForwardingAppliance(t, c.listener, "")
		fetch(t, "GET", g.urls[0]+"/", "", forged...)
		if got := forwardingHeaders(host); got != c.want {
			t.Errorf("%s: forwarding headers %q, want %q", c.listener, got, c.want)
		}
		fetch(t, "GET", g.urls[0]+"/", "", "Host", "h.org:8080")
		if got := forwardingHeaders(host); got[0] != "127.0.0.1" || got[3] != "for=127.0.0.1;host=\"h.org:8080\";proto=http" {
			t.Errorf("%s: forwarding headers %q of an honest client, want its address and host", c.listener, got)
		}
		g.Close()
	}
	h := http.Header{}
	frontend.SetForwardedHeaders(h, frontend.ClientAddress{Addr: netip.MustParseAddr("2001:db8::1%eth0"), Proto: "https"}, "h.org")
	if got := h.Get("Forwarded"); got != "for=\"[2001:db8::1]\";host=h.org;proto=https" || h.Get("X-Forwarded-For") != "2001:db8::1" {
		t.Errorf("headers %v, want the IPv6 address without its zone", h)
	}
}

// If the listener requires a PROXY header, the header sets the client address. It may have either version,
// must be present, and must come from a trusted peer. If the listener does not require one, a PROXY header
// is an invalid request.
func TestProxyProtocolNamesClient(t *testing.T) {
	request := "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
	v2, err := (&proxyproto.Header{
		Version: 2, Command: proxyproto.PROXY, TransportProtocol: proxyproto.TCPv4,
		SourceAddr: &net.TCPAddr{IP: net.IPv4(1, 2, 3, 4), Port: 5}, DestinationAddr: &net.TCPAddr{IP: net.IPv4(5, 6, 7, 8), Port: 9},
	}).Format()
	if err != nil {
		t.Fatal(err)
	}
	local, err := (&proxyproto.Header{Version: 2, Command: proxyproto.LOCAL}).Format()
	if err != nil {
		t.Fatal(err)
	}
	v1 := "PROXY TCP4 1.2.3.4 5.6.7.8 5 9\r\n"
	for _, c := range []struct {
		name, listener, text string
		status               int // 0: no response
		from                 string
	}{
		{"version 1", "proxy_protocol = true", v1 + request, 200, "1.2.3.4"},
		{"version 2", "proxy_protocol = true", string(v2) + request, 200, "1.2.3.4"},
		{"local", "proxy_protocol = true", string(local) + request, 200, "127.0.0.1"},
		{"IPv6", "proxy_protocol = true", "PROXY TCP6 2001:db8::1 2001:db8::2 5 9\r\n" + request, 200, "2001:db8::1"},
		{"from a trusted peer", "proxy_protocol = true\ntrusted = [\"127.0.0.1\"]", v1 + request, 200, "1.2.3.4"},
		{"from an untrusted peer", "proxy_protocol = true\ntrusted = [\"10.0.0.0/8\"]", v1 + request, 0, ""},
		{"missing", "proxy_protocol = true", request, 0, ""},
		{"truncated", "proxy_protocol = true", "PROXY TCP4 1.2.3.4", 0, ""},
		{"malformed", "proxy_protocol = true", "PROXY TCP4 a b c d\r\n" + request, 0, ""},
		{"not required", "", v1 + request, 400, ""},
		{"not required, version 2", "", string(v2) + request, 400, ""},
	} {
		g, host := startForwardingAppliance(t, c.listener, "")
		nc := dialURL(t, g.urls[0])
		nc.SetDeadline(time.Now().Add(testutil.WaitTimeout))
		io.WriteString(nc, c.text)
		if c.from == "" {
			nc.(*net.TCPConn).CloseWrite() // an incomplete header ends here
		}
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		got := 0
		if err == nil {
			got = resp.StatusCode
		}
		nc.Close()
		n, _, _ := host.Counts()
		if c.from == "" && (got != c.status && got != 400 || n > 0) {
			t.Errorf("%s: status %d, %d requests at the host, want no service", c.name, got, n)
		}
		if c.from != "" {
			testutil.WaitUntil(t, c.name+": the request at the host", func() bool { n, _, _ := host.Counts(); return n > 0 })
			if s := forwardingHeaders(host); s[0] != c.from {
				t.Errorf("%s: forwarding headers %q, want client %s", c.name, s, c.from)
			}
		}
		g.Close()
	}
}

// The header rules of a route are applied to requests and responses. Cookies and repeated headers keep
// their order, and hop-by-hop headers are removed.
func TestRouteHeaderRulesApplyBothWays(t *testing.T) {
	g, host := startForwardingAppliance(t, "", `
[route.request]
set = { "X-Env" = "depot", "Authorization" = "Basic x" }
add = { "X-Many" = "c" }
remove = ["Cookie2", "x-secret"]
[route.answer]
set = { "Server" = "ours" }
remove = ["X-Old"]
`)
	r, _ := http.NewRequest("GET", g.urls[0]+"/", nil)
	r.Header = http.Header{"X-Many": {"a", "b"}, "Cookie": {"a=1; b=2"}, "X-Secret": {"s"}, "Cookie2": {"x"}, "Authorization": {"forged"},
		"Te": {"trailers"}, "Proxy-Authorization": {"p"}, "Keep-Alive": {"x"}}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	host.Mu.Lock()
	got := host.Requests[0].Header
	host.Mu.Unlock()
	if fmt.Sprint(got["X-Many"]) != "[a b c]" || got.Get("X-Env") != "depot" || got.Get("Authorization") != "Basic x" || got.Get("Cookie") != "a=1; b=2" {
		t.Errorf("headers %v at the host, want those of the rules", got)
	}
	for _, name := range []string{"X-Secret", "Cookie2", "Te", "Proxy-Authorization", "Keep-Alive"} {
		if len(got[name]) > 0 {
			t.Errorf("header %s at the host: %v, want none", name, got[name])
		}
	}
	h := resp.Header
	if fmt.Sprint(h["Set-Cookie"]) != "[a=1 b=2]" || h.Get("Server") != "ours" || h.Get("X-Old") != "" || h.Get("X-Hop") != "" || h.Get("Retry-After") != "7" {
		t.Errorf("headers %v at the client, want those of the rules", h)
	}
}

// Header sections are limited in size and in the number of header fields.
func TestHeaderSectionsAreLimited(t *testing.T) {
	g, host := startForwardingAppliance(t, "", "")
	var many []string
	for i := range 100 {
		many = append(many, fmt.Sprint("X-", i), "v")
	}
	if resp, _ := fetch(t, "GET", g.urls[0]+"/", "", many...); resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("102 headers: status %d, want 431", resp.StatusCode)
	}
	if resp, _ := fetch(t, "GET", g.urls[0]+"/", "", "X-Long", strings.Repeat("x", 20<<10)); resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("header section of 20 KiB: status %d, want 431", resp.StatusCode)
	}
	if resp, _ := fetch(t, "GET", g.urls[0]+"/", "", "X-Long", strings.Repeat("x", 6<<10)); resp.StatusCode != 200 {
		t.Errorf("header section of 6 KiB: status %d, want 200", resp.StatusCode)
	}
	if n, _, _ := host.Counts(); n != 1 {
		t.Errorf("%d requests at the host, want 1", n)
	}
}

// The chunks of a body are parsed correctly after a header section that arrives in pieces.
func TestHeaderSectionInPiecesIsFollowedByChunks(t *testing.T) {
	g, host := startForwardingAppliance(t, "", "")
	nc := dialURL(t, g.urls[0])
	in := bufio.NewReader(nc)
	for round := range 3 {
		for _, part := range []string{"POST / HTTP/1.1\r\nHost: a\r", "\nX-Long: " + strings.Repeat("x", 5<<10) + "\r\nTransfer-", "Encoding: chunked\r", "\n\r", "\n1\r\na\r\n0\r\n\r\n"} {
			io.WriteString(nc, part)
			time.Sleep(2 * time.Millisecond) // a pause, so that the pieces mostly arrive separately
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("round %d: response %+v, error %v, want 200", round, resp, err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatalf("round %d: read body: %v", round, err)
		}
	}
	if n, _, _ := host.Counts(); n != 3 {
		t.Errorf("%d requests at the host, want 3", n)
	}
}

func TestInvalidRouteSettingsAreReported(t *testing.T) {
	for text, want := range map[string]string{
		"[route.request]\nset = { \"Content-Length\" = \"5\" }": "route.request: \"Content-Length\" can't be changed",
		"[route.request]\nadd = { \"X A\" = \"5\" }":            "route.request: \"X A\" is not a header name",
		"[route.answer]\nset = { \"X-A\" = \"a\\r\\nX-B: b\" }": "contains a control character",
		"[route.answer]\nremove = [\"transfer-encoding\"]":      "route.answer: \"transfer-encoding\" can't be changed",
		"hold = \"5MiB\"":       "route.hold: ",
		"max_body = \"5 megs\"": "route.max_body: 5 megs is not a size",
	} {
		_, errs := config.ParseAppliance("f", baseConfig+poolConfig("p", "", "127.0.0.1:1")+routeConfig("r", "pool = \"p\"\nclass = \"lookup\"\n"+text))
		if len(errs) != 1 || !strings.Contains(errs[0].Error(), want) {
			t.Errorf("%s: errors %v, want %q", text, errs, want)
		}
	}
}
