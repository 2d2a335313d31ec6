package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The soak is played for a few seeds in CI. A long run is started by hand:
//
//	go test -count=1 -timeout 60m -run TestSoak ./cmd/dunemoor -soak.first 1 -soak.seeds 50
var (
	soakFirst = flag.Uint64("soak.first", 1, "first seed of TestSoak")
	soakSeeds = flag.Uint64("soak.seeds", 6, "number of seeds of TestSoak")
)

const (
	soakHosts   = 4
	soakClients = 24
	soakCrowd   = 150
	// soakServeTime is how long a gateway serves before it is told to end.
	soakServeTime = 2500 * time.Millisecond
	// killGrace is the time in addition to the longest deadline after which a process is killed at the earliest.
	killGrace = 700 * time.Millisecond
	// connectTime is how long after SIGTERM clients open new connections.
	connectTime = 400 * time.Millisecond
)

// soak is one run of a gateway under faults, signals and load, which are determined by the seed.
type soak struct {
	*testing.T
	program   *program
	hosts     *soakRecord
	config    string
	done      chan struct{} // closed when clients must stop
	mu        sync.Mutex    // guards the fields below
	random    *rand.Rand
	stoppedAt time.Time // when SIGTERM was sent; zero before
	requests  int
}

// soakRecord is what the hosts have run.
type soakRecord struct {
	mu      sync.Mutex
	ran     map[string]int
	arrived map[string]int
}

// count counts a request at a host that has all of it; hasRun is false if the host rejects it.
func (r *soakRecord) count(id string, hasRun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrived[id]++
	if hasRun {
		r.ran[id]++
	}
}

// of returns how often a request has run, and how often it has arrived.
func (r *soakRecord) of(id string) (ran, arrived int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran[id], r.arrived[id]
}

// intN returns a random number below n.
func (s *soak) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// serveHost serves the requests of a connection with random faults.
func (s *soak) serveHost(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body := io.Reader(r.Body)
		switch s.intN(20) {
		case 0, 1:
			body = slowReader{body, 100 << 10}
		case 2, 3, 4, 5:
			body = slowReader{body, 4 << 20}
		}
		if _, err := io.Copy(io.Discard, body); err != nil {
			return
		}
		if !s.respond(c, in, r) {
			return
		}
	}
}

// respond responds to a request, and reports whether the connection may be used again.
func (s *soak) respond(c net.Conn, in *bufio.Reader, r *http.Request) (keep bool) {
	id := r.Header.Get("X-Request-Id")
	fault := s.intN(100)
	s.hosts.count(id, fault >= 5)
	switch {
	case fault < 5:
		io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	case fault < 8:
		c.(*net.TCPConn).SetLinger(0)
		return false
	case fault < 10:
		time.Sleep(4 * time.Second) // longer than any deadline
		return false
	case fault < 30:
		time.Sleep(time.Duration(s.intN(500)) * time.Millisecond)
	}
	if !strings.HasSuffix(r.URL.Path, "/long") {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood")
		return err == nil
	}
	return s.respondInParts(c, in, r)
}

// respondInParts writes a long response with pauses. Once the gateway has taken its head it must not be cut off, unless the
// gateway ends. Before, it may have given up the attempt: its connection is closed a short time after the head then.
func (s *soak) respondInParts(c net.Conn, in *bufio.Reader, r *http.Request) (keep bool) {
	framing := []bodyFraming{framedByLength, framedByChunks, framedByClose}[s.intN(3)]
	content := make([]byte, soakResponseBytes)
	encoded := framing.encode(content, 1+s.intN(30_000))
	io.WriteString(c, "HTTP/1.1 200 OK\r\n"+framing.header(len(content))+"\r\n")
	time.Sleep(takeTime)
	c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := in.Peek(1)
	isTaken := errors.Is(err, os.ErrDeadlineExceeded)
	c.SetReadDeadline(time.Time{})
	part := len(encoded)/(1+s.intN(6)) + 1
	for rest := encoded; len(rest) > 0; rest = rest[min(part, len(rest)):] {
		if _, err := c.Write(rest[:min(part, len(rest))]); err != nil {
			if isTaken && s.mayConnect() {
				s.Errorf("%s: %s response of a host cut off %d bytes before its end", r.Header.Get("X-Request-Id"), framing, len(rest))
			}
			return false
		}
		time.Sleep(time.Duration(s.intN(300)) * time.Millisecond)
	}
	return framing != framedByClose
}

// takeTime is the time after which the gateway has read a head that was written.
const takeTime = 100 * time.Millisecond

// soakResponseBytes is the length of a long response.
const soakResponseBytes = 130_000

// client sends requests on open connections until they are closed or the gateway is killed. New connections are opened until
// connectTime after SIGTERM.
func (s *soak) client(number int) {
	for sent := 0; s.mayConnect(); sent++ {
		c, err := net.Dial("tcp", s.program.address())
		if err != nil {
			return
		}
		in := bufio.NewReader(c)
		for keep := true; keep; sent++ {
			select {
			case <-s.done:
				keep = false
			default:
				keep = s.request(c, in, fmt.Sprintf("soak-%d-%d", number, sent))
			}
		}
		c.Close()
	}
}

// mayConnect reports whether clients may open connections.
func (s *soak) mayConnect() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stoppedAt.IsZero() || time.Since(s.stoppedAt) < connectTime
}

// request sends a request and checks its response. It reports whether the connection can be used again.
func (s *soak) request(c net.Conn, in *bufio.Reader, id string) (keep bool) {
	class := testClasses[s.intN(len(testClasses))]
	header := class.requestHeader(id)
	var content []byte
	isLong := s.intN(5) == 0
	if class.method == http.MethodPost {
		framing := []bodyFraming{framedByLength, framedByChunks}[s.intN(2)]
		length := 1
		if isLong {
			length = []int{200_000, 600_000, 6 << 20}[s.intN(3)]
		}
		header += framing.header(length)
		content = framing.encode(make([]byte, length), 1+s.intN(30_000))
	} else if isLong {
		header = strings.Replace(header, "/api/1", "/api/long", 1)
	}
	written := make(chan time.Time, 1)
	go func() {
		c.SetWriteDeadline(time.Now().Add(waitTimeout))
		io.WriteString(c, header+"\r\n")
		c.Write(content)
		written <- time.Now()
	}()
	c.SetReadDeadline(time.Now().Add(waitTimeout))
	response, err := http.ReadResponse(in, nil)
	respondedAt := time.Now()
	if err != nil {
		c.Close()
		s.checkUnanswered(class, id, err)
		return false
	}
	_, bodyErr := io.Copy(io.Discard, response.Body)
	keep = bodyErr == nil && !response.Close
	if !keep {
		c.Close()
	}
	sentAt := <-written
	s.check(class, id, response.StatusCode, respondedAt.Sub(sentAt.Add(class.timeout)))
	if bodyErr != nil && s.mayConnect() {
		s.Errorf("%s %s: response of status %d ends early: %v", class.name, id, response.StatusCode, bodyErr)
	}
	return keep
}

// checkUnanswered checks a request whose connection ended without a response: it must not have reached a host.
func (s *soak) checkUnanswered(class testClass, id string, err error) {
	s.mu.Lock()
	s.requests++
	stoppedAt := s.stoppedAt
	s.mu.Unlock()
	if _, arrived := s.hosts.of(id); arrived > 0 || errors.Is(err, net.ErrClosed) {
		s.Errorf("%s %s: lost %v after SIGTERM: %v, though %d attempts reached a host", class.name, id, time.Since(stoppedAt), err, arrived)
	}
}

// check checks a request that has a response.
func (s *soak) check(class testClass, id string, status int, late time.Duration) {
	s.mu.Lock()
	s.requests++
	s.mu.Unlock()
	ran, _ := s.hosts.of(id)
	isRejected := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	switch isUnsafe := class.effect == "at_most_once"; {
	case late > maxLateness:
		s.Errorf("%s %s: status %d %v after its timeout, want at most %v", class.name, id, status, late, maxLateness)
	case isUnsafe && ran > 1:
		s.Errorf("%s %s: ran %d times", class.name, id, ran)
	case isUnsafe && isRejected && ran > 0:
		s.Errorf("%s %s: rejected with %d though it has run", class.name, id, status)
	}
}

// signals sends signals in series: reloads while the gateway serves, then SIGTERM, more signals, and SIGKILL at the earliest
// time.
func (s *soak) signals() {
	process := s.program.Process
	for end := time.Now().Add(soakServeTime); time.Now().Before(end); {
		time.Sleep(time.Duration(50+s.intN(400)) * time.Millisecond)
		for range s.intN(4) {
			process.Signal(syscall.SIGHUP)
		}
	}
	s.mu.Lock()
	s.stoppedAt = time.Now()
	s.mu.Unlock()
	process.Signal(syscall.SIGTERM)
	kill := time.After(testClasses[0].timeout + killGrace)
	for {
		select {
		case <-kill:
			process.Kill()
			return
		case <-s.program.exited:
			return
		case <-time.After(time.Duration(20+s.intN(300)) * time.Millisecond):
			process.Signal([]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[s.intN(2)])
		}
	}
}

// crowd connects clients that behave badly until the end.
func (s *soak) crowd() {
	var names []string
	for name := range crowds {
		names = append(names, name)
	}
	for range soakCrowd {
		behaviour := crowds[names[s.intN(len(names))]]
		c, err := dialWithSmallBuffer(s.program.address())
		if err != nil {
			return
		}
		go func() {
			<-s.done
			c.Close()
		}()
		go behaviour(c, fmt.Sprintf("crowd-%d", lastID.Add(1)))
	}
}

// A gateway under host faults, reloads and, for some seeds, a crowd, with clients that use their connections until it is
// killed, responds to each request that reached a host, in time and once.
func TestSoak(t *testing.T) {
	path := buildProgram(t)
	for seed := *soakFirst; seed < *soakFirst+*soakSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runSoak(t, path, seed) })
	}
}

// runSoak plays one seed.
func runSoak(t *testing.T, path string, seed uint64) {
	s := &soak{T: t, random: rand.New(rand.NewPCG(seed, 74)), done: make(chan struct{}),
		hosts: &soakRecord{ran: map[string]int{}, arrived: map[string]int{}}}
	var addrs []string
	for range soakHosts {
		addrs = append(addrs, startScriptedHost(t, s.serveHost))
	}
	s.config = filepath.Join(t.TempDir(), "config.json")
	s.program = startBuilt(t, path, configWithClasses(addrs...))
	if seed%3 == 0 {
		s.crowd()
	}
	var clients sync.WaitGroup
	for number := range soakClients {
		clients.Go(func() { s.client(number) })
	}
	s.signals()
	<-s.program.exited
	close(s.done)
	clients.Wait()
	if code := s.program.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d, want 0 before SIGKILL: %s", code, s.program.out.String())
	}
	t.Logf("seed %d: %d requests", seed, s.requests)
}
