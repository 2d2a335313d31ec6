// Package healthcheck decides which of the hosts that gateways have ejected are checked next, on the gateway
// that checks them for its fleet. It does no I/O and reads no clock.
//
// A host is checked while at least one gateway reports it as ejected. A passed check only brings forward the
// host's next trial request on each gateway. So a checker with wrong results, or behind a network
// partition, makes no host unavailable.
package healthcheck

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Interval is the minimum time between two checks of a host, and between two reports of a gateway.
	Interval = time.Second
	// Timeout is the maximum duration of a check. A check that runs when its host begins to drain ends within
	// the 500 ms after which nothing new may reach the host.
	Timeout = 400 * time.Millisecond
	// ReportTTL is how long a report is valid. Two reports may be lost.
	ReportTTL = 3 * Interval
	// MaxHosts is the maximum number of hosts that are checked, and of those in one report. If more hosts are
	// down, there is a common cause that must be fixed first.
	MaxHosts = 256
	// MaxConcurrent is the maximum number of checks that run at once: hosts that do not respond cost 40 checks
	// per second.
	MaxConcurrent = 16
	// TrialGap is the time that each gateway adds to TrialSpread. A host that returns gets 50 trial requests
	// per second, as it may be in slow start.
	TrialGap = 20 * time.Millisecond
)

// TrialSpread returns the time over which the given number of gateways spread their trial requests to a host.
func TrialSpread(gateways int) time.Duration { return time.Duration(max(1, gateways)) * TrialGap }

// Checker schedules the checks of one pool's hosts on the holder of the pool's health check lease.
type Checker struct {
	hosts    map[string]*host // by name
	inFlight int              // number of checks that are running
}

type host struct {
	reportedAt time.Duration // time at which a gateway last reported the host as ejected
	dueAt      time.Duration // earliest time of the next check
	inFlight   bool          // a check of the host is running
}

// NewChecker returns a Checker without hosts.
func NewChecker() *Checker { return &Checker{hosts: map[string]*host{}} }

// Report handles a gateway's report of the hosts that it has ejected.
func (c *Checker) Report(now time.Duration, names []string) {
	for _, name := range names[:min(len(names), MaxHosts)] {
		h := c.hosts[name]
		if h == nil {
			if len(c.hosts) >= MaxHosts {
				continue
			}
			h = &host{dueAt: now}
			c.hosts[name] = h
		}
		h.reportedAt = now
	}
}

// Due returns the hosts to check now, those that are due longest first. Checked must be called at the end of
// each check.
func (c *Checker) Due(now time.Duration) (names []string) {
	for name, h := range c.hosts {
		switch {
		case h.inFlight || now < h.dueAt:
		case now > h.reportedAt+ReportTTL:
			delete(c.hosts, name)
		default:
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(c.hosts[a].dueAt, c.hosts[b].dueAt), cmp.Compare(a, b))
	})
	names = names[:min(len(names), MaxConcurrent-c.inFlight)]
	for _, name := range names {
		c.hosts[name].inFlight = true
	}
	c.inFlight += len(names)
	return names
}

// Checked reports that the check of a host has ended.
func (c *Checker) Checked(now time.Duration, name string) {
	if h := c.hosts[name]; h != nil && h.inFlight {
		h.inFlight = false
		h.dueAt = now + Interval
		c.inFlight--
	}
}
