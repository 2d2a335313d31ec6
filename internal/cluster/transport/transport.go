// Package transport carries frames between the gateways of a fleet over TCP.
//
// In a full mesh there are two connections between two gateways, one for each direction. In a fleet with
// relays, the relays are connected in that way, and each other gateway has one bidirectional [Stream] to a
// relay. Each connection begins with a handshake in which both sides prove that they have the fleet's key.
//
// A frame may be lost but is never modified, and the frames of one connection arrive in order. Queues are
// bounded: frames to a slow receiver are dropped, without affecting other receivers.
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
	// maxQueueBytes is the maximum number of bytes that are queued for one gateway. Further frames are dropped.
	maxQueueBytes = 8 << 20
	// keepaliveInterval is the time after which a keepalive is sent on an idle connection. A connection on
	// which nothing arrives for silenceTimeout is closed, because a machine that fails does not close its
	// connections. silenceTimeout is three times the duration of a session, so that a process that was paused
	// for less keeps its connections.
	keepaliveInterval = time.Second
	silenceTimeout    = 10 * time.Second
	writeTimeout      = 2 * time.Second
	dialTimeout       = time.Second
	// minRedialDelay and maxRedialDelay bound the delay before a failed connection is dialled again.
	minRedialDelay, maxRedialDelay = 50 * time.Millisecond, time.Second
	// maxConns is the maximum number of incoming connections: two of each gateway of the largest fleet, and
	// some that are being replaced.
	maxConns = 2200
)

// Handler handles frames and events of connections. It is called by several goroutines, but in order for each
// connection.
type Handler interface {
	// ReceiveHello is called before anything else of a connection.
	ReceiveHello(h node.Hello)
	Receive(from string, kind node.Kind, body []byte)
	// Unreachable is called when frames for a gateway were lost or can't be sent.
	Unreachable(to string)
	// SnapshotSent is called with the outcome of sending a snapshot to a replica.
	SnapshotSent(replica uint64, ok bool)
}

// ConnObserver is implemented by a Handler that observes connections. Connected is called for a new connection
// to a gateway, which lasts until Unreachable is called. Disconnected is called when a connection from a
// gateway has ended for which ReceiveHello was called.
type ConnObserver interface {
	Connected(to string)
	Disconnected(from string)
}

// Config describes this gateway's connections.
type Config struct {
	Name  string
	Key   []byte            // key of the fleet
	Peers map[string]string // addresses of the peers, by name
	Hello func() node.Hello
	// Validate returns why a connection with a gateway is rejected, or nil.
	Validate func(*node.Hello) error

	// StreamHandler handles streams; it is nil in a fleet without relays. ValidateStream is the Validate of
	// streams. AcceptStreams is set on a relay.
	StreamHandler  StreamHandler
	ValidateStream func(*node.Hello) error
	AcceptStreams  bool
}

// Counters holds counts since the start.
type Counters struct {
	FramesSent, BytesSent, FramesReceived, FramesLost, FramesMalformed, ConnsRejected, Dials, SnapshotsSent atomic.Uint64
	// Counts of streams. StreamsOverrun counts the streams that were closed because too much was queued for
	// them.
	StreamBytesReceived, StreamsAccepted, StreamsOverrun atomic.Uint64
}

// Transport manages all connections of a gateway.
type Transport struct {
	cfg        Config
	handler    Handler
	Counters   Counters
	peers      map[string]*peerConn
	listener   net.Listener // nil if this gateway accepts no connections
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup // started by run
	startedAt  time.Time      // times are stored as durations since startedAt, by the monotonic clock

	mu               sync.Mutex
	closed           bool                     // set by Close: no goroutine is started afterwards
	conns            map[net.Conn]*remotePeer // incoming connections; the value is nil until the handshake is done
	partialSnapshots map[string]*partialSnapshot
	loggedRelays     map[string]string // last logged state of the stream to each relay
	loggedRejections map[string]struct{}
}

// New returns a Transport that accepts connections on a listener, which it closes. The listener is nil if this
// gateway accepts no connections.
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

// Start starts to dial the peers and to accept connections.
func (t *Transport) Start() {
	for _, p := range t.peers {
		t.run(func() { t.maintain(p) })
	}
	if t.listener != nil {
		t.run(t.acceptLoop)
	}
}

// run starts a goroutine that Close waits for. After Close was called it starts none, and returns false.
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

// Send sends a frame to a peer. It does not block: the frame is dropped if the queue is full.
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

// ReconnectAll closes the connections with all peers, in both directions. It is called when the node was
// replaced: its hello has changed, and it has not received the hellos of the peers yet.
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

// sinceStart returns the time since the Transport was created.
func (t *Transport) sinceStart() time.Duration { return time.Since(t.startedAt) }
