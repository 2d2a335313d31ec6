// Package idempotency implements the state machine of one partition of the requests that are shared by all
// gateways: requests with an idempotency key and their responses, so that duplicates at any gateway have a
// single effect, and deferred requests, which were accepted for later delivery.
//
// The package does no I/O and reads no clock. Commands are applied in the order of a replicated log, and
// the result of each command is returned to its proposer.
//
// Time is measured in two ways, each of which can err only in the safe direction. The retention of requests
// is measured by the partition's own clock, which leaders advance by the time that they have measured. This
// clock may be slow but is never fast, so no request is removed early. The deduplication window, within
// which a duplicate may be sent into a scope that drops duplicates, is measured by the leader that recorded
// the first attempt. The beginning of the window is not replicated, so any other leader treats the window as
// ended.
package idempotency

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"dunemoor/internal/cluster/failpoint"
)

// Limits of a partition. New requests that exceed them are rejected; accepted requests are never evicted.
const (
	MaxRequests = 16384    // 256 partitions store 4 million requests, of 200 bytes of memory each
	MaxBytes    = 64 << 20 // size of one partition on a replica
	// TenantShareDivisor is the reciprocal of the share of MaxRequests and of MaxBytes that one tenant may
	// use, which is a quarter.
	TenantShareDivisor = 4
	MaxKeyBytes        = 255
	MaxResponseBytes   = 64 << 10 // equals the response size that the gateway buffers
	MaxBodyBytes       = 64 << 10
	// MaxRetention bounds how long a response is kept, MaxDeferral how long a deferred request waits.
	MaxRetention = 7 * 24 * time.Hour
	MaxDeferral  = 24 * time.Hour
	// requestOverhead is the memory in bytes that a request uses in addition to its variable-length fields.
	requestOverhead = 200
	// fullRetryAfter is the value of RetryAfter in results with the code Full.
	fullRetryAfter = 5 * time.Second
)

// Partition is the state of a partition as of a log index. The exported fields are its stored form.
type Partition struct {
	Index    uint64                 `json:"index"`
	Now      time.Duration          `json:"now"`             // the partition's clock
	Token    uint64                 `json:"token,omitempty"` // highest token with which a request was claimed
	Requests map[string]*Request    `json:"entries"`         // by RequestID
	Usage    map[string]TenantUsage `json:"held"`            // by tenant
	Bytes    int                    `json:"bytes"`
}

// TenantUsage is the number and the total size of the requests of a tenant.
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
		panic(err) // unreachable: a partition consists of strings, numbers and bytes
	}
	return b
}

// Decode replaces the partition with one that Encode returned.
func (p *Partition) Decode(b []byte) error {
	decoded := NewPartition()
	if err := json.Unmarshal(b, decoded); err != nil {
		return fmt.Errorf("decode idempotency partition: %w", err)
	}
	*p = *decoded
	return nil
}

// RequestID returns the identifier of the request of a tenant with a key.
func RequestID(tenant, key string) string { return fmt.Sprintf("%d %s %s", len(tenant), tenant, key) }

func rejectf(format string, args ...any) Result {
	return Result{Code: Rejected, Reason: fmt.Sprintf(format, args...)}
}

// Apply applies the command at a log index and returns its result.
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
	case OpClaim:
		return p.claim(r, c)
	case OpCancel:
		return p.cancel(r)
	}
	return rejectf("unknown command %q", c.Op)
}

// advanceClock advances the partition's clock, removes final requests whose retention has ended, and expires
// deferred requests that were not claimed in time.
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

// endSession frees the requests of a gateway whose session has ended. A request that was not sent is
// removed, or waits again if it is deferred. A request that may have been executed becomes indeterminate if
// it is non-idempotent; otherwise it is given to the next gateway that requests it, see retryOrEnd.
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

// add adds a request if there is capacity for it. Otherwise it returns a result with the code Full and false.
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

// count adds to the usage of a tenant and to the size of the partition.
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

// finish sets the final phase of a request and starts its retention.
func (p *Partition) finish(r *Request, phase Phase, response *Response) {
	before := r.size()
	r.Phase, r.Response, r.Session, r.Body, r.ExpiresAt = phase, response, 0, nil, p.Now+r.Retention
	p.count(r.Tenant, 0, r.size()-before)
}
