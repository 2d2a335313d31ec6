package fastcgi

import (
	"context"
	"errors"
	"io"

	"dunemoor/balancer"
	"dunemoor/internal/body"
	"dunemoor/internal/engine"
	"dunemoor/internal/fastcgi"
	"dunemoor/internal/upstream"
)

// defaultStreams applies to requests whose route has no Streams, which only tests have: responses are streamed, without
// a minimum rate. Package http1 has a defaultStreams of its own.
var defaultStreams = engine.Streams{HeaderDeadlineOnly: true, Pace: body.Pace{IdleTimeout: maxStallSingle}}

// RoundTrip sends a request and receives the header section of its response, with the part of the body that is
// buffered; the rest is streamed.
func (c *conn) RoundTrip(ctx context.Context, x *engine.Request) engine.Result {
	k := c.startCall()
	if k == nil {
		// Proof: the connection ended before anything was written.
		c.Release()
		return engine.Result{Outcome: balancer.ConnectFailed}
	}
	if result, ok := c.sendRequest(ctx, x, k); !ok {
		return result
	}
	up := startUpload(c, k, x)
	status, header, rest, err := k.readHeader(ctx)
	if err != nil {
		up.stop()
		c.finishCall(k, false)
		return c.readFailure(ctx, k, up, err)
	}
	length, err := fastcgi.ContentLength(header)
	if err != nil {
		up.stop()
		c.finishCall(k, false)
		return engine.Ended(balancer.InvalidResponse)
	}
	response := engine.Response{Kind: engine.Served, Status: status, Header: header}
	stream := newResponseStream(c, k, up, x, status, length)
	buffered, complete, err := stream.bufferStart(ctx, rest)
	if err != nil {
		stream.Close(false)
		return c.readFailure(ctx, k, up, err)
	}
	if complete {
		stream.Close(true)
		response.Body = body.NewBuffered(buffered)
	} else {
		response.Body = body.NewStreamed(buffered, body.NewStream(stream, length))
	}
	return engine.Result{HasResponse: true, Response: response}
}

// sendRequest writes a request, without the streamed part of its body. If ok is false the attempt has ended with result,
// and k has been released.
func (c *conn) sendRequest(ctx context.Context, x *engine.Request, k *call) (result engine.Result, ok bool) {
	records, paramsEnd := c.host.transport.encodeRequest(k.id, x)
	contentEnd := len(records)
	isComplete := x.Body.Buffered()
	if isComplete {
		records = fastcgi.AppendStreamEnd(records, fastcgi.Stdin, k.id)
	}
	// The dial, or the writes of other requests, may have taken long, so check again whether the request may be sent.
	isSendable := func() bool { return x.MayWrite() && c.isCurrent() }
	timeout := upstream.UploadPace(x, &defaultStreams).IdleTimeout
	stopClosing := context.AfterFunc(ctx, func() { c.closeUnlessShared(k) }) // ends the write
	defer stopClosing()
	written, err := c.writeIf(ctx, isSendable, records, timeout)
	if err == errNotSendable {
		// Proof: nothing was written.
		c.forgetCall(k)
		if ctx.Err() != nil {
			return engine.Ended(upstream.OutcomeUnsent(ctx)), false
		}
		return engine.Ended(balancer.NotSent), false
	}
	if isComplete && written >= contentEnd {
		// The responder may not wait for the end of STDIN, as it knows the length of the body.
		c.setSent(k)
	}
	if err != nil {
		c.finishCall(k, false)
		return c.writeFailure(ctx, x, k, written >= paramsEnd), false
	}
	return engine.Result{}, true
}

// writeFailure returns the result of an attempt whose request could not be written completely. paramsSent reports whether
// the parameters were written: programs may start once they have received them (6.2).
func (c *conn) writeFailure(ctx context.Context, x *engine.Request, k *call, paramsSent bool) engine.Result {
	switch {
	case c.wasSent(k):
		return engine.Ended(balancer.Reset)
	case ctx.Err() != nil && (!paramsSent || !upstream.IsPlain(x)):
		// Proof: the responder has not received all parameters (6.2) or, in the platform's protocol, the last byte.
		return engine.Ended(upstream.OutcomeUnsent(ctx))
	case ctx.Err() != nil:
		return engine.Ended(balancer.Canceled)
	}
	// Proof: as above. On plain routes a missing last byte proves nothing once the parameters were sent, which
	// PartlySent reports.
	return engine.Result{Outcome: balancer.ConnectFailed, PartlySent: paramsSent}
}

// readFailure returns the result of an attempt that failed with err after its request was written, except for the
// streamed part of the body. The upload has been stopped.
func (c *conn) readFailure(ctx context.Context, k *call, up *upload, err error) engine.Result {
	sent := c.wasSent(k)
	switch {
	case up.failedByClient, ctx.Err() != nil && !sent:
		return engine.Ended(balancer.Canceled)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return engine.Ended(balancer.TimedOut)
	case ctx.Err() != nil:
		return engine.Ended(balancer.Canceled)
	case errors.Is(err, fastcgi.ErrMalformedResponse):
		return engine.Ended(balancer.InvalidResponse)
	case err == io.EOF:
		return engine.Ended(outcomeOfEnd(k.end))
	case !sent:
		// Proof in the platform's protocol: the responder has not received the last byte. On plain routes this proves
		// nothing, which PartlySent reports.
		return engine.Result{Outcome: balancer.ConnectFailed, PartlySent: true}
	}
	return engine.Ended(balancer.Reset)
}

// outcomeOfEnd returns the outcome of a request that ended without output. Full proves that the request never ran, as
// the statuses other than REQUEST_COMPLETE reject a request (5.5).
func outcomeOfEnd(end fastcgi.EndRequestBody) balancer.Result {
	switch end.ProtocolStatus {
	case fastcgi.Overloaded, fastcgi.CantMultiplex, fastcgi.UnknownRole:
		return balancer.Full
	}
	return balancer.InvalidResponse
}
