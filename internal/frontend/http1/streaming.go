package http1

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/engine"
	"dunemoor/internal/frontend"
	"dunemoor/internal/httpwire"
)

const (
	// uploadLingerTimeout is how long a request body is read and discarded if the client is still sending it after the
	// response. The number of bytes is not limited, because the data in transit may fill all buffers along the path.
	uploadLingerTimeout = 2 * time.Second
	noByteLimit         = 1<<63 - 1
)

// serveStreaming processes a request on a route with Streams, and reports whether the connection may stay open, as serve
// does.
func (s *Server) serveStreaming(c *clientConn, t *frontend.Ticket) (keepAlive bool) {
	plain := t.Route.Plain
	if t.Upgrade != "" {
		if plain.Tunnels.Add(1) > int64(plain.MaxTunnels) {
			plain.Tunnels.Add(-1)
			s.failAndClose(c, frontend.NewRequestError(http.StatusServiceUnavailable, "too many connections have gone over to another protocol"))
			return false
		}
		defer plain.Tunnels.Add(-1)
	}
	if plain != nil {
		t.SendInformational = c.forwardInformational
	}
	ctx := c.ctx
	if c.upload != nil {
		uploadCtx, release := c.upload.requestContext()
		defer release()
		ctx = uploadCtx
	}
	resp, waiting := s.admission.Engine.Do(ctx, &t.Request)
	defer resp.Release()
	if !waiting {
		return false
	}
	return s.writeStreaming(ctx, c, t, &resp)
}

// writeStreaming writes a response on a route with Streams, and reports whether the connection may stay open, as serve
// does. The connection is closed if the client is still sending its body.
func (s *Server) writeStreaming(ctx context.Context, c *clientConn, t *frontend.Ticket, resp *engine.Response) (keepAlive bool) {
	requestStream := t.Body.Stream()
	uploading := requestStream != nil && requestStream.Err() != io.EOF
	longResponse := s.shuttingDown.Load() && !resp.Body.Buffered()
	if uploading || longResponse || s.endsAfterResponse() {
		c.closeAfter = true
	}
	if uploading && resp.Kind == engine.Rejected {
		t.LogEvent(frontend.EventUploadOverdue, "bytes", requestStream.BytesRead())
	}
	if resp.Tunnel != nil {
		s.runTunnel(c, t, resp)
		return false
	}
	if uploading && resp.Kind == engine.Failed {
		if err := requestStream.Err(); err != nil && err != body.ErrConsumed {
			s.failUpload(c, requestStream, err)
			return false
		}
	}
	if resp.Body.Buffered() {
		if c.writeBuffered(t, resp) != nil {
			return false
		}
	} else if err := s.forwardStream(ctx, c, t, resp); err != nil {
		// Reset the connection, so that the client can detect that the response is incomplete.
		if requestStream != nil {
			requestStream.Close()
		}
		t.LogEvent(frontend.EventResponseCutOff, "status", resp.Status, "err", err)
		c.SetLinger(0)
		return false
	}
	if uploading {
		s.closeDuringUpload(c, requestStream)
	}
	return !uploading
}

// failUpload writes an error response to a request whose streamed body cannot be read, and closes the connection.
func (s *Server) failUpload(c *clientConn, stream *body.Stream, err error) {
	err = c.upload.requestError(err)
	if c.writeError(frontend.StatusCode(err), err.Error(), "") == nil {
		s.closeDuringUpload(c, stream)
	}
}

// closeDuringUpload closes a connection whose client is still sending its body.
func (s *Server) closeDuringUpload(c *clientConn, stream *body.Stream) {
	stream.Close()
	s.lingeringClose(c, uploadLingerTimeout, noByteLimit)
}

// forwardStream writes a response with a streamed body. An error means that the client has not received all of it.
func (s *Server) forwardStream(ctx context.Context, c *clientConn, t *frontend.Ticket, resp *engine.Response) error {
	buf := s.admission.Bodies.AcquireBuffer()
	if buf == nil {
		resp.Release()
		// A host has processed the request, so the response must not invite a retry.
		return c.writeError(http.StatusBadGateway, "too much is being held, it may have been done", "")
	}
	defer s.admission.Bodies.ReleaseBuffer(buf)
	header := forwardedHeader(t, resp)
	if err := resp.Body.Stream().Consume(); err != nil {
		return err
	}
	w := &streamWriter{
		c:        c,
		meter:    body.Meter{Pace: t.Route.Streams.Pace},
		deadline: body.LazyDeadline{SetDeadline: c.SetWriteDeadline},
	}
	// The streamWriter has replaced the write deadline, so the state of c.writeDeadline is reset afterwards.
	defer func() { c.writeDeadline = body.LazyDeadline{SetDeadline: c.writeDeadline.SetDeadline} }()
	if resp.Body.Len() < 0 {
		w.chunked = !c.request.HTTP10
		c.closeDelimited.Store(!w.chunked)
		defer c.closeDelimited.Store(false)
	}
	if err := w.writeStart(resp, header); err != nil {
		return err
	}
	resp.ReleaseMemory()
	return w.copy(ctx, resp.Body.Stream(), *buf)
}

// streamWriter writes a response with a streamed body to a client. It enforces the minimum pace of the route.
type streamWriter struct {
	c        *clientConn
	meter    body.Meter
	deadline body.LazyDeadline
	chunked  bool // whether the body is chunked; if not, it has a Content-Length or ends with the connection
}

// writeStart writes the header section and the buffered part of the body.
func (w *streamWriter) writeStart(resp *engine.Response, header http.Header) error {
	length := max(resp.Body.Len(), lengthUnknown)
	buffered := resp.Body.Bytes()
	start := w.c.appendResponseHeader(make([]byte, 0, bufferSize), time.Now(), resp.Status, header, length)
	parts := net.Buffers{start, buffered}
	if w.chunked && len(buffered) > 0 {
		parts[0] = httpwire.AppendChunkSize(start, len(buffered))
		parts = append(parts, crlf)
	}
	w.deadline.Reset(time.Now(), w.meter.Timeout())
	_, err := parts.WriteTo(w.c.TCPConn)
	return err
}

// copy copies a stream to the client through buf, and then writes the end of the body.
func (w *streamWriter) copy(ctx context.Context, stream *body.Stream, buf []byte) error {
	for {
		n, err := stream.Read(buf[httpwire.ChunkPrefixBytes : len(buf)-httpwire.ChunkSuffixBytes])
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if n > 0 {
			if err := w.writeContent(buf, n); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return w.writeEnd(stream)
		}
		if err != nil {
			return err
		}
	}
}

// writeContent writes the n bytes of content that start at index httpwire.ChunkPrefixBytes of buf.
func (w *streamWriter) writeContent(buf []byte, n int) error {
	out := buf[httpwire.ChunkPrefixBytes:][:n]
	if w.chunked {
		out = httpwire.FrameChunk(buf, n)
	}
	start := time.Now()
	w.deadline.Reset(start, w.meter.Timeout())
	if _, err := w.c.TCPConn.Write(out); err != nil {
		return err
	}
	return w.meter.Record(n, time.Since(start))
}

// writeEnd writes the last chunk and the trailer section of a chunked body.
func (w *streamWriter) writeEnd(stream *body.Stream) error {
	if !w.chunked {
		return nil
	}
	w.c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := w.c.TCPConn.Write(appendLastChunk(nil, frontend.ForwardedTrailer(stream.Trailer())))
	return err
}
