// Package route says which route a request takes, which pool serves it, and how much of a
// pool's traffic goes elsewhere when its hosts fail. It does no I/O, starts no goroutine and
// reads no clock. What it decides is which pool; which host of the pool, whether to try
// again and what is turned away is the decision module's.
package route

import (
	"errors"
	"strings"
)

// Errors of requests that can't be matched without doubt. They are answered 400: a path
// that the gateway reads one way and a host another would get round the routes.
var (
	ErrPath    = errors.New("the path can't be matched without doubt")
	ErrHost    = errors.New("the host can't be read")
	ErrHosts   = errors.New("the request target and the Host header name different hosts")
	ErrTooDeep = errors.New("the path has too many segments")
)

// maxSegments bounds the segments of a path, so that a match needs a fixed stack. Requests
// of this kind have fewer than ten.
const maxSegments = 64

// Path gives the one form that paths are matched in. It takes the path of an origin-form
// target, without its query. Escapes of unreserved characters are undone (RFC 3986, 6.2.2.2);
// all that could be read in two ways is ErrPath: segments of one or two dots, with a path
// parameter behind them or none, empty segments but a last one, escaped slashes and backslashes, backslashes, escapes that are none,
// control characters, and what is not ASCII unescaped. A path that is in that form already
// is returned as it is, without allocating.
func Path(path string) (string, error) {
	if path == "" || path[0] != '/' {
		return "", ErrPath
	}
	escaped := false
	for i := 0; i < len(path); i++ {
		switch c := path[i]; {
		case c == '%':
			if i+2 >= len(path) || hex(path[i+1]) < 0 || hex(path[i+2]) < 0 {
				return "", ErrPath
			}
			x := byte(hex(path[i+1])<<4 | hex(path[i+2]))
			if x == '/' || x == '\\' || x < ' ' || x == 0x7f {
				return "", ErrPath
			}
			escaped = true
			i += 2
		case c <= ' ' || c >= 0x7f || c == '\\' || c == '#' || c == '?':
			return "", ErrPath
		}
	}
	if escaped {
		path = unescape(path)
	}
	depth := 0
	for rest := path[1:]; ; depth++ {
		segment, after, more := strings.Cut(rest, "/")
		switch {
		case dots(segment) || segment == "" && more:
			return "", ErrPath
		case depth >= maxSegments:
			return "", ErrTooDeep
		case !more:
			return path, nil
		}
		rest = after
	}
}

// dots says whether a segment is one or two dots, to any server: some take what follows a
// semicolon for a parameter and look at the rest (RFC 3986, 3.3), and so would read "..;x" as
// a step up.
func dots(segment string) bool {
	if len(segment) < 1 || segment[0] != '.' {
		return false
	}
	name, _, _ := strings.Cut(segment, ";")
	name, _, _ = strings.Cut(name, "%3B") // which is one to those who undo escapes first
	return name == "." || name == ".."
}

// unescape undoes the escapes of unreserved characters and spells the others alike.
func unescape(path string) string {
	var b strings.Builder
	b.Grow(len(path))
	for i := 0; i < len(path); i++ {
		if path[i] != '%' {
			b.WriteByte(path[i])
			continue
		}
		if x := byte(hex(path[i+1])<<4 | hex(path[i+2])); unreserved(x) {
			b.WriteByte(x)
		} else {
			b.WriteString(strings.ToUpper(path[i : i+3]))
		}
		i += 2
	}
	return b.String()
}

// unreserved is RFC 3986, 2.3.
func unreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' ||
		c == '-' || c == '.' || c == '_' || c == '~'
}

func hex(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c && c <= 'f':
		return int(c-'a') + 10
	case 'A' <= c && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

// maxHost is the longest name that DNS has (RFC 1035, 2.3.4).
const maxHost = 253

// Host gives the one form that hosts are matched in: lower case, without a port and without
// the dot of the root. An IPv6 address keeps its brackets. A host in that form already is
// returned without allocating.
func Host(host string) (string, error) {
	if strings.HasPrefix(host, "[") {
		end := strings.IndexByte(host, ']')
		if end < 0 || !port(host[end+1:]) {
			return "", ErrHost
		}
		for _, c := range []byte(host[1:end]) {
			if hex(c) < 0 && c != ':' && c != '.' {
				return "", ErrHost
			}
		}
		return strings.ToLower(host[:end+1]), nil
	}
	if i := strings.IndexByte(host, ':'); i >= 0 {
		if !port(host[i:]) {
			return "", ErrHost
		}
		host = host[:i]
	}
	host = strings.TrimSuffix(host, ".")
	if host == "" || len(host) > maxHost {
		return "", ErrHost
	}
	for i := range len(host) {
		c := host[i]
		if !unreserved(c) || c == '~' || c == '.' && (i == 0 || host[i-1] == '.') {
			return "", ErrHost
		}
	}
	return strings.ToLower(host), nil
}

// port says whether a text is empty or a colon and a port, which may be missing.
func port(s string) bool {
	if s == "" {
		return true
	}
	if s[0] != ':' || len(s) > 6 {
		return false
	}
	for _, c := range []byte(s[1:]) {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// Target takes a request target and a Host header apart into the host and path to be
// matched, both in their one form. An absolute-form target must name the host that the
// header does (RFC 9112, 3.2.2 has the target win; where they differ, others in the chain
// may think otherwise). The asterisk-form and CONNECT's are ErrPath.
func Target(target, header string) (host, path string, err error) {
	authority := ""
	if !strings.HasPrefix(target, "/") {
		scheme, rest, ok := strings.Cut(target, "://")
		if !ok || !strings.EqualFold(scheme, "http") && !strings.EqualFold(scheme, "https") {
			return "", "", ErrPath
		}
		i := strings.IndexAny(rest, "/?")
		if i < 0 {
			authority, target = rest, "/"
		} else if authority, target = rest[:i], rest[i:]; target[0] == '?' {
			target = "/"
		}
	}
	if host, err = Host(header); err != nil {
		return "", "", err
	}
	if authority != "" {
		named, err := Host(authority)
		if err != nil {
			return "", "", err
		}
		if named != host {
			return "", "", ErrHosts
		}
	}
	target, _, _ = strings.Cut(target, "?")
	path, err = Path(target)
	return host, path, err
}
