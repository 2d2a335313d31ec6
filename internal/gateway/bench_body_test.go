package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// proxyKinds are the proxies that BenchmarkBeside compares, in the order of its ratios.
var proxyKinds = []string{"dunemoor", "ReverseProxy"}

// BenchmarkBeside compares the gateway with httputil.ReverseProxy. It sends request and response bodies
// of several sizes through each of them in turn; each is a process on one core. It measures CPU time per
// request, the ratio of throughputs and peak memory.
//
//	go test -run xxx -bench Beside -benchtime 1x ./internal/gateway
func BenchmarkBeside(b *testing.B) {
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := strconv.ParseInt(r.URL.Query().Get("n"), 10, 64)
		io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
		writeZeros(w, n)
	}))
	defer host.Close()
	hostAddr := host.Listener.Addr().String()
	for _, size := range []int64{1 << 10, 64 << 10, 1 << 20, 64 << 20} {
		for _, way := range []string{"up", "down"} {
			b.Run(fmt.Sprintf("%dKiB/%s", size>>10, way), func(b *testing.B) {
				for b.Loop() {
					compareProxies(b, hostAddr, way, size)
				}
			})
		}
	}
	b.Run("200x64MiB", func(b *testing.B) {
		for b.Loop() {
			for _, kind := range proxyKinds {
				proxy := startProxyProcess(b, kind, hostAddr)
				downloadAtOnce(b, proxy.url, 200, 64<<20)
				_, peak := proxy.usage(b)
				b.ReportMetric(float64(peak)/1024, kind+"-peak-MB")
			}
		}
	})
}

// proxyLoad is the load of one of proxyKinds and the resources that it used.
type proxyLoad struct {
	requests     int // number of requests served
	elapsed, cpu time.Duration
	peakKB       int // peak memory
}

// compareProxies loads each of proxyKinds with bodies of the given size in bytes, and reports their
// resource usage. way is "up" for request bodies and "down" for response bodies.
func compareProxies(b *testing.B, hostAddr, way string, size int64) {
	b.Helper()
	var proxies []*proxyProcess
	for _, kind := range proxyKinds {
		proxies = append(proxies, startProxyProcess(b, kind, hostAddr))
	}
	loads := make([]proxyLoad, len(proxies))
	for range 6 { // the proxies alternate, so that other load on the machine affects both
		for i, proxy := range proxies {
			load := &loads[i]
			cpuBefore, _ := proxy.usage(b)
			began := time.Now()
			load.requests += runLoad(b, proxy.url, way, size, 300*time.Millisecond)
			load.elapsed += time.Since(began)
			cpuAfter, peakKB := proxy.usage(b)
			load.cpu += cpuAfter - cpuBefore
			load.peakKB = peakKB
		}
	}
	for i, kind := range proxyKinds {
		b.ReportMetric(float64(loads[i].cpu.Microseconds())/float64(loads[i].requests), kind+"-us/op")
		b.ReportMetric(float64(loads[i].peakKB)/1024, kind+"-peak-MB")
	}
	throughput := func(load proxyLoad) float64 { return float64(load.requests) / load.elapsed.Seconds() }
	cpuPerRequest := func(load proxyLoad) float64 { return float64(load.cpu) / float64(load.requests) }
	b.ReportMetric(throughput(loads[0])/throughput(loads[1]), "throughput-ratio")
	b.ReportMetric(cpuPerRequest(loads[0])/cpuPerRequest(loads[1]), "cpu-ratio")
}

// downloadAtOnce downloads a body of the given size in bytes with several concurrent clients.
func downloadAtOnce(b *testing.B, url string, clients int, size int64) {
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			var resp *http.Response
			for { // retries, as the gateway limits the concurrent requests to a new host
				var err error
				if resp, err = http.Get(url + fmt.Sprintf("/?n=%d", size)); err != nil {
					b.Error(err)
					return
				}
				if resp.StatusCode == http.StatusOK {
					break
				}
				resp.Body.Close() // releases the connection before the next request
				time.Sleep(50 * time.Millisecond)
			}
			defer resp.Body.Close()
			if n, err := io.Copy(io.Discard, resp.Body); n != size {
				b.Errorf("%d bytes, error %v, want %d", n, err, size)
			}
		})
	}
	all.Wait()
}

// runLoad sends requests with 8 clients for the given time, and returns the number of requests served.
func runLoad(b *testing.B, url, way string, size int64, span time.Duration) int {
	var n atomic.Int64
	var all sync.WaitGroup
	until := time.Now().Add(span)
	transport := &http.Transport{MaxIdleConnsPerHost: 8, WriteBufferSize: 64 << 10, ReadBufferSize: 64 << 10}
	defer transport.CloseIdleConnections()
	for range 8 {
		all.Go(func() {
			for time.Now().Before(until) {
				target, method, body := url+fmt.Sprintf("/?n=%d", size), "GET", io.Reader(nil)
				if way == "up" {
					target = url + "/"
					method = "POST"
					body = io.LimitReader(zeroReader{}, size)
				}
				r, _ := http.NewRequest(method, target, body)
				if way == "up" {
					r.ContentLength = size
				}
				resp, err := transport.RoundTrip(r)
				if err != nil {
					b.Error(err)
					return
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode == 200 {
					n.Add(1)
				}
			}
		})
	}
	all.Wait()
	return int(n.Load())
}

// BenchmarkSlowClients runs 500 clients that read one byte per second and 500 that send one byte per
// second together with 100 normal clients, against a process with a memory limit of 64 MB. It measures
// the p99 latency of the normal clients with and without the slow ones, and the peak memory of the
// process.
func BenchmarkSlowClients(b *testing.B) {
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		n, _ := strconv.ParseInt(r.URL.Query().Get("n"), 10, 64)
		w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
		writeZeros(w, n)
	}))
	defer host.Close()
	for b.Loop() {
		c := startProxyProcess(b, "dunemoor-64", host.Listener.Addr().String())
		addr := strings.TrimPrefix(c.url, "http://")
		alone := measureP99(b, c.url)
		stop := make(chan struct{})
		var slow sync.WaitGroup
		var conns atomic.Int64
		for i := range 1000 {
			nc, err := net.Dial("tcp", addr)
			if err != nil {
				b.Fatal(err)
			}
			nc.(*net.TCPConn).SetReadBuffer(4096)
			slow.Go(func() {
				defer nc.Close()
				conns.Add(1)
				if i%2 == 0 {
					fmt.Fprintf(nc, "GET /?n=%d HTTP/1.1\r\nHost: a\r\n\r\n", 64<<20)
				} else {
					fmt.Fprintf(nc, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n")
				}
				tick := time.NewTicker(time.Second)
				defer tick.Stop()
				one := make([]byte, 1)
				for {
					select {
					case <-stop:
						return
					case <-tick.C:
					}
					var err error
					if i%2 == 0 {
						_, err = nc.Read(one)
					} else {
						_, err = nc.Write(one)
					}
					if err != nil {
						return // the gateway is expected to close slow connections after some time
					}
				}
			})
		}
		time.Sleep(3 * time.Second) // lets the socket buffers of the kernel fill up
		beside := measureP99(b, c.url)
		_, peak := c.usage(b)
		close(stop)
		slow.Wait()
		b.ReportMetric(float64(alone.Microseconds())/1000, "p99-alone-ms")
		b.ReportMetric(float64(beside.Microseconds())/1000, "p99-beside-ms")
		b.ReportMetric(float64(peak)/1024, "peak-MB")
	}
}

// measureP99 runs 100 clients that send 10 requests per second each for 12 s, with responses of 1 KiB,
// and returns the p99 latency.
func measureP99(b *testing.B, url string) time.Duration {
	var mu sync.Mutex
	var took []time.Duration
	failed, failures := 0, map[string]int{}
	var all sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}, Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	for i := range 100 {
		all.Go(func() {
			time.Sleep(time.Duration(i) * time.Millisecond)
			for range 120 {
				began := time.Now()
				resp, err := client.Get(url + "/?n=1024")
				ok := err == nil && resp.StatusCode == 200
				failure := fmt.Sprint(err)
				if err == nil {
					text, _ := io.ReadAll(resp.Body)
					resp.Body.Close()
					failure = strings.TrimSpace(string(text))
				}
				d := time.Since(began)
				mu.Lock()
				took = append(took, d)
				if !ok {
					failed++
					if failures[failure]++; failures[failure] == 1 {
						b.Log("failed: ", failure)
					}
				}
				mu.Unlock()
				time.Sleep(100*time.Millisecond - min(d, 100*time.Millisecond))
			}
		})
	}
	all.Wait()
	slices.Sort(took)
	b.ReportMetric(float64(failed), "failed")
	return took[len(took)*99/100]
}
