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
	Failed   Kind = iota // whether the request has had an effect is unknown
	Served               // a host's response
	Rejected             // no attempt has run: the client may retry
)

// Response is the final response to a request.
type Response struct {
	Kind       Kind
	Status     int         // Served
	Header     http.Header // Served
	Body       body.Body   // Served
	Tunnel     Tunnel      // Served with 101: the connection after the switch of protocols
	RetryAfter time.Duration
	Free       func() // returns the memory of the body to a budget; nil: none
}

// Tunnel is a connection to a host that has switched to another protocol.
type Tunnel interface {
	Read(p []byte) (int, error)
	Write(p []byte) (int, error)
	SetDeadline(at time.Time) error
	CloseWrite() error
	Close() error
}

// FreeHeld returns the memory of the buffered part of the body to its budget. Nobody reads it any more.
func (r *Response) FreeHeld() {
	if r.Free != nil {
		r.Free()
		r.Free = nil
	}
}

// Release is called by the last owner of a Response; a second time it does nothing.
func (r *Response) Release() {
	if f := r.Body.Stream(); f != nil {
		f.Close()
	}
	if r.Tunnel != nil {
		r.Tunnel.Close()
	}
	r.FreeHeld()
}

// discard releases a response from the loop, which must not wait for a streamed body to end.
func (r *Response) discard() {
	if r.Body.Buffered() && r.Tunnel == nil {
		r.Release()
		return
	}
	go func(r Response) { r.Release() }(*r)
}

// Result is the end of one attempt.
type Result struct {
	// HasResponse reports that a whole response arrived; the route classifies it. Otherwise Outcome is how the
	// attempt ended. An Outcome which says that nothing ran is used only with the proof that the protocol's
	// specification names.
	HasResponse bool
	Response    Response
	Outcome     balancer.Result
	// PartlySent reports that some bytes of the request were sent, but not the last. It comes with the Outcome
	// balancer.ConnectFailed, although a connection was established: by the platform's protocol a host that lacks
	// the last byte has run nothing, as if there had been no connection. On a plain route it may have:
	// Pool.attemptEnded makes the Outcome balancer.Reset there, and upstream.Attempt does not send the request again.
	PartlySent bool
}

// Ended returns a Result without a response.
func Ended(outcome balancer.Result) Result { return Result{Outcome: outcome} }
