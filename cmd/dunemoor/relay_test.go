package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// A relay's file without listeners: the program runs the relay alone, logs which changes of the file take effect at the
// next start, and shuts down gracefully.
func TestRelayWithoutListeners(t *testing.T) {
	dir, admin, listen := t.TempDir(), freeAddress(t), freeAddress(t)
	key, path := filepath.Join(dir, "key"), filepath.Join(dir, "relay.toml")
	if err := os.WriteFile(key, []byte(strings.Repeat("k", 32)), 0o600); err != nil {
		t.Fatal(err)
	}
	text := fmt.Sprintf("name = \"r1\"\nadmin = %q\n[fleet]\nid = \"f\"\nlisten = %q\ndata_dir = %q\nkey_file = %q\nfirst = [\"r1\"]\n[[fleet.relay]]\nname = \"r1\"\naddress = %[2]q\n",
		admin, listen, filepath.Join(dir, "disk"), key)
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(text)
	p := startWithFile(t, path, admin, "-appliance", path)
	waitUntil(t, "log line of the start", func() bool { return strings.Contains(p.out.String(), "msg=relaying") })
	for _, call := range []string{"health", "status", "fleet", "metrics"} {
		resp, err := http.Get("http://" + admin + "/admin/" + call)
		if err != nil {
			t.Fatal(err)
		}
		if resp.Body.Close(); resp.StatusCode != http.StatusOK {
			t.Errorf("%s: got status %s, want 200", call, resp.Status)
		}
	}
	for _, c := range []struct{ text, log string }{
		{strings.Replace(text, `id = "f"`, `id = "g"`, 1), "settings=fleet"},
		{strings.Replace(text, `id = "f"`, `idea = "f"`, 1), "relay.toml:4: fleet.idea: there is no such setting"},
	} {
		write(c.text)
		p.Process.Signal(syscall.SIGHUP)
		waitUntil(t, c.log, func() bool { return strings.Contains(p.out.String(), c.log) })
	}
	p.Process.Signal(syscall.SIGTERM)
	<-p.exited
	if code := p.ProcessState.ExitCode(); code != 0 {
		t.Errorf("got exit code %d, want 0: %s", code, p.out.String())
	}
}
