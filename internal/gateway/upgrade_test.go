package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dunemoor/internal/testutil"
)

// A connection is upgraded where the route allows it, bytes pass both ways, the number of upgrades is
// limited, and WebSocket clients get a close frame at a drain.
func TestUpgradeForwardsBytesBothWays(t *testing.T) {
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
	g := startAppliance(t, baseConfig+poolConfig("p", "", echo)+
		routeConfig("ws", "path = \"/ws\"\npool = \"p\"\nclass = \"lookup\"\nupgrades = 2")+
		routeConfig("plain", "pool = \"p\"\nclass = \"lookup\""))
	open := func(path string) (net.Conn, *bufio.Reader, *http.Response) {
		t.Helper()
		c := dialURL(t, g.urls[0])
		c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\nConnection: keep-alive, Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Key: y\r\n\r\n", path)
		in := bufio.NewReader(c)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		return c, in, resp
	}
	expectEcho := func(c net.Conn, in *bufio.Reader, text string) {
		t.Helper()
		io.WriteString(c, text)
		got := make([]byte, len(text))
		if _, err := io.ReadFull(in, got); err != nil || string(got) != text {
			t.Errorf("echo %q, error %v, want %q", got, err, text)
		}
	}
	if c, _, resp := open("/"); resp.StatusCode != 200 {
		t.Errorf("route without upgrades: status %d, want 200", resp.StatusCode)
	} else {
		c.Close()
	}
	a, inA, resp := open("/ws")
	if resp.StatusCode != 101 || resp.Header.Get("Sec-WebSocket-Accept") != "x" || resp.Header.Get("Upgrade") != "websocket" {
		t.Fatalf("response %+v, want 101 with the headers of the host", resp)
	}
	got := make([]byte, 2)
	io.ReadFull(inA, got)
	if string(got) != "hi" {
		t.Errorf("bytes after the header section: %q, want hi", got)
	}
	expectEcho(a, inA, "one")
	b, inB, _ := open("/ws")
	io.ReadFull(inB, got)
	expectEcho(b, inB, strings.Repeat("two", 100_000))
	if c, _, resp := open("/ws"); resp.StatusCode != 503 {
		t.Errorf("third upgrade of two: status %d, want 503", resp.StatusCode)
	} else {
		c.Close()
	}
	b.(*net.TCPConn).CloseWrite()
	if rest, err := io.ReadAll(inB); err != nil || len(rest) > 0 {
		t.Errorf("after a half close: %q, error %v, want the end", rest, err)
	}
	b.Close()
	testutil.WaitUntil(t, "an upgrade allowed again", func() bool {
		c, in, resp := open("/ws")
		defer c.Close()
		if resp.StatusCode == 101 {
			io.ReadFull(in, got)
			return true
		}
		return false
	})
	done := make(chan struct{})
	go func() { g.server.Shutdown(); close(done) }()
	rest, err := io.ReadAll(inA)
	if !bytes.HasPrefix(rest, []byte{0x88, 0x02, 0x03, 0xe9}) {
		t.Errorf("during a drain: %x, error %v, want a close frame", rest, err)
	}
	a.Close()
	<-done
}
