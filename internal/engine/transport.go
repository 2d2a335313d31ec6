package engine

import "context"

// Transport makes attempts by one protocol at the hosts of one pool, and keeps the connections to them.
type Transport interface {
	// Host returns the Endpoint of a new host.
	Host(id string) Endpoint
	// Run does periodic work until ctx ends; then it closes idle connections, and others once their attempts
	// have ended.
	Run(ctx context.Context)
}

// Endpoint is a host of a Transport. Update and CloseIdle are called by the loop and must not block; Attempt is
// called by goroutines of its own.
type Endpoint interface {
	// Update applies the host's entry in the endpoint list; started is Unix time in milliseconds. If usable is false
	// no new request may be sent.
	Update(addr string, started int64, usable bool)
	CloseIdle()
	// Attempt sends a request at most once, and returns the result. ctx ends when the attempt must be abandoned.
	// Attempt checks MayWrite and usable again before the first byte is sent, and WriteBy while it writes.
	Attempt(ctx context.Context, x *Request) Result
}
