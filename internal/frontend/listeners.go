package frontend

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Listeners are the listeners of a frontend, each with its options. The zero value has none. Its methods may be called
// by any goroutine.
type Listeners[Options any] struct {
	mu      sync.Mutex // guards options
	options map[net.Listener]*atomic.Pointer[Options]
}

// AcceptBackoff bounds how long nothing is accepted after Accept has failed. It doubles with each failure in a row.
type AcceptBackoff struct{ Min, Max time.Duration }

// SetOptions sets the options of a listener, for connections that are yet to be accepted.
func (l *Listeners[Options]) SetOptions(ln net.Listener, o Options) { l.Add(ln).Store(&o) }

// Add adds a listener, unless it is there, and returns its options, which are zero unless set.
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

// Serve calls handle with each connection that a listener accepts, which Add has added. It returns nil once Close or
// CloseAll has closed the listener, and an error if the listener was closed otherwise. After any other failure of
// Accept, as descriptors may be short or the client has left already, it waits for backoff and goes on.
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

// get returns the options of a listener, and whether it is there.
func (l *Listeners[Options]) get(ln net.Listener) (options *atomic.Pointer[Options], found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	options, found = l.options[ln]
	return options, found
}

// Close closes and removes a listener. Its connections stay open.
func (l *Listeners[Options]) Close(ln net.Listener) {
	l.mu.Lock()
	delete(l.options, ln)
	l.mu.Unlock()
	ln.Close() // fails only if it is closed
}

// CloseAll closes and removes all listeners.
func (l *Listeners[Options]) CloseAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for ln := range l.options {
		delete(l.options, ln)
		ln.Close() // fails only if it is closed
	}
}
