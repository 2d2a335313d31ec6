package frontend

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"dunemoor/balancer"
)

// preparePlain implements prepare for a request on a plain route, where the headers of the platform's protocol are
// optional. The route determines the class and the timeout. A request without a valid id is assigned one; an id that
// the client has set is forwarded and does not have to be unique.
func (t *Ticket) preparePlain(m *Message) error {
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
	delete(t.Header, headerTimeout) // the gateway sets a separate timeout for each attempt
	if m.Client.Addr.IsValid() {
		SetForwardedHeaders(t.Header, m.Client, m.Host)
	}
	plain.RequestHeaders.Apply(t.Header)
	if id := m.Header[headerRequestID]; len(id) != 1 || !isValidID(id[0]) {
		t.Header[headerRequestID] = []string{fmt.Sprintf("%016x", rand.Uint64())}
	}
	return nil
}

// mayBeRetried reports whether a request may be sent again after a failure. Requests with a safe method (RFC 9110,
// 9.2.1) may. Otherwise, in a class that is idempotent with a key, those with a key may; in other classes, those with a
// method that the route lists as retryable.
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

// plainTimeout returns the timeout of a request on a plain route: the minimum of the route's timeout, the deadline of
// the class, and the timeout in the client's header, if that is valid.
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
