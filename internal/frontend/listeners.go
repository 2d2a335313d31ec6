package frontend

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Listeners is the set of listeners of a frontend, each with its options. The zero value is an empty set. Its methods
// are safe for concurrent use.
type Listeners[Options any] struct {
	mu      sync.Mutex // guards options
	options map[net.Listener]*atomic.Pointer[Options]
}

// AcceptBackoff bounds the delay before Accept is retried after a failure. The delay doubles with each consecutive
// failure.
type AcceptBackoff struct{ Min, Max time.Duration }

// SetOptions sets the options of a listener. They apply to connections that are accepted afterwards.
func (l *Listeners[Options]) SetOptions(ln net.Listener, o Options) { l.Add(ln).Store(&o) }

// Add adds a listener if it is not in the set yet, and returns its options, which are zero until SetOptions is called.
func (l *Listeners[Options]) Add(ln net.Listener) *atomic.Pointer[Options] {
	l.mu.Lock()
	defer l.mu.Unlock()
	options, found := l.options[ln]
	if found {
		return options
	}
	options = new(atomic.Pointer[Options])
	options.Store(new(Options))
	if l.options == nil {
		l.options = map[net.Listener]*atomic.Pointer[Options]{}
	}
	l.options[ln] = options
	return options
}

// Serve calls handle with each connection that ln accepts. The caller must have added ln to the set. Serve returns nil
// once Close or CloseAll has closed ln, and an error if ln was closed by other means. After any other failure of
// Accept, such as a lack of file descriptors or a connection that the client has already aborted, it retries with a
// backoff.
func (l *Listeners[Options]) Serve(ln net.Listener, backoff AcceptBackoff, handle func(net.Conn, *Options)) error {
	options, found := l.get(ln)
	if !found {
		return nil
	}
	wait := time.Duration(0)
	for {
		conn, err := ln.Accept()
		if err == nil {
			wait = 0
			handle(conn, options.Load())
			continue
		}
		if _, found := l.get(ln); !found {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		wait = min(max(2*wait, backoff.Min), backoff.Max)
		time.Sleep(wait)
	}
}

// get returns the options of a listener, and whether it is in the set.
func (l *Listeners[Options]) get(ln net.Listener) (options *atomic.Pointer[Options], found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	options, found = l.options[ln]
	return options, found
}

// Close closes a listener and removes it from the set. Its connections stay open.
func (l *Listeners[Options]) Close(ln net.Listener) {
	l.mu.Lock()
	delete(l.options, ln)
	l.mu.Unlock()
	ln.Close() // the only error is that it is already closed
}

// CloseAll closes all listeners and removes them from the set.
func (l *Listeners[Options]) CloseAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for ln := range l.options {
		delete(l.options, ln)
		ln.Close() // the only error is that it is already closed
	}
}
