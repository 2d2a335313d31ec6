package fakes

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is how a node behaves.
type Mode uint8

// Modes.
const (
	Healthy Mode = iota
	Full         // turns each request away unseen: 503 with X-Not-Processed
	Errors       // works and answers 500
	Hang         // works and answers nothing
	Silent       // takes connections and reads nothing, as a machine that has vanished
	ResetAt      // works, writes Byte bytes of the answer and resets the connection
	CloseAt      // the same with an orderly close
)

// Behaviour is a node's script. It may be changed at any time; requests begun keep theirs.
type Behaviour struct {
	Mode  Mode
	Byte  int           // for ResetAt and CloseAt
	Share float64       // part of the requests that Mode applies to; 0: all
	Work  time.Duration // mean of what a request takes, exponential
	Cores int           // requests worked on at once; 0: 1
	Queue int           // requests that may wait; beyond it they are turned away; 0: 1000
	Cold  time.Duration // time after its start in which it is slower, from ColdFrom on
	// ColdFrom is the share of its speed that it starts with.
	ColdFrom float64
	// Crowd is the number of requests held from which work takes Slower times as long.
	Crowd  int
	Slower float64
}

// Node is a host on a loopback socket.
type Node struct {
	Name, Group string
	ledger      *Ledger
	addr        string
	script      atomic.Pointer[Behaviour]
	held        atomic.Int64

	mu      sync.Mutex
	ln      net.Listener
	conns   map[net.Conn]struct{}
	started time.Time
	starts  int
	cores   chan struct{}
	end     chan struct{} // closed by Crash
	rng     *rand.Rand
	Took    int // connections accepted, guarded by mu
	// Heedless has it take what comes on behalf of a duty of a fleet whatever its token.
	Heedless atomic.Bool
}

// StartNode starts a node on a free port of 127.0.0.1.
func StartNode(name, group string, ledger *Ledger, seed uint64, b Behaviour) (*Node, error) {
	return StartNodeAt("127.0.0.1:0", name, group, ledger, seed, b)
}

// StartNodeAt starts a node at an address, which must be a loopback one.
func StartNodeAt(addr, name, group string, ledger *Ledger, seed uint64, b Behaviour) (*Node, error) {
	if !loopback(addr) {
		return nil, fmt.Errorf("standin: %q is no loopback address", addr)
	}
	n := &Node{Name: name, Group: group, ledger: ledger, rng: rand.New(rand.NewPCG(seed, 1)), addr: addr}
	n.script.Store(&b)
	return n, n.Start()
}

func loopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	ip := net.ParseIP(host)
	return err == nil && ip != nil && ip.IsLoopback()
}

// Addr is where it listens; it stays the same over a crash.
func (n *Node) Addr() string { return n.addr }

// Started is when it last started.
func (n *Node) Started() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.started
}

// Behave changes its script.
func (n *Node) Behave(b Behaviour) { n.script.Store(&b) }

// Start brings it up, also after a Crash.
func (n *Node) Start() error {
	ln, err := net.Listen("tcp", n.addr)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.ln, n.addr, n.started = ln, ln.Addr().String(), time.Now()
	n.starts++
	n.end = make(chan struct{})
	n.conns = map[net.Conn]struct{}{}
	n.cores = make(chan struct{}, max(1, n.script.Load().Cores))
	n.mu.Unlock()
	go n.accept(ln)
	return nil
}

// Crash ends it as a process that dies: connections are reset, new ones refused.
func (n *Node) Crash() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ln == nil {
		return
	}
	n.ln.Close()
	n.ln = nil
	close(n.end)
	for c := range n.conns {
		reset(c)
	}
}

// Accepted is the number of connections it has taken.
func (n *Node) Accepted() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Took
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

func (n *Node) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		if n.ln != ln {
			n.mu.Unlock()
			reset(c)
			return
		}
		n.conns[c] = struct{}{}
		n.Took++
		n.mu.Unlock()
		go func() {
			n.serve(c)
			n.mu.Lock()
			delete(n.conns, c)
			n.mu.Unlock()
		}()
	}
}

// serve answers the requests of a connection, one after the other.
func (n *Node) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		if n.script.Load().Mode == Silent {
			<-n.crashed() // until then open and silent, as a machine that has vanished
			return
		}
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return // its last byte has not come: it never ran
		}
		if !n.answer(c, r) {
			return
		}
	}
}

// crashed is closed by the next Crash.
func (n *Node) crashed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.end
}

// answer answers one request and says whether the connection goes on.
func (n *Node) answer(c net.Conn, r *http.Request) bool {
	b := *n.script.Load()
	mode := b.Mode
	n.mu.Lock()
	if b.Share > 0 && n.rng.Float64() >= b.Share {
		mode = Healthy
	}
	work := time.Duration(n.rng.ExpFloat64() * float64(b.Work))
	cores, started := n.cores, n.started
	n.mu.Unlock()
	held := n.held.Add(1)
	defer n.held.Add(-1)
	id := r.Header.Get("X-Request-Id")
	if mode == Full || held > int64(cap(cores)+cmp.Or(b.Queue, 1000)) {
		return write(c, "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	if duty := r.Header.Get("X-Fleet-Duty"); duty != "" {
		return n.checked(c, duty, r.Header.Get("X-Fleet-Token"), mode)
	}
	cores <- struct{}{}
	if b.Cold > 0 && b.ColdFrom > 0 {
		if age := time.Since(started); age < b.Cold {
			work = time.Duration(float64(work) / (b.ColdFrom + (1-b.ColdFrom)*float64(age)/float64(b.Cold)))
		}
	}
	if b.Crowd > 0 && held >= int64(b.Crowd) {
		work = time.Duration(float64(work) * max(1, b.Slower))
	}
	dropped := n.ledger.Ran(Execution{ID: id, Key: r.Header.Get("Idempotency-Key"), Node: n.Name, Group: n.Group, At: time.Now()})
	if !dropped {
		time.Sleep(work)
	}
	<-cores
	answer := Answer(id)
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
	switch mode {
	case Errors:
		return write(c, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
	case Hang:
		io.Copy(io.Discard, c) // until the other side closes
		return false
	case ResetAt, CloseAt:
		write(c, text[:min(b.Byte, len(text))])
		if mode == ResetAt {
			reset(c)
		}
		return false
	}
	return write(c, text)
}

// checked answers what comes on behalf of a duty of a fleet of gateways.
func (n *Node) checked(c net.Conn, duty, text string, mode Mode) bool {
	token, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return write(c, "HTTP/1.1 400 No Token\r\nContent-Length: 0\r\n\r\n")
	}
	heeds := !n.Heedless.Load()
	switch old := n.ledger.Acted(n.Name, duty, token, heeds); {
	case old && heeds:
		return write(c, "HTTP/1.1 412 Precondition Failed\r\nContent-Length: 0\r\n\r\n")
	case mode == Errors:
		return write(c, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
	}
	// Whatever becomes of requests: the path by which hosts are tried may know nothing of that.
	return write(c, "HTTP/1.1 204 No Content\r\n\r\n")
}

// Answer is what a node answers to a request: clients can tell that it was made for theirs.
func Answer(id string) string { return "done " + id }

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}
