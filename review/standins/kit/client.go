package kit

import (
	"bufio"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Request is a client's request in the protocol's form.
type Request struct {
	ID      string
	Class   string
	Timeout time.Duration
	Body    []byte
}

// NewID returns a new id.
func NewID() string {
	b := make([]byte, 8)
	rand.Read(b)
	return fmt.Sprintf("%x", b)
}

// Encode returns the bytes of the request.
func (q *Request) Encode() []byte {
	var b strings.Builder
	method, key := "POST", ""
	switch q.Class {
	case "lookup":
		method = "GET"
	case "missed-bin":
		key = "Idempotency-Key: k" + q.ID + "\r\n"
	}
	fmt.Fprintf(&b, "%s /api/%s HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Timeout: %.3f\r\n%s",
		method, q.ID, q.ID, q.Class, q.Timeout.Seconds(), key)
	if method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.Body))
	}
	b.WriteString("\r\n")
	return append([]byte(b.String()), q.Body...)
}

// Outcome is what a client saw of a request.
type Outcome struct {
	Sent   time.Time // when its last byte was written; zero if it was not
	At     time.Time // when its answer was whole, or its connection ended; zero if neither was seen
	Status int       // 0: no whole answer
	Body   string
	Err    error
}

// Send sends a request on a new connection, and waits for its answer for up to a time after the last byte. It keeps the
// connection open for so long.
func Send(addr string, q *Request, wait time.Duration) (o Outcome) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return Outcome{Err: err}
	}
	defer conn.Close()
	return SendOn(conn, bufio.NewReader(conn), q, wait)
}

// SendOn is Send on an open connection.
func SendOn(conn net.Conn, in *bufio.Reader, q *Request, wait time.Duration) (o Outcome) {
	conn.SetDeadline(time.Now().Add(wait))
	if _, o.Err = conn.Write(q.Encode()); o.Err != nil {
		return o
	}
	o.Sent = time.Now()
	conn.SetDeadline(o.Sent.Add(wait))
	resp, err := http.ReadResponse(in, nil)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		if err == nil {
			o.At, o.Status, o.Body = time.Now(), resp.StatusCode, string(body)
			return o
		}
	}
	o.Err = err
	if e, ok := err.(net.Error); !ok || !e.Timeout() {
		o.At = time.Now()
	}
	return o
}

// Late is how long after a request's time its answer may come at the latest: the grace of the settings, the slack of the
// real gateway, and the half second in which an answer only earns nothing.
const Late = 20*time.Millisecond + 50*time.Millisecond + 500*time.Millisecond

// Lost reports whether a gateway has taken the request and not given its one final answer in time.
func (o *Outcome) Lost(q *Request) bool {
	if o.Sent.IsZero() {
		return false // it was not taken
	}
	if o.Status == http.StatusOK && !IsAnswerTo(o.Body, q.ID) {
		return true
	}
	return o.Status == 0 || o.At.Sub(o.Sent) > q.Timeout+Late
}

// String describes an outcome.
func (o *Outcome) String() string {
	switch {
	case o.Sent.IsZero():
		return fmt.Sprintf("not written: %v", o.Err)
	case o.Status > 0:
		return fmt.Sprintf("%d, %.3f s after the last byte", o.Status, o.At.Sub(o.Sent).Seconds())
	case o.At.IsZero():
		return "no answer"
	}
	return fmt.Sprintf("connection ended %.3f s after the last byte: %v", o.At.Sub(o.Sent).Seconds(), o.Err)
}
