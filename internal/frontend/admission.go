// Package frontend has what the frontends of all protocols share. An Admission checks each request, finds its route,
// applies the limits and the memory budget, and returns a Ticket, which the frontend hands to the engine and ends once
// the client has its response. The package also has the health check, the state of a drain, and the listeners. It
// decides nothing about hosts.
package frontend

import (
	"net/http"
	"sync/atomic"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/drain"
	"dunemoor/internal/engine"
)

// Message is a client's request without its body, as received.
type Message struct {
	Method     string
	Target     string // request target, byte for byte
	Host       string // of the target, or else of the Host header
	HostHeader string
	Header     http.Header
	Length     int64 // of the body in bytes; -1: unknown
	Client     ClientAddress
	HTTP10     bool // received in HTTP/1.0, which the platform's protocol excludes
}

// Admission admits requests from all frontends of a gateway. It owns the ids of open requests. Its methods may be
// called by any goroutine. Its fields are set before the first request.
type Admission struct {
	Engine     *engine.Engine
	Bodies     *body.Budget // memory for the bodies of requests and responses
	MaxHeaders int          // header fields of a request on a plain route; 0: any number
	Limits     *Limits      // nil: none

	notReady     atomic.Bool // no endpoint list has been received yet
	stopping     atomic.Bool
	drain        atomic.Pointer[drain.Drain] // nil: none is in progress
	drainStarted chan struct{}               // has an item when a drain has started since the last receive
	ids          requestIDs
}

// NewAdmission returns an Admission that is ready.
func NewAdmission(e *engine.Engine, bodies *body.Budget) *Admission {
	return &Admission{Engine: e, Bodies: bodies, drainStarted: make(chan struct{}, 1)}
}

// Admit checks a request that was received at a time, finds its route and applies the limits. It rejects what hosts
// can't read. The error is a *RequestError or a *RejectedError. Without an error the caller calls Ticket.End once the
// client has its response, or Ticket.Discard if the request is not handed to the engine.
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

// Stop makes the responses to all requests, also to those that are open, due at a time. The health check fails from
// now on.
func (a *Admission) Stop(due time.Time) {
	a.stopping.Store(true)
	a.Engine.Stop(due)
}
