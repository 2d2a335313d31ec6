package engine

import (
	"net/http"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/body"
)

// Kind is the kind of a Response.
type Kind uint8

// Kinds of responses.
const (
	Failed   Kind = iota // it is unknown whether the request has had an effect
	Served               // a host's response
	Rejected             // no attempt has run: the client may retry
)

// Response is the final response to a request.
type Response struct {
	Kind       Kind
	Status     int         // Served
	Header     http.Header // Served
	Body       body.Body   // Served
	Tunnel     Tunnel      // Served with status 101: the connection after the switch of protocols
	RetryAfter time.Duration
	OnRelease  func() // returns the memory of the body to its budget; nil: no memory is reserved
}

// Tunnel is a connection to a host that has switched to another protocol.
type Tunnel interface {
	Read(p []byte) (int, error)
	Write(p []byte) (int, error)
	SetDeadline(at time.Time) error
	CloseWrite() error
	Close() error
}

// ReleaseMemory drops the buffered part of the body and returns its memory to its budget. That part must not be read any
// more.
func (r *Response) ReleaseMemory() {
	r.Body.Release()
	if r.OnRelease != nil {
		r.OnRelease()
		r.OnRelease = nil
	}
}

// Release releases what a Response holds. Its last owner calls it; further calls do nothing.
func (r *Response) Release() {
	if f := r.Body.Stream(); f != nil {
		f.Close()
	}
	if r.Tunnel != nil {
		r.Tunnel.Close()
	}
	r.ReleaseMemory()
}

// discard releases a response from the loop, which must not wait until a streamed body or a tunnel is closed.
func (r *Response) discard() {
	if r.Body.Buffered() && r.Tunnel == nil {
		r.Release()
		return
	}
	go func(r Response) { r.Release() }(*r)
}

// Result is the result of one attempt.
type Result struct {
	// HasResponse reports that a valid response has arrived; the route classifies it. A streamed body may still be
	// arriving. Otherwise Outcome is how the attempt ended. An Outcome that means that the request never ran is used
	// only with a proof that the protocol's specification defines.
	HasResponse bool
	Response    Response
	Outcome     balancer.Result
	// PartlySent reports that some bytes of the request were sent, but not the last. Outcome is then
	// balancer.ConnectFailed: by the platform's protocol, a host does not run a request without its last byte, so the
	// effect is as if no connection had been established. On a plain route, a host may have run it: Pool.attemptEnded
	// changes the Outcome to balancer.Reset there, and upstream.Attempt does not send the request again.
	PartlySent bool
}

// Ended returns a Result without a response.
func Ended(outcome balancer.Result) Result { return Result{Outcome: outcome} }
