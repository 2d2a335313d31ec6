package fastcgi

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dunemoor/internal/body"
	"dunemoor/internal/engine"
	"dunemoor/internal/fastcgi"
	"dunemoor/internal/frontend"
)

// request is one on a connection, from its parameters to its END_REQUEST.
type request struct {
	c       *conn
	id      uint16
	in      *body.Pipe // STDIN
	keep    bool
	ctx     context.Context
	cancel  context.CancelFunc
	aborted atomic.Bool
	why     atomic.Pointer[error] // what it was called off for by us
	cut     bool                  // its answer could not be finished; serve's
}

// message makes the head of a request from its parameters (RFC 3875, 4.1). remote is whom the web
// server names as its client; Length is -1 where it is not told.
func message(params []byte) (m frontend.Message, remote string, err error) {
	m.Header = http.Header{}
	vars := map[string]string{}
	err = fastcgi.ForEachParam(params, func(name, value []byte) error {
		if len(name) == 0 || strings.ContainsAny(string(value), "\x00\r\n") {
			return frontend.Bad(http.StatusBadRequest, "a parameter that can't be one")
		}
		key := string(name)
		h := fastcgi.HeaderName(key)
		if _, twice := vars[key]; twice || h != "" && m.Header[h] != nil {
			return frontend.Bad(http.StatusBadRequest, "%.64q is there more than once", key)
		}
		vars[key] = string(value)
		if h != "" && h != "Host" && h != "Content-Length" && h != "Content-Type" {
			m.Header[h] = []string{string(value)}
		}
		return nil
	})
	if err != nil {
		var bad *frontend.BadRequest
		if !errors.As(err, &bad) {
			err = frontend.Bad(http.StatusBadRequest, "%v", err)
		}
		return m, "", err
	}
	m.Method, m.Target, m.Host = vars["REQUEST_METHOD"], vars["REQUEST_URI"], vars["HTTP_HOST"]
	if m.Target == "" && vars["SCRIPT_NAME"]+vars["PATH_INFO"] != "" {
		u := url.URL{Path: vars["SCRIPT_NAME"] + vars["PATH_INFO"], RawQuery: vars["QUERY_STRING"]}
		m.Target = u.String()
	}
	if m.Host == "" {
		m.Host = vars["SERVER_NAME"]
		if port := vars["SERVER_PORT"]; m.Host != "" && port != "" && port != "80" {
			m.Host += ":" + port
		}
	}
	m.Named = m.Host
	if v := vars["CONTENT_TYPE"]; v != "" {
		m.Header["Content-Type"] = []string{v}
	}
	m.Peer.Proto = "http"
	if on := vars["HTTPS"]; on != "" && !strings.EqualFold(on, "off") {
		m.Peer.Proto = "https"
	}
	if m.Method == "" || m.Target == "" || strings.ContainsAny(m.Method+m.Target+m.Host, " \t") {
		return m, "", frontend.Bad(http.StatusBadRequest, "REQUEST_METHOD or REQUEST_URI: missing or malformed")
	}
	frontend.EndToEnd(m.Header) // what concerns the client's own connection
	m.Length = -1
	if v := vars["CONTENT_LENGTH"]; v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < 0 || strings.Trim(v, "0123456789") != "" {
			return m, "", frontend.Bad(http.StatusBadRequest, "CONTENT_LENGTH: %.32q is no length", v)
		}
		m.Length = n
	} else {
		switch m.Method {
		case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodDelete, http.MethodTrace:
			m.Length = 0 // with none there is no body (RFC 3875, 4.1.2)
		}
	}
	return m, vars["REMOTE_ADDR"], nil
}

// serve has a request answered, and ends it, whatever happens.
func (r *request) serve(m frontend.Message, remote string, bad error, came time.Time) {
	defer r.in.CloseRead()
	defer r.cancel()
	if bad != nil {
		r.refuse(bad)
		return
	}
	proto := m.Peer.Proto
	m.Peer = r.c.peer(remote)
	if m.Peer.Trusted {
		m.Peer.Proto = proto
	}
	x, err := r.c.s.gate.Begin(&m, came)
	if err != nil {
		r.refuse(err)
		return
	}
	if err := r.read(x, m.Length); err != nil {
		x.Drop()
		r.refuse(err)
		return
	}
	defer x.End()
	x.Client = r
	a, there := r.c.s.gate.Engine.Do(r.ctx, &x.Request)
	defer a.Release()
	if !there {
		if why := r.why.Load(); why != nil {
			r.refuse(*why)
		} else {
			r.finish(nil) // nobody waits
		}
		return
	}
	switch a.Kind {
	case engine.Served:
		r.pass(x, &a)
	case engine.Rejected:
		after := ""
		if a.RetryAfter > 0 {
			after = "Retry-After: " + frontend.RetryAfter(a.RetryAfter, x.Route.Plain != nil) + "\r\n"
		}
		r.say(http.StatusServiceUnavailable, after, "turned away, trying again is harmless")
	default:
		if f := x.Body.Stream(); f != nil {
			if err := f.Err(); err != nil && err != io.EOF && err != body.ErrConsumed {
				r.refuse(err)
				return
			}
		}
		r.say(http.StatusBadGateway, "", "failed, it may have been done")
	}
}

// Gone looks whether the client has left: the web server has called its request off, or has ended the
// connection, also where that is not read as a body that nobody takes stands before it.
func (r *request) Gone() bool {
	if r.c.ended() {
		r.cancel()
	}
	return r.ctx.Err() != nil
}

// read reads the part of the body that is held; what is more flows.
func (r *request) read(x *frontend.Entry, length int64) error {
	pace, most := body.Pace{IdleTimeout: halfTime}, int64(frontend.MaxBufferedBytes)
	s := x.Route.Streams
	if s != nil {
		pace, most = s.Upload, x.HoldMost()
	}
	if length >= 0 {
		most = min(most, length)
	}
	src := &stdin{r: r, x: x, length: length, meter: body.Meter{Pace: pace}}
	if s != nil {
		src.most = s.MaxBodyBytes
	}
	held, err := x.Page(most)
	if err != nil {
		return err
	}
	n := 0
	for n < len(held) && err == nil {
		var k int
		k, err = src.Read(held[n:])
		n += k
	}
	if err == nil && (length >= 0 && int64(n) == length) {
		_, err = src.Read(make([]byte, 1)) // its end, or one byte too many
	}
	switch {
	case err == io.EOF:
		x.Body = body.NewBuffered(held[:n])
		x.Arrived(time.Now())
		return nil
	case err != nil:
		return err
	case s == nil:
		return frontend.Bad(http.StatusRequestEntityTooLarge, "the body is longer than %d bytes", frontend.MaxBufferedBytes)
	}
	x.Body = body.NewStreamed(held[:n], body.NewStream(src, length))
	x.Arrived(time.Now())
	return nil
}

// stdin is where a request's body flows from.
type stdin struct {
	r      *request
	x      *frontend.Entry
	meter  body.Meter
	length int64 // -1: not told
	most   int64 // 0: any
	read   int64
}

// Read reads on, with the pace that the client must keep.
func (s *stdin) Read(p []byte) (int, error) {
	began := time.Now()
	n, err := s.r.in.Read(p, s.meter.Timeout())
	s.read += int64(n)
	switch slow := s.meter.Record(n, time.Since(began)); {
	case errors.Is(err, os.ErrDeadlineExceeded), slow != nil && err == nil:
		return n, errSlow
	case s.most > 0 && s.read > s.most:
		return 0, frontend.Bad(http.StatusRequestEntityTooLarge, "the body is longer than %d bytes", s.most)
	case s.length >= 0 && s.read > s.length, err == errEnd && s.length > s.read:
		return 0, frontend.Bad(http.StatusBadRequest, "STDIN is not as long as CONTENT_LENGTH says")
	case err == errEnd:
		if !s.x.Body.Buffered() {
			s.x.ArrivedLate(time.Now())
		}
		return n, io.EOF
	}
	return n, err
}

// Trailer is none: CGI has no such thing.
func (s *stdin) Trailer() http.Header { return nil }

// Close ends a Read that waits; what still comes is dropped.
func (s *stdin) Close(bool) { s.r.in.CloseRead() }

// refuse answers a request that goes to no host, or whose body can't be had.
func (r *request) refuse(err error) {
	if err == errGone || err == body.ErrConsumed {
		r.finish(nil)
		return
	}
	var turned *frontend.Turned
	after, status := "", frontend.Status(err)
	if errors.As(err, &turned) {
		after = "Retry-After: " + frontend.RetryAfter(turned.After, true) + "\r\n"
	} else if status == http.StatusServiceUnavailable {
		after = "Retry-After: " + frontend.RetryAfter(frontend.FullRetryAfter, true) + "\r\n"
	}
	r.say(status, after, err.Error())
}

// say answers with a text of ours.
func (r *request) say(status int, more, text string) { r.finish(answerOf(status, more, text)) }

// answerOf is a whole answer with a text of ours.
func answerOf(status int, more, text string) []byte {
	return []byte("Status: " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n" +
		"Content-Type: text/plain; charset=utf-8\r\nX-Content-Type-Options: nosniff\r\n" + more +
		"Content-Length: " + strconv.Itoa(len(text)+1) + "\r\n\r\n" + text + "\n")
}

// say answers a request that never came to a host, with a text of ours.
func (c *conn) say(id uint16, status int, text string) {
	out := fastcgi.AppendStream(nil, fastcgi.Stdout, id, answerOf(status, "", text))
	out = fastcgi.AppendStreamEnd(out, fastcgi.Stdout, id)
	c.write(fastcgi.AppendEndRequest(out, id, fastcgi.EndRequestBody{}), time.Second)
}

// buffers are for records on their way out.
var buffers = sync.Pool{New: func() any { b := make([]byte, 0, recordMost+1024); return &b }}

// pass passes on an answer, as it comes.
func (r *request) pass(x *frontend.Entry, a *engine.Response) {
	h := frontend.EndToEnd(a.Header.Clone())
	if p := x.Route.Plain; p != nil {
		p.ResponseHeaders.Apply(h)
	}
	delete(h, "Status")
	if n := a.Body.Len(); n > 0 || a.Body.Buffered() && x.Method != http.MethodHead && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		h["Content-Length"] = []string{strconv.FormatInt(n, 10)}
	} else if v := a.Header["Content-Length"]; len(v) == 1 && x.Method == http.MethodHead {
		h["Content-Length"] = v
	}
	var head strings.Builder
	head.WriteString("Status: " + strconv.Itoa(a.Status) + " " + http.StatusText(a.Status) + "\r\n")
	h.Write(&head) // to a Builder, which takes all
	head.WriteString("\r\n")
	idle := body.Pace{IdleTimeout: stallAlone}.IdleTimeout
	if x.Route.Streams != nil {
		idle = x.Route.Streams.Pace.IdleTimeout
	}
	held := a.Body.Bytes()
	if a.Body.Buffered() && head.Len()+len(held) <= recordMost {
		r.finish(append([]byte(head.String()), held...))
		return
	}
	err := r.put([]byte(head.String()), idle)
	if err == nil {
		err = r.put(held, idle)
	}
	if flow := a.Body.Stream(); err == nil && flow != nil {
		a.FreeHeld()
		err = r.flow(flow, idle)
	}
	r.cut = err != nil
	r.finish(nil)
}

var errNoMemory = errors.New("fastcgi: no memory for what flows")

// flow passes on the part of an answer that flows.
func (r *request) flow(flow *body.Stream, idle time.Duration) error {
	bodies := r.c.s.gate.Bodies
	buf := bodies.AcquireBuffer()
	if buf == nil {
		return errNoMemory
	}
	defer bodies.ReleaseBuffer(buf)
	if err := flow.Consume(); err != nil {
		return err
	}
	for {
		n, err := flow.Read((*buf)[:min(len(*buf), recordMost)])
		if r.ctx.Err() != nil {
			return r.ctx.Err()
		}
		if n > 0 {
			if err := r.put((*buf)[:n], idle); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// put puts a part of the answer out, so much at a time that others have their turn.
func (r *request) put(p []byte, idle time.Duration) error {
	b := buffers.Get().(*[]byte)
	defer buffers.Put(b)
	for len(p) > 0 {
		if r.aborted.Load() {
			return errGone
		}
		n := min(len(p), recordMost)
		*b = fastcgi.AppendRecord((*b)[:0], fastcgi.Stdout, r.id, p[:n])
		if err := r.c.write(*b, idle); err != nil {
			return err
		}
		p = p[n:]
	}
	return nil
}

// finish ends a request with the last of its answer: one END_REQUEST goes out for each, and
// nothing behind it. An answer that could not be finished must not look whole: alone on its
// connection it ends that, and else says so by the exit status, as there is no other way.
func (r *request) finish(last []byte) {
	c := r.c
	b := buffers.Get().(*[]byte)
	defer buffers.Put(b)
	out := (*b)[:0]
	if !r.aborted.Load() {
		out = fastcgi.AppendStream(out, fastcgi.Stdout, r.id, last)
	}
	end := fastcgi.EndRequestBody{}
	if r.cut && !r.aborted.Load() {
		end.AppStatus = 1
	} else {
		out = fastcgi.AppendStreamEnd(out, fastcgi.Stdout, r.id)
	}
	out = fastcgi.AppendEndRequest(out, r.id, end)
	c.mu.Lock()
	delete(c.reqs, r.id)
	alone := len(c.reqs) == 0
	if !r.keep || c.s.leaves() {
		c.last = true
	}
	closes := alone && (c.last || r.cut && !r.aborted.Load())
	c.mu.Unlock()
	if r.cut && alone && !r.aborted.Load() {
		c.in.RequestEnded(r.id)
		c.nc.Close()
		return
	}
	c.in.RequestEnded(r.id) // the peer may use the id again as soon as it has read the record
	c.write(out, stallAlone)
	if closes && c.in.NumOpen() == 0 {
		c.nc.Close()
	}
}
