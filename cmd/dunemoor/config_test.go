package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A gateway that was killed restarts at its address, and serves requests with its saved endpoint list while discovery is
// down.
func TestRestartAfterKillServesFromTheSavedList(t *testing.T) {
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "done")
	}))
	defer host.Close()
	addr, text := freeAddress(t), platformConfig(strings.TrimPrefix(host.URL, "http://"))
	for i := range 2 {
		p := start(t, text, addr)
		p.waitReady(t)
		if _, err := sendRequest(p.url); err != nil {
			t.Errorf("start %d: got error %v", i, err)
		}
		p.Process.Kill()
		<-p.exited
	}
}

// SIGHUP applies the discovery address of the file, even if GW_DISCOVERY has a different one. An invalid file changes
// nothing. SIGHUP during shutdown has no effect, although the signal's default action is to end the process. The new
// address is watched from version 0, not from the version of the list at the old address.
func TestReloadOfThePlatformConfiguration(t *testing.T) {
	oldHost, oldRequests := startCountingHost(t)
	newHost, newRequests := startCountingHost(t)
	text := platformConfig(oldHost)
	p := start(t, text, freeAddress(t))
	p.waitReady(t)
	mustServe := func() {
		t.Helper()
		if _, err := sendRequest(p.url); err != nil {
			t.Fatalf("%v; log: %s", err, p.out.String())
		}
	}
	reload := func(file string) {
		t.Helper()
		writeFile(t, p.config, file)
		if err := p.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	reload(text[:len(text)/2])
	p.waitForLog(t, "configuration reload failed", 1)
	mustServe()
	if oldRequests.Load() != 1 {
		t.Errorf("after an invalid file: got %d requests at the old host, want 1", oldRequests.Load())
	}
	for i := range 2 { // reloads with a new address each time
		addr, watches := startDiscovery(t, fmt.Sprint("s-", 7+i), newHost)
		reload(strings.Replace(text, `"discovery":"`+unusedAddress, `"discovery":"`+addr, 1))
		waitUntil(t, "the new address is watched", func() bool { return watches.Load() > 0 })
		before := newRequests.Load()
		waitUntil(t, "the new list is used", func() bool { mustServe(); return newRequests.Load() > before })
	}
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	p.waitForLog(t, "stopping", 1)
	p.Process.Signal(syscall.SIGHUP)
	p.mustExitCleanly(t)
}

// With an invalid configuration the program writes one line that names the field, and exits with code 1.
func TestInvalidConfigurationEndsTheProgram(t *testing.T) {
	p := start(t, strings.Replace(platformConfig(), `"hard_limit":2000000`, `"hard_limit":0`, 1), "127.0.0.1:0")
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		t.Fatalf("the program still runs after %v", waitTimeout)
	}
	if code := p.ProcessState.ExitCode(); code != 1 {
		t.Errorf("got exit code %d, want 1", code)
	}
	if out := p.out.String(); !strings.Contains(out, "deadline") || strings.Count(out, "\n") != 1 {
		t.Errorf("got %q, want one line that names the field", out)
	}
}
