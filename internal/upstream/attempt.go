// Package upstream contains what the transports of all protocols have in common: the loop of one attempt with its
// rule for resending on another connection, dialing, the limits of bodies, and the pool that keeps connections to hosts.
package upstream

import (
	"context"
	"errors"
	"syscall"

	"dunemoor/balancer"
	"dunemoor/internal/engine"
)

// Conn is a connection that has been acquired for a request.
type Conn interface {
	// RoundTrip sends the request, unless it may not be sent any more, and returns how that ended. It gives the
	// connection up.
	RoundTrip(ctx context.Context, x *engine.Request) engine.Result
	// Release gives the connection up without having written to it.
	Release()
}

// AcquireFunc returns a connection for a request, an open one or a new one. reused tells that it has carried other
// requests. The error is ErrTooManyConns or one of the dialer.
type AcquireFunc func(ctx context.Context) (c Conn, reused bool, err error)

// ErrTooManyConns is the error of AcquireFunc for a connection beyond the limit of a transport or host.
var ErrTooManyConns = errors.New("upstream: too many connections to hosts")

// Attempt makes an attempt: the request is written completely at most once. ctx ends when the attempt is to be
// given up.
func Attempt(ctx context.Context, x *engine.Request, acquire AcquireFunc) engine.Result {
	for {
		c, reused, err := acquire(ctx)
		if ctx.Err() != nil {
			if err == nil {
				c.Release()
			}
			return engine.Ended(OutcomeUnsent(ctx))
		}
		if err != nil {
			return engine.Ended(acquireOutcome(err))
		}
		result := c.RoundTrip(ctx, x)
		if !shouldResend(ctx, x, result, reused) {
			return result
		}
	}
}

// shouldResend reports whether an attempt goes on with another connection: if a reused one was closed by its host before
// the last byte of the request was written. That is proof that the request never ran, and says nothing about the host.
// Each time uses up an open connection, so that there are not many. It is no retry: the balancer is not notified, and
// neither MaxAttempts nor the route's retry budget counts it (engine/retry.go).
func shouldResend(ctx context.Context, x *engine.Request, result engine.Result, reused bool) bool {
	if !reused || ctx.Err() != nil {
		return false
	}
	mayHaveRun := result.PartlySent && IsPlain(x)
	neverRan := !result.HasResponse && result.Outcome == balancer.ConnectFailed && !mayHaveRun
	return neverRan && !bodyConsumed(x)
}

// acquireOutcome returns the outcome of an attempt that got no connection. Both outcomes are proof that the
// request never ran, as nothing was written. The error itself is neither logged nor counted.
func acquireOutcome(err error) balancer.Result {
	isLocalShortage := errors.Is(err, ErrTooManyConns) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
	if isLocalShortage {
		return balancer.NotSent // it says nothing about the host
	}
	return balancer.ConnectFailed
}

// OutcomeUnsent returns the outcome of an attempt that was given up, when ctx ended, before the last byte of the
// request was written. NotSent is proof that the request never ran, as the host does not have all of it. Canceled is
// not taken for proof, though the same holds here: an attempt that was canceled, by a Cancel action or because its client
// has left, has this outcome however much of it was written.
func OutcomeUnsent(ctx context.Context) balancer.Result {
	if errors.Is(ctx.Err(), context.Canceled) {
		return balancer.Canceled
	}
	return balancer.NotSent
}
