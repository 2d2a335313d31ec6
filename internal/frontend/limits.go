package frontend

import (
	"hash/maphash"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"dunemoor/internal/overload"
	"dunemoor/internal/ratelimit"
)

// Limits turn requests away before they cost anything: for the gateway's own sake, and so that
// no client or tenant takes what others need. What is nil does not bind.
type Limits struct {
	Overload   *overload.Controller
	Clients    *ratelimit.Clients
	Tenants    *ratelimit.Tenants
	TenantOf   map[string]int // by the value of TenantName
	TenantName string         // header
	Base, Most time.Duration  // of the advice when to come back

	counts [refusals]atomic.Int64
}

// Refusal is a cause of turning a request away at the gate.
type Refusal uint8

// Causes.
const (
	ByOverload   Refusal = iota // the gateway falls behind
	ByRate                      // the client asks more often than it may
	ByConcurrent                // the client has too many requests out
	ByRepeats                   // the client repeats too much
	ByTenant                    // the tenant is over its share
	refusals
)

var refusalNames = [...]string{"overload", "client rate", "client concurrency", "client repeats", "tenant share"}

// String names the cause, for counters.
func (r Refusal) String() string { return refusalNames[r] }

// Refusals are the causes.
func Refusals() []Refusal {
	return []Refusal{ByOverload, ByRate, ByConcurrent, ByRepeats, ByTenant}
}

// Refused is how many requests were turned away for a cause.
func (l *Limits) Refused(r Refusal) int64 { return l.counts[r].Load() }

// Turned is the error of a request that is turned away at the gate. Its connection may go on.
type Turned struct {
	Why   Refusal
	After time.Duration
	// Soon says that the client came back sooner than it was told to. The answer goes out at
	// once; what it sends next on its connection need not be read at once.
	Soon bool
}

func (t *Turned) Error() string {
	return "turned away (" + t.Why.String() + "), trying again is harmless"
}

// Status is 429 where the client can do something about it, and else 503.
func (t *Turned) Status() int {
	if t.Why == ByOverload || t.Why == ByTenant {
		return http.StatusServiceUnavailable
	}
	return http.StatusTooManyRequests
}

// RetryAfter words an advice: in decimals where clients know our protocol, and else in whole
// seconds, as RFC 9110, 10.2.3 has it.
func RetryAfter(after time.Duration, plain bool) string {
	s := after.Seconds()
	if plain {
		s = math.Ceil(s)
	}
	return strconv.FormatFloat(s, 'f', -1, 64)
}

// clientSeed makes the keys of clients unknown to them.
var clientSeed = maphash.MakeSeed()

// clientOf is whom a request comes from: the peer, or where that is trusted, whom it names last.
func clientOf(m *Message) netip.Addr {
	if v := m.Header[headFor]; m.Peer.Trusted && len(v) > 0 {
		last := v[len(v)-1]
		if i := strings.LastIndexByte(last, ','); i >= 0 {
			last = last[i+1:]
		}
		if a, err := netip.ParseAddr(strings.TrimSpace(last)); err == nil {
			return a
		}
	}
	return m.Peer.Addr
}

func clientKey(a netip.Addr) uint64 {
	// A household has a /64: its addresses change at will (RFC 8981).
	if a.Is6() && !a.Is4In6() {
		p, _ := a.WithZone("").Prefix(64)
		a = p.Addr()
	}
	return maphash.Comparable(clientSeed, a.Unmap())
}

// admit says whether a request of a class is let in, and notes what End has to give back.
func (e *Entry) admit(m *Message, repeat bool) error {
	l := e.gate.Limits
	if l == nil {
		return nil
	}
	soon := false
	turned := func(why Refusal) error {
		l.counts[why].Add(1)
		level := 0.0
		if l.Overload != nil {
			level = l.Overload.BackoffLevel()
		}
		after := overload.RetryAfter(level, l.Base, l.Most, e.client)
		if e.counted {
			l.Clients.End(e.client)
			e.counted = false
		}
		if l.Clients != nil && why != ByRepeats {
			l.Clients.SetRetryAfter(e.gate.Engine.Now(), e.client, after)
		}
		return &Turned{why, after, soon && !m.Peer.Trusted}
	}
	if m.Peer.Addr.IsValid() {
		e.client = clientKey(clientOf(m))
	}
	// Who came back too soon is held to it while there is no room, and never for what is worth
	// most.
	spared := l.Overload == nil || rand.Float64() < l.Overload.IdleShare() ||
		e.Route.FirstRanks != nil && e.Route.FirstRanks[e.Class] == slices.Max(e.Route.FirstRanks)
	if l.Clients != nil && m.Peer.Addr.IsValid() {
		var v ratelimit.Decision
		switch v, soon = l.Clients.Begin(e.gate.Engine.Now(), e.client, repeat, spared); v {
		case ratelimit.Rate:
			return turned(ByRate)
		case ratelimit.Concurrent:
			return turned(ByConcurrent)
		case ratelimit.Duplicates:
			return turned(ByRepeats)
		}
		e.counted = true
	}
	if l.Overload != nil && e.Route.FirstRanks != nil {
		rank := e.Route.FirstRanks[e.Class]
		if repeat || soon {
			rank = e.Route.DuplicateRanks[e.Class]
		}
		if !l.Overload.Admit(rank, rand.Float64()) {
			return turned(ByOverload)
		}
	}
	if l.Tenants != nil {
		name, _ := e.header(l.TenantName)
		if i, known := l.TenantOf[name]; known {
			if l.Tenants.Begin(e.gate.Engine.Now(), i) != ratelimit.Admitted {
				return turned(ByTenant)
			}
			e.tenant = i + 1
		}
	}
	return nil
}

// leave gives back what admit took.
func (e *Entry) leave() {
	if e.counted {
		e.gate.Limits.Clients.End(e.client)
		e.counted = false
	}
	if e.tenant > 0 {
		e.gate.Limits.Tenants.End(e.tenant - 1)
		e.tenant = 0
	}
}
