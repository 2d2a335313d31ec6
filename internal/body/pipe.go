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
	capacity int // bytes

	mu         sync.Mutex // guards all to readClosed
	buf        []byte
	consumed   int   // bytes at the start of buf that have been read
	err        error // what Read returns after the last byte; nil: the stream has not ended
	readClosed bool

	readable chan struct{} // has an item when data or the end of the stream has arrived since the last wait
	writable chan struct{} // has an item when there is room, or the reader has closed the pipe, since the last wait
}

// NewPipe returns a Pipe that holds at most capacity bytes.
func NewPipe(capacity int) *Pipe {
	return &Pipe{capacity: capacity, readable: make(chan struct{}, 1), writable: make(chan struct{}, 1)}
}

// notify puts an item into a channel with room for one, unless it has one.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Write writes all of b, and waits for room no longer than timeout in all. If there is none in time it discards the
// rest of b and returns ErrPipeFull. After CloseRead or CloseWrite it discards b and returns nil.
func (p *Pipe) Write(b []byte, timeout time.Duration) error {
	var timer *time.Timer
	for {
		n, closed := p.append(b)
		if closed {
			return nil
		}
		b = b[n:]
		if n > 0 {
			notify(p.readable)
		}
		if len(b) == 0 {
			return nil
		}
		if timer == nil {
			timer = time.NewTimer(timeout)
			defer timer.Stop()
		}
		select {
		case <-p.writable:
		case <-timer.C:
			return ErrPipeFull
		}
	}
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
	n = min(len(b), p.capacity-(len(p.buf)-p.consumed))
	p.buf = append(p.buf, b[:n]...)
	return n, false
}

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
		p.buf = p.buf[:0]
		p.consumed = 0
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

// CloseRead closes the pipe for the reader. A Read in progress ends, and further writes are discarded.
func (p *Pipe) CloseRead() {
	p.mu.Lock()
	p.readClosed = true
	p.buf = nil
	p.consumed = 0
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
