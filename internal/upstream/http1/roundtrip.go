package http1

import (
	"context"
	"errors"
	"net/http"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/engine"
	"dunemoor/internal/upstream"
)

// roundTrip writes a request and reads the header section of its response, with the part of the body that is
// buffered; the rest is streamed.
func (c *conn) roundTrip(ctx context.Context, x *engine.Request) engine.Result {
	t := c.host.transport
	// An attempt is abandoned by closing its connection.
	stopClosing := context.AfterFunc(ctx, func() { c.Conn.Close() })
	written, size, err := c.writeRequest(x)
	if written < size || err != nil {
		stopClosing()
		t.closeConn(c)
		return writeFailure(ctx, x, written, size)
	}
	writtenAt := time.Now()
	up := startUpload(c, x)
	response, err := c.readResponse(x, up)
	if err == nil && !stopClosing() {
		err = ctx.Err() // the attempt was abandoned after the response had arrived
	}
	if err != nil {
		stopClosing()
		up.stop()
		t.closeConn(c)
		response.ReleaseMemory()
		if ctx.Err() != nil && up.progress.MayBeComplete() {
			t.attemptAbandoned(c.host, writtenAt)
		}
		return readFailure(ctx, x, up, err)
	}
	t.responseReceived(c.host)
	switch {
	case response.Status == http.StatusSwitchingProtocols:
		response.Tunnel = newTunnel(c)
	case response.Body.Buffered():
		c.finish(up, c.reusableAfter(response.Header))
	}
	return engine.Result{HasResponse: true, Response: response}
}

// writeFailure returns the result of an attempt that failed while its request was written. size is the length of the
// request without the streamed part of the body, and written is how much of that was written.
func writeFailure(ctx context.Context, x *engine.Request, written, size int) engine.Result {
	isPlatform := !upstream.IsPlain(x)
	// On plain routes a request may run before the streamed part of its body has arrived. If less was written, see the
	// cases below.
	mayHaveRun := written == size && (x.Body.Buffered() || !isPlatform)
	switch {
	case mayHaveRun:
		return engine.Ended(balancer.Reset)
	case ctx.Err() != nil && (written == 0 || isPlatform):
		// Proof: the host has received no byte of the request or, in the platform's protocol, not the last one.
		return engine.Ended(upstream.OutcomeUnsent(ctx))
	case ctx.Err() != nil:
		return engine.Ended(balancer.Canceled)
	}
	// Proof: the host has not received the last byte. On plain routes this proves nothing if a part was sent, which
	// PartlySent reports.
	return engine.Result{Outcome: balancer.ConnectFailed, PartlySent: written > 0}
}

// readFailure returns the result of an attempt that failed with err after its request was written, except for the
// streamed part of the body, whose upload has been stopped.
func readFailure(ctx context.Context, x *engine.Request, up *upload, err error) engine.Result {
	isPlatform := !upstream.IsPlain(x)
	mayBeComplete := up.progress.MayBeComplete()
	switch {
	case up.failedByClient, ctx.Err() != nil && !mayBeComplete:
		return engine.Ended(balancer.Canceled)
	case !mayBeComplete && isPlatform:
		// Proof: the host has not received the last byte of the request, and the platform's protocol requires it.
		return engine.Result{Outcome: balancer.ConnectFailed, PartlySent: true}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return engine.Ended(balancer.TimedOut)
	case ctx.Err() != nil:
		return engine.Ended(balancer.Canceled)
	case errors.Is(err, errMalformedResponse):
		return engine.Ended(balancer.InvalidResponse)
	}
	return engine.Ended(balancer.Reset)
}

// reusableAfter reports whether the connection can carry another request after a complete response with this header.
// Bytes that follow the response are unsolicited.
func (c *conn) reusableAfter(header http.Header) bool {
	if c.in.Buffered() > 0 {
		c.host.transport.unsolicitedReceived()
		return false
	}
	return c.lastProto == "HTTP/1.1" && !announcesClose(header)
}

// finish releases the connection after a response, and keeps it if it is reusable. An upload that is still running is
// stopped, as the host has responded, and the connection is closed.
func (c *conn) finish(up *upload, reusable bool) {
	uploaded := up.stop()
	if !uploaded || !reusable {
		c.host.transport.closeConn(c)
		return
	}
	c.SetReadDeadline(time.Time{})
	c.SetWriteDeadline(time.Time{})
	c.host.transport.tryPutIdle(c)
}
