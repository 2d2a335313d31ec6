package frontend

import (
	"net/http"
	"slices"
	"strings"
)

// Headers of the platform's protocol, in canonical form.
const (
	headerRequestID      = "X-Request-Id"
	headerClass          = "X-Priority-Class"
	headerTenant         = "X-Tenant-Id"
	headerTimeout        = "X-Timeout"
	headerRetried        = "X-Retried" // "1": the client says that it has sent the request before
	headerIdempotencyKey = "Idempotency-Key"
)

// hopByHopHeaders concern one connection only (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// headersNotInTrailers frame, route or authenticate a message, or say how to read its content (RFC 9110, 6.5.1). They and
// the hopByHopHeaders are dropped from a trailer section before it is forwarded. A client's trailer section that has one of
// the few that httpwire forbids (forbiddenInTrailer) is answered with 400 instead.
var headersNotInTrailers = []string{
	"Host", "Content-Type", "Content-Encoding", "Authorization", "Set-Cookie", "Content-Range",
}

// RemoveHopByHopHeaders removes the headers that are not forwarded, and returns h.
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

// ForwardedTrailer returns the fields of a trailer section that are forwarded.
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

// countFields returns the number of header fields, lines that is.
func countFields(h http.Header) (n int) {
	for _, values := range h {
		n += len(values)
	}
	return n
}
