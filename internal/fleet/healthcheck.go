package fleet

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dunemoor/internal/cluster/leaseholder"
	"dunemoor/internal/cluster/node"
	"dunemoor/internal/fleet/healthcheck"
)

const (
	// checkLeasePrefix is the prefix of the names of health check leases, followed by the pool. The holder
	// checks hosts for the fleet.
	checkLeasePrefix = "check/"
	// maxCheckResponse is the maximum number of bytes that are read of a response.
	maxCheckResponse = 4 << 10
	// checksPerInterval is how often per healthcheck.Interval the holder looks for due hosts.
	checksPerInterval = 4
)

// Headers of a health check. A host that stores the highest token that it has received for a lease, and
// responds to a lower one with 412, is protected from a former holder that was paused.
const (
	HeaderLease = "X-Fleet-Duty"
	HeaderToken = "X-Fleet-Token"
)

// Pool is a pool of the gateway, as health checks use it.
type Pool interface {
	// EjectedHosts returns at most limit hosts that are ejected and have not responded since.
	EjectedHosts(limit int) []string
	// Address returns the address of a host, or "" if no requests are sent to it.
	Address(name string) string
	// HealthCheckPassed reports that a host may be available again. It is sent a trial request at a random time
	// within the given duration.
	HealthCheckPassed(name string, within time.Duration)
}

// hostReport is a list of hosts: those that a gateway has ejected, or those that have passed a check.
type hostReport struct {
	Hosts []string `json:"hosts"`
}

// healthCheck checks the ejected hosts of a pool. One gateway does so for the whole fleet.
type healthCheck struct {
	fleet     *Fleet
	pool      string
	path      string // request path of a check
	leaseName string
	client    http.Client

	mu       sync.Mutex           // guards checker and checkSeq
	checker  *healthcheck.Checker // nil if this gateway is not the holder
	checkSeq uint64               // number of the last check as this holder, which is the sequence number of its publication

	// Counters of metrics.

	passed   atomic.Uint64 // checks that a host has passed
	failed   atomic.Uint64 // checks without a response, or with a bad status
	fenced   atomic.Uint64 // checks that a host rejected, because it has received a later token
	received atomic.Uint64 // hosts that have passed, by publications and by checks of this gateway
}

func newHealthCheck(f *Fleet, pool, path string) *healthCheck {
	return &healthCheck{fleet: f, pool: pool, path: path, leaseName: checkLeasePrefix + pool, client: http.Client{
		Timeout:       healthcheck.Timeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		// Without a proxy and without keepalive, since a check must show whether a new client is served.
		Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: healthcheck.Timeout}).DialContext, DisableKeepAlives: true,
			MaxResponseHeaderBytes: maxCheckResponse,
		},
	}}
}

// reportEjected periodically reports the hosts that this gateway has ejected to the holder.
func (c *healthCheck) reportEjected(ctx context.Context) {
	tick := time.NewTicker(healthcheck.Interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		p, ok := c.fleet.pool(c.pool)
		if !ok {
			continue
		}
		names := p.EjectedHosts(healthcheck.MaxHosts)
		if len(names) == 0 || c.report(names) {
			continue
		}
		if b, err := json.Marshal(hostReport{names}); err == nil {
			c.fleet.cluster.RequestResync(c.leaseName, b)
		}
	}
}

// report handles a report of ejected hosts. It returns false if this gateway is not the holder.
func (c *healthCheck) report(names []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.checker == nil {
		return false
	}
	c.checker.Report(leaseholder.Now(), names)
	return true
}

// Resync implements cluster.Subscriber. Another gateway reports the hosts that it has ejected.
func (c *healthCheck) Resync(_ string, body []byte) {
	var r hostReport
	if err := json.Unmarshal(body, &r); err != nil {
		return
	}
	c.report(r.Hosts)
}

// ReceivePublication implements cluster.Subscriber. The publication lists hosts that have passed a check.
func (c *healthCheck) ReceivePublication(p node.Publication) {
	var r hostReport
	if err := json.Unmarshal(p.Body, &r); err != nil {
		slog.Warn("malformed health check publication", "pool", c.pool, "err", err)
		return
	}
	// Not on the caller's goroutine, which is the cluster's loop, because the pool may be busy.
	go c.notifyPool(r.Hosts)
}

// notifyPool notifies this gateway's pool of hosts that have passed a check.
func (c *healthCheck) notifyPool(names []string) {
	p, ok := c.fleet.pool(c.pool)
	if !ok {
		return
	}
	s := c.fleet.cluster.Status()
	// In a fleet with relays only the number of sessions is known here.
	within := healthcheck.TrialSpread(max(len(s.Members), s.Sessions))
	for _, name := range names[:min(len(names), healthcheck.MaxHosts)] {
		c.received.Add(1)
		p.HealthCheckPassed(name, within)
	}
}

// runAsHolder is the work under the check lease. Hosts are checked while it runs.
func (c *healthCheck) runAsHolder(ctx context.Context, l *leaseholder.Lease) {
	c.setChecker(healthcheck.NewChecker())
	defer c.setChecker(nil)
	var checks sync.WaitGroup
	defer checks.Wait()
	tick := time.NewTicker(healthcheck.Interval / checksPerInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, name := range c.due() {
			checks.Go(func() { c.check(l, name) })
		}
	}
}

func (c *healthCheck) setChecker(checker *healthcheck.Checker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checker = checker
	c.checkSeq = 0
}

func (c *healthCheck) due() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.checker.Due(leaseholder.Now())
}

// checked records the end of a check, and returns the sequence number for the publication of its result.
func (c *healthCheck) checked(name string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.checker != nil {
		c.checker.Checked(leaseholder.Now(), name)
	}
	c.checkSeq++
	return c.checkSeq
}

// check checks a host, and publishes the host if it passes.
func (c *healthCheck) check(l *leaseholder.Lease, name string) {
	passed := c.request(l, name)
	seq := c.checked(name)
	if !passed {
		return
	}
	names := []string{name}
	b, err := json.Marshal(hostReport{names})
	if err != nil || !l.Valid() {
		return
	}
	c.fleet.cluster.Publish("", l, seq, b)
	c.notifyPool(names)
}

// request sends one request to a host, and reports whether the host passes. The lease is validated last before
// the request is sent. If it is lost in between, the host's fence rejects the check; a check changes nothing on
// a host without a fence.
func (c *healthCheck) request(l *leaseholder.Lease, name string) (passed bool) {
	p, ok := c.fleet.pool(c.pool)
	if !ok {
		return false
	}
	addr := p.Address(name)
	if addr == "" {
		return false // the host is draining or gone
	}
	r, err := http.NewRequest(http.MethodGet, "http://"+addr+c.path, nil)
	if err != nil {
		slog.Warn("health check failed", "pool", c.pool, "host", name, "err", err)
		return false
	}
	r.Header.Set(HeaderLease, l.Name)
	r.Header.Set(HeaderToken, strconv.FormatUint(l.Token, 10))
	r.Header.Set("User-Agent", "dunemoor")
	if !l.Valid() {
		return false
	}
	resp, err := c.client.Do(r)
	if err != nil {
		c.failed.Add(1)
		return false
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxCheckResponse))
	switch {
	case resp.StatusCode == http.StatusPreconditionFailed:
		c.fenced.Add(1)
		slog.Warn("health check rejected, the host knows a later holder of the lease", "lease", l.Name, "token", l.Token, "host", name)
	case resp.StatusCode >= 200 && resp.StatusCode < 400:
		c.passed.Add(1)
		return true
	default:
		c.failed.Add(1)
	}
	return false
}
