// Package upstream contains the parts that the transports of all protocols share: the loop that makes one attempt and
// decides whether to resend on another connection, the dialer, the limits of bodies, and the pool of connections to hosts.
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
	// RoundTrip sends the request if it may still be sent, and returns the result. The connection must not be used
	// by the caller afterwards.
	RoundTrip(ctx context.Context, x *engine.Request) engine.Result
	// Release returns the connection without having written to it.
	Release()
}

// AcquireFunc returns a connection for a request, either an open one or a newly dialed one. reused reports whether the
// connection has been used before. The error is ErrTooManyConns or an error of the dialer.
type AcquireFunc func(ctx context.Context) (c Conn, reused bool, err error)

// ErrTooManyConns is returned by an AcquireFunc if another connection would exceed the limit of the transport or host.
var ErrTooManyConns = errors.New("upstream: too many connections to hosts")

// Attempt makes one attempt at a request. The request is written completely at most once. The attempt is abandoned when
// ctx ends.
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

// shouldResend reports whether an attempt continues on another connection. It does if a reused connection was closed by
// its host before the last byte of the request was written, which proves that the request never ran and is no evidence
// that the host is unhealthy. Each resend uses up an open connection, so their number is bounded. A resend is not a retry:
// the balancer is not notified, and neither MaxAttempts nor the route's retry budget counts it (engine/retry.go).
func shouldResend(ctx context.Context, x *engine.Request, result engine.Result, reused bool) bool {
	if !reused || ctx.Err() != nil {
		return false
	}
	mayHaveRun := result.PartlySent && IsPlain(x)
	neverRan := !result.HasResponse && result.Outcome == balancer.ConnectFailed && !mayHaveRun
	return neverRan && !bodyConsumed(x)
}

// acquireOutcome returns the outcome of an attempt for which no connection could be acquired. Both outcomes prove that
// the request never ran, as nothing was written. The error itself is neither logged nor counted.
func acquireOutcome(err error) balancer.Result {
	isLocalShortage := errors.Is(err, ErrTooManyConns) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
	if isLocalShortage {
		return balancer.NotSent // a local shortage is no evidence that the host is unhealthy
	}
	return balancer.ConnectFailed
}

// OutcomeUnsent returns the outcome of an attempt that was abandoned, because ctx ended, before the last byte of the
// request was written. NotSent proves that the request never ran, as the host has not received all of it. Canceled is
// not treated as proof, although the same holds here: an attempt that was canceled, by a Cancel action or because its
// client disconnected, has this outcome regardless of how much of the request was written.
func OutcomeUnsent(ctx context.Context) balancer.Result {
	if errors.Is(ctx.Err(), context.Canceled) {
		return balancer.Canceled
	}
	return balancer.NotSent
}
