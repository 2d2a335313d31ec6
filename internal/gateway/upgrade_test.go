package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"dunemoor/internal/testutil"
)

// startUpgradeAppliance starts a gateway with a route under /ws that allows two upgrades, and a route that allows none. On
// an upgraded connection, the host sends "hi" and then echoes what it receives.
func startUpgradeAppliance(t *testing.T) *testAppliance {
	t.Helper()
	echo := startRawHost(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if !strings.EqualFold(r.Header.Get("Connection"), "upgrade") || r.Header.Get("Upgrade") != "websocket" {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
			return
		}
		io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n"+
			"Upgrade: websocket\r\nSec-WebSocket-Accept: x\r\n\r\nhi")
		io.Copy(c, in)
	})
	return startAppliance(t, baseConfig+poolConfig("p", "", echo)+
		routeConfig("ws", "path = \"/ws\"\npool = \"p\"\nclass = \"lookup\"\nupgrades = 2")+
		routeConfig("plain", "pool = \"p\"\nclass = \"lookup\""))
}

// A connection is upgraded if the route allows it. Bytes are forwarded in both directions, the number of
// upgrades is limited, and WebSocket clients get a close frame during a shutdown.
func TestUpgradeForwardsBytesBothWays(t *testing.T) {
	g := startUpgradeAppliance(t)
	plain := openUpgrade(t, g.urls[0]+"/")
	if plain.response.StatusCode != 200 {
		t.Errorf("route without upgrades: status %d, want 200", plain.response.StatusCode)
	}
	plain.Close()
	first := openUpgrade(t, g.urls[0]+"/ws")
	header := first.response.Header
	if first.response.StatusCode != 101 || header.Get("Sec-WebSocket-Accept") != "x" || header.Get("Upgrade") != "websocket" {
		t.Fatalf("response %+v, want 101 with the headers of the host", first.response)
	}
	first.expectGreeting(t)
	first.expectEcho(t, "one")
	second := openUpgrade(t, g.urls[0]+"/ws")
	second.expectGreeting(t)
	second.expectEcho(t, strings.Repeat("two", 100_000))
	third := openUpgrade(t, g.urls[0]+"/ws")
	if third.response.StatusCode != 503 {
		t.Errorf("third upgrade of two: status %d, want 503", third.response.StatusCode)
	}
	third.Close()
	second.Conn.(*net.TCPConn).CloseWrite()
	if rest, err := io.ReadAll(second.in); err != nil || len(rest) > 0 {
		t.Errorf("after a half close: %q, error %v, want the end", rest, err)
	}
	second.Close()
	testutil.WaitUntil(t, "an upgrade allowed again", func() bool {
		again := openUpgrade(t, g.urls[0]+"/ws")
		defer again.Close()
		if again.response.StatusCode != 101 {
			return false
		}
		again.expectGreeting(t)
		return true
	})
	done := make(chan struct{})
	go func() {
		g.server.Shutdown()
		close(done)
	}()
	rest, err := io.ReadAll(first.in)
	if !bytes.HasPrefix(rest, []byte{0x88, 0x02, 0x03, 0xe9}) {
		t.Errorf("during a shutdown: %x, error %v, want a close frame", rest, err)
	}
	first.Close()
	<-done
}

// upgradedConn is a connection on which an upgrade was requested.
type upgradedConn struct {
	net.Conn
	in       *bufio.Reader
	response *http.Response
}

// openUpgrade requests an upgrade to WebSocket and reads the response.
func openUpgrade(t *testing.T, target string) *upgradedConn {
	t.Helper()
	u, err := url.Parse(target)
	if err != nil {
		t.Fatal(err)
	}
	c := &upgradedConn{Conn: dialURL(t, "http://"+u.Host)}
	c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\nConnection: keep-alive, Upgrade\r\n"+
		"Upgrade: websocket\r\nSec-WebSocket-Key: y\r\n\r\n", u.Path)
	c.in = bufio.NewReader(c)
	if c.response, err = http.ReadResponse(c.in, nil); err != nil {
		t.Fatal(err)
	}
	return c
}

// expectGreeting reads the bytes that the host sends right after the header section of its response.
func (c *upgradedConn) expectGreeting(t *testing.T) {
	t.Helper()
	got := make([]byte, 2)
	if _, err := io.ReadFull(c.in, got); err != nil || string(got) != "hi" {
		t.Errorf("bytes after the header section: %q, error %v, want hi", got, err)
	}
}

// expectEcho sends the text and expects the host to send it back.
func (c *upgradedConn) expectEcho(t *testing.T, text string) {
	t.Helper()
	io.WriteString(c, text)
	got := make([]byte, len(text))
	if _, err := io.ReadFull(c.in, got); err != nil || string(got) != text {
		t.Errorf("echo %q, error %v, want %q", got, err, text)
	}
}
