package fastcgi

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/engine"
	"dunemoor/internal/fastcgi"
	"dunemoor/internal/httpwire"
	"dunemoor/internal/upstream"
)

const (
	// usualHeaderBytes is enough for the header section of most responses.
	usualHeaderBytes = 2 << 10
	// minReadBytes is the least free space of a buffer into which a part of the body is read.
	minReadBytes = 512
	// maxHeaderWait is the timeout of reads of the header section. It is longer than any attempt: the context of the
	// attempt ends the reads earlier.
	maxHeaderWait = time.Hour
)

// readHeader reads the header section of the response. rest is the beginning of the body. The error is io.EOF if the
// request ended without output.
func (k *call) readHeader(ctx context.Context) (status int, header http.Header, rest []byte, err error) {
	stopClosing := context.AfterFunc(ctx, k.stdout.CloseRead)
	defer stopClosing()
	output := make([]byte, 0, usualHeaderBytes)
	for {
		output = slices.Grow(output, 1)
		n, readErr := k.stdout.Read(output[len(output):cap(output)], maxHeaderWait)
		output = output[:len(output)+n]
		if n == 0 {
			return 0, nil, nil, headerError(ctx, readErr, len(output))
		}
		status, header, bodyStart, err := fastcgi.ParseResponseHeader(output)
		if err != nil || bodyStart > 0 {
			return status, header, output[bodyStart:], err
		}
	}
}

// headerError returns the error of a response that ended with err within its header section. received is the number of
// bytes that had arrived.
func headerError(ctx context.Context, err error, received int) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err == io.EOF && received > 0 {
		return fastcgi.ErrMalformedResponse
	}
	return err
}

// responseStream is the source of a response body.
type responseStream struct {
	conn      *conn
	call      *call
	upload    *upload
	length    int64 // Content-Length; -1: unknown
	hasNoBody bool  // whether the response has no body, even if the responder sends one
	meter     body.Meter
	due       time.Time // when the last byte is due; zero: only the pace limits the body
	readBytes int64

	closeOnce sync.Once
}

func newResponseStream(c *conn, k *call, up *upload, x *engine.Request, status int, length int64) *responseStream {
	pace, due := upstream.ResponseLimits(x, &defaultStreams)
	return &responseStream{
		conn: c, call: k, upload: up, length: length,
		hasNoBody: httpwire.ResponseHasNoBody(x.Method, status),
		meter:     body.Meter{Pace: pace},
		due:       due,
	}
}

// bufferStart reads the part of the body that arrives within upstream.MaxBufferTime, or the whole body if its length is
// known to be short. start is the part that has been read already. complete reports whether buffered is the whole body.
func (s *responseStream) bufferStart(ctx context.Context, start []byte) (buffered []byte, complete bool, err error) {
	stopClosing := context.AfterFunc(ctx, s.call.stdout.CloseRead)
	defer stopClosing()
	buffered = start
	s.readBytes = int64(len(start))
	until := time.Now().Add(upstream.MaxBufferTime)
	isShort := s.hasNoBody || s.length >= 0 && s.length <= maxStdoutBytes
	for len(buffered) < maxStdoutBytes {
		wait := time.Until(until)
		if isShort {
			wait = s.meter.Timeout()
		}
		buffered = slices.Grow(buffered, minReadBytes)
		n, err := s.call.stdout.Read(buffered[len(buffered):cap(buffered)], wait)
		buffered = buffered[:len(buffered)+n]
		s.readBytes += int64(n)
		isBufferTimeOver := errors.Is(err, os.ErrDeadlineExceeded) && wait < s.meter.Timeout()
		switch {
		case ctx.Err() != nil:
			return nil, false, ctx.Err()
		case err == io.EOF:
			return s.completeBody(buffered)
		case isBufferTimeOver:
			return buffered, false, nil
		case err != nil:
			return nil, false, err
		}
	}
	return buffered, false, nil
}

// completeBody checks a body that has been read to its end.
func (s *responseStream) completeBody(buffered []byte) (text []byte, complete bool, err error) {
	if s.hasNoBody {
		return nil, true, nil
	}
	if s.length >= 0 && s.length != s.readBytes {
		return nil, false, fastcgi.ErrMalformedResponse
	}
	return buffered, true, nil
}

// Read reads the next part of the body, and fails if the host does not keep the pace. It returns io.ErrUnexpectedEOF if
// the length of the body differs from its Content-Length.
func (s *responseStream) Read(p []byte) (int, error) {
	timeout := s.meter.Timeout()
	if !s.due.IsZero() {
		timeout = min(timeout, time.Until(s.due))
	}
	startedAt := time.Now()
	n, err := s.call.stdout.Read(p, max(timeout, time.Nanosecond))
	s.readBytes += int64(n)
	tooSlow := s.meter.Record(n, time.Since(startedAt))
	if err == nil {
		err = tooSlow
	}
	isTooLong := s.length >= 0 && s.readBytes > s.length
	isTruncated := err == io.EOF && s.readBytes < s.length
	if isTooLong || isTruncated {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Trailer returns nil, as a CGI response has no trailer section.
func (s *responseStream) Trailer() http.Header { return nil }

// Close releases the request. If it has not ended it is abandoned, unless complete is set. Further calls do nothing.
func (s *responseStream) Close(complete bool) {
	s.closeOnce.Do(func() {
		s.upload.stop()
		s.conn.finishCall(s.call, complete)
	})
}
