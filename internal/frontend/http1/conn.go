package http1

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pires/go-proxyproto"

	"dunemoor/internal/body"
	"dunemoor/internal/frontend"
	"dunemoor/internal/httpwire"
)

// clientConn is a client's connection. Its requests come one after the other, each read,
// answered and done with before the next is looked at. There is a buffer only while there is
// something in it.
type clientConn struct {
	*net.TCPConn
	raw   syscall.RawConn
	among *leaving
	id    uint64 // among those watched for leaving
	opts  *ListenOptions

	peer frontend.ClientAddress

	ctx  context.Context // ends when the client leaves
	left context.CancelFunc

	buf     []byte // in[r:w] of it is to be read; nil: nothing
	r, w    int
	readErr error
	try     func(fd uintptr) bool // tryRead, made once

	toEnd  atomic.Bool // an answer flows that ends with the connection
	last   bool        // it was told to end when this request was there already
	unread time.Time   // since when the request that comes next may have been there; zero: it has just come
	idleBy time.Time   // the read deadline that stands, if it is that of a wait for a request; else zero
	out    body.LazyDeadline

	exchange

	// clients.mu guards these.
	use   use
	in    *list.List
	place *list.Element
	since time.Time
}

// exchange is the request that is on, and how far its answer has come. It is the connection's,
// used again for each.
type exchange struct {
	req   httpwire.Request
	body  *bodyReader // nil: it has none
	flows *clientSource
	close bool // the connection ends behind the answer

	mu       sync.Mutex // held to write what comes ahead of the answer
	answered bool       // the final head has been begun: nothing may come ahead of it any more
}

// inputSize holds most heads, and most requests.
const inputSize = 4 << 10

var inputs = sync.Pool{New: func() any { b := make([]byte, inputSize); return &b }}

func newClientConn(c *net.TCPConn, opts *ListenOptions) (*clientConn, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	k := &clientConn{TCPConn: c, raw: raw, opts: opts}
	k.ctx, k.left = context.WithCancel(context.Background())
	k.try = k.tryRead
	k.out.SetDeadline = c.SetWriteDeadline
	return k, nil
}

// tryRead reads what is there, into a buffer that is taken for it.
func (c *clientConn) tryRead(fd uintptr) bool {
	b := inputs.Get().(*[]byte)
	for {
		n, err := syscall.Read(int(fd), *b)
		if err == syscall.EINTR {
			continue
		}
		if n > 0 {
			c.buf, c.r, c.w = *b, 0, n
			return true
		}
		inputs.Put(b)
		if err == syscall.EAGAIN {
			return false
		}
		if c.readErr = io.EOF; err != nil {
			c.readErr = os.NewSyscallError("read", err)
		}
		return true
	}
}

// Gone looks whether the client has left.
func (c *clientConn) Gone() bool {
	c.among.look()
	return c.ctx.Err() != nil
}

func (c *clientConn) buffered() int { return c.w - c.r }

// took takes n bytes out of the buffer, and lets go of it with the last.
func (c *clientConn) took(n int) {
	if c.r += n; c.r == c.w {
		c.free()
	}
}

func (c *clientConn) free() {
	if cap(c.buf) == inputSize {
		b := c.buf[:inputSize]
		inputs.Put(&b)
	}
	c.buf, c.r, c.w = nil, 0, 0
}

// fill reads more, behind what is buffered.
func (c *clientConn) fill() error {
	if c.buf == nil {
		c.readErr = nil
		if err := c.raw.Read(c.try); err != nil {
			return err
		}
		return c.readErr
	}
	c.grow()
	n, err := c.TCPConn.Read(c.buf[c.w:])
	c.w += n
	return err
}

// grow makes room behind what is buffered.
func (c *clientConn) grow() {
	if c.r > 0 {
		c.r, c.w = 0, copy(c.buf, c.buf[c.r:c.w])
	}
	if c.w == len(c.buf) {
		more := make([]byte, 2*len(c.buf))
		n := copy(more, c.buf)
		c.free()
		c.buf, c.w = more, n
	}
}

// look reads what is there, whatever deadline has passed, and says whether that was anything.
func (c *clientConn) look() bool {
	had := c.buffered()
	c.raw.Control(func(fd uintptr) { // it fails where the connection is closed
		if c.buf == nil {
			c.tryRead(fd)
			return
		}
		c.grow()
		for {
			n, err := syscall.Read(int(fd), c.buf[c.w:])
			if err == syscall.EINTR {
				continue
			}
			c.w += max(n, 0)
			return
		}
	})
	return c.buffered() > had
}

// more reads what comes next. What has come in the instant in which the wait for it ends, by its
// deadline or as the connection is told to end, has come.
func (c *clientConn) more() bool {
	err := c.fill()
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded) && c.look()
}

// Read reads from the connection, first what is buffered.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.buffered() > 0 {
		n := copy(p, c.buf[c.r:c.w])
		c.took(n)
		return n, nil
	}
	return c.TCPConn.Read(p)
}

// proxyRead is how much is read ahead with a PROXY header: the longest in use fit, with the
// addresses of version 2 and some of what may follow them.
const proxyRead = 512

var errProxy = errors.New("http1: a connection from where PROXY headers are not taken")

// begin finds out whose connection it is. Where a PROXY header has to come first, whoever sends
// none, or may not, is not heard.
func (c *clientConn) begin() error {
	addr := c.addr()
	if c.opts.ProxyProtocol {
		if len(c.opts.TrustedProxies) > 0 && !c.opts.trusts(addr) {
			return errProxy
		}
		in := bufio.NewReaderSize(c.TCPConn, proxyRead)
		h, err := proxyproto.Read(in)
		if err != nil {
			return err
		}
		if a, ok := h.SourceAddr.(*net.TCPAddr); ok && !h.Command.IsLocal() {
			if named, ok := netip.AddrFromSlice(a.IP); ok {
				addr = named
			}
		}
		if n := in.Buffered(); n > 0 {
			b := inputs.Get().(*[]byte)
			c.buf = *b
			c.r, c.w = 0, copy(c.buf, peek(in, n))
		}
	}
	c.peer = frontend.ClientAddress{Addr: addr, Proto: "http", Trusted: c.opts.trusts(addr)}
	return nil
}

// peek is what is buffered.
func peek(in *bufio.Reader, n int) []byte {
	b, _ := in.Peek(n) // it is there
	return b
}

// addr is where the connection itself comes from.
func (c *clientConn) addr() netip.Addr {
	if a, ok := c.TCPConn.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// run serves a connection to its end.
func (s *Server) run(c *clientConn) {
	defer s.end(c)
	defer func() {
		if p := recover(); p != nil {
			// One request must not take all the others with it.
			slog.Error("a request's handling broke off", "cause", p, "stack", string(debug.Stack()))
		}
	}()
	if err := c.begin(); err != nil {
		return
	}
	for first := true; s.next(c, first); first = false {
	}
}

// next serves the next request, and says whether another may come.
func (s *Server) next(c *clientConn, first bool) bool {
	if !first && c.buffered() == 0 && !s.await(c) {
		s.lingeringClose(c, lingerTime, lingerBytes)
		return false
	}
	bad := s.readHead(c, first)
	if bad == errNoRequest {
		s.lingeringClose(c, lingerTime, lingerBytes)
		return false
	}
	if first {
		s.clients.take(c)
	}
	if bad != nil {
		s.turnAway(c, bad)
		return false
	}
	came := time.Now()
	if !c.unread.IsZero() {
		came, c.unread = c.unread, time.Time{}
	}
	if !s.serve(c, came) {
		return false
	}
	if c.close || !s.finishBody(c) {
		s.lingeringClose(c, lingerTime, lingerBytes)
		return false
	}
	c.req.Header = nil
	return c.ctx.Err() == nil
}

// end closes a connection and forgets it.
func (s *Server) end(c *clientConn) {
	s.clients.gone(c)
	s.leavers.drop(c)
	c.TCPConn.Close()
	c.left()
}

// lingeringClose ends a connection in order: our side first, then what its client still
// sends is read and dropped, for a time and so many bytes. A close with bytes unread resets the
// connection, and the reset may overtake the last answer. Nothing that is read here is a request:
// whoever sent it sees the end come across it. If a part of this fails the client has gone.
func (s *Server) lingeringClose(c *clientConn, most time.Duration, bytes int64) {
	c.CloseWrite()
	c.SetReadDeadline(time.Now().Add(most)) // ahead of spend, behind which it may be woken
	if s.clients.spend(c) {
		c.free()
		io.CopyN(io.Discard, c.TCPConn, bytes)
	}
}

// await waits for the next request, and says whether its first bytes have come.
func (s *Server) await(c *clientConn) bool {
	// One deadline serves many requests: it is set anew when less than idleTimeout is left of it.
	if now := time.Now(); c.idleBy.Sub(now) < idleTimeout {
		c.idleBy = now.Add(idleTimeout + idleTimeout/4)
		c.SetReadDeadline(c.idleBy)
	}
	s.clients.rest(c) // behind the deadline: from here on it may be woken
	if !c.more() {
		return false
	}
	s.clients.take(c)
	return true
}

var (
	errNoRequest = errors.New("http1: no request comes")
	errLongHead  = frontend.Bad(http.StatusRequestHeaderFieldsTooLarge, "the head is too long")
)

// readHead reads a head. errNoRequest says that none will come; any other error is answered.
func (s *Server) readHead(c *clientConn, first bool) error {
	c.body, c.flows, c.close, c.answered = nil, nil, false, false
	c.req = httpwire.Request{}
	timed := first // by the deadline that stands
	looked := 0
	for {
		if looked == 0 && c.buffered() > 0 {
			c.took(httpwire.LeadingEmptyLine(c.buf[c.r:c.w]))
		}
		if end := httpwire.HeaderEnd(c.buf[c.r:c.w], looked); end >= 0 {
			if end > s.headMost {
				return errLongHead
			}
			err := httpwire.ParseRequest(c.buf[c.r:c.r+end], &c.req)
			c.took(end)
			if timed {
				c.idleBy = time.Time{}
			}
			if err != nil {
				c.req = httpwire.Request{}
				return frontend.Bad(httpwire.StatusForError(err), "%v", err)
			}
			if c.req.ContentLength != 0 {
				c.body = newBodyReader(c)
			}
			c.close = c.req.Close
			return nil
		}
		if looked = c.buffered(); looked > s.headMost {
			return errLongHead
		}
		if !timed {
			timed = true
			c.SetReadDeadline(time.Now().Add(requestTimeout))
		}
		if !c.more() {
			return errNoRequest
		}
	}
}

// finishBody reads what was left of a request's body, so that the next request can be read.
func (s *Server) finishBody(c *clientConn) bool {
	b := c.body
	if b == nil {
		return true
	}
	c.idleBy = time.Time{} // reading it has set others
	if b.end == nil {
		if b.chunks != nil || b.left > frontend.MaxBufferedBytes {
			return false
		}
		c.SetReadDeadline(time.Now().Add(requestTimeout))
		if _, err := io.Copy(io.Discard, b); err != nil {
			return false
		}
	}
	return b.end == io.EOF
}

// bodyReader reads the body of a request from its connection.
type bodyReader struct {
	c       *clientConn
	left    int64                    // of a length
	chunks  *httpwire.ChunkedDecoder // nil: it has a length
	unasked bool                     // the client waits to be asked for it
	end     error                    // what stands behind its last byte, once that is read
}

func newBodyReader(c *clientConn) *bodyReader {
	b := &bodyReader{c: c, left: c.req.ContentLength, unasked: c.req.ExpectContinue}
	if c.req.ContentLength < 0 {
		b.chunks = &httpwire.ChunkedDecoder{}
	}
	return b
}

var proceed = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// Read reads on. io.EOF comes with the last byte or behind it, and only where the body is whole.
func (b *bodyReader) Read(p []byte) (n int, err error) {
	if b.end != nil {
		return 0, b.end
	}
	if len(p) == 0 {
		return 0, nil
	}
	if b.unasked {
		b.unasked = false
		if err := b.c.ahead(proceed); err != nil {
			return 0, err
		}
	}
	if b.chunks == nil {
		n, err = b.take(p, b.left)
		if b.left -= int64(n); b.left == 0 {
			err = io.EOF
		}
	} else {
		n, err = b.takeChunk(p)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		b.end = err
	}
	return n, err
}

// take reads up to most bytes, past the buffer where that is empty and p is large.
func (b *bodyReader) take(p []byte, most int64) (n int, err error) {
	c := b.c
	p = p[:min(int64(len(p)), most)]
	if c.buffered() == 0 && len(p) < inputSize {
		if err := c.fill(); err != nil {
			return 0, unexpected(err)
		}
	}
	n, err = c.Read(p)
	return n, unexpected(err)
}

// unexpected is the error of a body whose connection ended within it.
func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (b *bodyReader) takeChunk(p []byte) (int, error) {
	c := b.c
	for !b.chunks.Done() {
		if most := b.chunks.Remaining(); most > 0 && c.buffered() == 0 {
			n, err := b.take(p, most)
			b.chunks.Consume(int64(n))
			return n, err
		}
		if c.buffered() == 0 {
			if err := c.fill(); err != nil {
				return 0, unexpected(err)
			}
		}
		used, content, err := b.chunks.Next(c.buf[c.r:min(c.w, c.r+len(p))])
		n := copy(p, content)
		c.took(used)
		if err != nil {
			return n, err
		}
		if n > 0 {
			return n, nil
		}
	}
	return 0, io.EOF
}

// Trailer is what stood behind the last chunk.
func (b *bodyReader) Trailer() http.Header {
	if b.chunks == nil {
		return nil
	}
	return b.chunks.Trailer
}

// ahead writes what comes ahead of the final answer, unless that has been begun.
func (c *clientConn) ahead(text []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answered {
		return nil
	}
	c.out.Reset(time.Now(), writeTimeout)
	_, err := c.TCPConn.Write(text)
	return err
}

// inform passes on an answer of a host that comes ahead of the final one. HTTP/1.0 has none
// (RFC 9110, 15.2).
func (c *clientConn) inform(status int, header http.Header) {
	if c.req.HTTP10 {
		return
	}
	b := httpwire.AppendStatusLine(nil, false, status)
	b = append(httpwire.AppendHeader(b, frontend.EndToEnd(header.Clone())), "\r\n"...)
	c.ahead(b) // if it fails the client has gone
}

// Lengths of answers that have none.
const (
	inChunks = -1 // or up to the connection's end
	noLength = -2
)

// beginHead notes that the final answer is begun, and appends its first line.
func (c *clientConn) beginHead(b []byte, status int) []byte {
	c.mu.Lock()
	c.answered = true
	c.mu.Unlock()
	return httpwire.AppendStatusLine(b, c.req.HTTP10, status)
}

// endHead appends how the body is framed and what becomes of the connection, and ends a head. An
// HTTP/1.0 client sees the end of a body without a length by the connection's.
func (c *clientConn) endHead(b []byte, length int64) []byte {
	switch {
	case length >= 0:
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, length, 10)
		b = append(b, "\r\n"...)
	case length == inChunks && c.req.HTTP10:
		c.close = true
	case length == inChunks:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	}
	switch {
	case c.close:
		b = append(b, "Connection: close\r\n"...)
	case c.req.HTTP10:
		b = append(b, "Connection: keep-alive\r\n"...)
	}
	return append(b, "\r\n"...)
}

// head appends the head of the final answer.
func (c *clientConn) head(b []byte, now time.Time, status int, h http.Header, length int64) []byte {
	b = httpwire.AppendHeader(c.beginHead(b, status), h)
	if _, there := h["Date"]; !there {
		b = httpwire.AppendDate(b, now)
	}
	return c.endHead(b, length)
}

// outputs are buffers for heads and short answers.
var outputs = sync.Pool{New: func() any { b := make([]byte, 0, inputSize); return &b }}

// joinMost is up to which size what follows a head is copied behind it: beyond, one system call
// for both costs less.
const joinMost = 16 << 10

// send writes a whole answer.
func (c *clientConn) send(status int, h http.Header, length int64, text []byte) error {
	buf := outputs.Get().(*[]byte)
	now := time.Now()
	return c.flush(buf, c.head((*buf)[:0], now, status, h, length), text, now)
}

// flush writes a head, which is in a buffer of outputs or has outgrown it, and what follows it.
func (c *clientConn) flush(buf *[]byte, head, text []byte, now time.Time) error {
	c.out.Reset(now, writeTimeout)
	var err error
	if len(text) <= joinMost {
		head = append(head, text...)
		_, err = c.TCPConn.Write(head)
	} else {
		parts := net.Buffers{head, text}
		_, err = parts.WriteTo(c.TCPConn)
	}
	if cap(head) <= 2*joinMost {
		*buf = head
		outputs.Put(buf)
	}
	return err
}

// fail answers with an error of ours.
func (c *clientConn) fail(status int, text string, retryAfter string) error {
	buf := outputs.Get().(*[]byte)
	b := c.beginHead((*buf)[:0], status)
	b = append(b, "Content-Type: text/plain; charset=utf-8\r\nX-Content-Type-Options: nosniff\r\n"...)
	if retryAfter != "" {
		b = append(append(append(b, "Retry-After: "...), retryAfter...), "\r\n"...)
	}
	now := time.Now()
	b = c.endHead(httpwire.AppendDate(b, now), int64(len(text)+1))
	if c.req.Method != http.MethodHead {
		b = append(append(b, text...), '\n')
	}
	return c.flush(buf, b, nil, now)
}

// lastChunk is the end of a body in chunks, with its trailer.
func lastChunk(b []byte, trailer http.Header) []byte {
	b = append(b, "0\r\n"...)
	return append(httpwire.AppendHeader(b, trailer), "\r\n"...)
}
