package frontend

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"dunemoor/balancer"
)

// preparePlain is prepare for a request on a plain route, which needs none of the platform's headers: its class and
// timeout are the route's, and it gets an id if it has none. An id of the client's own is forwarded, and need not be
// unique.
func (t *Ticket) preparePlain(m *Message) error {
	limit := t.admission.MaxHeaders
	if limit > 0 && countFields(m.Header) > limit {
		return NewRequestError(http.StatusRequestHeaderFieldsTooLarge, "more than %d headers", limit)
	}
	plain := t.Route.Plain
	t.Class = plain.Class
	if !t.mayBeRetried(m) {
		t.Class = plain.NonIdempotentClass
	}
	if retried := m.Header[headerRetried]; len(retried) == 1 && retried[0] == "1" {
		t.Duplicate = true
	}
	if err := t.applyLimits(m); err != nil {
		return err
	}
	t.timeout = t.plainTimeout(m.Header[headerTimeout])
	RemoveHopByHopHeaders(t.Header)
	delete(t.Header, headerTimeout) // hosts get a timeout of their own
	if m.Client.Addr.IsValid() {
		SetForwardedHeaders(t.Header, m.Client, m.Host)
	}
	plain.RequestHeaders.Apply(t.Header)
	if id := m.Header[headerRequestID]; len(id) != 1 || !isValidID(id[0]) {
		t.Header[headerRequestID] = []string{fmt.Sprintf("%016x", rand.Uint64())}
	}
	return nil
}

// mayBeRetried reports whether the method allows a request to be sent again: a safe method does (RFC 9110, 9.2.1), and
// else, for a class that is idempotent with a key, the key, and for other classes the route.
func (t *Ticket) mayBeRetried(m *Message) bool {
	switch m.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	plain := t.Route.Plain
	if t.Route.Classes[plain.Class].Idempotency == balancer.IdempotentWithKey {
		key := m.Header[headerIdempotencyKey]
		return len(key) == 1 && key[0] != ""
	}
	return slices.Contains(plain.RetryableMethods, m.Method)
}

// plainTimeout returns the timeout of a request on a plain route: the route's or the deadline of its class, or what
// the client asks for if that is shorter.
func (t *Ticket) plainTimeout(header []string) time.Duration {
	timeout := min(t.Route.Plain.Timeout, t.Route.Classes[t.Class].Deadline)
	if len(header) != 1 {
		return timeout
	}
	seconds, ok := parseSeconds(header[0])
	if !ok || seconds >= timeout.Seconds() {
		return timeout
	}
	return time.Duration(seconds * float64(time.Second))
}
