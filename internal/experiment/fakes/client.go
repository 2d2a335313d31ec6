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
	Share                  float64 // relative share of the requests; shares need not sum up to 1
	Timeout                time.Duration
	Body                   string
	Path                   string        // "": /api/NAME
	Host                   string        // Host header; "": the host of the URL
	ClassHeader            string        // X-Priority-Class header; "": Name
	WithoutPlatformHeaders bool          // whether requests have none of the platform's headers except the request ID
	DedupWindow            time.Duration // window in which nodes drop duplicates of IdempotentWithKey
}

// Load is an open-loop load: clients send requests at a rate that does not depend on responses.
type Load struct {
	URL                string  // URL of the gateway; its host must be a loopback address
	Rate               float64 // mean number of requests per second
	Count              int     // number of requests, without retries
	Classes            []Class
	Seed               uint64
	MaxIdleConnections int // 0: defaultMaxIdleConnections
	Retries            int // maximum number of retries of a rejected request, each after its Retry-After

	Transport http.RoundTripper // nil: HTTP/1.1
}

const (
	// maxLoadCount is the maximum Load.Count, so that a mistake in a test doesn't overload the machine.
	maxLoadCount              = 1_000_000
	defaultMaxIdleConnections = 64
	// maxRetryAfter is the longest Retry-After that clients honor.
	maxRetryAfter = 5 * time.Second
)

// Run sends Count requests and returns when all have ended. If ctx ends, it sends no more requests and returns ctx's
// error.
func (l *Load) Run(ctx context.Context, ledger *Ledger) error {
	if err := checkLoopback(strings.TrimPrefix(l.URL, "http://")); err != nil {
		return err
	}
	if l.Rate <= 0 || l.Count <= 0 || l.Count > maxLoadCount || len(l.Classes) == 0 {
		return errors.New("fakes: load: Rate, Count or Classes is missing or out of range")
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

// drawClass returns a random class, weighted by the shares.
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

// send sends one request, and retries it while it is rejected.
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

// Send sends one request and records it with its outcome. retryAfter is the Retry-After of the response, or 0.
func Send(client *http.Client, url string, c *Class, id string, isRetry bool, ledger *Ledger) (o Outcome, retryAfter time.Duration) {
	recorded := ClientRequest{Class: c.Name, Idempotency: c.Idempotency, DedupWindow: c.DedupWindow}
	if c.Idempotency == IdempotentWithKey {
		recorded.Key = "key-" + id
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	request, err := newRequest(ctx, url, c)
	if err != nil {
		panic(err) // the URL and the path are constants of the test
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

// newRequest returns a request of a class: GET without a body if the class is idempotent, else POST.
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
	request.GetBody = nil // so that net/http can't send a request with a body again by itself
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

// outcomeOf returns the outcome of the request with the ID, given its response.
func outcomeOf(status int, body, id string) Outcome {
	switch {
	case status == http.StatusOK && body == ResponseBody(id):
		return Served
	case status == http.StatusOK:
		return ConnectionLost // the response is for another request
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return Rejected
	}
	return Failed
}

// parseRetryAfter returns the Retry-After of a response, at most maxRetryAfter, or 0 if there is none.
func parseRetryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return min(time.Duration(seconds*float64(time.Second)), maxRetryAfter)
}
