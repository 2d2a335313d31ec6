package engine

import (
	"context"
	"testing"
	"time"

	"dunemoor/balancer"
)

// A request that may have run in one pool is never sent to a fallback pool: the hosts there can't recognize it as a
// duplicate and would run it again.
func TestFailoverSkipsRequestsThatMayHaveRun(t *testing.T) {
	for _, outcome := range []balancer.Result{balancer.Reset, balancer.TimedOut, balancer.InvalidResponse, balancer.Canceled} {
		for _, class := range []int{classNonIdempotent, classWithKey} {
			runInVirtualTime(t, func(t *testing.T, h *harness) {
				primary := newScriptedTransport("a", endWith(outcome))
				fallback := newScriptedTransport("b", respondWith(200, time.Millisecond))
				h.useRoute(protocolRoute(), nil, h.newPool(primary, 3), h.newPool(fallback, 3))
				for range 20 {
					request, _ := h.do(class)
					if inPrimary, inFallback := primary.attemptsOf(request), fallback.attemptsOf(request); inFallback > 0 && inPrimary > 0 {
						t.Errorf("%v, class %d: got %d attempts in the primary and %d in the fallback pool, want one pool only", outcome, class, inPrimary, inFallback)
					}
				}
				if primary.total == 0 {
					t.Errorf("%v, class %d: got no attempt in the primary pool, want some", outcome, class)
				}
			})
		}
	}
}

// If all hosts of a pool refuse connections no request has run there, so each request fails over to the next pool,
// once at most, with MaxAttempts attempts in total at most.
func TestFailoverOnRefusedConnections(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, h *harness) {
		primary := newScriptedTransport("a", endWith(balancer.ConnectFailed))
		fallback := newScriptedTransport("b", respondWith(200, time.Millisecond))
		h.useRoute(protocolRoute(), nil, h.newPool(primary, 3), h.newPool(fallback, 3))
		served := 0
		for i := range 200 {
			request, response := h.do(mixedClass(i))
			if response.Kind == Served {
				served++
			}
			inFallback := fallback.attemptsOf(request)
			if all := primary.attemptsOf(request) + inFallback; all > MaxAttempts || inFallback > 1 {
				t.Fatalf("request %d: got %d attempts, %d of them in the fallback pool, want at most %d and 1", i, all, inFallback, MaxAttempts)
			}
			time.Sleep(10 * time.Millisecond)
		}
		if served < 190 {
			t.Errorf("got %d of 200 requests served, want 190 at least", served)
		}
	})
	// Both pools are down: requests are rejected at once, with Retry-After, and never exceed MaxAttempts.
	runInVirtualTime(t, func(t *testing.T, h *harness) {
		primary := newScriptedTransport("a", endWith(balancer.ConnectFailed))
		fallback := newScriptedTransport("b", endWith(balancer.ConnectFailed))
		h.useRoute(protocolRoute(), nil, h.newPool(primary, 3), h.newPool(fallback, 3))
		for i := range 100 {
			began := time.Now()
			request, response := h.do(mixedClass(i))
			if took := time.Since(began); response.Kind != Rejected || response.RetryAfter == 0 || took > rejectionTimeout {
				t.Errorf("request %d: got kind %d after %v, Retry-After %v, want kind %d within %v, with Retry-After",
					i, response.Kind, took, response.RetryAfter, Rejected, rejectionTimeout)
			}
			if all := primary.attemptsOf(request) + fallback.attemptsOf(request); all > MaxAttempts {
				t.Errorf("request %d: got %d attempts, want %d at most", i, all, MaxAttempts)
			}
		}
	})
}

// Rejections by a pool whose hosts are full are final. The test guards against overloading the fallback pool with the
// requests that the primary pool could not serve.
func TestFailoverSkipsRequestsRejectedByFullPool(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, h *harness) {
		primary := newScriptedTransport("a", func(context.Context, string, *Request) Result { return Ended(balancer.Full) })
		fallback := newScriptedTransport("b", respondWith(200, time.Millisecond))
		h.useRoute(protocolRoute(), nil, h.newPool(primary, 3), h.newPool(fallback, 3))
		h.load(100, 2*time.Second, onlyClass(classNonIdempotent))
		inPrimary := primary.attemptCount()
		if inPrimary == 0 {
			t.Fatal("got no attempt in the primary pool, want some")
		}
		if got, most := fallback.attemptCount(), inPrimary/20; got > most {
			t.Errorf("got %d attempts in the fallback pool, want %d at most after %d in the full one", got, most, inPrimary)
		}
	})
}

// The primary pool fails under load and recovers; the hosts of its fallback pool are warming up. No non-idempotent
// request runs twice, rejections come at once with Retry-After, the warming hosts are not overloaded, and traffic
// returns to the primary pool without moving back and forth.
func TestFailoverAndRecoveryOfWholePool(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, h *harness) {
		const rate = 100
		primary := newScriptedTransport("a", respondWith(200, 20*time.Millisecond))
		fallback := newScriptedTransport("b", respondWith(200, 20*time.Millisecond))
		primaryPool, fallbackPool := h.newPool(primary, 8), h.newPool(fallback, 2)
		h.useRoute(protocolRoute(), nil, primaryPool, fallbackPool)
		if got := h.load(rate, 5*time.Second, mixedClass); got.kinds[Served] != 5*rate || fallback.attemptCount() != 0 {
			t.Fatalf("without a fault: got responses %v and %d attempts in the fallback pool, want %d served and 0 attempts", got.kinds, fallback.attemptCount(), 5*rate)
		}

		primary.setScript(endWith(balancer.ConnectFailed))
		fallbackPool.UpdateEndpoints(balancer.ListFull, memberList(2, time.Now()))
		got := h.load(rate, 6*time.Second, mixedClass)
		if got.slowestRejection > rejectionTimeout || got.retryAfterCount != got.kinds[Rejected] || got.kinds[Failed] > 0 {
			t.Errorf("while the primary pool fails: got rejections within %v, %d of %d with Retry-After, responses %v, want %v at most, all with Retry-After, none failed",
				got.slowestRejection, got.retryAfterCount, got.kinds[Rejected], got.kinds, rejectionTimeout)
		}
		checkWarmingHostsNotOverloaded(t, fallback)
		if got := h.load(rate, 3*time.Second, mixedClass); got.kinds[Served] < 3*rate*95/100 {
			t.Errorf("with the fallback pool warm: got responses %v, want %d served at least", got.kinds, 3*rate*95/100)
		}

		primary.setScript(respondWith(200, 20*time.Millisecond))
		checkTrafficReturnsOnce(t, h, fallback, rate)
		for request, attempts := range fallback.attempts {
			if request.Class == classNonIdempotent && attempts > 1 {
				t.Errorf("got %d attempts of a non-idempotent request in the fallback pool, want 1 at most", attempts)
			}
		}
	})
}

// checkWarmingHostsNotOverloaded checks that no host gets more attempts within the overload window than it takes to
// overload a warming host. The full capacity of a host is an eighth of the load of 100 requests a second times 1.4,
// the reserve of a pool. A warming host starts with 0.4 of that, and is overloaded by 2.5 times its present capacity,
// kept up for 1.5 s.
func checkWarmingHostsNotOverloaded(t *testing.T, transport *scriptedTransport) {
	t.Helper()
	const window = 1500 * time.Millisecond
	const maxAttempts = 26 // 100 / 8 x 1.4 x 0.4 x 2.5 x 1.5 = 26.25, rounded down
	for host, times := range transport.attemptTimes {
		for i := range times {
			attempts := 0
			for _, at := range times[i:] {
				if at.Sub(times[i]) < window {
					attempts++
				}
			}
			if attempts > maxAttempts {
				t.Fatalf("warming host %s: got %d attempts within %v, want %d at most", host, attempts, window, maxAttempts)
			}
		}
	}
}

// checkTrafficReturnsOnce runs a load for 40 s, and checks second by second that traffic leaves the fallback pool in
// steps and does not return to it.
func checkTrafficReturnsOnce(t *testing.T, h *harness, fallback *scriptedTransport, rate int) {
	t.Helper()
	before, reversals, last := fallback.attemptCount(), 0, -1
	for range 40 {
		h.load(rate, time.Second, mixedClass)
		attempts := fallback.attemptCount() - before
		before = fallback.attemptCount()
		if last >= 0 && attempts > last+rate/4 {
			reversals++
		}
		last = attempts
	}
	if last != 0 || reversals > 0 {
		t.Errorf("after the recovery: got %d attempts in the fallback pool in the last second and %d returns to it, want 0 and 0", last, reversals)
	}
}
