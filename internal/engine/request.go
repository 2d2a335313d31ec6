package engine

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/body"
)

// Request is a client's request with its one final response. A frontend fills in the first part and hands it
// over with Engine.Do; transports read it.
type Request struct {
	Method string
	Target string // path and query, byte for byte as received
	Host   string
	Header http.Header // as forwarded
	Body   body.Body

	// Upgrade is the protocol that the client asks to switch to, "" for none. The route has to allow it.
	Upgrade string
	// Inform, if set, passes on an informational response (1xx). It is called while the request is open, and
	// must not wait long.
	Inform func(status int, header http.Header)
	// Client, if set, is the client.
	Client Client
	// Done, if set, is called once the request is finished and no attempt uses its body any more.
	Done func()
	// WriteBy is when the current attempt has to be written to its last byte; zero: at any time. The loop
	// sets it before each attempt.
	WriteBy time.Time

	Route     *Route
	Class     int // as the pools of the route number them
	Tenant    int
	Duplicate bool      // the client says that it has sent the request before
	Deadline  time.Time // when the response is due
	Key       string    // a split keeps requests with the same key together; "": random

	bodyArrived  chan struct{} // receives once the last byte of a streamed body has arrived
	dueAfterBody atomic.Int64  // when the response is due after that, since processStart; 0: not known yet
	finished     atomic.Bool   // it has its response, or nobody waits: set once, by Close
	shutdown     *shutdown     // nil: it is at no engine
	response     chan Response // of whoever closed it

	// The following belongs to the loop.
	id             balancer.RequestID
	pool           *Pool
	attempts       []context.CancelFunc // in the current pool
	inFlight       int
	attemptsSent   int  // in all pools
	neverRan       bool // all attempts that have ended provably never ran
	neverConnected bool // ... as no connection was established
	streaming      bool // part of its body was passed on and is not kept: it can't be sent again
	chain          *failoverChain
	position       int      // in the chain
	trial          bool     // sent to find out whether a pool is back
	lastResponse   Response // the last unsuccessful response of a host, forwarded if nothing better comes
}

// Client is whoever waits for a response.
type Client interface {
	// Gone reports whether the client has left. It looks at the connection itself and does not wait: on a busy
	// machine the event of a client that has left may still be under way.
	Gone() bool
}

// processStart is what instants that are stored as numbers count from.
var processStart = time.Now()

// Finished reports whether the request has its response or nobody waits for one: nothing may be sent for it.
func (x *Request) Finished() bool { return x.finished.Load() }

// MayWrite reports whether an attempt may be written now: the request is not finished, there is time left, and
// its client is still there.
func (x *Request) MayWrite() bool {
	return !x.Finished() && (x.WriteBy.IsZero() || time.Now().Before(x.WriteBy)) && (x.Client == nil || !x.Client.Gone())
}

// BodyArrived reports that the last byte of a streamed body has arrived, and when the response is due.
func (x *Request) BodyArrived(due time.Time) {
	x.dueAfterBody.Store(int64(due.Sub(processStart)))
	select {
	case x.bodyArrived <- struct{}{}:
	default: // it is finished, or was reported before
	}
}

// Due returns when the response is due: the Deadline, or later where a body has arrived since, and the shutdown
// at the latest. known is false while the body is arriving and there is no shutdown: then nothing is due yet.
func (x *Request) Due() (at time.Time, known bool) {
	at, known = x.Deadline, x.Body.Buffered()
	if d := x.dueAfterBody.Load(); !known && d != 0 {
		at, known = processStart.Add(time.Duration(d)), true
	}
	if by := x.shutdown.time(); by != nil && (!known || at.After(*by)) {
		return *by, true
	}
	return at, known
}

// Left returns the time until the response is due.
func (x *Request) Left() time.Duration {
	at, _ := x.Due()
	return max(0, time.Until(at))
}

// Close finishes a request, and reports whether it was open: whoever closes it gives the response, so that
// there is one.
func (x *Request) Close() bool { return x.finished.CompareAndSwap(false, true) }

// respond gives the response if there is none yet, and reports whether it did.
func (x *Request) respond(r Response) bool {
	closed := x.Close()
	if closed {
		x.response <- r
	}
	return closed
}
