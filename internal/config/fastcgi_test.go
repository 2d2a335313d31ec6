package config

import (
	"os"
	"strings"
	"testing"
)

// Settings of FastCGI listeners and pools are checked, and each error names its line.
func TestParseApplianceChecksFastCGISettings(t *testing.T) {
	text, err := os.ReadFile(applianceExample)
	if err != nil {
		t.Fatal(err)
	}
	a, errs := ParseAppliance("a.toml", string(text))
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	listeners, pools := 0, 0
	for _, l := range a.Listeners {
		if l.Protocol == FastCGI {
			listeners++
		}
	}
	for _, p := range a.Pools {
		if p.Protocol == FastCGI && p.ScriptRoot == "/srv/streets" && p.Params["APP_ENV"] == "production" {
			pools++
		}
	}
	if listeners != 1 || pools != 1 {
		t.Errorf("%d listeners and %d pools with FastCGI, want 1 each", listeners, pools)
	}
	for _, c := range []struct{ old, new, want string }{
		{`protocol = "fastcgi"
trusted`, `protocol = "fcgi"
trusted`, `listener.protocol: "fcgi" is none of http1, fastcgi`},
		{`address = "127.0.0.1:8089"`, `address = "unix:relative.sock"`, `listener.address: "unix:relative.sock" is no address`},
		{`address = "127.0.0.1:8089"`, `address = "unix:/` + strings.Repeat("x", 120) + `"`, "is no address"},
		{`address = "127.0.0.1:8080"`, `address = "unix:/run/x.sock"`, "is no address"},
		{`protocol = "fastcgi"
trusted`, `proxy_protocol = true
protocol = "fastcgi"
trusted`, "listener.proxy_protocol: is for http1 listeners"},
		{`protocol = "fastcgi"
members`, `protocol = "cgi"
members`, `pool.protocol: "cgi" is none of http1, fastcgi`},
		{`protocol = "fastcgi"
members`, `members`, `pool.script_root: is for pools with protocol = "fastcgi"`},
		{`script_root = "/srv/streets"`, `script_root = "srv"`, `pool.script_root: "srv" is no path from the root`},
		{`APP_ENV`, `app_env`, `pool.params: "app_env" is no name of a parameter`},
		{`APP_ENV`, `CONTENT_LENGTH`, `pool.params: "CONTENT_LENGTH" is not to be changed`},
		{`"production"`, `"a\\u0000b"`, "can't be sent"},
		{`address = "127.0.0.1:9301"`, `address = "unix:x"`, `pool.members: "unix:x" is no host:port`},
		{`address = "127.0.0.1:9201"`, `address = "unix:/x"`, `pool.members: "unix:/x" is no host:port`},
	} {
		oldText, newText := strings.ReplaceAll(c.old, `\n`, "\n"), strings.ReplaceAll(strings.ReplaceAll(c.new, `\n`, "\n"), `\\`, `\`)
		if !strings.Contains(string(text), oldText) {
			t.Fatalf("%q is not in the example", oldText)
		}
		_, errs := ParseAppliance("a.toml", strings.Replace(string(text), oldText, newText, 1))
		found := false
		for _, err := range errs {
			found = found || strings.Contains(err.Error(), c.want) && strings.HasPrefix(err.Error(), "a.toml:")
		}
		if !found {
			t.Errorf("%q: errors %v, want %q", newText, errs, c.want)
		}
	}
	if _, errs := ParseAppliance("a.toml", strings.Replace(string(text), `address = "127.0.0.1:9301"`, `address = "unix:/run/php.sock"`, 1)); len(errs) > 0 {
		t.Errorf("member on a Unix socket: errors %v, want none", errs)
	}
}
