package engine

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"dunemoor/internal/route"
)

// The engine splits requests by the configured weights, and sends requests with the same key to the same pool.
func TestSplitKeepsSharesAndKeys(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, h *harness) {
		large, small := newScriptedTransport("a", respondWith(200, 0)), newScriptedTransport("b", respondWith(200, 0))
		largePool, smallPool := h.newPool(large, 3), h.newPool(small, 3)
		rules := []route.Rule{{Name: "r", SplitBy: "X-Household", Split: []route.Share{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}}}}
		table, problems := route.Compile(rules, []string{"a", "b"})
		if len(problems) > 0 {
			t.Fatalf("route.Compile: got %v, want no problem", problems[0])
		}
		r := plainRoute()
		h.Use(h.NewSnapshot(table, []*Route{r}, nil, PoolUse{Pool: largePool, MinShare: 1}, PoolUse{Pool: smallPool, MinShare: 1}))
		if got := r.SplitBy(); got != "X-Household" {
			t.Errorf("SplitBy: got %q, want %q", got, "X-Household")
		}
		poolOfKey := map[string]string{}
		for i := range 1000 {
			request := &Request{Route: r, Class: classIdempotent, Deadline: time.Now().Add(time.Second)}
			if i%2 == 0 {
				request.Key = fmt.Sprint("household ", i%50)
			}
			if response, _ := h.Do(context.Background(), request); response.Kind != Served {
				t.Fatalf("request %d: got %+v, want it served", i, response)
			}
			pool := strings.Repeat("a", large.attemptsOf(request)) + strings.Repeat("b", small.attemptsOf(request))
			if want := poolOfKey[request.Key]; request.Key != "" && want != "" && pool != want {
				t.Errorf("%s: got pool %s, want %s", request.Key, pool, want)
			}
			poolOfKey[request.Key] = pool
		}
		if small.total < 30 || small.total > 220 {
			t.Errorf("attempts in the pool with a tenth of the split: got %d of 1000, want 30 to 220", small.total)
		}
	})
}
