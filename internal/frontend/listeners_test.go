package frontend

import (
	"errors"
	"net"
	"testing"
	"time"
)

// failingListener is a listener whose Accept returns the given errors in order.
type failingListener struct {
	net.Listener
	failures []error
	accepts  int
}

func (l *failingListener) Accept() (net.Conn, error) {
	err := l.failures[l.accepts]
	l.accepts++
	return nil, err
}

func (l *failingListener) Close() error { return nil }

// Serve retries after other errors of Accept, and returns an error only if the listener was closed by other means than
// Close or CloseAll.
func TestListenersServeReturnsErrorIfClosedByOthers(t *testing.T) {
	errTooManyFiles := errors.New("too many open files")
	backoff := AcceptBackoff{Min: time.Millisecond, Max: time.Millisecond}
	for _, tt := range []struct {
		name    string
		removed bool
		want    error
		accepts int
	}{
		{"closed by other means", false, net.ErrClosed, 3},
		{"closed and removed before Serve", true, nil, 0},
	} {
		var listeners Listeners[struct{}]
		ln := &failingListener{failures: []error{errTooManyFiles, errTooManyFiles, net.ErrClosed}}
		listeners.Add(ln)
		if tt.removed {
			listeners.Close(ln)
		}
		err := listeners.Serve(ln, backoff, func(net.Conn, *struct{}) { t.Errorf("%s: accepted a connection", tt.name) })
		if err != tt.want || ln.accepts != tt.accepts {
			t.Errorf("%s: got %v after %d accepts, want %v after %d", tt.name, err, ln.accepts, tt.want, tt.accepts)
		}
	}
}

func TestListenersServeEndsAfterCloseAll(t *testing.T) {
	var listeners Listeners[int]
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listeners.SetOptions(ln, 7)
	served := make(chan error, 1)
	options := make(chan int, 1)
	go func() {
		served <- listeners.Serve(ln, AcceptBackoff{}, func(c net.Conn, o *int) {
			options <- *o
			c.Close()
		})
	}()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if got := <-options; got != 7 {
		t.Errorf("listener options passed to the handler: got %d, want 7", got)
	}
	listeners.CloseAll()
	if err := <-served; err != nil {
		t.Errorf("Serve after CloseAll: got %v, want nil", err)
	}
}
