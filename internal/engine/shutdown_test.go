package engine

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dunemoor/internal/body"
)

// blockedSource is the source of a body that stays incomplete: Read blocks until the source is closed.
type blockedSource struct{ closed chan struct{} }

func (s *blockedSource) Read([]byte) (int, error) { <-s.closed; return 0, body.ErrConsumed }
func (s *blockedSource) Trailer() http.Header     { return nil }
func (s *blockedSource) Close(bool)               { close(s.closed) }

// After Stop all responses are due by its deadline: of attempts at hosts that do not respond, of requests whose body
// is incomplete, and of later requests. The balancer is notified, and rejects the requests that can be sent
// elsewhere.
func TestShutdownDeadlineBoundsAllResponses(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, h *harness) {
		pool := h.newPool(newScriptedTransport("a", respondWith(200, time.Hour)), 3)
		h.useRoute(protocolRoute(), nil, pool)
		began, timeout := time.Now(), time.Second
		var requests sync.WaitGroup
		start := func(name string, class int, requestBody body.Body, want Kind) {
			requests.Go(func() {
				snapshot := h.Snapshot()
				defer snapshot.Release()
				request := &Request{Method: "POST", Route: snapshot.routes[0], Class: class, Body: requestBody, Deadline: time.Now().Add(4 * time.Second)}
				response, waiting := h.Do(context.Background(), request)
				took := time.Since(began)
				if !waiting || response.Kind != want {
					t.Errorf("%s: got response %t, kind %d, want true, kind %d", name, waiting, response.Kind, want)
				}
				if took > timeout || took < timeout/2 {
					t.Errorf("%s: got the response after %v, want %v to %v", name, took, timeout/2, timeout)
				}
			})
		}
		start("idempotent", classIdempotent, body.Body{}, Rejected)
		start("non-idempotent", classNonIdempotent, body.Body{}, Failed)
		incomplete := body.NewStream(&blockedSource{make(chan struct{})}, 1<<20)
		start("incomplete body", classNonIdempotent, body.NewStreamed([]byte("x"), incomplete), Failed)
		synctest.Wait()
		h.Stop(began.Add(timeout))
		start("after Stop", classIdempotent, body.Body{}, Rejected)
		requests.Wait()
		incomplete.Close()
		synctest.Wait()
		if got := pool.OpenRequests(); got != 0 {
			t.Errorf("open requests: got %d, want 0", got)
		}
	})
}
