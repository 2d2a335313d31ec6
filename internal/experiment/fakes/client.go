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

// Class is a class of requests that clients send.
type Class struct {
	Name                   string
	Idempotency            Idempotency
	Share                  float64 // of the requests; shares need not sum up to 1
	Timeout                time.Duration
	Body                   string
	Path                   string        // "": /api/NAME
	Host                   string        // Host header; "": that of the URL
	ClassHeader            string        // X-Priority-Class; "": Name
	WithoutPlatformHeaders bool          // an ordinary client, with none of the platform's headers but the request id
	DedupWindow            time.Duration // of IdempotentWithKey
}

// Load is clients that send requests at a rate, whether responses come or not.
type Load struct {
	URL                string  // of the gateway; a loopback address
	Rate               float64 // requests per second
	Count              int     // of requests without retries
	Classes            []Class
	Seed               uint64
	MaxIdleConnections int // 0: 64
	Retries            int // of a rejected request, after its Retry-After

	Transport http.RoundTripper // nil: HTTP/1.1
}

const (
	// maxLoadCount bounds a load, so that a mistake doesn't flood the machine.
	maxLoadCount              = 1_000_000
	defaultMaxIdleConnections = 64
	// maxRetryAfter is the longest Retry-After that clients honor.
	maxRetryAfter = 5 * time.Second
)

// Run sends Count requests, and returns when all have ended, or ctx's error when it ends.
func (l *Load) Run(ctx context.Context, ledger *Ledger) error {
	if err := checkLoopback(strings.TrimPrefix(l.URL, "http://")); err != nil {
		return err
	}
	if l.Rate <= 0 || l.Count <= 0 || l.Count > maxLoadCount || len(l.Classes) == 0 {
		return errors.New("fakes: a load needs a rate, a count and classes")
	}
	client := l.newClient()
	defer client.CloseIdleConnections()
	random := rand.New(rand.NewPCG(l.Seed, loadStream))
	var requests sync.WaitGroup
	defer requests.Wait()
	next := time.Now()
	for i := range l.Count {
		next = next.Add(time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(next)):
		}
		class := l.drawClass(random)
		idPrefix := fmt.Sprintf("%08x%04x", uint32(l.Seed), i)
		requests.Go(func() { l.send(client, class, idPrefix, ledger) })
	}
	return nil
}

func (l *Load) newClient() *http.Client {
	if l.Transport != nil {
		return &http.Client{Transport: l.Transport}
	}
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: cmp.Or(l.MaxIdleConnections, defaultMaxIdleConnections),
		DisableCompression:  true,
	}}
}

// drawClass draws a class by the shares.
func (l *Load) drawClass(random *rand.Rand) *Class {
	total := 0.0
	for _, c := range l.Classes {
		total += c.Share
	}
	x := random.Float64() * total
	class := 0
	x -= l.Classes[class].Share
	for x >= 0 && class < len(l.Classes)-1 {
		class++
		x -= l.Classes[class].Share
	}
	return &l.Classes[class]
}

// send sends one request, and its retries where it is rejected.
func (l *Load) send(client *http.Client, c *Class, idPrefix string, ledger *Ledger) {
	for retry := 0; ; retry++ {
		id := fmt.Sprintf("%s-%d", idPrefix, retry)
		outcome, retryAfter := Send(client, l.URL, c, id, retry > 0, ledger)
		if outcome != Rejected || retry >= l.Retries {
			return
		}
		time.Sleep(retryAfter)
	}
}

// Send sends one request and records it. retryAfter is that of the response, or 0.
func Send(client *http.Client, url string, c *Class, id string, isRetry bool, ledger *Ledger) (o Outcome, retryAfter time.Duration) {
	recorded := ClientRequest{Class: c.Name, Idempotency: c.Idempotency, DedupWindow: c.DedupWindow}
	if c.Idempotency == IdempotentWithKey {
		recorded.Key = "key-" + id
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	request, err := newRequest(ctx, url, c)
	if err != nil {
		panic(err) // the test's own URL
	}
	setHeaders(request, c, id, recorded.Key, isRetry)
	ledger.RecordRequest(id, recorded)
	start := time.Now()
	status := 0
	defer func() { ledger.RecordOutcome(id, o, status, time.Since(start)) }()
	response, err := client.Do(request)
	if err == nil {
		defer response.Body.Close()
		status = response.StatusCode
		var body []byte
		if body, err = io.ReadAll(response.Body); err == nil {
			return outcomeOf(status, string(body), id), parseRetryAfter(response)
		}
	}
	if ctx.Err() != nil {
		return Unanswered, 0
	}
	return ConnectionLost, 0
}

// newRequest returns a request of a class: GET without a body if it is idempotent, else POST.
func newRequest(ctx context.Context, url string, c *Class) (*http.Request, error) {
	method := http.MethodPost
	body := c.Body
	if c.Idempotency == Idempotent {
		method = http.MethodGet
		body = ""
	}
	path := cmp.Or(c.Path, "/api/"+c.Name)
	request, err := http.NewRequestWithContext(ctx, method, url+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // so that net/http doesn't send it again by itself
	request.Host = c.Host
	return request, nil
}

func setHeaders(request *http.Request, c *Class, id, key string, isRetry bool) {
	request.Header.Set("X-Request-Id", id)
	if !c.WithoutPlatformHeaders {
		request.Header.Set("X-Priority-Class", cmp.Or(c.ClassHeader, c.Name))
		request.Header.Set("X-Timeout", strconv.FormatFloat(c.Timeout.Seconds(), 'f', 3, 64))
	}
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	if isRetry {
		request.Header.Set("X-Retried", "1")
	}
}

// outcomeOf returns the outcome of a request by its response.
func outcomeOf(status int, body, id string) Outcome {
	switch {
	case status == http.StatusOK && body == Answer(id):
		return Served
	case status == http.StatusOK:
		return ConnectionLost // the response is for another request
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return Rejected
	}
	return Failed
}

// parseRetryAfter returns the Retry-After of a response, at most maxRetryAfter; 0: none.
func parseRetryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return min(time.Duration(seconds*float64(time.Second)), maxRetryAfter)
}
