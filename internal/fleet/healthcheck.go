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
	// checkLeasePrefix begins the names of the leases to check hosts for the fleet; the pool follows.
	checkLeasePrefix = "check/"
	// maxCheckResponse is what is read of a response.
	maxCheckResponse = 4 << 10
	// checksPerInterval is how often due hosts are looked for in an interval.
	checksPerInterval = 4
)

// Headers of a health check. A host that keeps the highest token that it was shown of a lease, and answers
// 412 to a lower one, is safe from a former holder that was paused.
const (
	HeaderLease = "X-Fleet-Duty"
	HeaderToken = "X-Fleet-Token"
)

// Pool is a pool of the gateway as health checks see it.
type Pool interface {
	// EjectedHosts returns the hosts that are ejected and have not responded since, up to a limit.
	EjectedHosts(limit int) []string
	// Address returns where a host takes requests; "" where it gets none.
	Address(name string) string
	// HealthCheckPassed reports that a host may be back. It gets a trial request at a random moment within a
	// time.
	HealthCheckPassed(name string, within time.Duration)
}

// hostReport is a list of hosts: those that a gateway has ejected, or those that have passed a check.
type hostReport struct {
	Hosts []string `json:"hosts"`
}

// healthCheck checks the ejected hosts of a pool, by one gateway for all.
type healthCheck struct {
	fleet     *Fleet
	pool      string
	path      string // that hosts are asked for
	leaseName string
	client    http.Client

	mu       sync.Mutex           // guards the two fields below
	checker  *healthcheck.Checker // nil: this gateway is not the holder
	checkSeq uint64               // of the last check as this holder; a publication has that of its check

	// Counters of metrics.

	passed   atomic.Uint64 // checks that a host has passed
	failed   atomic.Uint64 // checks without a response, or with a bad status
	fenced   atomic.Uint64 // checks that a host rejected, as it knows a later holder
	received atomic.Uint64 // hosts that have passed, of publications and of checks of this gateway
}

func newHealthCheck(f *Fleet, pool, path string) *healthCheck {
	return &healthCheck{fleet: f, pool: pool, path: path, leaseName: checkLeasePrefix + pool, client: http.Client{
		Timeout:       healthcheck.Timeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		// No proxy, and no connection is kept: the question is whether a new client is served.
		Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: healthcheck.Timeout}).DialContext, DisableKeepAlives: true,
			MaxResponseHeaderBytes: maxCheckResponse,
		},
	}}
}

// reportEjected reports the hosts that this gateway has ejected to the holder, repeatedly.
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

// report takes a report. It reports false where this gateway is not the holder.
func (c *healthCheck) report(names []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.checker == nil {
		return false
	}
	c.checker.Report(leaseholder.Now(), names)
	return true
}

// Resync implements cluster.Subscriber: another gateway reports the hosts that it has ejected.
func (c *healthCheck) Resync(_ string, body []byte) {
	var r hostReport
	if err := json.Unmarshal(body, &r); err != nil {
		return
	}
	c.report(r.Hosts)
}

// ReceivePublication implements cluster.Subscriber: hosts have passed a check.
func (c *healthCheck) ReceivePublication(p node.Publication) {
	var r hostReport
	if err := json.Unmarshal(p.Body, &r); err != nil {
		slog.Warn("malformed health check publication", "pool", c.pool, "err", err)
		return
	}
	// Not on the caller's goroutine, which is the cluster's loop: the pool may be busy.
	go c.notifyPool(r.Hosts)
}

// notifyPool tells this gateway's pool of hosts that have passed a check.
func (c *healthCheck) notifyPool(names []string) {
	p, ok := c.fleet.pool(c.pool)
	if !ok {
		return
	}
	s := c.fleet.cluster.Status()
	within := healthcheck.TrialSpread(max(len(s.Members), s.Sessions)) // with relays only the number is known here
	for _, name := range names[:min(len(names), healthcheck.MaxHosts)] {
		c.received.Add(1)
		p.HealthCheckPassed(name, within)
	}
}

// runAsHolder is the work under the check lease: hosts are checked while it runs.
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

// checked notes the end of a check, and returns the sequence number of a publication of its result.
func (c *healthCheck) checked(name string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.checker != nil {
		c.checker.Checked(leaseholder.Now(), name)
	}
	c.checkSeq++
	return c.checkSeq
}

// check checks a host, and publishes that it has passed.
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

// request sends one request to a host, and reports whether it passes. The lease is checked last before the
// request is sent; what happens in between is for the host's fence, and a check changes nothing at a host
// without one.
func (c *healthCheck) request(l *leaseholder.Lease, name string) (passed bool) {
	p, ok := c.fleet.pool(c.pool)
	if !ok {
		return false
	}
	addr := p.Address(name)
	if addr == "" {
		return false // it is draining or gone
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
