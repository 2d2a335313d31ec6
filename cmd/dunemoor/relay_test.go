package main

import (
	"fmt"
	"net/http"
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
	writeFile(t, key, strings.Repeat("k", 32))
	text := fmt.Sprintf("name = \"r1\"\nadmin = %q\n[fleet]\nid = \"f\"\nlisten = %q\ndata_dir = %q\nkey_file = %q\nfirst = [\"r1\"]\n[[fleet.relay]]\nname = \"r1\"\naddress = %[2]q\n",
		admin, listen, filepath.Join(dir, "disk"), key)
	write := func(text string) {
		t.Helper()
		writeFile(t, path, text)
	}
	write(text)
	p := startWithFile(t, path, admin, "-appliance", path)
	p.waitForLog(t, "msg=relaying", 1)
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
		p.waitForLog(t, c.log, 1)
	}
	p.Process.Signal(syscall.SIGTERM)
	p.mustExitCleanly(t)
}
