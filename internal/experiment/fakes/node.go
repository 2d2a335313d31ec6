package fakes

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is how a node behaves.
type Mode uint8

// Values of Mode.
const (
	Healthy Mode = iota
	Full         // rejects each request without executing it: 503 with X-Not-Processed
	Errors       // executes the request and responds with 500
	Hang         // executes the request and never responds
	Silent       // accepts connections and reads nothing, like an unreachable machine
	ResetAt      // executes the request, writes ResponseBytes of the response and resets the connection
	CloseAt      // executes the request, writes ResponseBytes of the response and closes the connection
)

// Behaviour is how a node handles requests. It may be changed at any time; requests in flight keep the earlier one.
type Behaviour struct {
	Mode          Mode
	ResponseBytes int           // number of bytes that ResetAt and CloseAt write
	Share         float64       // share of the requests to which Mode applies; 0: all
	Work          time.Duration // mean execution time; execution times are exponentially distributed
	Cores         int           // number of requests executed concurrently; 0: 1
	MaxQueued     int           // number of requests that may wait for a core, beyond which requests are rejected; 0: 1000
	// For the time Warmup after its start a node is slower: its relative speed rises linearly from WarmupStartShare to 1.
	Warmup           time.Duration
	WarmupStartShare float64
	// With CongestionStart or more requests in flight, work takes CongestionSlowdown times as long; 0: never.
	CongestionStart    int
	CongestionSlowdown float64
}

// Second seeds of random generators, so that nodes, clients and responders with the same seed draw different numbers.
const (
	nodeStream      = 1
	loadStream      = 2
	responderStream = 3
)

// defaultMaxQueued is the value used if Behaviour.MaxQueued is 0.
const defaultMaxQueued = 1000

// Node is an HTTP server on a loopback address, with fault injection.
type Node struct {
	Name  string
	Group string // group of nodes that share idempotency keys
	// IgnoresTokens makes the node accept requests for a lease with any fencing token.
	IgnoresTokens atomic.Bool

	ledger    *Ledger
	listener  *crashListener
	behaviour atomic.Pointer[Behaviour]
	inFlight  atomic.Int64

	mu        sync.Mutex // guards the fields below
	startedAt time.Time
	starts    int
	cores     chan struct{} // semaphore of requests in execution
	crashed   chan struct{} // closed by Crash
	random    *rand.Rand
}

// StartNode starts a node on a free port of 127.0.0.1.
func StartNode(name, group string, ledger *Ledger, seed uint64, b Behaviour) (*Node, error) {
	return StartNodeAt("127.0.0.1:0", name, group, ledger, seed, b)
}

// StartNodeAt starts a node at an address, which must be a loopback one.
func StartNodeAt(address, name, group string, ledger *Ledger, seed uint64, b Behaviour) (*Node, error) {
	listener, err := newCrashListener(address)
	if err != nil {
		return nil, err
	}
	n := &Node{Name: name, Group: group, ledger: ledger, random: rand.New(rand.NewPCG(seed, nodeStream)), listener: listener}
	n.behaviour.Store(&b)
	return n, n.Start()
}

// Addr returns the address that the node listens on, also after a crash.
func (n *Node) Addr() string { return n.listener.address.address }

// Behave changes the node's behaviour.
func (n *Node) Behave(b Behaviour) { n.behaviour.Store(&b) }

// Start starts the node, or restarts it after a Crash.
func (n *Node) Start() error {
	listener, err := n.listener.start()
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.startedAt = time.Now()
	n.starts++
	n.crashed = make(chan struct{})
	n.cores = make(chan struct{}, max(1, n.behaviour.Load().Cores))
	n.mu.Unlock()
	go n.accept(listener)
	return nil
}

// Crash stops the node like the crash of a process: connections are reset and new ones are refused.
func (n *Node) Crash() {
	if !n.listener.crash() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.crashed)
}

// Close stops the node for good.
func (n *Node) Close() {
	n.Crash()
	n.listener.address.release()
}

// Accepted returns the number of connections that the node has accepted.
func (n *Node) Accepted() int { return n.listener.numAccepted() }

// startedMS returns the time of the last restart in Unix milliseconds, or 0 for a node that was never restarted, which
// is considered warm.
func (n *Node) startedMS() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.starts < 2 {
		return 0
	}
	return n.startedAt.UnixMilli()
}

func (n *Node) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		if !n.listener.add(listener, c) {
			return
		}
		go func() {
			n.serve(c)
			n.listener.remove(c)
		}()
	}
}
