// Package idempotency is the state machine of one partition of the requests that gateways keep for one
// another: responses to requests with an idempotency key, so that a duplicate at any gateway has one
// effect, and deferred requests, which were accepted for later delivery.
//
// It does no I/O and reads no clock. Commands come in the order of a replicated log, and the result of
// each goes back to its proposer.
//
// There are two times, as an error is harmless in one direction only. How long a request is retained is
// counted by the partition's own clock, which leaders advance by what they have measured: it never runs
// ahead, so that nothing is removed early. How long a duplicate may still be sent into the scope that
// drops duplicates is counted by the leader that let the request begin: only that one knows when, and
// for any other leader the window counts as over.
package idempotency

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"dunemoor/internal/cluster/failpoint"
)

// Limits of a partition. What exceeds them is rejected; nothing that was accepted is removed for it.
const (
	MaxRequests = 16384    // 256 partitions have four million, of 200 bytes each in memory
	MaxBytes    = 64 << 20 // that a replica may hold of one partition
	// TenantShareDivisor is the reciprocal of the share of either that one tenant may use: a quarter.
	TenantShareDivisor = 4
	MaxKeyBytes        = 255
	MaxResponseBytes   = 64 << 10 // as much as the gateway buffers of a response
	MaxBodyBytes       = 64 << 10
	// MaxRetention bounds how long a response is kept, MaxDeferral how long a deferred request waits.
	MaxRetention = 7 * 24 * time.Hour
	MaxDeferral  = 24 * time.Hour
	// requestOverhead is what a request uses beside its texts.
	requestOverhead = 200
	// fullRetryAfter is the RetryAfter of a partition that is full.
	fullRetryAfter = 5 * time.Second
)

// Partition is the state of a partition as of a log index. The exported fields are its stored form.
type Partition struct {
	Index    uint64                 `json:"index"`
	Now      time.Duration          `json:"now"`             // the partition's clock
	Token    uint64                 `json:"token,omitempty"` // the highest under which a request was taken up
	Requests map[string]*Request    `json:"entries"`         // by RequestID
	Usage    map[string]TenantUsage `json:"held"`            // by tenant
	Bytes    int                    `json:"bytes"`
}

// TenantUsage is what the requests of a tenant use.
type TenantUsage struct {
	Requests int `json:"n"`
	Bytes    int `json:"b"`
}

// NewPartition returns an empty partition.
func NewPartition() *Partition {
	return &Partition{Requests: map[string]*Request{}, Usage: map[string]TenantUsage{}}
}

// Encode returns the stored form of the partition.
func (p *Partition) Encode() []byte {
	b, err := json.Marshal(p)
	if err != nil {
		panic(err) // it consists of strings, numbers and bytes
	}
	return b
}

// Decode replaces the partition by one that Encode returned.
func (p *Partition) Decode(b []byte) error {
	decoded := NewPartition()
	if err := json.Unmarshal(b, decoded); err != nil {
		return fmt.Errorf("decode idempotency partition: %w", err)
	}
	*p = *decoded
	return nil
}

// RequestID identifies the request of a tenant with a key.
func RequestID(tenant, key string) string { return fmt.Sprintf("%d %s %s", len(tenant), tenant, key) }

func rejectf(format string, args ...any) Result {
	return Result{Code: Rejected, Reason: fmt.Sprintf(format, args...)}
}

// Apply carries out the command at a log index and returns its outcome.
func (p *Partition) Apply(index uint64, c *Command) Result {
	p.Index = index
	switch c.Op {
	case OpAdvanceClock:
		return p.advanceClock(c)
	case OpEndSession:
		return p.endSession(c)
	}
	if c.Key == "" || len(c.Key) > MaxKeyBytes || len(c.Tenant) > MaxKeyBytes {
		return rejectf("a key has 1 to %d bytes, a tenant at most %d", MaxKeyBytes, MaxKeyBytes)
	}
	r := p.Requests[RequestID(c.Tenant, c.Key)]
	switch c.Op {
	case OpBegin:
		return p.begin(r, c)
	case OpDefer:
		return p.deferRequest(r, c)
	}
	if r == nil {
		return Result{Code: UnknownRequest}
	}
	switch c.Op {
	case OpSend:
		return p.send(r, c)
	case OpComplete:
		return p.complete(r, c)
	case OpAbandon:
		return p.abandon(r, c)
	case OpTakeUp:
		return p.takeUp(r, c)
	case OpCancel:
		return p.cancel(r)
	}
	return rejectf("unknown command %q", c.Op)
}

// advanceClock advances the partition's clock, and removes what was retained for long enough.
func (p *Partition) advanceClock(c *Command) Result {
	if c.Elapsed > 0 {
		p.Now += c.Elapsed
	}
	for _, id := range slices.Sorted(maps.Keys(p.Requests)) {
		r := p.Requests[id]
		switch {
		case p.Now < r.ExpiresAt:
		case r.Phase.Final():
			p.remove(id, r)
		case r.Phase == PhaseWaiting:
			p.finish(r, PhaseExpired, nil)
		}
	}
	return Result{Code: OK}
}

// endSession frees the requests of a gateway whose session has ended. A request that was not sent is as
// if it had not arrived; one that may have run is given to the next gateway that asks, or becomes
// indeterminate, as its idempotency allows.
func (p *Partition) endSession(c *Command) Result {
	for _, id := range slices.Sorted(maps.Keys(p.Requests)) {
		r := p.Requests[id]
		if r.Session != c.Session || r.Phase.Final() || r.Phase == PhaseWaiting {
			continue
		}
		r.Session, r.Fence = 0, p.Index
		switch {
		case r.Phase == PhaseBegun && r.Deferred:
			r.Phase = PhaseWaiting
		case r.Phase == PhaseBegun:
			p.remove(id, r)
		case r.Idempotency == NonIdempotent && !failpoint.Enabled(failpoint.KeepIndeterminateOpen):
			p.finish(r, PhaseIndeterminate, nil)
		}
	}
	return Result{Code: OK}
}

// add adds a request, where there is capacity for it.
func (p *Partition) add(r *Request) (Result, bool) {
	used, size := p.Usage[r.Tenant], r.size()
	full := len(p.Requests) >= MaxRequests || p.Bytes+size > MaxBytes
	tenantFull := used.Requests >= MaxRequests/TenantShareDivisor || used.Bytes+size > MaxBytes/TenantShareDivisor
	if full || tenantFull {
		return Result{Code: Full, RetryAfter: fullRetryAfter}, false
	}
	p.Requests[RequestID(r.Tenant, r.Key)] = r
	p.count(r.Tenant, 1, size)
	return Result{}, true
}

func (p *Partition) remove(id string, r *Request) {
	p.count(r.Tenant, -1, -r.size())
	delete(p.Requests, id)
}

// count adds to what a tenant uses.
func (p *Partition) count(tenant string, requests, bytes int) {
	p.Bytes += bytes
	used := p.Usage[tenant]
	used.Requests, used.Bytes = used.Requests+requests, used.Bytes+bytes
	if used.Requests == 0 {
		delete(p.Usage, tenant)
		return
	}
	p.Usage[tenant] = used
}

// finish gives a request its final phase, in which it is retained from now on.
func (p *Partition) finish(r *Request, phase Phase, response *Response) {
	before := r.size()
	r.Phase, r.Response, r.Session, r.Body, r.ExpiresAt = phase, response, 0, nil, p.Now+r.Retention
	p.count(r.Tenant, 0, r.size()-before)
}
