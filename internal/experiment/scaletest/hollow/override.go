package hollow

import (
	"context"
	"fmt"
	"net/url"
	"sync"
	"time"

	"dunemoor/internal/fleet"
)

// OverrideEvent is the message of the event that a gateway has begun to drain a host because of an operator's
// override.
const OverrideEvent = "word"

// overrideTimeout is the timeout for setting an override.
const overrideTimeout = 15 * time.Second

// setOverride sets an operator's override at a gateway, for a host of its first pool.
func (h *hollowHost) setOverride(o *override) error {
	g, err := h.gateway(o.Gateway)
	if err != nil {
		return err
	}
	path := fleet.PathUndrain
	if o.Drain {
		path = fleet.PathDrain
	}
	pool := ""
	if len(g.pools) > 0 { // a relay has no pools
		pool = g.pools[0].Name
	}
	ctx, cancel := context.WithTimeout(context.Background(), overrideTimeout)
	defer cancel()
	code, text, _ := g.calls[path].Do(ctx, url.Values{"pool": {pool}, "host": {o.Host}})
	if code/100 != 2 {
		return fmt.Errorf("set override at gateway %s: %d %s", o.Gateway, code, text)
	}
	return nil
}

// overrideCounts are the outcomes of a load of overrides.
type overrideCounts struct {
	mu              sync.Mutex // guards the fields below
	applied, failed int
}

func (c *overrideCounts) add(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.applied++
	} else {
		c.failed++
	}
}

// applyOverrides sets overrides at gateways in turn at a constant rate, and returns how many were applied and how
// many failed. Each gateway sets its overrides sequentially, so that slow overrides lower the rate.
func (h *hollowHost) applyOverrides(load *overrideLoad) (applied, failed int) {
	gateways := len(load.Gateways)
	interval := time.Duration(float64(gateways) / load.Rate * float64(time.Second))
	var counts overrideCounts
	var goroutines sync.WaitGroup
	for i, name := range load.Gateways {
		offset := interval * time.Duration(i) / time.Duration(gateways)
		goroutines.Go(func() { h.toggleOverrides(name, offset, interval, load.Duration, &counts) })
	}
	goroutines.Wait()
	return counts.applied, counts.failed
}

// toggleOverrides alternately drains a host and ends the drain, once per interval, starting after an offset, until a
// duration has passed.
func (h *hollowHost) toggleOverrides(gateway string, offset, interval, duration time.Duration, counts *overrideCounts) {
	began := time.Now()
	end := began.Add(duration)
	drain := true
	for next := began.Add(offset); next.Before(end); next = next.Add(interval) {
		time.Sleep(time.Until(next))
		counts.add(h.setOverride(&override{Gateway: gateway, Host: "h-" + gateway, Drain: drain}))
		drain = !drain
	}
}
