// Package transport carries frames between the gateways of a fleet over TCP.
//
// In a full mesh there are two connections between two gateways, one for each direction. In a fleet
// with relays the relays are connected like that, and each gateway has one [Stream] to a relay, for
// both directions. Each connection begins with a handshake that proves the fleet's key.
//
// A frame may be lost but is never changed, and frames of one connection arrive in order. Queues are
// bounded: a slow receiver loses frames of its own.
package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dunemoor/internal/cluster/node"
)

const (
	// maxQueueBytes bounds what waits for one gateway; frames over it are lost.
	maxQueueBytes = 8 << 20
	// keepaliveInterval is when a connection without other frames sends one; after silenceTimeout
	// without a frame a connection is closed, as a machine that vanishes tells nobody. It is three
	// sessions long: a process that was paused for less keeps its connections.
	keepaliveInterval = time.Second
	silenceTimeout    = 10 * time.Second
	writeTimeout      = 2 * time.Second
	dialTimeout       = time.Second
	// A connection that fails is dialled again soon at first, then once a second.
	minRedialDelay, maxRedialDelay = 50 * time.Millisecond, time.Second
	// maxConns bounds incoming connections: two of each gateway of the largest fleet, and some that
	// are being replaced.
	maxConns = 2200
)

// Handler takes what arrives. It is called by many goroutines, for one connection in order.
type Handler interface {
	// ReceiveHello is called before anything else that arrives on a connection.
	ReceiveHello(h node.Hello)
	Receive(from string, kind node.Kind, body []byte)
	// Unreachable reports that frames for a gateway were lost or can't be sent.
	Unreachable(to string)
	// SnapshotSent reports the outcome of sending a snapshot to a replica.
	SnapshotSent(replica uint64, ok bool)
}

// ConnObserver is implemented by a Handler that wants to know of connections. Connected reports a new
// connection to a gateway, which lasts until Unreachable. Disconnected reports that a connection from a
// gateway has ended, after its ReceiveHello.
type ConnObserver interface {
	Connected(to string)
	Disconnected(from string)
}

// Config describes this gateway's connections.
type Config struct {
	Name  string
	Key   []byte            // of the fleet
	Peers map[string]string // addresses by name
	Hello func() node.Hello
	// Validate returns why no connection is made with a gateway.
	Validate func(*node.Hello) error

	// StreamHandler takes what arrives by streams; nil in a fleet without relays. ValidateStream is
	// Validate for streams. AcceptStreams is set at a relay.
	StreamHandler  StreamHandler
	ValidateStream func(*node.Hello) error
	AcceptStreams  bool
}

// Counters are counted since the start.
type Counters struct {
	FramesSent, BytesSent, FramesReceived, FramesLost, FramesMalformed, ConnsRejected, Dials, SnapshotsSent atomic.Uint64
	// Of streams. StreamsOverrun are those that were closed as too much waited for them.
	StreamBytesReceived, StreamsAccepted, StreamsOverrun atomic.Uint64
}

// Transport is a gateway's end of all its connections.
type Transport struct {
	cfg        Config
	handler    Handler
	Counters   Counters
	peers      map[string]*peerConn
	listener   net.Listener // nil: nobody connects to this gateway
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup // started by run
	startedAt  time.Time      // times are compared as durations since, by the monotonic clock

	mu               sync.Mutex
	closed           bool                     // Close has been called: no goroutine is started any more
	conns            map[net.Conn]*remotePeer // incoming; nil until the handshake is done
	partialSnapshots map[string]*partialSnapshot
	loggedRelays     map[string]string // last logged state of the stream to a relay, by relay
	loggedRejections map[string]struct{}
}

// New returns a Transport that accepts connections on a listener, which it closes; nil where nobody
// connects to this gateway.
func New(cfg Config, listener net.Listener, handler Handler) *Transport {
	t := &Transport{
		cfg: cfg, handler: handler, startedAt: time.Now(), peers: map[string]*peerConn{}, listener: listener,
		conns: map[net.Conn]*remotePeer{}, partialSnapshots: map[string]*partialSnapshot{}, loggedRelays: map[string]string{},
		loggedRejections: map[string]struct{}{},
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	for name, addr := range cfg.Peers {
		t.peers[name] = &peerConn{name: name, addr: addr, wake: make(chan struct{}, 1)}
	}
	return t
}

// Start begins to dial peers and to accept connections.
func (t *Transport) Start() {
	for _, p := range t.peers {
		t.run(func() { t.maintain(p) })
	}
	if t.listener != nil {
		t.run(t.acceptLoop)
	}
}

// run starts a goroutine that Close waits for. Once Close has been called it starts none, and returns false.
func (t *Transport) run(work func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.goroutines.Go(work)
	return true
}

// Close closes all connections and waits for their goroutines.
func (t *Transport) Close() {
	t.cancel()
	if t.listener != nil {
		t.listener.Close()
	}
	t.mu.Lock()
	t.closed = true
	for conn := range t.conns {
		conn.Close()
	}
	t.mu.Unlock()
	t.goroutines.Wait()
}

// Send sends a frame to a peer. It does not wait: a frame is lost where too much waits already.
func (t *Transport) Send(f *node.Frame) {
	p := t.peers[f.To]
	if p == nil {
		return
	}
	if f.SnapshotTo != 0 {
		t.run(func() { t.handler.SnapshotSent(f.SnapshotTo, t.sendSnapshot(p, f)) })
		return
	}
	if !p.enqueue(byte(f.Kind), f.Body) {
		t.Counters.FramesLost.Add(1)
	}
}

// ReconnectAll closes the connections with all peers, in both directions: this gateway's Hello has
// changed, and what speaks for it now has received no other's yet.
func (t *Transport) ReconnectAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn, remote := range t.conns {
		if remote != nil {
			conn.Close()
		}
	}
	for _, p := range t.peers {
		p.close()
	}
}

// sinceStart returns the time since the Transport was made.
func (t *Transport) sinceStart() time.Duration { return time.Since(t.startedAt) }
