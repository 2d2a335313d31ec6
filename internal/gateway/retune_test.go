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

// classes is testConfig with other classes, in the order given.
func withClasses(cfg config.Platform, names ...string) *config.Platform {
	effects := map[string]balancer.Idempotency{"look": balancer.Idempotent, "book": balancer.NonIdempotent, "next": balancer.NonIdempotent}
	cfg.Classes, cfg.Settings.Classes = map[string]int{}, nil
	for i, name := range names {
		cfg.Classes[name] = i
		cfg.Settings.Classes = append(cfg.Settings.Classes, balancer.Class{
			LatencyObjective: 10 * time.Second, Deadline: 60 * time.Second, Idempotency: effects[name],
		})
	}
	return &cfg
}

// Classes appear and vanish under load; what is out ends by the rules that it came under, and
// in the end nothing is left of what is gone.
func TestRetuneUnderLoad(t *testing.T) {
	hold := make(chan struct{})
	var held atomic.Int64
	host := func() *testutil.Host {
		return testutil.NewHost(t, func(c net.Conn, r *http.Request, _ int) bool {
			if r.URL.Path == "/api/held" {
				if held.Add(1) == 1 { // the first time it breaks, once it is told to
					<-hold
					c.(*net.TCPConn).SetLinger(0)
					return false
				}
			}
			_, err := fmt.Fprint(c, testutil.OKResponse)
			return err == nil
		})
	}
	cfg := withClasses(*testConfig(host(), host()), "look", "book")
	g := startGateway(t, cfg)
	out := make(chan string, 1)
	go func() {
		resp, text := g.ask("look", "/api/held", "")
		out <- fmt.Sprint(resp.StatusCode, text)
	}()
	testutil.WaitUntil(t, "it is out", func() bool { return held.Load() == 1 })
	if resp, _ := g.ask("next", "/api/1", "x"); resp.StatusCode != 400 {
		t.Errorf("a class that is yet to come: %d", resp.StatusCode)
	}
	if err := g.Retune(withClasses(*cfg, "next", "book")); err != nil {
		t.Fatal(err)
	}
	if resp, text := g.ask("next", "/api/1", "x"); resp.StatusCode != 200 {
		t.Errorf("a class that has come: %d %s", resp.StatusCode, text)
	}
	if resp, _ := g.ask("look", "/api/1", ""); resp.StatusCode != 400 {
		t.Errorf("a class that has gone: %d", resp.StatusCode)
	}
	close(hold)
	if got := <-out; got != "200good" {
		t.Errorf("a safe request of a class that is gone, whose host broke off: %s", got)
	}
	if n := held.Load(); n != 2 {
		t.Errorf("it went out %d times", n)
	}
	for i := range 50 { // over and over, no more numbers are kept than are needed
		names := []string{"look", "book"}
		if i%2 == 0 {
			names = []string{"next", "book"}
		}
		if err := g.Retune(withClasses(*cfg, names...)); err != nil {
			t.Fatal(err)
		}
		if resp, _ := g.ask(names[0], "/api/1", ""); resp.StatusCode != 200 {
			t.Fatalf("change %d: %d", i, resp.StatusCode)
		}
	}
	if len(g.classes) > 4 {
		t.Errorf("%d classes are kept", len(g.classes))
	}
	bad := withClasses(*cfg, "book")
	bad.Settings.Instances = 0
	if err := g.Retune(bad); err == nil {
		t.Error("settings without instances are taken")
	}
	if resp, _ := g.ask("look", "/api/1", ""); resp.StatusCode != 200 {
		t.Errorf("after settings that were turned down: %d", resp.StatusCode)
	}
}

// A recording goes on over new settings, and all of it replays.
func TestRetuneIsRecorded(t *testing.T) {
	rc := &engine.RecordingConfig{RingBytes: 1 << 20, Dir: t.TempDir(), File: t.TempDir() + "/all.dmf", MaxFileBytes: 8 << 20}
	cfg := withClasses(*testConfig(testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))), "look", "book")
	g := startGateway(t, cfg, rc)
	ask := func(class string) {
		if resp, _ := g.ask(class, "/api/1", ""); resp.StatusCode != 200 {
			t.Errorf("%s: %d", class, resp.StatusCode)
		}
	}
	ask("look")
	if err := g.Retune(withClasses(*cfg, "next", "book")); err != nil {
		t.Fatal(err)
	}
	ask("next")
	testutil.WaitUntil(t, "all is over", func() bool { return g.openRequests() == 0 })
	g.Close()
	data, err := os.ReadFile(rc.File)
	if err != nil {
		t.Fatal(err)
	}
	rep, err := flightrecorder.Replay(flightrecorder.NewReader(bytes.NewReader(data)), nil, nil)
	if err != nil || rep.Divergence != nil || rep.Sessions != 2 || rep.ForeignCheckpoints > 0 || rep.SkippedEvents > 0 || len(rep.Losses) > 0 || rep.Events < 4 {
		t.Errorf("%+v, %v", rep, err)
	}
}
