package http1

import (
	"context"
	"errors"
	"net/http"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/body"
	"dunemoor/internal/engine"
	"dunemoor/internal/upstream"
)

// roundTrip writes a request and reads the header section of its response, with the part of the body that is
// buffered; the rest is streamed.
func (c *conn) roundTrip(ctx context.Context, x *engine.Request) engine.Result {
	t := c.host.transport
	// An attempt is given up by closing its connection.
	stopClosing := context.AfterFunc(ctx, func() { c.Conn.Close() })
	written, size, err := c.writeRequest(x)
	if written < size || err != nil {
		stopClosing()
		t.closeConn(c)
		return writeFailure(ctx, x, written, size)
	}
	writtenAt := time.Now()
	up := startUpload(c, x)
	response, stream, err := c.readResponse(x, up)
	if err == nil && !stopClosing() {
		err = ctx.Err() // it was given up just now
	}
	if err != nil {
		stopClosing()
		uploaded := up.stop()
		t.closeConn(c)
		response.FreeHeld()
		if ctx.Err() != nil && uploaded {
			t.attemptGivenUp(c.host, writtenAt)
		}
		return readFailure(ctx, x, up, uploaded, err)
	}
	t.responseReceived(c.host)
	switch {
	case response.Status == http.StatusSwitchingProtocols:
		response.Tunnel = newTunnel(c)
	case stream != nil:
		response.Body = body.NewStreamed(stream.buffered, body.NewStream(stream, stream.length))
	default:
		c.finish(up, c.canBeReused(response.Header))
	}
	return engine.Result{HasResponse: true, Response: response}
}

// writeFailure returns the result of an attempt whose request was not written up to size, its length without the
// streamed part of the body.
func writeFailure(ctx context.Context, x *engine.Request, written, size int) engine.Result {
	isPlatform := !upstream.IsPlain(x)
	hasLastByte := written == size && (x.Body.Buffered() || !isPlatform)
	switch {
	case hasLastByte:
		return engine.Ended(balancer.Reset)
	case ctx.Err() != nil && (written == 0 || isPlatform):
		// Proof: the host has no byte of the request, or lacks the last, by the platform's protocol.
		return engine.Ended(upstream.OutcomeUnsent(ctx))
	case ctx.Err() != nil:
		return engine.Ended(balancer.Canceled)
	}
	// Proof: the host lacks the last byte. PartlySent tells where that proves nothing, on plain routes.
	return engine.Result{Outcome: balancer.ConnectFailed, PartlySent: written > 0}
}

// readFailure returns the result of an attempt that failed with err after its request was written, but for the
// streamed part of the body. uploaded tells that this part was written as well.
func readFailure(ctx context.Context, x *engine.Request, up *upload, uploaded bool, err error) engine.Result {
	isPlatform := !upstream.IsPlain(x)
	switch {
	case up.failedByClient, ctx.Err() != nil && !uploaded:
		return engine.Ended(balancer.Canceled)
	case !uploaded && isPlatform:
		// Proof: the host lacks the last byte of the request, by the platform's protocol.
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

// canBeReused reports whether the connection can carry another request after a complete response. Bytes behind the
// response are unsolicited.
func (c *conn) canBeReused(header http.Header) bool {
	if c.in.Buffered() > 0 {
		c.host.transport.unsolicitedReceived()
		return false
	}
	return c.lastProto == "HTTP/1.1" && !announcesClose(header)
}

// finish gives up the connection after a complete response, and keeps it if it is reusable. An upload that is still
// running is stopped, as its host has responded.
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
