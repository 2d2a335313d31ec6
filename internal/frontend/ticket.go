package frontend

import (
	"net/http"
	"strings"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/body"
	"dunemoor/internal/engine"
	"dunemoor/internal/route"
)

const (
	// MaxBodyBytes is the maximum length in bytes of a request body in the platform's protocol.
	MaxBodyBytes = 32 << 20
	// MaxBufferedBytes is the maximum length in bytes of a request body on a route without Streams, where the whole
	// body is buffered. It is also the maximum number of unread body bytes that are read and discarded to keep a
	// connection open.
	MaxBufferedBytes = 64 << 10
	// maxBufferedNearLimit is the maximum number of bytes of a streamed body that are buffered while the memory budget
	// for bodies is nearly used up.
	maxBufferedNearLimit = 4 << 10
)

// Ticket is an admitted request. It owns the resources that the request holds until its end: its id, its share of the
// limits, and the memory for its body. It must only be used by the goroutine that serves the request.
type Ticket struct {
	engine.Request
	admission *Admission
	snapshot  *engine.Snapshot
	id        string        // the id that is marked as open in the Admission, "" if there is none
	timeout   time.Duration // time from the last byte of the request to the client's timeout

	clientKey     uint64 // key of the client in the client limits; 0 if the client is unknown
	clientCounted bool   // the request is counted as in flight in the client limits
	tenantCounted bool   // the request is counted as in flight in the tenant limits
	tenantIndex   int    // index of the tenant in the tenant limits

	reservedBytes int64  // bytes reserved in the memory budget for the body
	page          []byte // memory allocated by AllocBody, nil if there is none
}

// prepare validates a request, selects its route and applies the limits. It sets the fields of engine.Request other
// than those for the body and the deadline.
func (t *Ticket) prepare(m *Message, received time.Time) error {
	t.Method = m.Method
	t.Target = originForm(m.Target)
	t.Host = m.Host
	t.Header = m.Header
	if err := t.findRoute(m); err != nil {
		return err
	}
	if err := t.checkLength(m.Length); err != nil {
		return err
	}
	if limit := t.admission.HeaderLimit(); countFields(m.Header) > limit {
		return NewTooManyHeadersError(limit)
	}
	if t.Route.Plain != nil {
		return t.preparePlain(m)
	}
	return t.preparePlatform(m, received)
}

// findRoute sets the route of a request, and the key by which the route's traffic split is decided.
func (t *Ticket) findRoute(m *Message) error {
	if t.snapshot.Table == nil {
		t.Route = t.snapshot.Route(nil)
		return nil
	}
	host := m.Host
	if m.Target != "" && m.Target[0] != '/' {
		host = m.HostHeader
	}
	host, path, err := route.ParseTarget(m.Target, host)
	if err != nil {
		return NewRequestError(http.StatusBadRequest, "%v", err)
	}
	t.Route = t.snapshot.Route(&route.Request{Method: m.Method, Host: host, Path: path, Header: t.headerValue})
	if t.Route == nil {
		return NewRequestError(http.StatusNotFound, "no route takes it")
	}
	if name := t.Route.SplitBy(); name != "" {
		t.Key, _ = t.headerValue(name)
	}
	return nil
}

// headerValue returns the value of a header, with its field lines joined, and whether the request has the header.
func (t *Ticket) headerValue(name string) (string, bool) {
	values, found := t.Header[http.CanonicalHeaderKey(name)]
	if len(values) == 1 {
		return values[0], true
	}
	return strings.Join(values, ", "), found
}

// checkLength checks the length of a body in bytes against the limit of the route. A length of -1 means unknown, which
// is an error on a route without Streams.
func (t *Ticket) checkLength(length int64) error {
	limit := int64(MaxBufferedBytes)
	if streams := t.Route.Streams; streams != nil {
		limit = streams.MaxBodyBytes
	} else if length < 0 {
		return NewRequestError(http.StatusBadRequest, "the body needs a Content-Length")
	}
	if limit > 0 && length > limit {
		return NewBodyTooLongError(limit)
	}
	return nil
}

// ReserveBody reserves n bytes of the memory budget for the body. They are released once no attempt uses the body any
// more.
func (t *Ticket) ReserveBody(n int64) error {
	if !t.admission.Bodies.Reserve(body.RequestBodies, n) {
		return NewRequestError(http.StatusServiceUnavailable, "too much is being held, trying again is harmless")
	}
	t.reservedBytes += n
	t.Done = t.releaseBody
	return nil
}

// AllocBody reserves n bytes of the memory budget for the body and returns a buffer of that size.
func (t *Ticket) AllocBody(n int64) ([]byte, error) {
	if err := t.ReserveBody(n); err != nil {
		return nil, err
	}
	t.page = body.AllocPage(n)
	return t.page, nil
}

// releaseBody drops the buffered part of the body and releases its memory. It is called by the engine, because an attempt
// may still use the body after the response has been sent to the client.
func (t *Ticket) releaseBody() {
	t.Body.Release()
	t.admission.Bodies.Release(body.RequestBodies, t.reservedBytes)
	if t.page != nil {
		body.FreePage(t.page)
		t.page = nil
	}
}

// MaxBuffered returns the number of bytes of its body that a request on a route with Streams may currently buffer.
func (t *Ticket) MaxBuffered() int64 {
	limit := t.Route.Streams.BufferBytes
	if t.admission.Bodies.NearLimit(body.RequestBodies) {
		return min(limit, maxBufferedNearLimit)
	}
	return limit
}

// SetReceived sets the time at which the last byte of the request was received; the timeout starts then. If the body is
// streamed, it is the time at which the buffered part was received, and SetBodyReceived is called later.
func (t *Ticket) SetReceived(at time.Time) {
	t.Deadline = t.responseDue(at)
	t.Timeout = t.Deadline.Sub(at)
}

// SetBodyReceived sets the time at which the last byte of a streamed body was received. It is called after the request
// has been passed to the engine. If it returns false the request has been rejected, and the last byte must not be sent.
func (t *Ticket) SetBodyReceived(at time.Time) bool { return t.BodyArrived(t.responseDue(at)) }

// BoundArrival bounds the time for the response to a request whose body is streamed, by what is known of its arrival. On
// plain routes only the route's pace bounds an upload, as for other proxies.
func (t *Ticket) BoundArrival(arrival engine.BodyArrival) {
	if t.Route.Plain == nil {
		t.BodyArrival = arrival
	}
}

// responseDue returns the time at which the response is due for a request that was received at the given time. It is
// balancer.ClientMargin before the client's timeout.
func (t *Ticket) responseDue(received time.Time) time.Time {
	return received.Add(t.timeout - balancer.ClientMargin)
}

// Discard ends a request that is not passed to the engine, and releases the memory of its body.
func (t *Ticket) Discard() {
	t.releaseBody()
	t.reservedBytes = 0
	t.End()
}

// End ends a request once its response has been sent or its client has disconnected.
func (t *Ticket) End() {
	if stream := t.Body.Stream(); stream != nil {
		stream.Close()
	}
	t.releaseLimits()
	if t.id != "" {
		t.admission.endID(t.id)
	}
	t.snapshot.Release()
}
