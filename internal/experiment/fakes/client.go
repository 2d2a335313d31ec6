package fakes

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Class is a kind of request that clients make.
type Class struct {
	Name                   string
	Idempotency            Idempotency
	Share                  float64 // of the requests; they need not sum up to 1
	Timeout                time.Duration
	Body                   string
	Path                   string        // "" is "/api/NAME"
	Host                   string        // for the Host header; "": that of the URL
	ClassHeader            string        // what is said as the class; "": the name
	WithoutPlatformHeaders bool          // an ordinary client: it sends none of our headers but an id to be known by
	Window                 time.Duration // of Keyed
}

// Load is clients that ask at a rate, whether answers come or not.
type Load struct {
	URL     string // of the gateway
	Rate    float64
	Count   int // requests in all: every load ends by itself
	Classes []Class
	Seed    uint64
	Conns   int // connections kept at most; 0: 64
	Retries int // tries again after a refusal, when Retry-After says

	Transport http.RoundTripper // nil: HTTP/1.1
}

// loadMost bounds a load, as a slip must not become a flood.
const loadMost = 1_000_000

// Run asks until Count requests have been made and all have ended, or ctx ends.
func (l *Load) Run(ctx context.Context, ledger *Ledger) error {
	if !loopback(strings.TrimPrefix(l.URL, "http://")) {
		return fmt.Errorf("standin: %q is no loopback address", l.URL)
	}
	if l.Rate <= 0 || l.Count <= 0 || l.Count > loadMost || len(l.Classes) == 0 {
		return errors.New("standin: a load needs a rate, a count and classes")
	}
	conns := l.Conns
	if conns == 0 {
		conns = 64
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: conns, DisableCompression: true}}
	if l.Transport != nil {
		client.Transport = l.Transport
	}
	defer client.CloseIdleConnections()
	r := rand.New(rand.NewPCG(l.Seed, 2))
	total := 0.0
	for _, c := range l.Classes {
		total += c.Share
	}
	var wait sync.WaitGroup
	defer wait.Wait()
	next := time.Now()
	for i := range l.Count {
		next = next.Add(time.Duration(r.ExpFloat64() / l.Rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(next)):
		}
		x, class := r.Float64()*total, 0
		for x -= l.Classes[0].Share; x >= 0 && class < len(l.Classes)-1; x -= l.Classes[class].Share {
			class++
		}
		base := fmt.Sprintf("%08x%04x", uint32(l.Seed), i)
		wait.Add(1)
		go func() {
			defer wait.Done()
			l.ask(client, &l.Classes[class], base, ledger)
		}()
	}
	return nil
}

// ask makes one request, and again where it is refused.
func (l *Load) ask(client *http.Client, c *Class, base string, ledger *Ledger) {
	for try := 0; ; try++ {
		id := fmt.Sprintf("%s-%d", base, try)
		outcome, after := Do(client, l.URL, c, id, try > 0, ledger)
		if outcome != Rejected || try >= l.Retries {
			return
		}
		time.Sleep(after)
	}
}

// Do makes one request and enters it. after is what a refusal advises.
func Do(client *http.Client, url string, c *Class, id string, again bool, ledger *Ledger) (o Outcome, after time.Duration) {
	ask := ClientRequest{Class: c.Name, Effect: c.Idempotency, Window: c.Window}
	method := http.MethodPost
	body := c.Body
	if c.Idempotency == Idempotent {
		method, body = http.MethodGet, ""
	}
	if c.Idempotency == IdempotentWithKey {
		ask.Key = "key-" + id
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	path := c.Path
	if path == "" {
		path = "/api/" + c.Name
	}
	r, err := http.NewRequestWithContext(ctx, method, url+path, strings.NewReader(body))
	if err != nil {
		panic(err) // of the test's own making
	}
	r.GetBody = nil // net/http must not send it again by itself
	r.Host = c.Host
	r.Header.Set("X-Request-Id", id)
	if !c.WithoutPlatformHeaders {
		r.Header.Set("X-Priority-Class", cmp.Or(c.ClassHeader, c.Name))
		r.Header.Set("X-Timeout", strconv.FormatFloat(c.Timeout.Seconds(), 'f', 3, 64))
	}
	if ask.Key != "" {
		r.Header.Set("Idempotency-Key", ask.Key)
	}
	if again {
		r.Header.Set("X-Retried", "1")
	}
	ledger.Asked(id, ask)
	began, status := time.Now(), 0
	defer func() { ledger.Ended(id, o, status, time.Since(began)) }()
	resp, err := client.Do(r)
	if err == nil {
		defer resp.Body.Close()
		var text []byte
		status = resp.StatusCode
		if text, err = io.ReadAll(resp.Body); err == nil {
			return judge(status, string(text), id), retryAfter(resp)
		}
	}
	if ctx.Err() != nil {
		return Unanswered, 0
	}
	return ConnectionLost, 0
}

func judge(status int, text, id string) Outcome {
	switch {
	case status == http.StatusOK && text == Answer(id):
		return Served
	case status == http.StatusOK:
		return ConnectionLost // served with what no node made for it
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return Rejected
	}
	return Failed
}

// waitMost is the longest advice that these clients heed.
const waitMost = 5 * time.Second

func retryAfter(resp *http.Response) time.Duration {
	s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil || s < 0 {
		return 0
	}
	return min(time.Duration(s*float64(time.Second)), waitMost)
}
