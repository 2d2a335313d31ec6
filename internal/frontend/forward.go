package frontend

import (
	"net/http"
	"net/netip"
	"strings"
	"unicode/utf8"
)

// Headers that tell a host about its client: RFC 7239, and those in use before it.
const (
	headerForwarded      = "Forwarded"
	headerForwardedFor   = "X-Forwarded-For"
	headerForwardedProto = "X-Forwarded-Proto"
	headerForwardedHost  = "X-Forwarded-Host"
)

// ClientAddress is where a request came from.
type ClientAddress struct {
	// Addr is the address of the connection's peer or, if that is a trusted proxy, the one that it names in a PROXY
	// header (package http1) or in REMOTE_ADDR (package fastcgi). X-Forwarded-For is not considered here but in
	// rateLimitAddr.
	Addr    netip.Addr
	Trusted bool   // a trusted proxy: its headers about its own client are forwarded
	Proto   string // "http" or "https"
}

// SetForwardedHeaders adds the client's address to the headers that tell a host about it. Values of these headers
// from a client that is not trusted are removed first, as it could name any address.
func SetForwardedHeaders(h http.Header, client ClientAddress, host string) {
	if !client.Trusted {
		for _, name := range []string{headerForwarded, headerForwardedFor, headerForwardedProto, headerForwardedHost} {
			delete(h, name)
		}
	}
	addr := client.Addr.Unmap().WithZone("").String()
	appendToList(h, headerForwardedFor, addr)
	if len(h[headerForwardedProto]) == 0 {
		h[headerForwardedProto] = []string{client.Proto}
	}
	if len(h[headerForwardedHost]) == 0 {
		h[headerForwardedHost] = []string{host}
	}
	node := addr
	if client.Addr.Unmap().Is6() {
		node = `"[` + addr + `]"` // RFC 7239, 6: quoted, as it has colons
	}
	appendToList(h, headerForwarded, "for="+node+";host="+quoteHost(host)+";proto="+client.Proto)
}

// appendToList appends a value to a header that is a list, and joins its lines to one.
func appendToList(h http.Header, name, value string) {
	if old := h[name]; len(old) > 0 {
		value = strings.Join(old, ", ") + ", " + value
	}
	h[name] = []string{value}
}

// quoteHost returns a host as a value of the Forwarded header, quoted unless it is a token (RFC 7239, 4).
func quoteHost(host string) string {
	if !strings.ContainsFunc(host, needsQuotes) {
		return host
	}
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(host) + `"`
}

// needsQuotes reports whether a character of a host can't stand in a token.
func needsQuotes(r rune) bool {
	switch {
	case r == '.', r == '-', r == '_':
		return false
	default:
		return r >= utf8.RuneSelf || !isAlphanumeric(byte(r))
	}
}

// isAlphanumeric reports whether c is an ASCII letter or digit.
func isAlphanumeric(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
}
