package body

import (
	"errors"
	"os"
	"sync"
	"time"
)

// ErrPipeFull is returned by Pipe.Write when the reader has not made room in time.
var ErrPipeFull = errors.New("body: pipe is full")

// Pipe passes a stream from one goroutine to another through memory of a bounded size. It is for protocols that
// multiplex streams on one connection, where the reader of the connection must not wait long for one of them.
type Pipe struct {
	capacity int // bytes that the pipe holds without an extension

	mu         sync.Mutex // guards all to readClosed
	buf        []byte
	consumed   int   // bytes at the start of buf that have been read
	err        error // what Read returns after the last byte; nil: the stream has not ended
	extension  extension
	readClosed bool

	readable chan struct{} // has an item when data or the end of the stream has arrived since the last wait
	writable chan struct{} // has an item when there is room, or the reader has closed the pipe, since the last wait
}

// extensionStep is the number of bytes by which a pipe is extended at a time.
const extensionStep = 64 << 10

// extension is memory of a Budget that a pipe uses while its reader is slower than its writer.
type extension struct {
	budget  *Budget // nil: the pipe is not extended
	purpose Purpose
	max     int // bytes
	bytes   int // reserved bytes
}

// grow reserves more memory, and reports whether it was available. While memory is scarce it is not.
func (e *extension) grow() bool {
	if e.budget == nil || e.bytes+extensionStep > e.max || e.budget.NearLimit(e.purpose) {
		return false
	}
	if !e.budget.Reserve(e.purpose, extensionStep) {
		return false
	}
	e.bytes += extensionStep
	return true
}

// release returns the reserved memory, which must not be in use any more.
func (e *extension) release() {
	if e.bytes > 0 {
		e.budget.Release(e.purpose, int64(e.bytes))
		e.bytes = 0
	}
}

// NewPipe returns a Pipe that holds at most capacity bytes.
func NewPipe(capacity int) *Pipe {
	return &Pipe{capacity: capacity, readable: make(chan struct{}, 1), writable: make(chan struct{}, 1)}
}

// ExtendFrom lets the pipe hold up to max bytes beyond its capacity. They are reserved in a budget when they are needed, and
// released once the pipe is empty or closed for reading. It must be called before the pipe is used, and CloseRead must
// be called in the end.
func (p *Pipe) ExtendFrom(budget *Budget, purpose Purpose, max int) {
	p.extension = extension{budget: budget, purpose: purpose, max: max}
}

// notify puts an item into a channel with room for one, unless it has one.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// TryWrite writes as much of b as there is room for, and returns the rest. After CloseRead or CloseWrite it discards b and
// returns nothing.
func (p *Pipe) TryWrite(b []byte) (rest []byte) {
	n, closed := p.append(b)
	if closed {
		return nil
	}
	if n > 0 {
		notify(p.readable)
	}
	return b[n:]
}

// Writable returns a channel that has an item when there may be room since the last TryWrite, or when the pipe was closed.
func (p *Pipe) Writable() <-chan struct{} { return p.writable }

// Write writes all of b, and waits for room no longer than timeout in all. If there is none in time it discards the
// rest of b and returns ErrPipeFull. After CloseRead or CloseWrite it discards b and returns nil.
func (p *Pipe) Write(b []byte, timeout time.Duration) error {
	b = p.TryWrite(b)
	if len(b) == 0 {
		return nil
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for len(b) > 0 {
		select {
		case <-p.writable:
			b = p.TryWrite(b)
		case <-timer.C:
			return ErrPipeFull
		}
	}
	return nil
}

// append appends as much of b as there is room for and returns how many bytes that is, or that the pipe is closed.
func (p *Pipe) append(b []byte) (n int, closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.readClosed || p.err != nil {
		return 0, true
	}
	if p.consumed > 0 && len(p.buf)+len(b) > cap(p.buf) {
		unread := copy(p.buf, p.buf[p.consumed:])
		p.buf = p.buf[:unread]
		p.consumed = 0
	}
	for p.room() < len(b) && p.extension.grow() {
	}
	n = min(len(b), p.room())
	p.buf = append(p.buf, b[:n]...)
	return n, false
}

// room returns how many bytes may be written. The caller holds mu.
func (p *Pipe) room() int { return p.capacity + p.extension.bytes - (len(p.buf) - p.consumed) }

// CloseWrite ends the stream after the bytes in the pipe. err is io.EOF if the stream is complete, and otherwise the
// reason why it is not. Further calls have no effect.
func (p *Pipe) CloseWrite(err error) {
	p.mu.Lock()
	if p.err == nil {
		p.err = err
	}
	p.mu.Unlock()
	notify(p.readable)
	notify(p.writable)
}

// Read reads up to len(b) bytes, and waits for the first no longer than timeout. It returns os.ErrDeadlineExceeded if
// none has come in time, ErrConsumed after CloseRead, and the error of CloseWrite after the last byte.
func (p *Pipe) Read(b []byte, timeout time.Duration) (int, error) {
	var timer *time.Timer
	for {
		n, err := p.take(b)
		if n > 0 || len(b) == 0 {
			notify(p.writable)
			return n, nil
		}
		if err != nil {
			return 0, err
		}
		if timeout <= 0 {
			return 0, os.ErrDeadlineExceeded
		}
		if timer == nil {
			timer = time.NewTimer(timeout)
			defer timer.Stop()
		}
		select {
		case <-p.readable:
		case <-timer.C:
			return 0, os.ErrDeadlineExceeded
		}
	}
}

// take moves bytes from the pipe to b. If the pipe is empty it returns the error that the stream has ended with.
func (p *Pipe) take(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := copy(b, p.buf[p.consumed:])
	p.consumed += n
	if p.consumed == len(p.buf) {
		p.empty()
	}
	switch {
	case n > 0:
		return n, nil
	case p.readClosed:
		return 0, ErrConsumed
	default:
		return 0, p.err
	}
}

// empty prepares the pipe, all of which has been read, for more. The caller holds mu.
func (p *Pipe) empty() {
	p.buf = p.buf[:0]
	p.consumed = 0
	if p.extension.bytes > 0 {
		p.buf = nil
		p.extension.release()
	}
}

// CloseRead closes the pipe for the reader. A Read in progress ends, and further writes are discarded.
func (p *Pipe) CloseRead() {
	p.mu.Lock()
	p.readClosed = true
	p.buf = nil
	p.consumed = 0
	p.extension.release()
	p.mu.Unlock()
	notify(p.readable)
	notify(p.writable)
}

// Len returns how many bytes wait to be read.
func (p *Pipe) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.buf) - p.consumed
}
