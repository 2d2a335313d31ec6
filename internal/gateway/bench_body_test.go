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

// BenchmarkBeside sends bodies up and down through the gateway and through httputil.ReverseProxy, each
// a process on one core, in turn. It measures CPU time a request, the ratio of throughputs and peak
// memory.
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
	kinds := []string{"dunemoor", "ReverseProxy"}
	for _, size := range []int64{1 << 10, 64 << 10, 1 << 20, 64 << 20} {
		for _, way := range []string{"up", "down"} {
			b.Run(fmt.Sprintf("%dKiB/%s", size>>10, way), func(b *testing.B) {
				for b.Loop() {
					var children []*proxyProcess
					for _, k := range kinds {
						children = append(children, startProxyProcess(b, k, host.Listener.Addr().String()))
					}
					took, cpu, peak, count := make([]time.Duration, 2), make([]time.Duration, 2), make([]int, 2), make([]int, 2)
					for range 6 { // in turn, so that other load of the machine affects both
						for i, c := range children {
							before, _ := c.usage(b)
							began := time.Now()
							count[i] += runLoad(b, c.url, way, size, 300*time.Millisecond)
							took[i] += time.Since(began)
							after, top := c.usage(b)
							cpu[i] += after - before
							peak[i] = top
						}
					}
					for i, k := range kinds {
						b.ReportMetric(float64(cpu[i].Microseconds())/float64(count[i]), k+"-us/op")
						b.ReportMetric(float64(peak[i])/1024, k+"-peak-MB")
					}
					rate := func(i int) float64 { return float64(count[i]) / took[i].Seconds() }
					b.ReportMetric(rate(0)/rate(1), "throughput-ratio")
					b.ReportMetric(float64(cpu[0])/float64(count[0])/(float64(cpu[1])/float64(count[1])), "cpu-ratio")
				}
			})
		}
	}
	b.Run("200x64MiB", func(b *testing.B) {
		for b.Loop() {
			for _, k := range kinds {
				c := startProxyProcess(b, k, host.Listener.Addr().String())
				var all sync.WaitGroup
				for range 200 {
					all.Go(func() {
						var resp *http.Response
						for { // a new host is not sent 200 requests at once
							var err error
							if resp, err = http.Get(c.url + fmt.Sprintf("/?n=%d", 64<<20)); err != nil {
								b.Error(err)
								return
							}
							if resp.StatusCode == http.StatusOK {
								break
							}
							resp.Body.Close() // frees the connection before the next request
							time.Sleep(50 * time.Millisecond)
						}
						defer resp.Body.Close()
						if n, err := io.Copy(io.Discard, resp.Body); n != 64<<20 {
							b.Errorf("%d bytes, error %v, want %d", n, err, 64<<20)
						}
					})
				}
				all.Wait()
				_, peak := c.usage(b)
				b.ReportMetric(float64(peak)/1024, k+"-peak-MB")
			}
		}
	})
}

// runLoad sends requests with 8 clients for a span, and returns how many were served.
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

// BenchmarkSlowClients runs 500 clients that read a byte a second and 500 that send a byte a second
// beside 100 normal ones, with a process of 64 MB. It measures the p99 of the normal ones with and
// without the others, and the peak memory of the process.
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
						return // closed by the gateway, as it should be in time
					}
				}
			})
		}
		time.Sleep(3 * time.Second) // until the kernel's buffers are full
		beside := measureP99(b, c.url)
		_, peak := c.usage(b)
		close(stop)
		slow.Wait()
		b.ReportMetric(float64(alone.Microseconds())/1000, "p99-alone-ms")
		b.ReportMetric(float64(beside.Microseconds())/1000, "p99-beside-ms")
		b.ReportMetric(float64(peak)/1024, "peak-MB")
	}
}

// measureP99 sends ten requests of a kilobyte a second with each of 100 clients, for 12 s.
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
