package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dunemoor-review/kit"
)

const (
	memoryMB      = 64  // the pages: 32 to 192 MB
	memorySockets = 512 // the pages: 256 to 1,024
	// memoryClients is how many requests are open at once: the pages allow a third of the descriptors.
	memoryClients = 150
	memoryAnswer  = 8 << 20 // the pages: up to 32 MB
	// A slow client reads slowRead bytes each slowPause: 64 kB a second.
	slowRead  = 16 << 10
	slowPause = 250 * time.Millisecond
	slowTime  = 8 * time.Second // then it reads the rest as fast as it comes
)

// memoryRun is the state of the case.
type memoryRun struct {
	*kit.Env
	gateway  *kit.Gateway
	peak     atomic.Int64 // greatest anonymous memory seen, in bytes
	killed   atomic.Bool  // whether the platform has killed the gateway for its memory
	ended    atomic.Int64 // requests whose answer had begun and ended early
	answered atomic.Int64 // requests whose answer was read to its end
	none     atomic.Int64 // requests without any answer
}

// serveLongAnswers runs a host whose answers have a length of memoryAnswer bytes.
func serveLongAnswers(ln net.Listener) {
	content := bytes.Repeat([]byte("calendar"), memoryAnswer/8)
	http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(len(content)))
		w.Write(content)
	}))
}

// anonymousMemory returns the anonymous memory of a process in bytes: no files, no code, no buffers of the kernel.
func anonymousMemory(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "RssAnon:" {
			kb, err := strconv.ParseInt(fields[1], 10, 64)
			return kb << 10, err
		}
	}
	return 0, errors.New("no RssAnon")
}

// watchMemory is the platform: it kills a gateway that goes over its memory.
func (m *memoryRun) watchMemory(stop chan struct{}) {
	pid := m.gateway.Process.Process.Pid
	for last := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		select {
		case <-stop:
			return
		default:
		}
		used, err := anonymousMemory(pid)
		if err != nil {
			return
		}
		m.peak.Store(max(m.peak.Load(), used))
		if time.Since(last) > 500*time.Millisecond {
			last = time.Now()
			m.Record.Logf("platform: the gateway has %.1f MiB", float64(used)/(1<<20))
		}
		if used > memoryMB<<20 {
			m.Record.Logf("platform: the gateway has %.1f MiB, over its limit of %d: killed", float64(used)/(1<<20), memoryMB)
			m.killed.Store(true)
			syscall.Kill(pid, syscall.SIGKILL)
			return
		}
	}
}

// client sends one request and reads its answer, slowly if the trouble is played.
func (m *memoryRun) client() {
	conn, err := net.DialTimeout("tcp", m.gateway.Addr, time.Second)
	if err != nil {
		m.Record.Logf("client: %v", err)
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(4 * slowTime))
	q := &kit.Request{ID: kit.NewID(), Class: "lookup", Timeout: 4 * time.Second}
	if _, err := conn.Write(q.Encode()); err != nil {
		m.Record.Logf("client: %s: %v", q.ID, err)
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		m.none.Add(1)
		m.Record.Logf("client: %s: no answer: %v", q.ID, err)
		return
	}
	var n int64
	if m.Trouble {
		n, err = readSlowly(resp.Body)
	}
	if err == nil {
		var rest int64
		rest, err = io.Copy(io.Discard, resp.Body)
		n += rest
	}
	if err != nil {
		m.ended.Add(1)
		m.Record.Logf("client: %s: status %d, cut after %d bytes: %v", q.ID, resp.StatusCode, n, err)
		return
	}
	m.answered.Add(1)
	m.Record.Logf("client: %s: status %d, %d bytes read", q.ID, resp.StatusCode, n)
}

// readSlowly reads at 64 kB a second for slowTime.
func readSlowly(body io.Reader) (n int64, err error) {
	for start := time.Now(); err == nil && time.Since(start) < slowTime; time.Sleep(slowPause) {
		var k int64
		k, err = io.CopyN(io.Discard, body, slowRead)
		n += k
	}
	return n, err
}

func init() { cases["memory"] = memoryCase }

// memoryCase: clients read long answers slowly, as many as memory does not hold at once.
func memoryCase(e *kit.Env) (int, error) {
	var addrs []string
	for range 4 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		addrs = append(addrs, ln.Addr().String())
		go serveLongAnswers(ln)
	}
	d, err := kit.StartDiscovery(e.Record, "discovery", kit.Members(addrs, 3))
	if err != nil {
		return 0, err
	}
	config := kit.Config("n1", kit.FreeAddress(), d.Addr, d.Known(), kit.Settings("automatic"))
	config["limits"] = map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": memorySockets}
	g, err := e.StartGateway("n1", config)
	if err != nil {
		return 0, err
	}
	defer g.Stop()
	m := &memoryRun{Env: e, gateway: g}
	stop := make(chan struct{})
	go m.watchMemory(stop)
	var clients sync.WaitGroup
	for range memoryClients {
		time.Sleep(25 * time.Millisecond) // 40 requests a second
		clients.Go(m.client)
	}
	clients.Wait()
	close(stop)
	crashed := !g.Running() && !m.killed.Load()
	return e.Record.Verdict(m.killed.Load() || crashed,
		"at most %.1f MiB of %d; killed for memory %t, ended by itself %t; answers read %d, cut %d, none %d",
		float64(m.peak.Load())/(1<<20), memoryMB, m.killed.Load(), crashed, m.answered.Load(), m.ended.Load(), m.none.Load()), nil
}
