package gateway

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/discovery"
	"dunemoor/internal/engine"
	"dunemoor/internal/flightrecorder"
	"dunemoor/internal/testutil"
)

// The recording of a gateway replays without divergence, contains the names of its hosts, and contains
// neither bodies nor paths.
func TestPlatformRecordingReplays(t *testing.T) {
	h := testutil.NewHost(t, testutil.RespondWith("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecret"))
	cfg := testConfig(h)
	dir := t.TempDir()
	dumps := make(chan string, 8)
	rc := &engine.RecordingConfig{
		RingBytes: 128 << 10, ViewInterval: time.Millisecond, Dir: dir, File: filepath.Join(dir, "all.dmf"), MaxFileBytes: 1 << 20,
		OnDump: func(path string, err error) {
			if err != nil {
				t.Error(err)
			}
			dumps <- path
		},
		Trigger: flightrecorder.Trigger{RejectedShare: 0.5, Window: time.Hour, MinResponses: 20, MinInterval: time.Hour},
	}
	cfg.Settings.Classes[0].LatencyObjective = 200 * time.Millisecond // requests are queued for a fifth of it
	g := startGateway(t, cfg, rc)
	for range 30 {
		if resp, body := g.send("look", "/hidden-path", ""); resp.StatusCode != 200 || body != "secret" {
			t.Fatalf("status %s, body %q, want 200 and body secret", resp.Status, body)
		}
	}
	g.Dump()
	check := func(path string, least int) {
		t.Helper()
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		rep, err := flightrecorder.Replay(flightrecorder.NewReader(bytes.NewReader(data)), nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		if rep.Divergence != nil || rep.Events < least || len(rep.Losses) > 0 {
			t.Errorf("%s: replay %+v, want %d events or more without divergence or loss", path, rep, least)
		}
		for _, hidden := range []string{"secret", "hidden-path"} {
			if bytes.Contains(data, []byte(hidden)) {
				t.Errorf("%s contains %q, want it left out", path, hidden)
			}
		}
		if !bytes.Contains(data, []byte("s-0")) {
			t.Errorf("%s does not contain s-0, want the host named", path)
		}
	}
	check(<-dumps, 60)

	// Without hosts, requests are rejected, and the trigger dumps the ring exactly once.
	h.Close()
	g.pool.UpdateEndpoints(balancer.ListFull, discovery.MemberList{}) // removes the host
	for range 50 {
		g.send("look", "/", "")
	}
	check(<-dumps, 60)
	g.Close()
	check(rc.File, 200)
	if n := len(dumps); n > 0 {
		t.Errorf("%d more dumps, want none", n)
	}
}

// Each pool is recorded separately. Every recording replays without divergence and contains only the names
// of its own hosts.
func TestApplianceRecordingReplaysPerPool(t *testing.T) {
	a, b := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse)), testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	dumps := make(chan string, 8)
	dir := t.TempDir()
	g, err := StartAppliance(mustParse(t, baseConfig+poolConfig("one", "", a.Addr())+poolConfig("two", "", b.Addr())+
		routeConfig("r", "pool = \"one\"\nclass = \"lookup\"")+routeConfig("s", "path = \"/two\"\npool = \"two\"\nclass = \"lookup\"")),
		&engine.RecordingConfig{RingBytes: 128 << 10, ViewInterval: time.Millisecond, Dir: dir, File: filepath.Join(dir, "all.dmf"), MaxFileBytes: 1 << 20,
			OnDump: func(path string, err error) {
				if err != nil {
					t.Error(err)
				}
				dumps <- path
			}}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	url := "http://" + g.appliance.listeners["127.0.0.1:0"].Addr().String()
	for range 20 {
		fetch(t, "GET", url+"/", "")
		fetch(t, "GET", url+"/two", "")
	}
	g.Dump()
	paths := []string{<-dumps, <-dumps}
	g.Close()
	paths = append(paths, filepath.Join(dir, "all-one.dmf"), filepath.Join(dir, "all-two.dmf"))
	recordings := map[string]int{}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		rep, err := flightrecorder.Replay(flightrecorder.NewReader(bytes.NewReader(data)), nil, nil)
		if err != nil || rep.Divergence != nil || rep.Events < 40 || len(rep.Losses) > 0 {
			t.Errorf("%s: replay %+v, error %v, want 40 events or more without divergence or loss", path, rep, err)
		}
		for _, host := range []string{"one-0", "two-0"} {
			if bytes.Contains(data, []byte(host)) {
				recordings[host]++
			}
		}
	}
	if recordings["one-0"] != 2 || recordings["two-0"] != 2 {
		t.Errorf("recordings by host %v, want two each", recordings)
	}
}
