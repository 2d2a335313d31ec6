package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"

	"github.com/pires/go-proxyproto"
)

// bufferSize is the size of pooled buffers in bytes. It is sufficient for most header sections and most requests.
const bufferSize = 4 << 10

// inputBuffers is the pool of connReader buffers.
var inputBuffers = sync.Pool{New: func() any {
	b := make([]byte, bufferSize)
	return &b
}}

// connReader is a buffered reader of a connection. It only has a buffer while that contains unread bytes, so that an
// idle connection uses no memory for a buffer.
type connReader struct {
	conn *net.TCPConn
	raw  syscall.RawConn

	buf     []byte // nil if there are no unread bytes
	r, w    int    // buf[r:w] is unread
	readErr error  // error of readIntoNewBuffer

	readFunc func(fd uintptr) (done bool) // method value of readIntoNewBuffer, to allocate it only once
}

// init initializes a connReader for a connection.
func (in *connReader) init(conn *net.TCPConn, raw syscall.RawConn) {
	in.conn = conn
	in.raw = raw
	in.readFunc = in.readIntoNewBuffer
}

// buffered returns the number of unread bytes in the buffer.
func (in *connReader) buffered() int { return in.w - in.r }

// unread returns the unread bytes in the buffer. They are valid until the next call of another method.
func (in *connReader) unread() []byte { return in.buf[in.r:in.w] }

// consume removes n bytes from the buffer, and releases the buffer if it becomes empty.
func (in *connReader) consume(n int) {
	in.r += n
	if in.r == in.w {
		in.releaseBuffer()
	}
}

// releaseBuffer releases the buffer and discards its unread bytes.
func (in *connReader) releaseBuffer() {
	if cap(in.buf) == bufferSize {
		b := in.buf[:bufferSize]
		inputBuffers.Put(&b)
	}
	in.buf = nil
	in.r = 0
	in.w = 0
}

// makeRoom ensures that there is free space after the unread bytes, by moving them to the front or growing the buffer.
func (in *connReader) makeRoom() {
	if in.r > 0 {
		in.w = copy(in.buf, in.unread())
		in.r = 0
	}
	if in.w < len(in.buf) {
		return
	}
	larger := make([]byte, 2*len(in.buf))
	n := copy(larger, in.buf)
	in.releaseBuffer()
	in.buf = larger
	in.w = n
}

// readIntoNewBuffer reads into a new buffer without blocking, and returns false if there is nothing to read. After an
// error or at the end of the connection it leaves the buffer unset and sets readErr. It is passed to
// syscall.RawConn.Read.
func (in *connReader) readIntoNewBuffer(fd uintptr) (done bool) {
	b := inputBuffers.Get().(*[]byte)
	n, err := readRetryInterrupted(fd, *b)
	if n > 0 {
		in.buf = *b
		in.r = 0
		in.w = n
		return true
	}
	inputBuffers.Put(b)
	if err == syscall.EAGAIN {
		return false
	}
	in.readErr = io.EOF
	if err != nil {
		in.readErr = os.NewSyscallError("read", err)
	}
	return true
}

// readRetryInterrupted calls read(2), and repeats it if it was interrupted by a signal.
func readRetryInterrupted(fd uintptr, b []byte) (int, error) {
	for {
		n, err := syscall.Read(int(fd), b)
		if err != syscall.EINTR {
			return n, err
		}
	}
}

// fill blocks until bytes arrive or the read deadline passes, and reads them into the buffer after the unread bytes.
func (in *connReader) fill() error {
	if in.buf == nil {
		in.readErr = nil
		if err := in.raw.Read(in.readFunc); err != nil {
			return err
		}
		return in.readErr
	}
	in.makeRoom()
	n, err := in.conn.Read(in.buf[in.w:])
	in.w += n
	return err
}

// readAvailable reads the bytes that have already arrived into the buffer, without blocking and regardless of the read
// deadline. It reports whether there were any.
func (in *connReader) readAvailable() bool {
	before := in.buffered()
	in.raw.Control(func(fd uintptr) { // the only error is that the connection is closed
		if in.buf == nil {
			in.readIntoNewBuffer(fd)
			return
		}
		in.makeRoom()
		n, _ := readRetryInterrupted(fd, in.buf[in.w:])
		in.w += max(n, 0)
	})
	return in.buffered() > before
}

// readMore blocks until bytes arrive or the read deadline passes, and reports whether any bytes were read. After the
// deadline, or if the table has set one in the past to close the connection, it reads the bytes that have already
// arrived.
func (in *connReader) readMore() bool {
	err := in.fill()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return in.readAvailable()
	}
	return err == nil
}

// Read reads from the buffer if it has unread bytes, and from the connection otherwise.
func (in *connReader) Read(p []byte) (int, error) {
	if in.buffered() > 0 {
		n := copy(p, in.unread())
		in.consume(n)
		return n, nil
	}
	return in.conn.Read(p)
}

// proxyHeaderBufferSize is the size in bytes of the buffer from which a PROXY header is read. It is sufficient for the
// longest header in use, a version 2 header with addresses, and some of the bytes after it.
const proxyHeaderBufferSize = 512

// readProxyHeader reads a PROXY header of version 1 or 2 and returns the address of the client. It returns the zero
// Addr if the header contains no address, as in health checks that the proxy sends itself.
func (in *connReader) readProxyHeader() (netip.Addr, error) {
	r := bufio.NewReaderSize(in.conn, proxyHeaderBufferSize)
	header, err := proxyproto.Read(r)
	if err != nil {
		return netip.Addr{}, fmt.Errorf("read PROXY header: %w", err)
	}
	if n := r.Buffered(); n > 0 {
		rest, _ := r.Peek(n) // can't fail, as n bytes are buffered
		b := inputBuffers.Get().(*[]byte)
		in.buf = *b
		in.r = 0
		in.w = copy(in.buf, rest)
	}
	source, isTCP := header.SourceAddr.(*net.TCPAddr)
	if !isTCP || header.Command.IsLocal() {
		return netip.Addr{}, nil
	}
	addr, _ := netip.AddrFromSlice(source.IP)
	return addr, nil
}
