// Package frontend contains the code that the frontends of all protocols share. An Admission validates each request,
// selects its route, applies the limits and the memory budget, and returns a Ticket. The frontend passes the Ticket to
// the engine and ends it once the response has been sent to the client. The package also contains the health check, the
// drain state and the listeners. Host selection is left to the engine.
package frontend

import (
	"cmp"
	"net/http"
	"sync/atomic"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/drain"
	"dunemoor/internal/engine"
)

// Message is a client's request without its body, as the frontend received it.
type Message struct {
	Method     string
	Target     string // the request target, unmodified
	Host       string // the host in the target if it has one, otherwise the value of the Host header
	HostHeader string // the value of the Host header
	Header     http.Header
	Length     int64 // length of the body in bytes; -1 if unknown
	Client     ClientAddress
	HTTP10     bool // the request is HTTP/1.0, which the platform's protocol does not allow
}

// Admission admits requests from all frontends of a gateway and tracks the ids of open requests. Its methods are safe
// for concurrent use. Its exported fields must be set before the first request.
type Admission struct {
	Engine     *engine.Engine
	Bodies     *body.Budget // memory budget for the bodies of requests and responses
	MaxHeaders int          // maximum number of header fields of a request; 0 means DefaultMaxHeaders
	Limits     *Limits      // nil means that no limits apply

	longestDeadline atomic.Int64 // a time.Duration

	notReady     atomic.Bool                 // no endpoint list has been received yet
	stopping     atomic.Bool                 // Stop has been called
	drain        atomic.Pointer[drain.Drain] // the drain in progress, nil if there is none
	drainStarted chan struct{}               // buffered; holds an item if a drain has started since the last receive
	ids          requestIDs
	sharedIDs    atomic.Pointer[SharedIDs]
	events       eventLog
}

// DefaultMaxHeaders is the default of Admission.MaxHeaders. A field takes some 150 bytes of memory, however short it is.
const DefaultMaxHeaders = 100

// HeaderLimit returns the maximum number of header fields of a request, without Host. Frontends check it before they build a
// header, as the memory for many fields is a multiple of their length.
func (a *Admission) HeaderLimit() int { return cmp.Or(a.MaxHeaders, DefaultMaxHeaders) }

// NewTooManyHeadersError returns the error of a request with more header fields than a limit.
func NewTooManyHeadersError(limit int) error {
	return NewRequestError(http.StatusRequestHeaderFieldsTooLarge, "more than %d headers", limit)
}

// NewAdmission returns an Admission without limits.
func NewAdmission(e *engine.Engine, bodies *body.Budget) *Admission {
	return &Admission{Engine: e, Bodies: bodies, drainStarted: make(chan struct{}, 1)}
}

// Admit validates a request that was received at the given time, selects its route and applies the limits. Requests
// that hosts could not parse are invalid. The error is a *RequestError or a *RejectedError. On success the caller must
// call Ticket.End once the response has been sent, or Ticket.Discard if the request is not passed to the engine.
func (a *Admission) Admit(m *Message, received time.Time) (*Ticket, error) {
	snapshot := a.Engine.Snapshot()
	if snapshot == nil {
		return nil, NewRequestError(http.StatusServiceUnavailable, "starting")
	}
	t := &Ticket{admission: a, snapshot: snapshot}
	if err := t.prepare(m, received); err != nil {
		t.releaseLimits()
		snapshot.Release()
		return nil, err
	}
	return t, nil
}

// OpenIDs returns the number of ids in use by open requests.
func (a *Admission) OpenIDs() int { return a.ids.numOpen() }

// Stop makes the responses to all requests, including those that are open, due no later than the given time. The health
// check fails from then on.
func (a *Admission) Stop(due time.Time) {
	a.stopping.Store(true)
	a.Engine.Stop(due)
}
