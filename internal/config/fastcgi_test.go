package config

import (
	"strings"
	"testing"
)

func TestParseApplianceReadsFastCGISettings(t *testing.T) {
	a, errs := ParseAppliance("a.toml", readExample(t, applianceExample))
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
}

// Settings of FastCGI listeners and pools are validated, and each error begins with the file.
func TestParseApplianceChecksFastCGISettings(t *testing.T) {
	valid := readExample(t, applianceExample)
	for _, c := range []struct{ old, new, want string }{
		{"protocol = \"fastcgi\"\ntrusted", "protocol = \"fcgi\"\ntrusted", `listener.protocol: "fcgi" is not one of http1, fastcgi`},
		{`address = "127.0.0.1:8089"`, `address = "unix:relative.sock"`, `listener.address: "unix:relative.sock" is not an address`},
		{`address = "127.0.0.1:8089"`, `address = "unix:/` + strings.Repeat("x", 120) + `"`, "is not an address"},
		{`address = "127.0.0.1:8080"`, `address = "unix:/run/x.sock"`, "is not an address"},
		{"protocol = \"fastcgi\"\ntrusted", "proxy_protocol = true\nprotocol = \"fastcgi\"\ntrusted", "listener.proxy_protocol: is for http1 listeners"},
		{"protocol = \"fastcgi\"\nmembers", "protocol = \"cgi\"\nmembers", `pool.protocol: "cgi" is not one of http1, fastcgi`},
		{"protocol = \"fastcgi\"\nmembers", "members", `pool.script_root: is for pools with protocol = "fastcgi"`},
		{`script_root = "/srv/streets"`, `script_root = "srv"`, `pool.script_root: "srv" is not an absolute path`},
		{`APP_ENV`, `app_env`, `pool.params: "app_env" is not a parameter name`},
		{`APP_ENV`, `CONTENT_LENGTH`, `pool.params: "CONTENT_LENGTH" can't be changed`},
		{`"production"`, `"a\u0000b"`, "contains a NUL byte"},
		{`address = "127.0.0.1:9301"`, `address = "unix:x"`, `pool.members: "unix:x" is not a host:port address`},
		{`address = "127.0.0.1:9201"`, `address = "unix:/x"`, `pool.members: "unix:/x" is not a host:port address`},
	} {
		checkRejected(t, c.new, replaceFirst(t, valid, c.old, c.new), c.want)
	}
}

func TestParseApplianceAcceptsMemberOnUnixSocket(t *testing.T) {
	text := replaceFirst(t, readExample(t, applianceExample), `address = "127.0.0.1:9301"`, `address = "unix:/run/php.sock"`)
	if _, errs := ParseAppliance("a.toml", text); len(errs) > 0 {
		t.Errorf("member on a Unix socket: errors %v, want none", errs)
	}
}
