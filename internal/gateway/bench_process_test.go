package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"runtime"
	"runtime/debug"
	"runtime/pprof"
	"strconv"
	"strings"
	"testing"
	"time"

	"dunemoor/internal/config"
	"dunemoor/internal/overload"
)

// TestMain runs the tests, or acts as a proxy process of the benchmarks, so that its CPU time and memory
// can be measured separately.
func TestMain(m *testing.M) {
	if kind := os.Getenv("DUNEMOOR_BENCH_PROXY"); kind != "" {
		runBenchProxy(kind, os.Getenv("DUNEMOOR_BENCH_HOST"))
		return
	}
	os.Exit(m.Run())
}

// runBenchProxy runs a proxy in front of the hosts until its standard input ends.
func runBenchProxy(kind, host string) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(45 << 20)
	if strings.Contains(host, ",") {
		debug.SetMemoryLimit(720 << 20) // enough for thousands of clients
	}
	slog.SetDefault(slog.New(slog.DiscardHandler))
	addr, delays := startBenchProxy(kind, host)
	if file := os.Getenv("DUNEMOOR_BENCH_PROFILE"); file != "" { // path of the profile, without the kind
		if f, err := os.Create(file + "." + kind); err == nil && pprof.StartCPUProfile(f) == nil {
			defer pprof.StopCPUProfile()
		}
	}
	fmt.Println(addr)
	for in := bufio.NewScanner(os.Stdin); in.Scan(); { // each line requests the counters
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		fmt.Println(m.Mallocs, delays.Quantile(0.99).Microseconds())
	}
}

// startBenchProxy starts a proxy of the given kind and returns its address and the delays of its event
// loop. The kind "dunemoor-cgi" has two addresses, for HTTP and FastCGI, separated by a semicolon.
func startBenchProxy(kind, host string) (addr string, delays *overload.Delays) {
	switch kind {
	case "dunemoor-cgi":
		g := mustStartBenchGateway(mixedBenchConfig(host))
		http := g.appliance.listeners["127.0.0.1:0"].Addr().String()
		cgi := g.appliance.listeners[fastCGIKeyPrefix+"127.0.0.2:0"].Addr().String()
		return http + ";" + cgi, &overload.Delays{}
	case "minimal":
		// The lower bound for the cost of a server: one read and one write per request, without parsing.
		ln := mustListen()
		go serveConns(ln, rejectWithoutParsing)
		return ln.Addr().String(), &overload.Delays{}
	case "ReverseProxy":
		p := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: host})
		p.Transport = &http.Transport{MaxIdleConnsPerHost: 256}
		ln := mustListen()
		go http.Serve(ln, p)
		return ln.Addr().String(), &overload.Delays{}
	default:
		g := mustStartBenchGateway(benchConfig(kind, host))
		return g.appliance.listeners["127.0.0.1:0"].Addr().String(), &g.engine.LoopDelays
	}
}

// benchConfig returns the configuration of a gateway of the given kind in front of hosts, whose addresses
// are separated by commas.
func benchConfig(kind, hosts string) string {
	limits := "memory_mb = 1024\nsockets = 40000"
	client := ""
	switch kind {
	case "dunemoor":
	case "dunemoor-64":
		limits = "memory_mb = 64\nsockets = 4096"
	case "dunemoor-off":
		limits += "\noverload = false"
	case "dunemoor-rate":
		client = "[limits.client]\nrate = 0.001\nburst = 1.0\n"
	default:
		panic("unknown kind of proxy " + kind)
	}
	text := strings.Replace(overloadConfig, "sockets = 1024", limits, 1)
	text = strings.Replace(text, "[[listener]]", client+"[[listener]]", 1)
	return text + poolConfig("p", "", strings.Split(hosts, ",")...) +
		routeConfig("book", "path = \"/book\"\npool = \"p\"\nclass = \"book\"") +
		routeConfig("r", "pool = \"p\"\nclass = \"lookup\"\ntimeout = \"20s\"\nstream = true\nleast_rate = 0")
}

// mixedBenchConfig returns the configuration of a gateway with a listener for each protocol, in front of
// an HTTP host and a FastCGI responder, whose addresses are separated by a semicolon.
func mixedBenchConfig(hosts string) string {
	web, cgi, _ := strings.Cut(hosts, ";")
	text := strings.Replace(overloadConfig, "sockets = 1024", "memory_mb = 64\nsockets = 1024", 1) +
		poolConfig("http", "", web) + fastCGIPoolConfig("cgi", "", cgi) + fastCGIListener
	for _, pool := range []string{"http", "cgi"} {
		text += routeConfig(pool, "path = \"/"+pool+"\"\npool = \""+pool+"\"\nclass = \"lookup\"")
	}
	return text
}

// mustStartBenchGateway starts a gateway in a process without a testing.B.
func mustStartBenchGateway(text string) *Gateway {
	a, errs := config.ParseAppliance("bench", text)
	if len(errs) > 0 {
		panic(errs[0])
	}
	g, err := StartAppliance(a, nil, nil, nil)
	if err != nil {
		panic(err)
	}
	return g
}

// mustListen opens a listener in a process without a testing.B.
func mustListen() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return ln
}

// rejectWithoutParsing responds to each read with a rejection.
func rejectWithoutParsing(c net.Conn) {
	b := make([]byte, 4<<10)
	for {
		if _, err := c.Read(b); err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 1\r\nContent-Length: 5\r\n\r\nlater")
	}
}

// proxyProcess is a proxy in a separate process.
type proxyProcess struct {
	*exec.Cmd
	url string
	in  io.WriteCloser
	out io.Reader
}

// counters returns the number of objects that the process has allocated, and the 99th percentile of the
// delays of its event loop in microseconds.
func (c *proxyProcess) counters(b *testing.B) (mallocs uint64, loop float64) {
	io.WriteString(c.in, "\n")
	if _, err := fmt.Fscan(c.out, &mallocs, &loop); err != nil {
		b.Fatal(err)
	}
	return mallocs, loop
}

// usage returns the CPU time that the process has used, and its peak memory in KiB.
func (c *proxyProcess) usage(b *testing.B) (cpu time.Duration, peak int) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	f := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
	for _, s := range f[11:13] { // utime and stime, in hundredths of a second
		n, _ := strconv.Atoi(s)
		cpu += time.Duration(n) * 10 * time.Millisecond
	}
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.Process.Pid))
	if _, rest, ok := strings.Cut(string(status), "VmHWM:"); ok {
		fmt.Sscan(rest, &peak)
	}
	return cpu, peak
}

// startProxyProcess starts a proxy of the given kind in front of a host.
func startProxyProcess(b *testing.B, kind, host string) *proxyProcess {
	c := &proxyProcess{Cmd: exec.Command(os.Args[0])}
	c.Env = append(os.Environ(), "DUNEMOOR_BENCH_PROXY="+kind, "DUNEMOOR_BENCH_HOST="+host)
	c.Stderr = io.Discard
	in, err := c.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	out, err := c.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := c.Start(); err != nil {
		b.Fatal(err)
	}
	var addr string
	if _, err := fmt.Fscan(out, &addr); err != nil {
		b.Fatal(err)
	}
	c.url = "http://" + addr
	c.in = in
	c.out = out
	b.Cleanup(func() { in.Close(); c.Wait() })
	return c
}

// zeroBlock is the block of zeros that writeZeros writes repeatedly.
var zeroBlock = make([]byte, 64<<10)

// writeZeros writes n zero bytes.
func writeZeros(w io.Writer, n int64) {
	for n > 0 {
		k, err := w.Write(zeroBlock[:min(n, int64(len(zeroBlock)))])
		if err != nil {
			return
		}
		n -= int64(k)
	}
}

// zeroReader is a reader without end. It leaves the buffer unchanged.
type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }
