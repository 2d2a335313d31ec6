package engine

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/body"
)

// Request is a client's request, which gets exactly one final response. A frontend sets the exported fields except
// WriteBy, and submits it with Engine.Do; transports read it.
type Request struct {
	Method string
	Target string // path and query, byte for byte as received
	Host   string
	Header http.Header // headers as forwarded
	Body   body.Body

	// Upgrade is the protocol that the client requests to switch to, "" for none. The route has to allow it.
	Upgrade string
	// SendInformational, if set, forwards an informational response (1xx) to the client. It is called while the request
	// is open, and must not block for long.
	SendInformational func(status int, header http.Header)
	// Client, if set, reports whether the client is still connected.
	Client Client
	// BodyArrival, if set, bounds the time for a response to a request with a streamed body whose last byte has not been
	// read yet. If it is nil only the pace of the route bounds that time.
	BodyArrival BodyArrival
	// Done, if set, is called once the request is finished and no attempt uses its body any more.
	Done func()
	// WriteBy is the time by which the last byte of the current attempt must be written; zero: any time. The loop
	// sets it before each attempt.
	WriteBy time.Time

	Route     *Route
	Class     int       // number of the class in the pools of the route
	Tenant    int       // number of the tenant in the pools of the route
	Duplicate bool      // the client marks the request as one that it has sent before
	Deadline  time.Time // when the response is due
	// Timeout is the time from the last byte of the request to its Deadline. It is known while a streamed body is arriving,
	// when the time of that byte is not; 0: unknown.
	Timeout time.Duration
	Key     string // requests with the same key go to the same pool of a split; "": a random pool

	bodyArrived  chan struct{} // receives an item once the last byte of a streamed body has arrived
	dueAfterBody atomic.Int64  // due time after a streamed body has arrived, as the time since processStart; 0: unknown
	arrival      atomic.Uint32 // an arrivalState
	finished     atomic.Bool   // whether the request has its response or its client no longer waits; set once, by Close
	shutdown     *shutdown     // the shutdown of the engine; nil: the request was not submitted yet
	response     chan Response // receives the response from the goroutine that closed the request

	// The fields below are used only by the loop.
	id             balancer.RequestID
	pool           *Pool
	attempts       []context.CancelFunc // cancel functions of the attempts in the current pool
	inFlight       int                  // attempts in flight
	attemptsSent   int                  // attempts sent in all pools
	neverRan       bool                 // whether all attempts that have ended provably never ran
	neverConnected bool                 // whether all attempts that have ended did so with ConnectFailed or NotSent
	streaming      bool                 // whether an unbuffered body part was sent: the request can't be sent again
	chain          *failoverChain       // the pool that the request was routed to, with its fallbacks
	position       int                  // index of the current pool in the chain
	trial          bool                 // whether this is a trial request, which detects whether a pool has recovered
	lastResponse   Response             // the last unsuccessful response of a host, forwarded if no attempt succeeds
}

// Client is the client that waits for a response.
type Client interface {
	// Gone reports whether the client has disconnected. It checks the connection itself and does not block, as on a
	// busy machine the event of a disconnect may be delayed.
	Gone() bool
}

// processStart is the origin of instants that are stored as numbers.
var processStart = time.Now()

// Finished reports whether the request has its response, or its client no longer waits for one. Nothing may be sent
// for a finished request.
func (x *Request) Finished() bool { return x.finished.Load() }

// MayWrite reports whether an attempt may be written now: the request is not finished, WriteBy has not passed, and
// the client is still connected.
func (x *Request) MayWrite() bool {
	return !x.Finished() && (x.WriteBy.IsZero() || time.Now().Before(x.WriteBy)) && (x.Client == nil || !x.Client.Gone())
}

// arrivalState is what has become of a streamed body. It changes once.
type arrivalState = uint32

const (
	contentArriving arrivalState = iota
	contentRead                  // the last byte of content was read, and may be sent to a host
	contentOverdue               // the request was rejected before that
)

// isArriving reports whether the last byte of a streamed body has not been read.
func (x *Request) isArriving() bool { return !x.Body.Buffered() && x.dueAfterBody.Load() == 0 }

// ContentRead records that the last byte of content of a streamed body was read, even if the end of the body is marked by
// more bytes. It returns false if the request was rejected before, as its response was due: what was read must not be sent to
// a host then.
func (x *Request) ContentRead() bool {
	return x.arrival.CompareAndSwap(contentArriving, contentRead) || x.arrival.Load() == contentRead
}

// BodyArrived records that the last byte of a streamed body has arrived, and when the response is due. It returns false as
// ContentRead does.
func (x *Request) BodyArrived(due time.Time) bool {
	if !x.ContentRead() {
		return false
	}
	x.dueAfterBody.Store(int64(due.Sub(processStart)))
	select {
	case x.bodyArrived <- struct{}{}:
	default: // the request is finished, or BodyArrived was called before
	}
	return true
}

// Due returns when the response is due: at the Deadline, or for a streamed body at the time that BodyArrived has set,
// but no later than the deadline of a shutdown. known is false while a streamed body is arriving and no shutdown has
// begun, as no time is set yet.
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

// Remaining returns the time until the response is due, or until the Deadline while that is not known (see Due). It is at
// least 0.
func (x *Request) Remaining() time.Duration {
	at, _ := x.Due()
	return max(0, time.Until(at))
}

// MayRunTwice reports whether another attempt may follow one that may have run.
func (x *Request) MayRunTwice() bool {
	return x.Route == nil || x.Route.Classes[x.Class].Idempotency != balancer.NonIdempotent
}

// Close finishes a request, and reports whether it was open. The caller that finishes it delivers the response, so
// that there is exactly one.
func (x *Request) Close() bool { return x.finished.CompareAndSwap(false, true) }

// respond delivers the response if the request has none yet, and reports whether it did.
func (x *Request) respond(r Response) bool {
	closed := x.Close()
	if closed {
		x.response <- r
	}
	return closed
}
