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
	"dunemoor/internal/fleet/checks"
)

// checkPrefix begins the names of the duties to try hosts for the fleet; the pool follows.
const checkPrefix = "check/"

// Headers of what goes to hosts on behalf of a duty. A host that keeps the highest token it was
// shown of a duty, and answers 412 to a lower one, is safe from an owner of before that woke up
// late.
const (
	HeaderDuty  = "X-Fleet-Duty"
	HeaderToken = "X-Fleet-Token"
)

// answerMost is what is read of an answer to a try.
const answerMost = 4 << 10

// Pool is a pool of the gateway as checks see it.
type Pool interface {
	// GivenUp is the hosts that this gateway has given up and that have not answered since.
	GivenUp(most int) []string
	// Address is where a host takes requests, "" where it is not to get any.
	Address(name string) string
	// Hint says that a host may be worth a try, some time within.
	Hint(name string, within time.Duration)
}

// check is the trying of a pool's hosts by way of the fleet.
type check struct {
	f                *Fleet
	pool, path, name string
	client           http.Client

	mu      sync.Mutex
	checker *checks.Checker // while we are the owner
	seq     uint64

	good, bad, fenced, hints atomic.Uint64
}

// good is what the owner tells: hosts that answered.
type good struct {
	Hosts []string `json:"hosts"`
}

func newCheck(f *Fleet, pool, path string) *check {
	return &check{f: f, pool: pool, path: path, name: checkPrefix + pool, client: http.Client{
		Timeout:       checks.Timeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		// No proxy and no connection kept: what is asked is whether a new client is served.
		Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: checks.Timeout}).DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: answerMost},
	}}
}

// report tells the owner, time and again, which hosts we have given up.
func (c *check) report(ctx context.Context) {
	tick := time.NewTicker(checks.Every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		p, ok := c.f.poolNamed(c.pool)
		if !ok {
			continue
		}
		names := p.GivenUp(checks.HostsMost)
		if len(names) == 0 {
			continue
		}
		c.mu.Lock()
		own := c.checker
		if own != nil {
			own.Said(leaseholder.Now(), names)
		}
		c.mu.Unlock()
		if own != nil {
			continue
		}
		if b, err := json.Marshal(good{names}); err == nil {
			c.f.c.RequestResync(c.name, b)
		}
	}
}

// Resync takes another gateway's word on what it has given up.
func (c *check) Resync(_ string, body []byte) {
	var w good
	if err := json.Unmarshal(body, &w); err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.checker != nil {
		c.checker.Said(leaseholder.Now(), w.Hosts)
	}
}

// ReceivePublication takes the owner's word that hosts have answered.
func (c *check) ReceivePublication(n node.Publication) {
	var w good
	if err := json.Unmarshal(n.Body, &w); err != nil {
		slog.Warn("the fleet's word on hosts can't be read", "pool", c.pool, "err", err)
		return
	}
	// Not here: the pool's loop may be busy, and who calls is the loop of the fleet.
	go c.hint(w.Hosts)
}

func (c *check) hint(names []string) {
	p, ok := c.f.poolNamed(c.pool)
	if !ok {
		return
	}
	s := c.f.c.Status()
	within := checks.Within(max(len(s.Members), s.Sessions)) // with relays only the count is known here
	for _, name := range names[:min(len(names), checks.HostsMost)] {
		c.hints.Add(1)
		p.Hint(name, within)
	}
}

// work is the duty's: while it is held, hosts are tried from here.
func (c *check) work(ctx context.Context, h *leaseholder.Lease) {
	own := checks.New()
	c.mu.Lock()
	c.checker, c.seq = own, 0
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.checker = nil
		c.mu.Unlock()
	}()
	var tries sync.WaitGroup
	defer tries.Wait()
	tick := time.NewTicker(checks.Every / 4)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		c.mu.Lock()
		due := own.Due(leaseholder.Now())
		c.mu.Unlock()
		for _, name := range due {
			tries.Go(func() {
				ok := c.try(h, name)
				c.mu.Lock()
				own.Tried(leaseholder.Now(), name)
				c.seq++
				seq := c.seq
				c.mu.Unlock()
				if b, err := json.Marshal(good{[]string{name}}); ok && err == nil && h.Valid() {
					c.f.c.Publish("", h, seq, b)
					c.hint([]string{name})
				}
			})
		}
	}
}

// try asks a host once. The look at the hold is the last thing before the request goes out; what
// lies between is for the host's fence, and a try changes nothing at a host that has none.
func (c *check) try(h *leaseholder.Lease, name string) (ok bool) {
	p, known := c.f.poolNamed(c.pool)
	if !known {
		return false
	}
	addr := p.Address(name)
	if addr == "" {
		return false // it drains or is gone
	}
	r, err := http.NewRequest(http.MethodGet, "http://"+addr+c.path, nil)
	if err != nil {
		slog.Warn("a host can't be tried", "pool", c.pool, "host", name, "err", err)
		return false
	}
	r.Header.Set(HeaderDuty, h.Name)
	r.Header.Set(HeaderToken, strconv.FormatUint(h.Token, 10))
	r.Header.Set("User-Agent", "dunemoor")
	if !h.Valid() {
		return false
	}
	answer, err := c.client.Do(r)
	if err != nil {
		c.bad.Add(1)
		return false
	}
	defer answer.Body.Close()
	io.Copy(io.Discard, io.LimitReader(answer.Body, answerMost))
	switch {
	case answer.StatusCode == http.StatusPreconditionFailed:
		c.fenced.Add(1)
		slog.Warn("a host knows a later owner of the duty", "duty", h.Name, "token", h.Token, "host", name)
	case answer.StatusCode >= 200 && answer.StatusCode < 400:
		c.good.Add(1)
		return true
	default:
		c.bad.Add(1)
	}
	return false
}
