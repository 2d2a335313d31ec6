package upstream

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"testing"

	"dunemoor/balancer"
	"dunemoor/internal/body"
	"dunemoor/internal/engine"
)

// scriptedConn is a Conn whose RoundTrip calls before, if it is set, and returns result.
type scriptedConn struct {
	result   engine.Result
	before   func()
	released bool
}

func (c *scriptedConn) RoundTrip(context.Context, *engine.Request) engine.Result {
	if c.before != nil {
		c.before()
	}
	return c.result
}

func (c *scriptedConn) Release() { c.released = true }

// emptyStream is the source of an empty streamed body.
type emptyStream struct{}

func (emptyStream) Read([]byte) (int, error) { return 0, errors.New("not read by this test") }
func (emptyStream) Trailer() http.Header     { return nil }
func (emptyStream) Close(bool)               {}

// An attempt continues on another connection only if a reused connection was closed before the last byte of the
// request was written, which proves that the request never ran, and if the request can be sent again.
func TestAttemptResendsOnOtherConnection(t *testing.T) {
	plain := &engine.Route{Plain: &engine.Plain{}}
	notConnected := engine.Ended(balancer.ConnectFailed)
	partlySent := engine.Result{Outcome: balancer.ConnectFailed, PartlySent: true}
	for _, test := range []struct {
		name         string
		reused       bool
		route        *engine.Route
		result       engine.Result
		consumesBody bool
		cancels      bool
		wantAttempts int
	}{
		{"reused connection closed", true, nil, notConnected, false, false, 2},
		{"new connection closed", false, nil, notConnected, false, false, 1},
		{"closed after part of the request, platform's protocol", true, nil, partlySent, false, false, 2},
		{"closed after part of the request, plain protocol", true, plain, partlySent, false, false, 1},
		{"closed before the first byte, plain protocol", true, plain, notConnected, false, false, 2},
		{"reset", true, nil, engine.Ended(balancer.Reset), false, false, 1},
		{"not sent", true, nil, engine.Ended(balancer.NotSent), false, false, 1},
		{"response", true, nil, engine.Result{HasResponse: true}, false, false, 1},
		{"body consumed", true, nil, notConnected, true, false, 1},
		{"canceled meanwhile", true, nil, notConnected, false, true, 1},
	} {
		ctx, cancel := context.WithCancel(context.Background())
		x := &engine.Request{Route: test.route, Body: body.NewStreamed(nil, body.NewStream(emptyStream{}, -1))}
		before := func() {
			if test.consumesBody {
				x.Body.Stream().Consume()
			}
			if test.cancels {
				cancel()
			}
		}
		attempts := 0
		Attempt(ctx, x, func(context.Context) (Conn, bool, error) {
			attempts++
			if attempts > 1 {
				return &scriptedConn{result: engine.Result{HasResponse: true}}, false, nil
			}
			return &scriptedConn{result: test.result, before: before}, test.reused, nil
		})
		cancel()
		if attempts != test.wantAttempts {
			t.Errorf("%s: got %d connections used, want %d", test.name, attempts, test.wantAttempts)
		}
	}
}

func TestAttemptWithoutConnection(t *testing.T) {
	for _, test := range []struct {
		err  error
		want balancer.Result
	}{
		{ErrTooManyConns, balancer.NotSent},
		{fmt.Errorf("dial: %w", syscall.EMFILE), balancer.NotSent},
		{fmt.Errorf("dial: %w", syscall.ENFILE), balancer.NotSent},
		{fmt.Errorf("dial: %w", syscall.ECONNREFUSED), balancer.ConnectFailed},
		{context.DeadlineExceeded, balancer.ConnectFailed},
	} {
		result := Attempt(context.Background(), &engine.Request{}, func(context.Context) (Conn, bool, error) {
			return nil, false, test.err
		})
		if result.HasResponse || result.Outcome != test.want {
			t.Errorf("%v: got %+v, want %v", test.err, result, test.want)
		}
	}
}

func TestAttemptReleasesConnectionWhenAbandoned(t *testing.T) {
	expired, cancelExpired := context.WithTimeout(context.Background(), 0)
	defer cancelExpired()
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	for _, test := range []struct {
		ctx  context.Context
		want balancer.Result
	}{
		{expired, balancer.NotSent},
		{canceled, balancer.Canceled},
	} {
		c := &scriptedConn{}
		result := Attempt(test.ctx, &engine.Request{}, func(context.Context) (Conn, bool, error) { return c, true, nil })
		if result.Outcome != test.want || !c.released {
			t.Errorf("%v: got %+v, released %t, want %v, released", test.ctx.Err(), result, c.released, test.want)
		}
	}
}
