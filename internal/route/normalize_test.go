package route

import (
	"errors"
	"strings"
	"testing"
)

// Paths that another server may interpret differently are rejected.
func TestNormalizePathRejectsAmbiguousPaths(t *testing.T) {
	for path, want := range map[string]string{
		"/":                                 "/",
		"/a/b":                              "/a/b",
		"/a/":                               "/a/",
		"/%61%2D%7e":                        "/a-~",
		"/a%20b%c3%a9":                      "/a%20b%C3%A9",
		"/a;v=1,2":                          "/a;v=1,2",
		"/...":                              "/...",
		"/a%2Eb":                            "/a.b",
		"":                                  "",
		"a":                                 "",
		"*":                                 "",
		"/a/../b":                           "",
		"/a/..":                             "",
		"/./a":                              "",
		"/%2e%2E/a":                         "",
		"/.%2e":                             "",
		"/deep/..;/x":                       "",
		"/deep/.;a=1/x":                     "",
		"/deep/..;x":                        "",
		"/deep/%2e.;/x":                     "",
		"/deep/..%3b/x":                     "",
		"/deep/..a;/x":                      "/deep/..a;/x",
		"//a":                               "",
		"/a//b":                             "",
		"/a%2Fb":                            "",
		"/a%2fb":                            "",
		"/a%5cb":                            "",
		"/a\\b":                             "",
		"/a%00":                             "",
		"/a%0d%0a":                          "",
		"/a%":                               "",
		"/a%4":                              "",
		"/a%zz":                             "",
		"/a b":                              "",
		"/a\x00":                            "",
		"/é":                                "",
		"/a#b":                              "",
		strings.Repeat("/a", maxSegments+1): "",
	} {
		got, err := NormalizePath(path)
		if got != want || (err == nil) != (want != "") {
			t.Errorf("NormalizePath(%q) = %q, %v, want %q", path, got, err, want)
		}
	}
}

func TestNormalizeHostRejectsMalformedHosts(t *testing.T) {
	for host, want := range map[string]string{
		"Example.ORG": "example.org", "a.b.": "a.b", "a:80": "a", "a:": "a", "[::1]:80": "[::1]", "[::A]": "[::a]", "127.0.0.1:9": "127.0.0.1",
		"": "", ".": "", "a..b": "", ".a": "", "a:b": "", "a:999999": "", "[::1": "", "[x]": "", "a b": "", "a/b": "", "u@h": "", "a%41": "",
		strings.Repeat("a", 254): "",
	} {
		got, err := NormalizeHost(host)
		if got != want || (err == nil) != (want != "") {
			t.Errorf("NormalizeHost(%q) = %q, %v, want %q", host, got, err, want)
		}
	}
}

// Targets whose host or path different servers may interpret differently are rejected.
func TestParseTargetRejectsAmbiguousTargets(t *testing.T) {
	for _, c := range []struct {
		target, header, host, path string
		err                        error
	}{
		{"/a?x=/../", "H.org:80", "h.org", "/a", nil},
		{"http://h.org:80/a", "H.ORG", "h.org", "/a", nil},
		{"HTTP://h.org", "h.org", "h.org", "/", nil},
		{"http://h.org?q", "h.org", "h.org", "/", nil},
		{"http://other/a", "h.org", "", "", ErrConflictingHosts},
		{"ftp://h.org/a", "h.org", "", "", ErrAmbiguousPath},
		{"h.org:443", "h.org", "", "", ErrAmbiguousPath},
		{"*", "h.org", "", "", ErrAmbiguousPath},
		{"/a", "", "", "", ErrMalformedHost},
		{"http://u:p@h.org/", "h.org", "", "", ErrMalformedHost},
	} {
		host, path, err := ParseTarget(c.target, c.header)
		if !errors.Is(err, c.err) || err == nil && (host != c.host || path != c.path) {
			t.Errorf("ParseTarget(%q, %q) = %q, %q, %v, want %q, %q, %v",
				c.target, c.header, host, path, err, c.host, c.path, c.err)
		}
	}
}
