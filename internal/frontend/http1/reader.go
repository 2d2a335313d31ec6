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

// bufferSize is the size of pooled buffers in bytes. It holds most header sections, and most requests.
const bufferSize = 4 << 10

// inputBuffers are buffers of connReaders.
var inputBuffers = sync.Pool{New: func() any {
	b := make([]byte, bufferSize)
	return &b
}}

// connReader reads from a connection. It has a buffer only while there are unread bytes in it, so that a connection that
// waits costs no memory for one.
type connReader struct {
	conn *net.TCPConn
	raw  syscall.RawConn

	buf     []byte // nil: there are no unread bytes
	r, w    int    // buf[r:w] is unread
	readErr error  // of readIntoNewBuffer

	readFunc func(fd uintptr) (done bool) // readIntoNewBuffer, as a value that is allocated once
}

// init sets up a connReader of a connection.
func (in *connReader) init(conn *net.TCPConn, raw syscall.RawConn) {
	in.conn = conn
	in.raw = raw
	in.readFunc = in.readIntoNewBuffer
}

// buffered returns the number of unread bytes in the buffer.
func (in *connReader) buffered() int { return in.w - in.r }

// unread returns the unread bytes in the buffer, valid until the next call.
func (in *connReader) unread() []byte { return in.buf[in.r:in.w] }

// consume removes n bytes from the buffer, and releases the buffer if it is empty then.
func (in *connReader) consume(n int) {
	in.r += n
	if in.r == in.w {
		in.releaseBuffer()
	}
}

// releaseBuffer releases the buffer, with what is in it.
func (in *connReader) releaseBuffer() {
	if cap(in.buf) == bufferSize {
		b := in.buf[:bufferSize]
		inputBuffers.Put(&b)
	}
	in.buf = nil
	in.r = 0
	in.w = 0
}

// makeRoom makes room after the unread bytes.
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

// readIntoNewBuffer reads without waiting into a new buffer, and returns false if there is nothing to read. After an error
// or the end of the connection there is no buffer, and readErr is set. It is for syscall.RawConn.
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

// readRetryInterrupted is read(2), repeated if a signal has interrupted it.
func readRetryInterrupted(fd uintptr, b []byte) (int, error) {
	for {
		n, err := syscall.Read(int(fd), b)
		if err != syscall.EINTR {
			return n, err
		}
	}
}

// fill waits for bytes, until the read deadline, and reads them into the buffer after the unread ones.
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

// readAvailable reads what has arrived into the buffer, without waiting and whatever the read deadline, and reports whether
// that was anything.
func (in *connReader) readAvailable() bool {
	before := in.buffered()
	in.raw.Control(func(fd uintptr) { // fails if the connection is closed
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

// readMore waits for bytes and reports whether any have arrived. Those that arrive as the wait ends, by its own deadline or
// because the connection is to be closed, count.
func (in *connReader) readMore() bool {
	err := in.fill()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return in.readAvailable()
	}
	return err == nil
}

// Read reads from the buffer if it has unread bytes, and else from the connection.
func (in *connReader) Read(p []byte) (int, error) {
	if in.buffered() > 0 {
		n := copy(p, in.unread())
		in.consume(n)
		return n, nil
	}
	return in.conn.Read(p)
}

// proxyHeaderBufferSize is how much is read with a PROXY header, in bytes. It holds the longest in use, with the addresses
// of version 2, and some of what follows.
const proxyHeaderBufferSize = 512

// readProxyHeader reads a PROXY header of version 1 or 2 and returns the address of the client. The address is invalid if
// the header has none, as for health checks of the proxy itself.
func (in *connReader) readProxyHeader() (netip.Addr, error) {
	r := bufio.NewReaderSize(in.conn, proxyHeaderBufferSize)
	header, err := proxyproto.Read(r)
	if err != nil {
		return netip.Addr{}, fmt.Errorf("read PROXY header: %w", err)
	}
	if n := r.Buffered(); n > 0 {
		rest, _ := r.Peek(n) // no error, as they are buffered
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
