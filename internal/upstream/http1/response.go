package http1

import (
	"errors"
	"math"
	"net/http"
	"net/textproto"
	"os"
	"strconv"
	"strings"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/engine"
	"dunemoor/internal/upstream"
)

const (
	// maxHeaderBytes limits the header section of a response, and its trailer section.
	maxHeaderBytes = 16 << 10
	// maxHeaderFields limits the number of different fields in the header section of a response, as a field takes some 150
	// bytes of memory, however short it is.
	maxHeaderFields = 100
	// unlimitedBytes removes the limit of conn.headerLimit.
	unlimitedBytes = math.MaxInt64
	// maxHeaderTime limits the time for a header section to arrive once it has begun, on plain routes.
	maxHeaderTime = 5 * time.Second
	// versionPrefix is the start of every response.
	versionPrefix = "HTTP/1."
)

// errMalformedResponse is returned for bytes that are not a valid response.
var errMalformedResponse = errors.New("http1: malformed response")

// defaultStreams applies to requests whose route has no Streams; only tests send such requests. Their deadline applies to
// the header section only, and bodies have no minimum rate. Package fastcgi has its own defaultStreams.
var defaultStreams = engine.Streams{HeaderDeadlineOnly: true, Pace: body.Pace{IdleTimeout: maxHeaderTime}}

// readResponse reads the header section of the final response and the buffered part of its body, see the table in
// responsebody.go. The error is errMalformedResponse if the response is invalid, is too long, does not arrive in time or has
// a body whose end can't be determined, and otherwise an error of the connection.
func (c *conn) readResponse(x *engine.Request, up *upload) (response engine.Response, err error) {
	defer c.setReadTimeout(0)
	for {
		c.headerLimit.N = maxHeaderBytes
		if _, err := c.in.Peek(1); err != nil {
			return response, err
		}
		if err := c.readMessage(x, &response); err != nil {
			return response, c.messageError(err)
		}
		switch {
		case response.Status == http.StatusContinue:
			up.allowContinue()
		case response.Status == http.StatusSwitchingProtocols:
			wasRequested := x.Upgrade != "" && x.Body.Buffered()
			if !wasRequested {
				return response, errMalformedResponse
			}
			response.Kind = engine.Served
			return response, nil
		case response.Status >= http.StatusOK:
			response.Kind = engine.Served
			err = c.readBody(x, up, &response)
			if err != nil {
				err = c.messageError(err)
			}
			return response, err
		case x.SendInformational != nil:
			x.SendInformational(response.Status, response.Header)
		}
		c.setReadTimeout(0) // the wait for the final response has no limit of its own
	}
}

// messageError returns the error of a response that failed with err after its first byte: errMalformedResponse if its
// header section is too long or it did not arrive in time, and otherwise err.
func (c *conn) messageError(err error) error {
	isTooLong := c.headerLimit.N <= 0
	if isTooLong || errors.Is(err, os.ErrDeadlineExceeded) {
		return errMalformedResponse
	}
	return err
}

// readMessage reads the status line and header section of a response whose first byte has arrived.
func (c *conn) readMessage(x *engine.Request, response *engine.Response) error {
	isPlain := upstream.IsPlain(x)
	if isPlain {
		c.SetReadDeadline(time.Now().Add(maxHeaderTime))
	} else {
		c.setReadTimeout(upstream.MaxStall(x))
	}
	// Bytes that are not a response may contain no line end; they are rejected without waiting for one.
	start, _ := c.in.Peek(min(c.in.Buffered(), len(versionPrefix)))
	if !strings.HasPrefix(versionPrefix, string(start)) {
		return errMalformedResponse
	}
	if err := c.readHeader(response); err != nil {
		return err
	}
	if isPlain {
		c.SetReadDeadline(time.Time{})
	}
	return nil
}

// readHeader reads a status line and header section. Unlike http.ReadResponse it keeps the Content-Length of a response
// that also has a Transfer-Encoding.
func (c *conn) readHeader(response *engine.Response) error {
	c.lastProto = ""
	response.Status = 0
	response.Header = nil
	line, err := c.headerReader.ReadLine()
	if err != nil {
		return err
	}
	proto, status, ok := parseStatusLine(line)
	if !ok {
		return errMalformedResponse
	}
	fields, err := c.headerReader.ReadMIMEHeader()
	var malformed textproto.ProtocolError
	if errors.As(err, &malformed) || len(fields) > maxHeaderFields {
		err = errMalformedResponse
	}
	c.lastProto = proto
	response.Status = status
	response.Header = http.Header(fields)
	return err
}

// parseStatusLine parses a status line (RFC 9112, 4).
func parseStatusLine(line string) (proto string, status int, ok bool) {
	proto, rest, _ := strings.Cut(line, " ")
	if proto != "HTTP/1.1" && proto != "HTTP/1.0" {
		return "", 0, false
	}
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 {
		return "", 0, false
	}
	return proto, status, true
}

// announcesClose reports whether the header of a response announces that the host closes the connection after it.
func announcesClose(header http.Header) bool {
	return strings.Contains(strings.ToLower(header.Get("Connection")), "close")
}
