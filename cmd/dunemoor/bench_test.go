package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// reportAllocations has a test binary that runs as the program write how many objects it has allocated, at each SIGUSR2.
func reportAllocations() {
	requests := make(chan os.Signal, 1)
	signal.Notify(requests, syscall.SIGUSR2)
	for range requests {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		fmt.Fprintf(os.Stderr, "allocated %d\n", m.Mallocs)
	}
}

// allocated returns how many objects a program has allocated.
func (p *program) allocated(b *testing.B) float64 {
	n := strings.Count(p.out.String(), "allocated ")
	if err := p.Process.Signal(syscall.SIGUSR2); err != nil {
		b.Fatal(err)
	}
	waitUntil(b, "number of allocations", func() bool {
		_, rest, ok := strings.Cut(p.out.String()[max(0, strings.LastIndex(p.out.String(), "allocated ")):], "\n")
		return strings.Count(p.out.String(), "allocated ") > n && ok && rest == ""
	})
	text := p.out.String()
	var v float64
	if _, err := fmt.Sscanf(text[strings.LastIndex(text, "allocated "):], "allocated %g", &v); err != nil {
		b.Fatal(err)
	}
	return v
}

// cpu returns the CPU time that a program has used.
func (p *program) cpu(b *testing.B) (d time.Duration) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	for _, s := range strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))[11:13] {
		n, _ := strconv.Atoi(s) // hundredths of a second
		d += time.Duration(n) * 10 * time.Millisecond
	}
	return d
}

const (
	pathClients = 8
	pathRounds  = 12
	pathSpan    = time.Second
)

// BenchmarkRequestPath sends the same requests to a gateway alone and to one of a fleet of three, in turn. It reports
// throughput, CPU time and allocated objects per request, the last less those of a second without requests. The gateway
// of the fleet is its leader most of the time.
//
//	go test -run xxx -bench RequestPath -benchtime 1x ./cmd/dunemoor
func BenchmarkRequestPath(b *testing.B) {
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "good") }))
	defer host.Close()
	dir := b.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "key"), []byte("this key is of a test and of nothing else"), 0o600); err != nil {
		b.Fatal(err)
	}
	var peers, addrs []string
	for range 3 {
		peers, addrs = append(peers, freeAddress(b)), append(addrs, freeAddress(b))
	}
	file := func(name, listen string, fleet bool) string {
		text := fmt.Sprintf("name = %q\n[[listener]]\naddress = %q\n[[class]]\nname = \"lookup\"\neffect = \"safe\"\naim = \"2s\"\ndeadline = \"10s\"\nworth = 1\n"+
			"[[pool]]\nname = \"p\"\nmembers = [{ id = \"h\", address = %q }]\n[[route]]\nname = \"all\"\npool = \"p\"\nclass = \"lookup\"\n", name, listen, host.Listener.Addr())
		if fleet {
			i := slices.Index(addrs, listen)
			text += fmt.Sprintf("[fleet]\nid = \"path\"\nlisten = %q\ndata_dir = %q\nkey_file = %q\nfirst = [\"g0\", \"g1\", \"g2\"]\n", peers[i], filepath.Join(dir, name), filepath.Join(dir, "key"))
			for k, addr := range peers {
				if k != i {
					text += fmt.Sprintf("[[fleet.peer]]\nname = \"g%d\"\naddress = %q\n", k, addr)
				}
			}
		}
		path := filepath.Join(dir, name+".toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			b.Fatal(err)
		}
		return path
	}
	listen := freeAddress(b)
	programs := []*program{startWithFile(b, "", listen, "-appliance", file("alone", listen, false))}
	for i, addr := range addrs {
		p := startWithFile(b, "", addr, "-appliance", file(fmt.Sprint("g", i), addr, true))
		if i == 0 {
			programs = append(programs, p)
		}
	}
	for _, p := range programs {
		p.waitReady(b)
	}
	waitUntil(b, "session with the fleet", func() bool { return strings.Contains(programs[1].out.String(), "session opened") })
	for b.Loop() {
		var rest, objects, requests [2]float64
		var cpu [2]time.Duration
		var ratios []float64
		for i, p := range programs {
			sendRequests(b, p.url, pathSpan) // opens the connections
			was := p.allocated(b)
			time.Sleep(pathSpan)
			rest[i] = p.allocated(b) - was
		}
		for range pathRounds {
			var rate [2]float64
			for i, p := range programs {
				was, used := p.allocated(b), p.cpu(b)
				rate[i] = float64(sendRequests(b, p.url, pathSpan))
				requests[i] += rate[i]
				objects[i] += p.allocated(b) - was - rest[i]
				cpu[i] += p.cpu(b) - used
			}
			ratios = append(ratios, rate[1]/rate[0])
		}
		slices.Sort(ratios)
		b.ReportMetric(ratios[len(ratios)/2], "fleet/alone")
		b.ReportMetric(ratios[0], "least")
		b.ReportMetric(ratios[len(ratios)-1], "most")
		for i, kind := range []string{"alone", "fleet"} {
			b.ReportMetric(requests[i]/pathRounds/pathSpan.Seconds(), "requests/s-"+kind)
			b.ReportMetric(float64(cpu[i].Microseconds())/requests[i], "us/request-"+kind)
			b.ReportMetric(objects[i]/requests[i], "allocs/request-"+kind)
		}
	}
}

// sendRequests has clients send requests for a time, and returns the number of responses.
func sendRequests(b *testing.B, url string, span time.Duration) int64 {
	var n atomic.Int64
	var all sync.WaitGroup
	end := time.Now().Add(span)
	transport := &http.Transport{MaxIdleConnsPerHost: pathClients}
	defer transport.CloseIdleConnections()
	for range pathClients {
		all.Go(func() {
			for time.Now().Before(end) {
				r, _ := http.NewRequest("GET", url+"/", nil)
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
	if n.Load() == 0 {
		b.Fatal("got no response")
	}
	return n.Load()
}
