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
	// MaxBodyBytes is the longest body of a request in the platform's protocol.
	MaxBodyBytes = 32 << 20
	// MaxBufferedBytes is the longest body of a request on a route without Streams, which is buffered as a whole. It is
	// also the longest rest of a body that is read and discarded so that a connection can stay open.
	MaxBufferedBytes = 64 << 10
	// maxBufferedNearLimit is how much of a streamed body is buffered at most while memory for bodies is scarce.
	maxBufferedNearLimit = 4 << 10
)

// Ticket is an admitted request. It has what the request holds until its end: its id, its places in the limits, and
// memory for its body. It belongs to the goroutine that serves the request.
type Ticket struct {
	engine.Request
	admission *Admission
	snapshot  *engine.Snapshot
	id        string        // open in the Admission; "": none
	timeout   time.Duration // from the request's last byte to its response

	clientKey     uint64 // 0: unknown
	clientCounted bool   // in flight, in the limits of clients
	tenantCounted bool   // in flight, in the limits of tenants
	tenantIndex   int

	reservedBytes int64
	page          []byte
}

// prepare checks a request, finds its route and applies the limits. It sets what the engine needs of the request, other
// than its body and deadline.
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
	if t.Route.Plain != nil {
		return t.preparePlain(m)
	}
	return t.preparePlatform(m, received)
}

// findRoute sets the route of a request, and what its split goes by.
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

// headerValue returns the value of a header, with its lines joined, and whether the request has it.
func (t *Ticket) headerValue(name string) (string, bool) {
	values, found := t.Header[http.CanonicalHeaderKey(name)]
	if len(values) == 1 {
		return values[0], true
	}
	return strings.Join(values, ", "), found
}

// checkLength checks the length of a body in bytes, -1 if it is unknown, against the limit of the route.
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

// ReserveBody reserves n bytes of the memory budget for the body, until no attempt uses it any more.
func (t *Ticket) ReserveBody(n int64) error {
	if !t.admission.Bodies.Reserve(body.RequestBodies, n) {
		return NewRequestError(http.StatusServiceUnavailable, "too much is being held, trying again is harmless")
	}
	t.reservedBytes += n
	t.Done = t.releaseBody
	return nil
}

// AllocBody reserves n bytes for the body and returns memory for them.
func (t *Ticket) AllocBody(n int64) ([]byte, error) {
	if err := t.ReserveBody(n); err != nil {
		return nil, err
	}
	t.page = body.AllocPage(n)
	return t.page, nil
}

// releaseBody releases the memory of the body. The engine calls it, as an attempt may use the body after the client
// has its response.
func (t *Ticket) releaseBody() {
	t.admission.Bodies.Release(body.RequestBodies, t.reservedBytes)
	if t.page != nil {
		body.FreePage(t.page)
		t.page = nil
	}
}

// MaxBuffered returns how many bytes of its body a request on a route with Streams may buffer now.
func (t *Ticket) MaxBuffered() int64 {
	limit := t.Route.Streams.BufferBytes
	if t.admission.Bodies.NearLimit(body.RequestBodies) {
		return min(limit, maxBufferedNearLimit)
	}
	return limit
}

// SetReceived sets when the last byte of the request was received, which its timeout counts from. If the body is
// streamed, that is when its buffered part was, and SetBodyReceived follows.
func (t *Ticket) SetReceived(at time.Time) { t.Deadline = t.responseDue(at) }

// SetBodyReceived sets when the last byte of a streamed body was received. The request is at the engine by then.
func (t *Ticket) SetBodyReceived(at time.Time) { t.BodyArrived(t.responseDue(at)) }

// responseDue returns when the response to a request is due that was received at a time: balancer.ClientMargin before the
// client's timeout.
func (t *Ticket) responseDue(received time.Time) time.Time {
	return received.Add(t.timeout - balancer.ClientMargin)
}

// Discard ends a request that is not handed to the engine.
func (t *Ticket) Discard() {
	t.releaseBody()
	t.reservedBytes = 0
	t.End()
}

// End ends a request whose client has its response or has left.
func (t *Ticket) End() {
	if stream := t.Body.Stream(); stream != nil {
		stream.Close()
	}
	t.releaseLimits()
	if t.id != "" {
		t.admission.ids.end(t.id)
	}
	t.snapshot.Release()
}
