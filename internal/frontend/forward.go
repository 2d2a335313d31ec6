package frontend

import (
	"net/http"
	"net/netip"
	"strings"
)

// Headers that tell a host of its client (RFC 7239, and those from before it).
const (
	headForwarded = "Forwarded"
	headFor       = "X-Forwarded-For"
	headProto     = "X-Forwarded-Proto"
	headHost      = "X-Forwarded-Host"
)

// ClientAddress is who a request came from.
type ClientAddress struct {
	Addr    netip.Addr
	Trusted bool   // what it says of its own client is passed on
	Proto   string // "http" or "https"
}

// SetForwardedHeaders tells the host whom a request came from. What the peer says of that itself is
// added to where it is trusted, and is dropped else: a client could name anyone.
func SetForwardedHeaders(h http.Header, p ClientAddress, host string) {
	if !p.Trusted {
		for _, name := range []string{headForwarded, headFor, headProto, headHost} {
			delete(h, name)
		}
	}
	addr := p.Addr.Unmap().WithZone("").String()
	join := func(name, value string) {
		if old := h[name]; len(old) > 0 {
			value = strings.Join(old, ", ") + ", " + value
		}
		h[name] = []string{value}
	}
	join(headFor, addr)
	if len(h[headProto]) == 0 {
		h[headProto] = []string{p.Proto}
	}
	if len(h[headHost]) == 0 {
		h[headHost] = []string{host}
	}
	node := addr
	if p.Addr.Unmap().Is6() {
		node = "\"[" + addr + "]\"" // RFC 7239, 6: a colon wants quotes
	}
	join(headForwarded, "for="+node+";host="+quoted(host)+";proto="+p.Proto)
}

// quoted is a host as RFC 7239, 4 wants it: quoted where it is more than a token.
func quoted(host string) string {
	for _, c := range []byte(host) {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '.' || c == '-' || c == '_') {
			return "\"" + strings.NewReplacer("\\", "\\\\", "\"", "\\\"").Replace(host) + "\""
		}
	}
	return host
}
