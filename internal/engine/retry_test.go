package engine

import (
	"context"
	"testing"
	"time"

	"dunemoor/balancer"
)

// Retries stay within the route's budget however many attempts fail, and each request gets its response.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	for _, budget := range []Retries{{0, 0}, {0.2, 1}, {3, 0}} {
		runInVirtualTime(t, func(t *testing.T, h *harness) {
			transport := newScriptedTransport("a", respondWith(500, time.Millisecond))
			h.useRoute(protocolRoute(), &budget, h.newPool(transport, 6))
			result := h.load(50, 20*time.Second, onlyClass(classIdempotent))
			requests := len(transport.attempts)
			retries := transport.total - requests
			most := budget.Share*float64(requests) + 20*budget.Floor + max(1, budget.Floor)
			if float64(retries) > most {
				t.Errorf("%+v: got %d retries of %d requests, want %.0f at most", budget, retries, requests, most)
			}
			if budget.Share > 0 && float64(retries) < most/4 {
				t.Errorf("%+v: got %d retries of %d requests, want %.0f at least", budget, retries, requests, most/4)
			}
			if got := result.kinds[Rejected] + result.kinds[Failed]; got != 1000 {
				t.Errorf("%+v: got %d requests rejected or failed, want 1000; all responses: %v", budget, got, result.kinds)
			}
		})
	}
}

// A retry of a request with an idempotency key carries the end of its deduplication window, counted from the first
// attempt that may have run, and is not sent after it. An idempotent request may be retried at any time.
func TestRetryIsSentWithinDedupWindow(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, h *harness) {
		var writeBy []time.Time // WriteBy of each attempt of a request
		transport := newScriptedTransport("a", func(_ context.Context, _ string, request *Request) Result {
			writeBy = append(writeBy, request.WriteBy)
			if len(writeBy)%2 == 1 {
				time.Sleep(time.Second)
				return Ended(balancer.Reset)
			}
			time.Sleep(1400 * time.Millisecond) // a slow dial
			if request.MayWrite() {
				return Result{HasResponse: true, Response: Response{Kind: Served, Status: 200}}
			}
			return Ended(balancer.NotSent)
		})
		h.useRoute(protocolRoute(), nil, h.newPool(transport, 3))
		for _, tt := range []struct {
			class  int
			window time.Duration // time from the first attempt, which is sent at once, to the WriteBy; 0: unlimited
		}{
			{classWithKey, testClasses[classWithKey].DedupWindow - 10*time.Millisecond}, // less the balancer's margin, two steps of 5 ms
			{classIdempotent, 0},
		} {
			writeBy = nil
			began := time.Now()
			_, response := h.do(tt.class)
			if response.Kind != Served || len(writeBy) != 2 {
				t.Errorf("class %d: got %+v after %d attempts, want it served after 2", tt.class, response, len(writeBy))
				continue
			}
			if !writeBy[0].IsZero() {
				t.Errorf("class %d: first attempt: got WriteBy %v, want none", tt.class, writeBy[0])
			}
			var want time.Time
			if tt.window > 0 {
				want = began.Add(tt.window)
			}
			if !writeBy[1].Equal(want) {
				t.Errorf("class %d: retry: got WriteBy %v, want %v", tt.class, writeBy[1], want)
			}
		}

		transport.setScript(func(_ context.Context, _ string, request *Request) Result {
			if request.WriteBy.IsZero() {
				time.Sleep(time.Second)
				return Ended(balancer.Reset)
			}
			time.Sleep(1500 * time.Millisecond)
			if request.MayWrite() {
				t.Error("MayWrite after the deduplication window: got true, want false")
			}
			return Ended(balancer.NotSent)
		})
		if _, response := h.do(classWithKey); response.Kind != Failed {
			t.Errorf("retry after the deduplication window: got %+v, want kind %d", response, Failed)
		}
	})
}
