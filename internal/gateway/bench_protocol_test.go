package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/fcgi"
	"net/http/httptest"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dunemoor/internal/config"
	"dunemoor/internal/experiment/fakes"
	"dunemoor/internal/fastcgi"
)

// BenchmarkProtocols sends requests of 16 clients over HTTP and FastCGI to HTTP and FastCGI hosts, through
// one process on one core. For each combination it measures requests per second, p99 latency, and CPU time
// and allocations per request.
//
//	go test -run xxx -bench Protocols -benchtime 1x ./internal/gateway
func BenchmarkProtocols(b *testing.B) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "4")
		io.WriteString(w, "done")
	})
	web := httptest.NewServer(handler)
	defer web.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	go fcgi.Serve(ln, handler)
	for b.Loop() {
		c := startProxyProcess(b, "dunemoor-cgi", web.Listener.Addr().String()+";"+ln.Addr().String())
		benchmarkProtocolPairs(b, c)
	}
}

// protocolPair is a combination of client and host protocols, with the results of its measurement.
type protocolPair struct {
	name, path string
	client     http.RoundTripper
	took       []time.Duration // latency of each request
	span, cpu  time.Duration
	mallocs    uint64
}

// benchmarkProtocolPairs measures the pairs in turn, in seven rounds. The results of the first round are
// discarded, as the balancer is still estimating the rates of the hosts.
func benchmarkProtocolPairs(b *testing.B, c *proxyProcess) {
	byHTTP, byCGI, _ := strings.Cut(strings.TrimPrefix(c.url, "http://"), ";")
	server := &fakes.WebServer{Addr: byCGI}
	defer server.Close()
	clients := map[string]http.RoundTripper{"http": &http.Transport{MaxIdleConnsPerHost: 16}, "cgi": server}
	var pairs []*protocolPair
	for _, from := range []string{"http", "cgi"} {
		for _, to := range []string{"http", "cgi"} {
			pairs = append(pairs, &protocolPair{name: from + "->" + to, client: clients[from], path: "/" + to})
		}
	}
	for round := range 7 {
		for _, p := range pairs {
			cpu, _ := c.usage(b)
			mallocs, _ := c.counters(b)
			started := time.Now()
			took := sendFor(b, p.client, "http://"+byHTTP+p.path, 300*time.Millisecond)
			if round == 0 {
				continue
			}
			p.span += time.Since(started)
			cpuAfter, _ := c.usage(b)
			p.cpu += cpuAfter - cpu
			mallocsAfter, _ := c.counters(b)
			p.mallocs += mallocsAfter - mallocs
			p.took = append(p.took, took...)
		}
	}
	for _, p := range pairs {
		slices.Sort(p.took)
		n := float64(len(p.took))
		b.ReportMetric(n/p.span.Seconds(), p.name+"-rps")
		b.ReportMetric(float64(p.took[len(p.took)*99/100].Microseconds()), p.name+"-p99-us")
		b.ReportMetric(float64(p.cpu.Microseconds())/n, p.name+"-cpu-us")
		b.ReportMetric(float64(p.mallocs)/n, p.name+"-allocs")
	}
}

// sendFor sends requests with 16 clients for the given time, and returns the latency of each request that
// was served.
func sendFor(b *testing.B, client http.RoundTripper, url string, span time.Duration) (took []time.Duration) {
	var mu sync.Mutex // guards took
	var clients sync.WaitGroup
	started := time.Now()
	for range 16 {
		clients.Go(func() {
			var own []time.Duration
			for time.Since(started) < span {
				r, _ := http.NewRequest("GET", url, nil)
				sentAt := time.Now()
				resp, err := client.RoundTrip(r)
				if err != nil {
					b.Error(err)
					return
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode == 200 {
					own = append(own, time.Since(sentAt))
				}
			}
			mu.Lock()
			defer mu.Unlock()
			took = append(took, own...)
		})
	}
	clients.Wait()
	return took
}

// BenchmarkMultiplexed sends 10,000 requests of 8 KiB on 4 connections of a FastCGI web server, 64 at a
// time. It measures failures and the peak memory of the process, whose memory limit is 64 MB.
//
//	go test -run xxx -bench Multiplexed -benchtime 1x ./internal/gateway
func BenchmarkMultiplexed(b *testing.B) {
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, n)
	}))
	defer web.Close()
	const count, size = 10_000, 8 << 10
	for b.Loop() {
		c := startProxyProcess(b, "dunemoor-cgi", web.Listener.Addr().String()+";127.0.0.1:1")
		_, byCGI, _ := strings.Cut(strings.TrimPrefix(c.url, "http://"), ";")
		server := &fakes.WebServer{Addr: byCGI, MaxConnections: 4}
		var remaining, failed, rejected atomic.Int64
		remaining.Store(count)
		var all sync.WaitGroup
		for range 4 * fastcgi.MaxRequestsPerConn / 2 { // half of the capacity, as the connections are not used quite evenly
			all.Go(func() {
				for remaining.Add(-1) >= 0 {
					r, _ := http.NewRequest("POST", "http://a/http", io.LimitReader(zeroReader{}, size))
					resp, err := server.RoundTrip(r)
					switch {
					case err != nil:
						failed.Add(1)
						b.Log(err)
					case resp.StatusCode == 503:
						rejected.Add(1)
						time.Sleep(10 * time.Millisecond)
					default:
						if text, _ := io.ReadAll(resp.Body); resp.StatusCode != 200 || string(text) != strconv.Itoa(size) {
							failed.Add(1)
						}
					}
				}
			})
		}
		all.Wait()
		server.Close()
		_, peak := c.usage(b)
		b.ReportMetric(float64(failed.Load()), "failed")
		b.ReportMetric(float64(rejected.Load()), "refused")
		b.ReportMetric(float64(peak)/1024, "peak-MB")
	}
}

// BenchmarkIdlePool measures the memory of a pool with four members and no requests, including goroutine
// stacks.
func BenchmarkIdlePool(b *testing.B) {
	const pools = 200
	var text strings.Builder
	text.WriteString(strings.Replace(overloadConfig, "sockets = 1024", "sockets = 8192", 1))
	for i := range pools {
		name := fmt.Sprint("p", i)
		text.WriteString(poolConfig(name, "", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"))
		text.WriteString(routeConfig(name, "path = \"/"+name+"\"\npool = \""+name+"\"\nclass = \"lookup\""))
	}
	a, errs := config.ParseAppliance("bench", text.String())
	if len(errs) > 0 {
		b.Fatal(errs)
	}
	usedBytes := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc + m.StackInuse
	}
	for b.Loop() {
		before := usedBytes()
		g, err := StartAppliance(a, nil, nil, nil)
		if err != nil {
			b.Fatal(err)
		}
		snapshot := g.engine.Snapshot() // waits until the configuration is in use
		snapshot.Release()
		b.ReportMetric(float64(usedBytes()-before)/pools, "bytes/pool")
		g.Close()
	}
}
