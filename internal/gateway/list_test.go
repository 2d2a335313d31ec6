package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"dunemoor/internal/testutil"
)

// scriptedList is discovery on a loopback socket: each call is handed to the test, which writes to it
// and ends it.
type scriptedList struct {
	addr  string
	calls chan *listCall
}

type listCall struct {
	index string
	w     http.ResponseWriter
	ended chan struct{}
}

func newScriptedList(t *testing.T) *scriptedList {
	s := &scriptedList{calls: make(chan *listCall)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &listCall{r.FormValue("index"), w, make(chan struct{})}
		select {
		case s.calls <- c:
		case <-r.Context().Done():
			return
		}
		select {
		case <-c.ended:
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	s.addr = strings.TrimPrefix(server.URL, "http://")
	return s
}

// next is the next call.
func (s *scriptedList) next(t *testing.T) *listCall {
	t.Helper()
	select {
	case c := <-s.calls:
		return c
	case <-time.After(testutil.WaitTimeout):
		t.Fatal("discovery is not called")
		return nil
	}
}

func (c *listCall) line(text string) {
	io.WriteString(c.w, text+"\n")
	c.w.(http.Flusher).Flush()
}

func entry(id string, h *testutil.Host, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"state":%q}`, id, h.Addr(), state)
}

func whole(version int, entries ...string) string {
	return fmt.Sprintf(`{"version":%d,"full":true,"servers":[%s]}`, version, strings.Join(entries, ","))
}

// A watch ends instead of telling that a host drains, and the whole list behind it leaves that host
// out: it is gone for what is new, also where it still answers and for connections that are kept;
// what is under way there, of each effect, ends as ever; and it is of use again once it is listed.
func TestWholeListLeavesOutWhatDrains(t *testing.T) {
	release := make(chan struct{})
	once := sync.OnceFunc(func() { close(release) })
	defer once()
	drains := testutil.NewHost(t, func(c net.Conn, r *http.Request, _ int) bool {
		if strings.HasSuffix(r.URL.Path, "/slow") {
			<-release
		}
		io.WriteString(c, testutil.OKResponse)
		return true
	})
	stays := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	list := newScriptedList(t)
	cfg := testConfig()
	cfg.Discovery = list.addr
	g := startGateway(t, cfg)

	watch := list.next(t)
	watch.line(whole(41, entry("s-1", drains, "ready")))
	testutil.WaitUntil(t, "the host is known", func() bool { return g.pool.Address("s-1") != "" })
	if resp, _ := g.ask("look", "/api/quick", ""); resp.StatusCode != 200 { // it leaves a connection that is kept
		t.Fatalf("status %d", resp.StatusCode)
	}
	classes := []string{"look", "book", "report"}
	answers := make(chan error, len(classes))
	for _, class := range classes {
		body := "b"
		if class == "look" {
			body = ""
		}
		go func() {
			resp, text := g.ask(class, "/api/slow", body, "Idempotency-Key", "k-"+class)
			if resp.StatusCode != 200 || text != "good" {
				answers <- fmt.Errorf("%s: %d %q", class, resp.StatusCode, text)
				return
			}
			answers <- nil
		}()
	}
	testutil.WaitUntil(t, "three are under way", func() bool { n, _, _ := drains.Counts(); return n == 1+len(classes) })

	close(watch.ended)
	watch = list.next(t)
	if watch.index != "41" {
		t.Errorf("asked for what comes behind %s", watch.index)
	}
	watch.line(whole(43, entry("s-2", stays, "ready")))
	testutil.WaitUntil(t, "the list is in use", func() bool { return g.pool.Address("s-2") != "" })
	for range 4 {
		for _, class := range classes {
			body := "b"
			if class == "look" {
				body = ""
			}
			if resp, _ := g.ask(class, "/api/quick", body, "Idempotency-Key", testutil.NewID()); resp.StatusCode != 200 {
				t.Errorf("%s: status %d", class, resp.StatusCode)
			}
		}
	}
	if n, _, _ := drains.Counts(); n != 1+len(classes) {
		t.Errorf("%d requests at the host that is gone, want the %d of before", n, 1+len(classes))
	}
	once()
	for range classes {
		if err := <-answers; err != nil {
			t.Errorf("under way at the host that is gone: %v", err)
		}
	}
	testutil.WaitUntil(t, "its connections are closed", func() bool { _, opened, ended := drains.Counts(); return opened == ended })

	watch.line(whole(44, entry("s-1", drains, "ready")))
	testutil.WaitUntil(t, "the list is in use", func() bool { return g.pool.Address("s-1") != "" })
	if resp, _ := g.ask("look", "/api/quick", ""); resp.StatusCode != 200 {
		t.Errorf("listed again: status %d", resp.StatusCode)
	}
	if n, _, _ := drains.Counts(); n != 2+len(classes) {
		t.Errorf("listed again it has %d requests in all, want %d", n, 2+len(classes))
	}
}

// A watch that has fallen silent is opened anew also while the gateway stops, and what it tells then
// is acted on: clients go on using the connections that they have. It guards the order of Stop.
func TestListIsHeardWhileStopping(t *testing.T) {
	drains, stays := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse)), testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	list := newScriptedList(t)
	cfg := testConfig()
	cfg.Discovery = list.addr
	g := startGateway(t, cfg)
	watch := list.next(t)
	watch.line(whole(41, entry("s-1", drains, "ready")))
	testutil.WaitUntil(t, "the host is known", func() bool { return g.pool.Address("s-1") != "" })
	ask, _ := dialClient(t, g)
	if resp, err := ask(); err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	watch = list.next(t) // the first says nothing more
	stopped := make(chan struct{})
	go func() { g.Stop(0); close(stopped) }()
	testutil.WaitUntil(t, "the gateway stops", func() bool { return !g.ready() })
	watch.line(whole(43, entry("s-1", drains, "draining"), entry("s-2", stays, "ready")))
	testutil.WaitUntil(t, "the list is in use", func() bool { return g.pool.Address("s-2") != "" && g.pool.Address("s-1") == "" })
	if resp, err := ask(); err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	if n, _, _ := drains.Counts(); n != 1 {
		t.Errorf("%d requests at the host that drains, want that of before", n)
	}
	if n, _, _ := stays.Counts(); n != 1 {
		t.Errorf("%d requests at the host that stays, want 1", n)
	}
	<-stopped
}

func (g *testGateway) ready() bool { ok, _ := g.Ready(); return ok }
