package gateway

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/config"
	"dunemoor/internal/engine"
	"dunemoor/internal/flightrecorder"
	"dunemoor/internal/testutil"
)

// withClasses returns the configuration with other classes, in the given order.
func withClasses(cfg config.Platform, names ...string) *config.Platform {
	idempotency := map[string]balancer.Idempotency{"look": balancer.Idempotent, "book": balancer.NonIdempotent, "next": balancer.NonIdempotent}
	cfg.Classes = map[string]int{}
	cfg.Settings.Classes = nil
	for i, name := range names {
		cfg.Classes[name] = i
		cfg.Settings.Classes = append(cfg.Settings.Classes, balancer.Class{
			LatencyObjective: 10 * time.Second, Deadline: 60 * time.Second, Idempotency: idempotency[name],
		})
	}
	return &cfg
}

// heldRequest is a request to /api/held whose first attempt is held by the host until it is released, and then reset.
// Other requests get an immediate response.
type heldRequest struct {
	attempts atomic.Int64
	released chan struct{}
}

// newHost starts a host that holds the first attempt of the request.
func (h *heldRequest) newHost(t *testing.T) *testutil.Host {
	t.Helper()
	return testutil.NewHost(t, func(c net.Conn, r *http.Request, _ int) bool {
		if r.URL.Path == "/api/held" && h.attempts.Add(1) == 1 {
			<-h.released
			c.(*net.TCPConn).SetLinger(0)
			return false
		}
		_, err := fmt.Fprint(c, testutil.OKResponse)
		return err == nil
	})
}

// expectStatus sends a request of a class and checks the status of the response.
func (g *testGateway) expectStatus(when, class, body string, want int) {
	g.Helper()
	if resp, text := g.send(class, "/api/1", body); resp.StatusCode != want {
		g.Errorf("%s: status %d, body %s, want %d", when, resp.StatusCode, text, want)
	}
}

// Classes are added and removed while a request is in flight. The request keeps the rules of its class,
// and the indexes of removed classes are reused.
func TestRetuneChangesClassesUnderLoad(t *testing.T) {
	held := &heldRequest{released: make(chan struct{})}
	cfg := withClasses(*testConfig(held.newHost(t), held.newHost(t)), "look", "book")
	g := startGateway(t, cfg)
	out := make(chan string, 1)
	go func() {
		resp, text := g.send("look", "/api/held", "")
		out <- fmt.Sprint(resp.StatusCode, text)
	}()
	testutil.WaitUntil(t, "the request at the host", func() bool { return held.attempts.Load() == 1 })
	g.expectStatus("class not added yet", "next", "x", 400)
	if err := g.Retune(withClasses(*cfg, "next", "book")); err != nil {
		t.Fatal(err)
	}
	g.expectStatus("added class", "next", "x", 200)
	g.expectStatus("removed class", "look", "", 400)
	close(held.released)
	if got := <-out; got != "200good" {
		t.Errorf("idempotent request of a removed class after a reset: %s, want 200good", got)
	}
	if n := held.attempts.Load(); n != 2 {
		t.Errorf("%d attempts, want 2", n)
	}
	for i := range 50 { // indexes of removed classes are reused
		names := []string{"look", "book"}
		if i%2 == 0 {
			names = []string{"next", "book"}
		}
		if err := g.Retune(withClasses(*cfg, names...)); err != nil {
			t.Fatal(err)
		}
		if resp, _ := g.send(names[0], "/api/1", ""); resp.StatusCode != 200 {
			t.Fatalf("change %d: status %d, want 200", i, resp.StatusCode)
		}
	}
	if len(g.platform.indexedClasses) > 4 {
		t.Errorf("%d classes, want at most 4", len(g.platform.indexedClasses))
	}
	invalid := withClasses(*cfg, "book")
	invalid.Settings.Instances = 0
	if err := g.Retune(invalid); err == nil {
		t.Error("settings without instances: no error, want one")
	}
	g.expectStatus("after rejected settings", "look", "", 200)
}

// A recording continues across a change of the settings, and all of it replays without divergence.
func TestRetuneIsRecordedAndReplays(t *testing.T) {
	rc := &engine.RecordingConfig{RingBytes: 1 << 20, Dir: t.TempDir(), File: t.TempDir() + "/all.dmf", MaxFileBytes: 8 << 20}
	cfg := withClasses(*testConfig(testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))), "look", "book")
	g := startGateway(t, cfg, rc)
	send := func(class string) {
		if resp, _ := g.send(class, "/api/1", ""); resp.StatusCode != 200 {
			t.Errorf("%s: status %d, want 200", class, resp.StatusCode)
		}
	}
	send("look")
	if err := g.Retune(withClasses(*cfg, "next", "book")); err != nil {
		t.Fatal(err)
	}
	send("next")
	testutil.WaitUntil(t, "all requests ended", func() bool { return g.openRequests() == 0 })
	g.Close()
	data, err := os.ReadFile(rc.File)
	if err != nil {
		t.Fatal(err)
	}
	rep, err := flightrecorder.Replay(flightrecorder.NewReader(bytes.NewReader(data)), nil, nil)
	if err != nil || rep.Divergence != nil || rep.Sessions != 2 || rep.UnreadableCheckpoints > 0 || rep.SkippedEvents > 0 || len(rep.Losses) > 0 || rep.Events < 4 {
		t.Errorf("replay %+v, error %v, want 2 sessions and 4 events or more without divergence or loss", rep, err)
	}
}
