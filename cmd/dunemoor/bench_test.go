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

// reportAllocations makes a test binary that runs as the program write the number of objects that it has allocated to
// stderr at each SIGUSR2.
func reportAllocations() {
	requests := make(chan os.Signal, 1)
	signal.Notify(requests, syscall.SIGUSR2)
	for range requests {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		fmt.Fprintf(os.Stderr, "allocated %d\n", m.Mallocs)
	}
}

// allocated returns the number of objects that a program has allocated.
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
	afterName := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
	for _, s := range afterName[11:13] { // utime and stime, see proc_pid_stat(5)
		n, _ := strconv.Atoi(s) // hundredths of a second
		d += time.Duration(n) * 10 * time.Millisecond
	}
	return d
}

const (
	pathClients = 8           // clients that send requests at the same time
	pathRounds  = 12          // measurements of each program
	pathSpan    = time.Second // duration of a measurement
)

// BenchmarkRequestPath sends the same requests alternately to a standalone gateway and to a gateway of a fleet of three.
// It reports throughput, CPU time and allocated objects per request. The objects that the program allocates in a second
// without requests are subtracted. The gateway of the fleet is the fleet's leader most of the time.
//
//	go test -run xxx -bench RequestPath -benchtime 1x ./cmd/dunemoor
func BenchmarkRequestPath(b *testing.B) {
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "good") }))
	defer host.Close()
	programs := startStandaloneAndFleet(b, host.Listener.Addr().String())
	for b.Loop() {
		costs := [2]pathCost{{kind: "alone"}, {kind: "fleet"}}
		var ratios []float64
		for i, p := range programs {
			sendRequests(b, p.url, pathSpan) // opens the connections
			before := p.allocated(b)
			time.Sleep(pathSpan)
			costs[i].idleObjects = p.allocated(b) - before
		}
		for range pathRounds {
			var rate [2]float64
			for i, p := range programs {
				rate[i] = costs[i].measure(b, p)
			}
			ratios = append(ratios, rate[1]/rate[0])
		}
		slices.Sort(ratios)
		b.ReportMetric(ratios[len(ratios)/2], "fleet/alone")
		b.ReportMetric(ratios[0], "least")
		b.ReportMetric(ratios[len(ratios)-1], "most")
		for i := range costs {
			costs[i].report(b)
		}
	}
}

// pathCost is the cost of the requests to one program.
type pathCost struct {
	kind        string
	idleObjects float64 // objects allocated in pathSpan without requests
	requests    float64
	objects     float64 // objects allocated, less idleObjects for each measurement
	cpu         time.Duration
}

// measure sends requests for pathSpan, and returns their number.
func (c *pathCost) measure(b *testing.B, p *program) float64 {
	objectsBefore := p.allocated(b)
	cpuBefore := p.cpu(b)
	requests := float64(sendRequests(b, p.url, pathSpan))
	c.requests += requests
	c.objects += p.allocated(b) - objectsBefore - c.idleObjects
	c.cpu += p.cpu(b) - cpuBefore
	return requests
}

func (c *pathCost) report(b *testing.B) {
	b.ReportMetric(c.requests/pathRounds/pathSpan.Seconds(), "requests/s-"+c.kind)
	b.ReportMetric(float64(c.cpu.Microseconds())/c.requests, "us/request-"+c.kind)
	b.ReportMetric(c.objects/c.requests, "allocs/request-"+c.kind)
}

// startStandaloneAndFleet starts a standalone gateway and a fleet of three gateways, all with the same host. It returns the
// standalone gateway and the first gateway of the fleet, once they are ready.
func startStandaloneAndFleet(b *testing.B, host string) []*program {
	dir := b.TempDir()
	writeFile(b, filepath.Join(dir, "key"), "this key is of a test and of nothing else")
	start := func(name, listen, fleet string) *program {
		path := filepath.Join(dir, name+".toml")
		writeFile(b, path, gatewayFile(name, listen, host)+fleet)
		return startWithFile(b, "", listen, "-appliance", path)
	}
	var peers, addrs []string
	for range 3 {
		peers = append(peers, freeAddress(b))
		addrs = append(addrs, freeAddress(b))
	}
	programs := []*program{start("alone", freeAddress(b), "")}
	for i, addr := range addrs {
		p := start(fmt.Sprint("g", i), addr, fleetSection(dir, i, peers))
		if i == 0 {
			programs = append(programs, p)
		}
	}
	for _, p := range programs {
		p.waitReady(b)
	}
	programs[1].waitForLog(b, "session opened", 1)
	return programs
}

// gatewayFile returns the text of the file of a gateway with one host.
func gatewayFile(name, listen, host string) string {
	return fmt.Sprintf("name = %q\n[[listener]]\naddress = %q\n"+
		"[[class]]\nname = \"lookup\"\neffect = \"safe\"\naim = \"2s\"\ndeadline = \"10s\"\nworth = 1\n"+
		"[[pool]]\nname = \"p\"\nmembers = [{ id = \"h\", address = %q }]\n"+
		"[[route]]\nname = \"all\"\npool = \"p\"\nclass = \"lookup\"\n", name, listen, host)
}

// fleetSection returns the section of a file that makes the i-th gateway a member of a fleet. peers are the addresses of
// all members. dir holds the fleet's key and the state of each gateway.
func fleetSection(dir string, i int, peers []string) string {
	text := fmt.Sprintf("[fleet]\nid = \"path\"\nlisten = %q\ndata_dir = %q\nkey_file = %q\nfirst = [\"g0\", \"g1\", \"g2\"]\n",
		peers[i], filepath.Join(dir, fmt.Sprint("g", i)), filepath.Join(dir, "key"))
	for k, addr := range peers {
		if k != i {
			text += fmt.Sprintf("[[fleet.peer]]\nname = \"g%d\"\naddress = %q\n", k, addr)
		}
	}
	return text
}

// sendRequests sends requests from pathClients clients for the duration span, and returns the number of responses with
// status 200.
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
