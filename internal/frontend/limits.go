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
	Overload                     *overload.Controller
	Clients                      *ratelimit.Clients
	Tenants                      *ratelimit.Tenants
	TenantIndex                  map[string]int // by the value of TenantName
	TenantHeader                 string         // header
	MinRetryAfter, MaxRetryAfter time.Duration  // of the advice when to come back

	counts [refusals]atomic.Int64
}

// RejectReason is a cause of turning a request away at the gate.
type RejectReason uint8

// Causes.
const (
	RejectedByOverload          RejectReason = iota // the gateway falls behind
	RejectedByClientRate                            // the client asks more often than it may
	RejectedByClientConcurrency                     // the client has too many requests out
	RejectedByClientDuplicates                      // the client repeats too much
	RejectedByTenantQuota                           // the tenant is over its share
	refusals
)

var refusalNames = [...]string{"overload", "client rate", "client concurrency", "client repeats", "tenant share"}

// String names the cause, for counters.
func (r RejectReason) String() string { return refusalNames[r] }

// RejectReasons are the causes.
func RejectReasons() []RejectReason {
	return []RejectReason{RejectedByOverload, RejectedByClientRate, RejectedByClientConcurrency, RejectedByClientDuplicates, RejectedByTenantQuota}
}

// Rejected is how many requests were turned away for a cause.
func (l *Limits) Rejected(r RejectReason) int64 { return l.counts[r].Load() }

// Turned is the error of a request that is turned away at the gate. Its connection may go on.
type Turned struct {
	Why   RejectReason
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
	if t.Why == RejectedByOverload || t.Why == RejectedByTenantQuota {
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
	turned := func(why RejectReason) error {
		l.counts[why].Add(1)
		level := 0.0
		if l.Overload != nil {
			level = l.Overload.BackoffLevel()
		}
		after := overload.RetryAfter(level, l.MinRetryAfter, l.MaxRetryAfter, e.client)
		if e.counted {
			l.Clients.End(e.client)
			e.counted = false
		}
		if l.Clients != nil && why != RejectedByClientDuplicates {
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
			return turned(RejectedByClientRate)
		case ratelimit.Concurrent:
			return turned(RejectedByClientConcurrency)
		case ratelimit.Duplicates:
			return turned(RejectedByClientDuplicates)
		}
		e.counted = true
	}
	if l.Overload != nil && e.Route.FirstRanks != nil {
		rank := e.Route.FirstRanks[e.Class]
		if repeat || soon {
			rank = e.Route.DuplicateRanks[e.Class]
		}
		if !l.Overload.Admit(rank, rand.Float64()) {
			return turned(RejectedByOverload)
		}
	}
	if l.Tenants != nil {
		name, _ := e.header(l.TenantHeader)
		if i, known := l.TenantIndex[name]; known {
			if l.Tenants.Begin(e.gate.Engine.Now(), i) != ratelimit.Admitted {
				return turned(RejectedByTenantQuota)
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
