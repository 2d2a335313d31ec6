package body

import (
	"errors"
	"os"
	"sync"
	"time"
)

// Pipe carries a flow from one goroutine to another through memory of a bounded size. It is for
// protocols that carry several flows on one connection: who reads the connection must not wait
// for one of them for long.
type Pipe struct {
	most int

	mu     sync.Mutex
	buf    []byte // buf[at:] is to be read
	at     int
	end    error // what stands behind the last byte; nil: there may be more
	closed bool  // nobody reads any more

	more, room chan struct{} // hold an item when something has changed
}

// ErrPipeFull says that a pipe's reader has not made room in time.
var ErrPipeFull = errors.New("body: nobody takes what comes")

// NewPipe returns a Pipe that holds so many bytes at most.
func NewPipe(most int) *Pipe {
	return &Pipe{most: most, more: make(chan struct{}, 1), room: make(chan struct{}, 1)}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // nobody has seen the one before
	}
}

// Write puts in all of b and waits for room for so long in all. What has no room then is lost,
// with ErrFull. What nobody reads any more is taken and dropped.
func (p *Pipe) Write(b []byte, wait time.Duration) error {
	var timer *time.Timer
	for {
		p.mu.Lock()
		if p.closed || p.end != nil {
			p.mu.Unlock()
			return nil
		}
		if p.at > 0 && len(p.buf)+len(b) > cap(p.buf) {
			p.buf = p.buf[:copy(p.buf, p.buf[p.at:])]
			p.at = 0
		}
		n := min(len(b), p.most-(len(p.buf)-p.at))
		p.buf = append(p.buf, b[:n]...)
		b = b[n:]
		p.mu.Unlock()
		if n > 0 {
			signal(p.more)
		}
		if len(b) == 0 {
			return nil
		}
		if timer == nil {
			timer = time.NewTimer(wait)
			defer timer.Stop()
		}
		select {
		case <-p.room:
		case <-timer.C:
			return ErrPipeFull
		}
	}
}

// CloseWrite ends the flow behind what is in it: io.EOF where it is whole, or why it is not. Only the
// first call counts.
func (p *Pipe) CloseWrite(err error) {
	p.mu.Lock()
	if p.end == nil {
		p.end = err
	}
	p.mu.Unlock()
	signal(p.more)
	signal(p.room)
}

// Read takes what is there, or waits for so long; 0: not at all. os.ErrDeadlineExceeded says that
// nothing has come.
func (p *Pipe) Read(b []byte, wait time.Duration) (int, error) {
	var timer *time.Timer
	for {
		p.mu.Lock()
		if n := copy(b, p.buf[p.at:]); n > 0 || len(b) == 0 {
			if p.at += n; p.at == len(p.buf) {
				p.buf, p.at = p.buf[:0], 0
			}
			p.mu.Unlock()
			signal(p.room)
			return n, nil
		}
		end := p.end
		if p.closed {
			end = ErrConsumed
		}
		p.mu.Unlock()
		if end != nil {
			return 0, end
		}
		if wait <= 0 {
			return 0, os.ErrDeadlineExceeded
		}
		if timer == nil {
			timer = time.NewTimer(wait)
			defer timer.Stop()
		}
		select {
		case <-p.more:
		case <-timer.C:
			return 0, os.ErrDeadlineExceeded
		}
	}
}

// CloseRead is called by the reader: what comes is dropped from now on, and a Read that waits ends.
func (p *Pipe) CloseRead() {
	p.mu.Lock()
	p.closed, p.buf, p.at = true, nil, 0
	p.mu.Unlock()
	signal(p.more)
	signal(p.room)
}

// Len is how many bytes wait to be read.
func (p *Pipe) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.buf) - p.at
}
