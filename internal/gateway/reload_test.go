package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dunemoor/internal/config"
	"dunemoor/internal/testutil"
)

// A reload opens and closes listeners, keeps unchanged pools, and stops removed pools with their
// connections and goroutines. A reload that fails changes nothing.
func TestReloadReleasesRemovedPoolsAndListeners(t *testing.T) {
	host := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	other := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	base := baseConfig + poolConfig("p", "", host.Addr()) + routeConfig("r", "pool = \"p\"\nclass = \"lookup\"")
	g := startAppliance(t, base)
	second := testutil.Listen(t, "127.0.0.1:0", nil)
	free := second.Addr().String()
	second.Close()
	extended := strings.Replace(base, "[[class]]", "[[listener]]\nname = \"more\"\naddress = \""+free+"\"\n[[class]]", 1) +
		poolConfig("q", "", other.Addr()) + routeConfig("s", "path = \"/q\"\npool = \"q\"\nclass = \"lookup\"")
	pool := g.appliance.pools["p"].Pool
	expectOK(t, g.urls[0]+"/q") // served by p
	var goroutines int
	for round := range 5 {
		if err := g.Reload(t.Context(), mustParse(t, extended)); err != nil {
			t.Fatal(err)
		}
		expectOK(t, "http://"+free+"/q")
		if n, _, _ := other.Counts(); n != round+1 {
			t.Errorf("%d requests at the host of the new pool, want %d", n, round+1)
		}
		// A file whose listener address is in use changes nothing.
		taken := strings.Replace(extended, "[[class]]", "[[listener]]\nname = \"third\"\naddress = \""+host.Addr()+"\"\n[[class]]", 1) +
			poolConfig("z", "", other.Addr()) + routeConfig("z", "path = \"/z\"\npool = \"z\"\nclass = \"lookup\"")
		if err := g.Reload(t.Context(), mustParse(t, taken)); err == nil || !strings.Contains(err.Error(), "listener third") {
			t.Errorf("listener address in use: error %v, want one that names the listener", err)
		}
		expectOK(t, "http://"+free+"/q")
		other.Mu.Lock()
		other.Requests = other.Requests[:round+1]
		other.Mu.Unlock()
		if err := g.Reload(t.Context(), mustParse(t, base)); err != nil {
			t.Fatal(err)
		}
		testutil.WaitUntil(t, "the listener closed", func() bool { return !accepts(free) })
		expectOK(t, g.urls[0]+"/q") // served by p again
		testutil.WaitUntil(t, "the connections of the removed pool closed", func() bool {
			_, accepted, ended := other.Counts()
			return accepted == ended
		})
		if g.appliance.pools["p"].Pool != pool {
			t.Error("unchanged pool replaced, want it kept")
		}
		if round == 1 {
			goroutines = runtime.NumGoroutine()
		}
	}
	testutil.WaitUntil(t, "no goroutines left of removed pools and listeners", func() bool { return runtime.NumGoroutine() <= goroutines })
}

// expectOK requests a URL and expects status 200.
func expectOK(t *testing.T, url string) {
	t.Helper()
	if resp, text := fetch(t, "GET", url, ""); resp.StatusCode != 200 {
		t.Errorf("%s: status %d, body %q, want 200", url, resp.StatusCode, text)
	}
}

// accepts reports whether connections to an address are accepted.
func accepts(addr string) bool {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return false
	}
	c.Close()
	return true
}

// Changes of the members file of a pool are applied, also after a reload that sets another file. A reload
// that sets an unreadable file changes nothing.
func TestMembersFileIsFollowed(t *testing.T) {
	first, second := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse)), testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	dir := t.TempDir()
	write := func(name string, h *testutil.Host) string {
		path := filepath.Join(dir, name)
		text := fmt.Sprintf("{\"servers\":[{\"id\":%q,\"addr\":%q,\"state\":\"ready\"}]}", h.Addr(), h.Addr())
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	text := func(path string) string {
		return baseConfig + "[[pool]]\nname = \"p\"\nmembers_file = \"" + path + "\"\n" + routeConfig("r", "pool = \"p\"\nclass = \"lookup\"")
	}
	one := write("one.json", first)
	g := startAppliance(t, text(one))
	waitForRequestAt := func(what string, h *testutil.Host) {
		t.Helper()
		testutil.WaitUntil(t, what, func() bool {
			before, _, _ := h.Counts()
			resp, _ := fetch(t, "GET", g.urls[0]+"/", "")
			after, _, _ := h.Counts()
			return resp.StatusCode == 200 && after > before
		})
	}
	waitForRequestAt("the host of the file in use", first)
	write("one.json", second)
	waitForRequestAt("the host of the changed file in use", second)
	if err := g.Reload(t.Context(), mustParse(t, text(filepath.Join(dir, "none.json")))); err == nil || !strings.Contains(err.Error(), "pool p") {
		t.Errorf("missing members file: error %v, want one that names the pool", err)
	}
	waitForRequestAt("the old file still followed", second)
	if err := g.Reload(t.Context(), mustParse(t, text(write("two.json", first)))); err != nil {
		t.Fatal(err)
	}
	waitForRequestAt("the other file followed", first)
	write("one.json", second)
	time.Sleep(1200 * time.Millisecond) // longer than the interval at which a file is read
	waitForRequestAt("the old file not followed", first)
}

// A reload reports exactly the changed settings that take effect only after a restart, so that operators do
// not assume that they are in effect.
func TestReloadReportsSettingsThatNeedRestart(t *testing.T) {
	host := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	file := func(limits string) *config.Appliance {
		return mustParse(t, strings.Replace(overloadConfig, "[[listener]]", limits+"\n[[listener]]", 1)+
			poolConfig("p", "", host.Addr())+routeConfig("r", "pool = \"p\"\nclass = \"lookup\""))
	}
	const tenants = "[limits.tenants]\nrate = 5.0\n[[tenant]]\nname = \"a\""
	for _, c := range []struct{ before, after, want string }{
		{"", "", "[]"},
		{"", "[limits.client]\nrate = 5.0", "[]"},                                                // takes effect immediately
		{"overload = false", "overload = false\n[limits.client]\nrate = 5.0", "[limits.client]"}, // no table of clients exists
		{"", "overload = false", "[limits.overload]"},
		{"", "memory_mb = 128\nheaders = 50", "[limits.memory_mb limits.headers]"},
		{"", tenants, "[limits.tenants tenant]"},
		{tenants, tenants + "\nweight = 2.0", "[tenant]"},
	} {
		g, err := StartAppliance(file(c.before), nil, nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		if got := fmt.Sprint(g.needRestart(file(c.after))); got != c.want {
			t.Errorf("from %q to %q: %s, want %s", c.before, c.after, got, c.want)
		}
		g.Close()
	}
}

// A reload that waits for an endpoint list ends with its context, and changes nothing. Guards against a shutdown that
// waits for discovery.
func TestReloadEndsWithContext(t *testing.T) {
	host := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	base := baseConfig + poolConfig("p", "", host.Addr()) + routeConfig("r", "pool = \"p\"\nclass = \"lookup\"")
	g := startAppliance(t, base)
	list := newScriptedDiscovery(t)
	extended := base + "[[pool]]\nname = \"watched\"\ndiscovery = \"" + list.addr + "\"\n" +
		routeConfig("s", "path = \"/watched\"\npool = \"watched\"\nclass = \"lookup\"")
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- g.Reload(ctx, mustParse(t, extended)) }()
	list.nextCall(t) // has no answer
	cancel()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Errorf("reload whose context ended: got %v, want %v", err, context.Canceled)
	}
	if g.appliance.pools["watched"] != nil {
		t.Error("the new pool is in use, want the previous configuration")
	}
	expectOK(t, g.urls[0]+"/watched")
}

// A reload waits for the endpoint lists of all new pools together. Guards against a wait for each of them in turn.
func TestReloadWaitsForListsTogether(t *testing.T) {
	testutil.VirtualTime(t, func(t *testing.T) {
		var pools []*appliancePool
		for range 3 {
			p := &appliancePool{currentSink: new(atomic.Pointer[endpointSink])}
			p.currentSink.Store(&endpointSink{firstList: make(chan struct{})})
			pools = append(pools, p)
		}
		start := time.Now()
		if err := awaitFirstLists(t.Context(), pools); err != nil {
			t.Error(err)
		}
		if took := time.Since(start); took != reloadListTimeout {
			t.Errorf("waited %v for three lists that do not arrive, want %v", took, reloadListTimeout)
		}
	})
}
