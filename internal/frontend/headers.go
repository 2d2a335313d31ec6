package frontend

import (
	"net/http"
	"slices"
	"strings"
)

// Headers of the platform's protocol, as canonical header keys.
const (
	headerRequestID      = "X-Request-Id"
	headerClass          = "X-Priority-Class"
	headerTenant         = "X-Tenant-Id"
	headerTimeout        = "X-Timeout"
	headerRetried        = "X-Retried" // "1" marks a request that the client has sent before
	headerIdempotencyKey = "Idempotency-Key"
)

// hopByHopHeaders are the headers that apply to a single connection (RFC 9110, 7.6.1) and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// headersNotInTrailers are used for framing, routing, authentication or content processing (RFC 9110, 6.5.1). They and
// hopByHopHeaders are removed from a trailer section before it is forwarded. If a client's trailer section contains one
// of the few fields that httpwire forbids (forbiddenInTrailer), the response is 400 instead.
var headersNotInTrailers = []string{
	"Host", "Content-Type", "Content-Encoding", "Authorization", "Set-Cookie", "Content-Range",
}

// RemoveHopByHopHeaders removes hop-by-hop headers from h, including those listed in Connection, and returns h.
func RemoveHopByHopHeaders(h http.Header) http.Header {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
	return h
}

// ForwardedTrailer returns the fields of a trailer section that may be forwarded, nil if the section is empty.
func ForwardedTrailer(trailer http.Header) http.Header {
	if len(trailer) == 0 {
		return nil
	}
	forwarded := http.Header{}
	for name, values := range trailer {
		if !slices.Contains(hopByHopHeaders, name) && !slices.Contains(headersNotInTrailers, name) {
			forwarded[name] = values
		}
	}
	return forwarded
}

// countFields returns the number of field lines in a header.
func countFields(h http.Header) (n int) {
	for _, values := range h {
		n += len(values)
	}
	return n
}
