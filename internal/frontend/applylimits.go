package frontend

import (
	"hash/maphash"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"

	"dunemoor/internal/ratelimit"
)

// clientKeySeed is a random hash seed, so that clients cannot choose addresses whose keys collide.
var clientKeySeed = maphash.MakeSeed()

// clientSubnetBits is the length in bits of the IPv6 prefix that the limits treat as one client. A household usually
// has a /64 and can change its addresses within that prefix at any time (RFC 8981).
const clientSubnetBits = 64

// rateLimitAddr returns the address to which the client limits attribute a request. It is the last address in the
// X-Forwarded-For header if the peer is a trusted proxy and the address is valid, and ClientAddress.Addr otherwise.
func rateLimitAddr(m *Message) netip.Addr {
	values := m.Header[headerForwardedFor]
	if !m.Client.Trusted || len(values) == 0 {
		return m.Client.Addr
	}
	last := values[len(values)-1]
	if i := strings.LastIndexByte(last, ','); i >= 0 {
		last = last[i+1:]
	}
	if addr, err := netip.ParseAddr(strings.TrimSpace(last)); err == nil {
		return addr
	}
	return m.Client.Addr
}

// clientKeyOf returns the key under which ratelimit.Clients counts the requests of an address.
func clientKeyOf(addr netip.Addr) uint64 {
	if addr.Is6() && !addr.Is4In6() {
		subnet, _ := addr.WithZone("").Prefix(clientSubnetBits)
		addr = subnet.Addr()
	}
	return maphash.Comparable(clientKeySeed, addr.Unmap())
}

// applyLimits applies the limits to a request whose Route, Class and Duplicate are set. The error is a *RejectedError.
// On success the request is counted as in flight until releaseLimits is called.
func (t *Ticket) applyLimits(m *Message) error {
	limits := t.admission.Limits
	if limits == nil {
		return nil
	}
	knownClient := m.Client.Addr.IsValid()
	if knownClient {
		t.clientKey = clientKeyOf(rateLimitAddr(m))
	}
	exempt := t.exemptFromRetryAfter()
	tooEarly := false
	if limits.Clients != nil && knownClient {
		var decision ratelimit.Decision
		decision, tooEarly = limits.Clients.Begin(t.admission.Engine.Now(), t.clientKey, t.Duplicate, exempt)
		if decision != ratelimit.Admitted {
			return t.reject(clientRejectReason(decision), tooEarly && !m.Client.Trusted)
		}
		t.clientCounted = true
	}
	if t.overloaded(tooEarly) {
		return t.reject(RejectedByOverload, tooEarly && !m.Client.Trusted)
	}
	if !t.beginTenant() {
		return t.reject(RejectedByTenantQuota, tooEarly && !m.Client.Trusted)
	}
	return nil
}

// clientRejectReason returns the RejectReason for a decision of the client limits.
func clientRejectReason(d ratelimit.Decision) RejectReason {
	switch d {
	case ratelimit.Rate:
		return RejectedByClientRate
	case ratelimit.Concurrent:
		return RejectedByClientConcurrency
	default:
		return RejectedByClientDuplicates
	}
}

// exemptFromRetryAfter reports whether a client may retry before its Retry-After has elapsed. Requests of a class with
// the highest rank are always exempt. Other requests are exempt at random, with a probability equal to the idle share
// of the gateway.
func (t *Ticket) exemptFromRetryAfter() bool {
	overload := t.admission.Limits.Overload
	if overload == nil || rand.Float64() < overload.IdleShare() {
		return true
	}
	ranks := t.Route.FirstRanks
	return ranks != nil && ranks[t.Class] == slices.Max(ranks)
}

// overloaded reports whether to reject a request because the gateway is overloaded. At the rank that is shed only in
// part the decision is random. A request that was sent before its Retry-After had elapsed has the rank of a duplicate.
func (t *Ticket) overloaded(tooEarly bool) bool {
	overload := t.admission.Limits.Overload
	if overload == nil || t.Route.FirstRanks == nil {
		return false
	}
	rank := t.Route.FirstRanks[t.Class]
	if t.Duplicate || tooEarly {
		rank = t.Route.DuplicateRanks[t.Class]
	}
	return !overload.Admit(rank, rand.Float64())
}

// beginTenant counts a request for its tenant and reports whether it is within the tenant's quota. A request without a
// configured tenant is not limited.
func (t *Ticket) beginTenant() bool {
	limits := t.admission.Limits
	if limits.Tenants == nil {
		return true
	}
	name, _ := t.headerValue(limits.TenantHeader)
	index, known := limits.TenantIndex[name]
	if !known {
		return true
	}
	if limits.Tenants.Begin(t.admission.Engine.Now(), index) != ratelimit.Admitted {
		return false
	}
	t.tenantIndex = index
	t.tenantCounted = true
	return true
}

// reject counts a rejection by its reason and returns the *RejectedError.
func (t *Ticket) reject(reason RejectReason, tooEarly bool) error {
	limits := t.admission.Limits
	limits.rejected[reason].Add(1)
	after := limits.retryAfter(t.clientKey)
	t.releaseClient()
	if limits.Clients != nil && reason != RejectedByClientDuplicates {
		limits.Clients.SetRetryAfter(t.admission.Engine.Now(), t.clientKey, after)
	}
	return &RejectedError{Reason: reason, RetryAfter: after, TooEarly: tooEarly}
}

// releaseLimits removes a request from the in-flight counts of its client and its tenant.
func (t *Ticket) releaseLimits() {
	t.releaseClient()
	if t.tenantCounted {
		t.admission.Limits.Tenants.End(t.tenantIndex)
		t.tenantCounted = false
	}
}

// releaseClient removes a request from the in-flight count of its client.
func (t *Ticket) releaseClient() {
	if t.clientCounted {
		t.admission.Limits.Clients.End(t.clientKey)
		t.clientCounted = false
	}
}
