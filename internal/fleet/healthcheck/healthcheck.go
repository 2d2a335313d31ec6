// Package healthcheck decides which of the hosts that gateways have ejected are checked next, by the gateway
// that does so for its fleet. It does no I/O and reads no clock.
//
// A host is checked while some gateway reports it as ejected. What a passed check means is up to each
// gateway: it advances the host's next trial request, and nothing else. So a checker that is wrong, or cut
// off, takes no host from anyone.
package healthcheck

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Interval is the least time between two checks of a host, and between two reports of a gateway.
	Interval = time.Second
	// Timeout bounds a check. A check under way when a host begins to drain ends before the 500 ms are over
	// after which nothing new may reach the host.
	Timeout = 400 * time.Millisecond
	// ReportTTL is how long a report counts: two may be lost.
	ReportTTL = 3 * Interval
	// MaxHosts bounds the hosts that are checked, and those in one report. Where more are down there is a
	// common cause to be mended first.
	MaxHosts = 256
	// MaxConcurrent bounds the checks under way: hosts that do not answer cost 40 checks a second.
	MaxConcurrent = 16
	// TrialGap is the time that each gateway adds to TrialSpread: a host that returns gets fifty trial
	// requests a second, as it may be in slow start.
	TrialGap = 20 * time.Millisecond
)

// TrialSpread returns the time over which so many gateways spread their trial requests to a host.
func TrialSpread(gateways int) time.Duration { return time.Duration(max(1, gateways)) * TrialGap }

// Checker is the work of the holder of one pool's health check lease.
type Checker struct {
	hosts    map[string]*host // by name
	inFlight int              // checks under way
}

type host struct {
	reportedAt time.Duration // when a gateway last reported it as ejected
	dueAt      time.Duration // when it may be checked next
	inFlight   bool          // a check of it is under way
}

// NewChecker returns a Checker without hosts.
func NewChecker() *Checker { return &Checker{hosts: map[string]*host{}} }

// Report takes a gateway's report of the hosts that it has ejected.
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

// Due returns the hosts to check now, those that have waited longest first. The end of each check is to be
// reported by Checked.
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
