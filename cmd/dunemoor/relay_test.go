package main

import (
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// With a relay's file that has no listeners, the program runs only the relay, logs which changes of the file take effect at
// the next start, and shuts down gracefully.
func TestRelayWithoutListeners(t *testing.T) {
	dir, admin := t.TempDir(), freeAddress(t)
	key := filepath.Join(dir, "key")
	writeFile(t, key, strings.Repeat("k", 32))
	text := fmt.Sprintf(`name = "r1"
admin = %q
[fleet]
id = "f"
listen = %q
data_dir = %q
key_file = %q
first = ["r1"]
[[fleet.relay]]
name = "r1"
address = %[2]q
`, admin, freeAddress(t), filepath.Join(dir, "disk"), key)
	path := filepath.Join(dir, "relay.toml")
	writeFile(t, path, text)
	p := startWithFile(t, path, admin, "-appliance", path)
	p.waitForLog(t, "msg=relaying", 1)
	for _, path := range []string{"/admin/health", "/admin/status", "/admin/fleet", "/admin/metrics"} {
		if got := requestStatus("GET", admin, path); got != http.StatusOK {
			t.Errorf("%s: got status %d, want 200", path, got)
		}
	}
	for _, c := range []struct{ text, log string }{
		{strings.Replace(text, `id = "f"`, `id = "g"`, 1), "settings=fleet"},
		{strings.Replace(text, `id = "f"`, `idea = "f"`, 1), "relay.toml:4: fleet.idea: there is no such setting"},
	} {
		writeFile(t, path, c.text)
		p.Process.Signal(syscall.SIGHUP)
		p.waitForLog(t, c.log, 1)
	}
	p.Process.Signal(syscall.SIGTERM)
	p.mustExitCleanly(t)
}
