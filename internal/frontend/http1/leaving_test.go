package http1

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dunemoor/internal/body"
	"dunemoor/internal/engine"
	"dunemoor/internal/testutil"
)

// leaves are the ways in which a client leaves.
var leaves = map[string]func(c *net.TCPConn){
	"end":      func(c *net.TCPConn) { c.Close() },
	"half end": func(c *net.TCPConn) { c.CloseWrite() },
	"reset":    func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
}

// deaf has nobody hear any more of clients that leave, as on a machine where whoever is told of them has
// not had its turn.
func (g *testGateway) deaf() {
	g.Helper()
	l := g.server.leavers
	if err := l.file.SetReadDeadline(time.Unix(1, 0)); err != nil {
		g.Fatal(err)
	}
	<-l.ended
}

// ended counts the clients whose end has come to our side.
func (g *testGateway) ended() (n int) {
	for _, c := range g.server.leavers.all() {
		c.raw.Control(func(fd uintptr) {
			p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
			if k, _ := unix.Poll(p, 0); k > 0 {
				n++
			}
		})
	}
	return n
}

// However an attempt ends and however its client has left by then, there is no other: the look
// before the first byte sees it, also where nobody has heard of it yet.
func TestNoFurtherAttemptBehindAClose(t *testing.T) {
	ends := map[string]testutil.Script{
		"error":       testutil.RespondWith(testutil.ErrorResponse),
		"turned away": testutil.RespondWith(testutil.RejectedResponse),
		"reset":       testutil.ResetConnection,
		"noise":       testutil.RespondWith("\x00noise\r\n\r\n"),
		"cut": func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, testutil.OKResponse[:len(testutil.OKResponse)-1])
			return false
		},
	}
	for how, leave := range leaves {
		for what, end := range ends {
			t.Run(how+", "+what, func(t *testing.T) {
				out, say := make(chan struct{}, 1), make(chan struct{})
				var attempts atomic.Int64
				script := func(c net.Conn, r *http.Request, n int) bool {
					if attempts.Add(1) > 1 {
						io.WriteString(c, testutil.OKResponse)
						return true
					}
					out <- struct{}{}
					<-say
					return end(c, r, n)
				}
				g := startGateway(t, withHosts(testutil.NewHost(t, script), testutil.NewHost(t, script)))
				c := g.dial().(*net.TCPConn)
				io.WriteString(c, testutil.LookRequest(testutil.NewID()))
				<-out
				g.deaf()
				leave(c)
				testutil.WaitUntil(t, "its end has come", func() bool { return g.ended() == 1 })
				close(say)
				testutil.WaitUntil(t, "it is over", func() bool { return g.gate.OpenIDs() == 0 })
				if n := attempts.Load(); n != 1 {
					t.Errorf("%d attempts", n)
				}
			})
		}
	}
}

// Many clients leave while the engine's loop is busy, with errors waiting for it that call for
// further attempts, and other requests that wait for a first: none goes out.
func TestBurstLeavesWhileTheLoopIsBusy(t *testing.T) {
	const hosts, clients = 8, 200
	var attempts, said atomic.Int64
	say, held, release := make(chan struct{}), make(chan struct{}), make(chan struct{})
	cfg := withHosts()
	for range hosts {
		cfg.hosts = append(cfg.hosts, testutil.NewHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
			attempts.Add(1)
			<-say
			io.WriteString(c, testutil.ErrorResponse)
			said.Add(1)
			return true
		}))
	}
	var once sync.Once
	cfg.judged = func() { once.Do(func() { close(held); <-release }) }
	g := startGateway(t, cfg)
	conns := make([]*net.TCPConn, clients)
	for i := range conns {
		conns[i] = g.dial().(*net.TCPConn)
		io.WriteString(conns[i], testutil.LookRequest(testutil.NewID()))
	}
	const out = 4 * hosts // what hosts get at first
	testutil.WaitUntil(t, "all are taken, and most wait", func() bool { return g.gate.OpenIDs() == clients && attempts.Load() == out })
	close(say)
	<-held // the loop is, by the first error
	testutil.WaitUntil(t, "all errors are said", func() bool { return said.Load() == out })
	g.deaf()
	for i, c := range conns {
		leaves[[]string{"end", "half end", "reset"}[i%3]](c)
	}
	testutil.WaitUntil(t, "their ends have come", func() bool { return g.ended() == clients })
	close(release)
	testutil.WaitUntil(t, "all is over", func() bool { return g.gate.OpenIDs() == 0 })
	if n := attempts.Load(); n != out {
		t.Errorf("%d attempts for clients that had gone", n-out)
	}
}

// A client that leaves with its long body under way, while its request waits for a host, has gone:
// half a body is not sent on with nobody there to send the rest. It is forgotten at once, and not
// sent either where nobody has heard of that.
func TestLeavingWithinABodyThatWaits(t *testing.T) {
	for how, leave := range leaves {
		for _, deaf := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, deaf %t", how, deaf), func(t *testing.T) {
				release := make(chan struct{})
				cfg := withHosts(testutil.NewHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
					<-release
					io.WriteString(c, testutil.OKResponse)
					return true
				}))
				cfg.streams = &engine.Streams{BufferBytes: 64 << 10, Pace: body.Pace{IdleTimeout: testutil.WaitTimeout}, Upload: body.Pace{IdleTimeout: testutil.WaitTimeout}}
				g := startGateway(t, cfg)
				begin := func(length, sent int) *net.TCPConn {
					c := g.dial().(*net.TCPConn)
					fmt.Fprintf(c, "POST /api/1 HTTP/1.1\r\nHost: a\r\nX-Priority-Class: book\r\nX-Timeout: 60\r\nX-Request-ID: %s\r\nContent-Length: %d\r\n\r\n%s",
						testutil.NewID(), length, strings.Repeat("x", sent))
					return c
				}
				const out = 4 // what a host gets at first
				for range out {
					begin(1, 1)
				}
				testutil.WaitUntil(t, "the host is full", func() bool { n, _, _ := cfg.hosts[0].Counts(); return n == out })
				c := begin(1<<20, 100<<10)
				inside := func() (n int64) {
					plan := g.gate.Engine.Snapshot()
					defer plan.Release()
					plan.Pools(func(p *engine.Pool) { n = p.OpenRequests() })
					return n
				}
				testutil.WaitUntil(t, "it waits", func() bool { return inside() == out+1 })
				if deaf {
					g.deaf()
				}
				leave(c)
				if deaf {
					testutil.WaitUntil(t, "its end has come", func() bool { return g.ended() == 1 })
				} else {
					testutil.WaitUntil(t, "it is forgotten", func() bool { return inside() == out })
					c.SetReadDeadline(time.Now().Add(testutil.WaitTimeout))
					if text, _ := io.ReadAll(c); len(text) > 0 { // of a half end
						t.Errorf("it waited for %q", text)
					}
				}
				close(release)
				testutil.WaitUntil(t, "all is over", func() bool { return inside() == 0 })
				g.end()
				testutil.WaitUntil(t, "the host has read all", func() bool { _, conns, ended := cfg.hosts[0].Counts(); return conns == ended })
				if n, _, _ := cfg.hosts[0].Counts(); n != out {
					t.Errorf("the host got %d requests", n)
				}
			})
		}
	}
}
