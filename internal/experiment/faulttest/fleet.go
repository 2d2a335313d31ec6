package faulttest

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"

	"dunemoor/internal/experiment/fakes"
)

// Fleet is a fleet of gateway processes with its links, hosts and discovery.
type Fleet struct {
	Options
	Gateways []*Gateway
	Hosts    *fakes.Fleet
	History  *History

	links  map[linkKey]*Link
	log    *os.File // log of all gateways
	client http.Client
}

// linkKey identifies a link by the indexes of its gateways.
type linkKey struct{ from, to int }

// Close ends all processes, links and hosts of the fleet.
func (f *Fleet) Close() {
	for _, g := range f.Gateways {
		g.Kill()
	}
	for _, l := range f.links {
		l.Close()
	}
	if f.Hosts != nil {
		f.Hosts.Close()
	}
	f.History.Close()
	f.log.Close()
}

// LogText returns the logs of all gateways so far.
func (f *Fleet) LogText() string {
	text, err := os.ReadFile(f.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// link returns the link from one gateway to another, or nil. In a fleet with relays there are only links to relays.
func (f *Fleet) link(from, to *Gateway) *Link {
	return f.links[linkKey{slices.Index(f.Gateways, from), slices.Index(f.Gateways, to)}]
}

// linksFrom returns the links from a gateway to all others that it connects to.
func (f *Fleet) linksFrom(g *Gateway) []*Link {
	var links []*Link
	for _, other := range f.Gateways {
		if l := f.link(g, other); l != nil {
			links = append(links, l)
		}
	}
	return links
}

// SetBlocked blocks or unblocks all traffic from one gateway to another. From a relay to a gateway it blocks the return
// direction of the gateway's stream.
func (f *Fleet) SetBlocked(from, to *Gateway, blocked bool) {
	kind := "heal"
	if blocked {
		kind = "cut"
	}
	f.History.addFault(kind, from.Name, to.Name)
	if l := f.link(from, to); l != nil {
		l.SetBlocked(blocked)
	} else if l := f.link(to, from); l != nil {
		l.SetReturnBlocked(blocked)
	}
}

// Isolate blocks all traffic that a gateway sends to others, all that it receives from them, or both.
func (f *Fleet) Isolate(g *Gateway, sending, receiving bool) {
	for _, other := range f.Gateways {
		if other == g {
			continue
		}
		if sending {
			f.SetBlocked(g, other, true)
		}
		if receiving {
			f.SetBlocked(other, g, true)
		}
	}
}

// reconnect unblocks all traffic from and to a gateway, after Isolate.
func (f *Fleet) reconnect(g *Gateway) {
	for _, other := range f.Gateways {
		if other != g {
			f.SetBlocked(g, other, false)
			f.SetBlocked(other, g, false)
		}
	}
}

// Heal ends all faults of links, resumes paused gateways and starts those that are down.
func (f *Fleet) Heal() error {
	f.History.addFault("heal all")
	for _, l := range f.links {
		l.Heal()
	}
	for _, g := range f.Gateways {
		if err := g.Resume(); err != nil {
			return err
		}
		if err := g.startIfDown(); err != nil {
			return err
		}
	}
	return nil
}

// pollInterval is the interval at which WaitUntil checks a condition.
const pollInterval = 20 * time.Millisecond

// WaitUntil waits for a condition. After the timeout it returns an error with the description in what; if ctx
// ends, it returns ctx's error.
func (f *Fleet) WaitUntil(ctx context.Context, what string, timeout time.Duration, condition func() bool) error {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			return fmt.Errorf("timeout after %v waiting for: %s", timeout, what)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// LeaseHolder returns the holder of a lease according to the first gateway with a session, or nil if there is none.
func (f *Fleet) LeaseHolder(lease string) *Gateway {
	for _, g := range f.Gateways {
		if !g.IsRunning() {
			continue
		}
		s, err := g.Status()
		if err != nil || s.Session == 0 {
			continue
		}
		for _, l := range s.Leases {
			if l.Name == lease {
				return f.byName(l.Holder)
			}
		}
	}
	return nil
}

// Leader returns the first gateway that is the leader according to its own status, or nil if there is none.
func (f *Fleet) Leader() *Gateway {
	for _, g := range f.Gateways {
		if !g.IsRunning() {
			continue
		}
		if s, err := g.Status(); err == nil && s.Role == roleLeader {
			return g
		}
	}
	return nil
}

func (f *Fleet) byName(name string) *Gateway {
	for _, g := range f.Gateways {
		if g.Name == name {
			return g
		}
	}
	return nil
}

// next returns the gateway that is a number of places after another one, in circular order.
func (f *Fleet) next(g *Gateway, places int) *Gateway {
	return f.Gateways[(slices.Index(f.Gateways, g)+places)%len(f.Gateways)]
}
