package frontend

import (
	"net/http"
	"net/netip"
	"strings"
	"unicode/utf8"
)

// Headers that carry information about the client to a host: Forwarded (RFC 7239) and its de facto predecessors.
const (
	headerForwarded      = "Forwarded"
	headerForwardedFor   = "X-Forwarded-For"
	headerForwardedProto = "X-Forwarded-Proto"
	headerForwardedHost  = "X-Forwarded-Host"
)

// ClientAddress describes the origin of a request.
type ClientAddress struct {
	// Addr is the address of the connection's peer. If the peer is a trusted proxy, it is the address in the PROXY
	// header (package http1) or in REMOTE_ADDR (package fastcgi). X-Forwarded-For is not evaluated here but in
	// rateLimitAddr.
	Addr    netip.Addr
	Trusted bool   // the peer is a trusted proxy, whose headers about its own client are forwarded
	Proto   string // "http" or "https"
}

// SetForwardedHeaders adds the client's address, host and protocol to the forwarding headers. If the client is not
// trusted, existing values of these headers are removed first, because they could be forged.
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
		node = `"[` + addr + `]"` // quoted because of the colons (RFC 7239, 6)
	}
	appendToList(h, headerForwarded, "for="+node+";host="+quoteHost(host)+";proto="+client.Proto)
}

// appendToList appends a value to a list-valued header and joins its field lines into one.
func appendToList(h http.Header, name, value string) {
	if old := h[name]; len(old) > 0 {
		value = strings.Join(old, ", ") + ", " + value
	}
	h[name] = []string{value}
}

// quoteHost returns a host in the syntax of the Forwarded header, as a quoted string unless it is a token (RFC 7239,
// 4).
func quoteHost(host string) string {
	if !strings.ContainsFunc(host, needsQuotes) {
		return host
	}
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(host) + `"`
}

// needsQuotes reports whether a character of a host requires quoting, as it may not be allowed in a token.
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
