package engine

import (
	"context"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/flightrecorder"
)

// On a plain route the client gets the response of a host: one that is not a failure at once, and otherwise the last
// failure when no other attempt follows.
func TestPlainRouteForwardsHostResponses(t *testing.T) {
	for _, tt := range []struct {
		status, class, attempts int
	}{
		{200, classIdempotent, 1}, {201, classNonIdempotent, 1}, {204, classIdempotent, 1}, {301, classIdempotent, 1},
		{304, classIdempotent, 1}, {404, classIdempotent, 1}, {418, classNonIdempotent, 1},
		{500, classIdempotent, 4}, {503, classIdempotent, 4},
		{503, classNonIdempotent, 1}, {429, classNonIdempotent, 1}, {599, classNonIdempotent, 1},
	} {
		runInVirtualTime(t, func(t *testing.T, h *harness) {
			var freed atomic.Int64
			transport := newScriptedTransport("a", func(context.Context, string, *Request) Result {
				return Result{HasResponse: true, Response: Response{Kind: Served, Status: tt.status, OnRelease: func() { freed.Add(1) }}}
			})
			h.useRoute(plainRoute(), nil, h.newPool(transport, 6))
			request, response := h.do(tt.class)
			response.Release()
			synctest.Wait()
			attempts := transport.attemptsOf(request)
			if response.Kind != Served || response.Status != tt.status || attempts != tt.attempts {
				t.Errorf("status %d, class %d: got %+v after %d attempts, want the host's response after %d", tt.status, tt.class, response, attempts, tt.attempts)
			}
			if freed.Load() != int64(tt.attempts) {
				t.Errorf("status %d, class %d: got %d responses released, want %d", tt.status, tt.class, freed.Load(), tt.attempts)
			}
		})
	}
}

// A burst of 404s does not eject a host; a burst of 500s does.
func TestPlainRouteEjectsOnServerErrorsOnly(t *testing.T) {
	for status, ejected := range map[int]bool{404: false, 500: true} {
		runInVirtualTime(t, func(t *testing.T, h *harness) {
			transport := newScriptedTransport("a", func(ctx context.Context, host string, request *Request) Result {
				if host == "h-0" {
					return respondWith(status, 5*time.Millisecond)(ctx, host, request)
				}
				return respondWith(200, 5*time.Millisecond)(ctx, host, request)
			})
			h.useRoute(plainRoute(), nil, h.newPool(transport, 3))
			h.load(100, 5*time.Second, onlyClass(classIdempotent))
			if attempts := transport.attemptsByHost["h-0"]; (attempts < 50) != ejected {
				t.Errorf("status %d: got %d attempts of 500 requests at the host, want it ejected (fewer than 50): %t", status, attempts, ejected)
			}
		})
	}
}

// A response that arrives after its client has disconnected is released. The test guards against leaking the memory
// that large responses hold.
func TestResponseIsReleasedAfterClientHasGone(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, h *harness) {
		var freed atomic.Int64
		transport := newScriptedTransport("a", func(context.Context, string, *Request) Result {
			time.Sleep(time.Second)
			return Result{HasResponse: true, Response: Response{Kind: Served, Status: 200, OnRelease: func() { freed.Add(1) }}}
		})
		pool := h.newPool(transport, 3)
		h.useRoute(protocolRoute(), nil, pool)
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		snapshot := h.Snapshot()
		request := &Request{Route: snapshot.routes[0], Class: classIdempotent, Deadline: time.Now().Add(4 * time.Second)}
		if _, waiting := h.Do(ctx, request); waiting {
			t.Error("Do: got a response, want none after the client has disconnected")
		}
		snapshot.Release()
		time.Sleep(2 * time.Second)
		if freed.Load() != 1 || pool.OpenRequests() != 0 {
			t.Errorf("got %d responses released and %d open requests, want 1 and 0", freed.Load(), pool.OpenRequests())
		}
	})
}

// A request whose client disconnected before it was submitted is not sent, and its memory is released.
func TestDoSkipsRequestOfGoneClient(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, h *harness) {
		transport := newScriptedTransport("a", respondWith(200, time.Second))
		pool := h.newPool(transport, 3)
		snapshot := h.useRoute(protocolRoute(), nil, pool)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		done := 0
		request := &Request{Method: "GET", Target: "/", Route: snapshot.routes[0], Deadline: time.Now().Add(time.Second), Done: func() { done++ }}
		if _, waiting := h.Do(ctx, request); waiting {
			t.Error("Do: got a response, want none for a client that has disconnected")
		}
		synctest.Wait()
		if transport.attemptCount() != 0 || done != 1 || pool.OpenRequests() != 0 {
			t.Errorf("got %d attempts, %d calls of Done, %d open requests, want 0, 1 and 0", transport.attemptCount(), done, pool.OpenRequests())
		}
	})
}

// leavingClientBalancer is a balancer that has the client disconnect right after it has handled the end of an
// attempt.
type leavingClientBalancer struct {
	flightrecorder.Balancer
	leave func()
}

func (b leavingClientBalancer) AttemptEnded(now balancer.Time, outcome balancer.Outcome) {
	b.Balancer.AttemptEnded(now, outcome)
	b.leave()
}

// A client disconnects while the end of an attempt is handled, which is followed by a retry. The request is kept
// until the event of the disconnect is handled too. The test guards against an attempt of a request that was already
// released, which panics and so ends the process.
func TestClientGoneDuringAttemptEnd(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, h *harness) {
		transport := newScriptedTransport("a", endWith(balancer.Full))
		pool := h.newPool(transport, 3)
		snapshot := h.useRoute(protocolRoute(), nil, pool)
		ctx, leave := context.WithCancel(context.Background())
		request := &Request{Method: "GET", Target: "/", Route: snapshot.routes[0], Class: classIdempotent, Deadline: time.Now().Add(time.Second)}
		pool.do(func(balancer.Time) {
			pool.balancer = leavingClientBalancer{pool.balancer, func() {
				leave()
				for !request.Finished() {
					runtime.Gosched() // another goroutine finishes it
				}
			}}
		})
		if _, waiting := h.Do(ctx, request); waiting {
			t.Error("Do: got a response, want none after the client has disconnected")
		}
		time.Sleep(time.Second) // the retry ends meanwhile; the scripted host does not cancel it
		synctest.Wait()
		if got := pool.OpenRequests(); got != 0 {
			t.Errorf("open requests: got %d, want 0", got)
		}
	})
}

// The client gets its one response in time even if the loop is blocked, and nothing is sent for the request after
// that.
func TestDoRespondsInTimeWhenLoopIsBlocked(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, h *harness) {
		late := 0 // attempts after the response; written by attempts, read when all have ended
		transport := newScriptedTransport("a", func(_ context.Context, host string, request *Request) Result {
			if request.Finished() {
				late++ // a transport checks again before it writes, and sends nothing
				return Ended(balancer.NotSent)
			}
			return respondWith(200, 0)(context.Background(), host, request)
		})
		pool := h.newPool(transport, 3)
		h.useRoute(protocolRoute(), nil, pool)
		unblock := make(chan struct{})
		h.post(func(balancer.Time) { <-unblock })
		began := time.Now()
		_, response := h.do(classIdempotent)
		if took := time.Since(began); response.Kind != Failed || took > 4*time.Second {
			t.Errorf("got %+v after %v, want kind %d within 4s", response, took, Failed)
		}
		close(unblock)
		synctest.Wait()
		if pool.OpenRequests() != 0 || late != transport.total {
			t.Errorf("got %d open requests and %d of %d attempts that saw the request finished, want 0 and all", pool.OpenRequests(), late, transport.total)
		}
	})
}
