package gateway

import (
	"bufio"
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

// BenchmarkOverload sends far more requests than one core can serve. Thousands of clients send lookups
// without a pause, also after a rejection, with as many headers as a browser behind several proxies. 100
// other clients send 10 bookings per second each. It measures the share of bookings served within 500 ms
// and their p99 latency, with and without overload control.
func BenchmarkOverload(b *testing.B) {
	var nodes []string
	for range 8 {
		nodes = append(nodes, startMinimalHost(b))
	}
	for _, clients := range []int{3000, 6000, 12000} {
		b.Run(strconv.Itoa(clients), func(b *testing.B) {
			benchmarkFlood(b, nodes, clients)
		})
	}
}

// startMinimalHost starts a host that uses little CPU time per request, so that the gateway is the
// bottleneck.
func startMinimalHost(b *testing.B) string {
	return startRawHost(b, func(c net.Conn) {
		for in := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body)
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
		}
	})
}

// browserHeaders is the rest of the header section of a lookup.
var browserHeaders = strings.Repeat("X-Some-Header-Of-A-Proxy: with a value of the usual length\r\n", 16) + "\r\n"

// flood is the load of lookups that competes with the bookings.
type flood struct {
	clients          sync.WaitGroup
	served, rejected atomic.Int64
}

// send sends a lookup and reports whether the connection stays open.
func (f *flood) send(nc net.Conn, in *bufio.Reader) bool {
	nc.SetDeadline(time.Now().Add(10 * time.Second))
	io.WriteString(nc, "GET / HTTP/1.1\r\nHost: a\r\n"+browserHeaders)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return false
	}
	io.Copy(io.Discard, resp.Body)
	if resp.StatusCode == 200 {
		f.served.Add(1)
	} else {
		f.rejected.Add(1)
	}
	return !resp.Close
}

// startClients starts clients that send a lookup as soon as the previous one has its response.
func (f *flood) startClients(addr string, clients int, stop chan struct{}) {
	for i := range clients {
		f.clients.Go(func() {
			nc, err := dialFromClient(i, addr)
			if err != nil {
				return
			}
			defer nc.Close()
			in := bufio.NewReaderSize(nc, 512)
			for {
				select {
				case <-stop:
					return
				default:
				}
				if !f.send(nc, in) {
					return
				}
			}
		})
	}
}

// dialFromClient opens a connection of client i from a loopback address that no other client uses.
func dialFromClient(i int, addr string) (net.Conn, error) {
	from := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 1, byte(i>>8), byte(i))}}
	return from.Dial("tcp", addr)
}

// benchmarkFlood runs the flood and the bookings with overload control and without.
func benchmarkFlood(b *testing.B, nodes []string, clients int) {
	for b.Loop() {
		for _, kind := range []string{"dunemoor", "dunemoor-off"} {
			c := startProxyProcess(b, kind, strings.Join(nodes, ","))
			stop := make(chan struct{})
			var f flood
			f.startClients(strings.TrimPrefix(c.url, "http://"), clients, stop)
			time.Sleep(2 * time.Second)
			var mu sync.Mutex
			var took []time.Duration
			inTime, failed := 0, 0
			var all sync.WaitGroup
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}, Timeout: 5 * time.Second}
			for range 100 {
				all.Go(func() {
					for range 60 {
						began := time.Now()
						resp, err := client.Post(c.url+"/book", "", strings.NewReader("one booking"))
						ok := err == nil && resp.StatusCode == 200
						if err == nil {
							io.Copy(io.Discard, resp.Body)
							resp.Body.Close()
						}
						d := time.Since(began)
						mu.Lock()
						took = append(took, d)
						if !ok {
							failed++
						} else if d < 500*time.Millisecond {
							inTime++
						}
						mu.Unlock()
						time.Sleep(100*time.Millisecond - min(d, 100*time.Millisecond))
					}
				})
			}
			all.Wait()
			close(stop)
			f.clients.Wait()
			slices.Sort(took)
			b.ReportMetric(100*float64(inTime)/float64(len(took)), kind+"-%in-500ms")
			b.ReportMetric(float64(took[len(took)*99/100].Milliseconds()), kind+"-p99-ms")
			_, loop := c.counters(b)
			b.ReportMetric(loop, kind+"-loop-p99-us")
			b.ReportMetric(float64(failed), kind+"-failed")
			b.ReportMetric(float64(f.served.Load()), kind+"-lookups")
			b.ReportMetric(float64(f.rejected.Load()), kind+"-refused")
			client.CloseIdleConnections()
		}
	}
}

// BenchmarkRefusal measures the CPU time of a request that is served, of a request that the frontend
// rejects because its client exceeds the rate limit, and of a response by a server that does not parse
// requests. It uses three processes on one core each, in turn.
//
//	go test -run xxx -bench Refusal -benchtime 1x ./internal/gateway
func BenchmarkRefusal(b *testing.B) {
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "done") }))
	defer host.Close()
	for b.Loop() {
		var cost [3]time.Duration
		var count [3]int
		var children []*proxyProcess
		for _, k := range []string{"dunemoor", "dunemoor-rate", "minimal"} {
			children = append(children, startProxyProcess(b, k, host.Listener.Addr().String()))
		}
		for range 6 {
			for i, c := range children {
				before, _ := c.usage(b)
				nc := dialURL(b, c.url)
				in := bufio.NewReader(nc)
				for n := range 4000 {
					io.WriteString(nc, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
					resp, err := http.ReadResponse(in, nil)
					if err != nil {
						b.Fatal(err)
					}
					io.Copy(io.Discard, resp.Body)
					if want := []int{200, 429, 429}[i]; resp.StatusCode != want && n > 10 {
						b.Fatalf("status %d, want %d", resp.StatusCode, want)
					}
					count[i]++
				}
				nc.Close()
				after, _ := c.usage(b)
				cost[i] += after - before
			}
		}
		each := func(i int) float64 { return float64(cost[i].Microseconds()) / float64(count[i]) }
		b.ReportMetric(each(0), "served-us")
		b.ReportMetric(each(1), "refused-us")
		b.ReportMetric(each(2), "floor-us")
		b.ReportMetric(each(1)/each(0), "ratio")
	}
}
