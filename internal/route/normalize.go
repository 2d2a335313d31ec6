// Package route decides which route a request takes, which pool serves it, and how much of a pool's traffic fails
// over when its hosts fail. It does no I/O, starts no goroutine and reads no clock. It selects only the pool; the
// balancer of the pool selects the host, and decides on retries and rejections.
package route

import (
	"errors"
	"strings"
)

// Errors of requests whose route is ambiguous. The response is 400: a path that the gateway interprets in one way and
// a host in another would bypass the routes.
var (
	ErrAmbiguousPath    = errors.New("the path can't be matched without doubt")
	ErrMalformedHost    = errors.New("the host can't be read")
	ErrConflictingHosts = errors.New("the request target and the Host header name different hosts")
	ErrTooManySegments  = errors.New("the path has too many segments")
)

// maxSegments bounds the segments of a path, so that a match needs only an array of fixed size. Usual requests have
// fewer than ten.
const maxSegments = 64

// NormalizePath returns the normal form of a path, in which paths are matched. It takes the path of an origin-form
// target, without its query. Escapes of unreserved characters are decoded (RFC 3986, 6.2.2.2). A path that could be
// interpreted in two ways is rejected with ErrAmbiguousPath: segments of one or two dots, with or without a path
// parameter; empty segments except a last one; escaped slashes and backslashes; backslashes; malformed escapes;
// control characters; and unescaped bytes that are not ASCII. A path in normal form is returned as it is, without
// allocating.
func NormalizePath(path string) (string, error) {
	if path == "" || path[0] != '/' {
		return "", ErrAmbiguousPath
	}
	escaped := false
	for i := 0; i < len(path); i++ {
		switch c := path[i]; {
		case c == '%':
			decoded, ok := decodeEscape(path[i:])
			if !ok || decoded == '/' || decoded == '\\' || decoded < ' ' || decoded == 0x7f {
				return "", ErrAmbiguousPath
			}
			escaped = true
			i += 2
		case c <= ' ' || c >= 0x7f || c == '\\' || c == '#' || c == '?':
			return "", ErrAmbiguousPath
		}
	}
	if escaped {
		path = unescape(path)
	}
	depth := 0
	for rest := path[1:]; ; depth++ {
		segment, after, more := strings.Cut(rest, "/")
		switch {
		case isDots(segment) || segment == "" && more:
			return "", ErrAmbiguousPath
		case depth >= maxSegments:
			return "", ErrTooManySegments
		case !more:
			return path, nil
		}
		rest = after
	}
}

// isDots reports whether any server may interpret a segment as one or two dots. Some treat what follows a semicolon
// as a parameter (RFC 3986, 3.3), and would interpret "..;x" as the parent.
func isDots(segment string) bool {
	if len(segment) < 1 || segment[0] != '.' {
		return false
	}
	name, _, _ := strings.Cut(segment, ";")
	name, _, _ = strings.Cut(name, "%3B") // servers that decode escapes first interpret it as a semicolon
	return name == "." || name == ".."
}

// decodeEscape returns the byte of the escape at the beginning of a text, such as "%2F". ok is false if there is
// none.
func decodeEscape(s string) (decoded byte, ok bool) {
	if len(s) < 3 || s[0] != '%' {
		return 0, false
	}
	high := hexValue(s[1])
	low := hexValue(s[2])
	if high < 0 || low < 0 {
		return 0, false
	}
	return byte(high<<4 | low), true
}

// unescape decodes the escapes of unreserved characters, and converts the others to upper case. The path must have no
// malformed escapes.
func unescape(path string) string {
	var b strings.Builder
	b.Grow(len(path))
	for i := 0; i < len(path); i++ {
		if path[i] != '%' {
			b.WriteByte(path[i])
			continue
		}
		decoded, _ := decodeEscape(path[i:])
		if isUnreserved(decoded) {
			b.WriteByte(decoded)
		} else {
			b.WriteString(strings.ToUpper(path[i : i+3]))
		}
		i += 2
	}
	return b.String()
}

// isUnreserved reports whether c is unreserved in URIs (RFC 3986, 2.3).
func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' ||
		c == '-' || c == '.' || c == '_' || c == '~'
}

// hexValue returns the value of a hexadecimal digit, -1 for others.
func hexValue(c byte) int {
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

// maxHostBytes is the length of the longest name in DNS (RFC 1035, 2.3.4).
const maxHostBytes = 253

// NormalizeHost returns the normal form of a host, in which hosts are matched: lower case, without a port and without the
// dot of the root. An IPv6 address keeps its brackets. A host in normal form is returned without allocating.
func NormalizeHost(host string) (string, error) {
	if strings.HasPrefix(host, "[") {
		return normalizeIPv6(host)
	}
	if i := strings.IndexByte(host, ':'); i >= 0 {
		if !isPort(host[i:]) {
			return "", ErrMalformedHost
		}
		host = host[:i]
	}
	host = strings.TrimSuffix(host, ".")
	if host == "" || len(host) > maxHostBytes {
		return "", ErrMalformedHost
	}
	for i := range len(host) {
		c := host[i]
		if !isUnreserved(c) || c == '~' || c == '.' && (i == 0 || host[i-1] == '.') {
			return "", ErrMalformedHost
		}
	}
	return strings.ToLower(host), nil
}

// normalizeIPv6 returns the normal form of an IPv6 address in brackets, with or without a port.
func normalizeIPv6(host string) (string, error) {
	end := strings.IndexByte(host, ']')
	if end < 0 || !isPort(host[end+1:]) {
		return "", ErrMalformedHost
	}
	for _, c := range []byte(host[1:end]) {
		if hexValue(c) < 0 && c != ':' && c != '.' {
			return "", ErrMalformedHost
		}
	}
	return strings.ToLower(host[:end+1]), nil
}

// isPort reports whether a text is empty, or a colon with or without a port.
func isPort(s string) bool {
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

// ParseTarget returns the host and path of a request target and a Host header, both in normal form. An absolute-form
// target must have the same host as the header (by RFC 9112, 3.2.2, the target takes precedence; but other servers
// may use the header). The asterisk-form and the authority-form, which CONNECT has, are rejected with
// ErrAmbiguousPath.
func ParseTarget(target, header string) (host, path string, err error) {
	authority := ""
	if !strings.HasPrefix(target, "/") {
		scheme, rest, ok := strings.Cut(target, "://")
		if !ok || !strings.EqualFold(scheme, "http") && !strings.EqualFold(scheme, "https") {
			return "", "", ErrAmbiguousPath
		}
		authority = rest
		target = "/"
		end := strings.IndexAny(rest, "/?")
		if end >= 0 {
			authority = rest[:end]
		}
		if end >= 0 && rest[end] == '/' {
			target = rest[end:]
		}
	}
	if host, err = NormalizeHost(header); err != nil {
		return "", "", err
	}
	if authority != "" {
		named, err := NormalizeHost(authority)
		if err != nil {
			return "", "", err
		}
		if named != host {
			return "", "", ErrConflictingHosts
		}
	}
	target, _, _ = strings.Cut(target, "?")
	path, err = NormalizePath(target)
	return host, path, err
}
