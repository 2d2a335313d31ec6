// Package peer carries frames between the gateways of a fleet: over TCP, one connection each way
// between two, each for one direction only; and where a fleet has relays, between those, and
// beside that a stream from each gateway to a relay, for both directions. A frame may be lost, never changed, and those that
// arrive on one connection are in order. Queues are bounded: who is slow loses frames of its own.
package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dunemoor/internal/cluster/node"
)

// Bounds and times.
const (
	// queueBytes bounds what waits for one gateway; what is over it is lost, as on a bad line.
	queueBytes = 8 << 20
	// idleEvery is when a connection says that it is there; silentMost is when one that says
	// nothing is taken for dead: a machine that vanished tells nobody. It is three sessions long:
	// a process that stood still for less has its connections when it goes on.
	idleEvery  = time.Second
	silentMost = 10 * time.Second
	writeTime  = 2 * time.Second
	dialTime   = time.Second
	// A connection that fails is tried again soon at first, then once a second.
	redialLeast, redialMost = 50 * time.Millisecond, time.Second
	// connsMost bounds connections that come in: two from each of the largest fleet, and some
	// that are being replaced.
	connsMost = 2200
)

// Handler takes what comes. Calls come from many goroutines, those of one connection in order.
type Handler interface {
	// Greet comes before anything else of a connection.
	Greet(h node.Hello)
	Receive(from string, kind node.Kind, body []byte)
	// Lost tells that frames for a gateway were lost or can't be sent.
	Lost(to string)
	// Snapshot tells what became of one that was sent to a replica.
	Snapshot(replica uint64, ok bool)
}

// Config is what a Carrier is told.
type Config struct {
	Name  string
	Key   []byte
	Peers map[string]string // addresses by name
	Hello func() node.Hello
	Judge func(*node.Hello) string // why a gateway is not talked with; "": it is

	// Streams takes what comes by streams; nil: the fleet has no relays. JudgeStream is Judge for
	// streams. Serve says that gateways are served, as a relay does.
	Streams     Streams
	JudgeStream func(*node.Hello) string
	Serve       bool
}

// Linker is told, where a Handler is one, which gateways there are connections with: Linked, that
// there is one to a gateway, anew, until Lost; Parted, that there is none from it any more, after
// its Greet.
type Linker interface {
	Linked(to string)
	Parted(from string)
}

// Counts are kept since the start.
type Counts struct {
	Sent, SentBytes, Received, Lost, Garbled, Refused, Connects, Snapshots atomic.Uint64
	// Of streams: what came by them, those that came in, and those that were ended as too much
	// waited for them.
	ReceivedBytes, Streams, StreamsBehind atomic.Uint64
}

// Carrier is a gateway's end of all its connections.
type Carrier struct {
	cfg    Config
	to     Handler
	Counts Counts
	peers  map[string]*link
	ln     net.Listener
	ctx    context.Context
	cancel context.CancelFunc
	all    sync.WaitGroup
	made   time.Time // what is compared is the time since: no one sets that

	mu    sync.Mutex
	conns map[net.Conn]*caller // that came in
	saved map[string]*part     // snapshots of which a part has come
	said  map[string]string    // by relay: why there was no stream, so that each is logged once
	// refused are the refusals of streams that were logged.
	refused map[string]struct{}
}

// caller is the gateway behind a connection that came in for frames.
type caller struct {
	name    string
	replica uint64
	heard   atomic.Int64 // when it last said something, in nanoseconds since the Carrier was made
}

// link is the way to one gateway.
type link struct {
	name, addr string

	mu    sync.Mutex
	queue [][]byte
	bytes int
	wake  chan struct{}
	conn  net.Conn
	said  string // the last error, so that each is logged once
}

// New serves on ln, which is the Carrier's from now on; nil: nobody connects to this gateway.
func New(cfg Config, ln net.Listener, to Handler) *Carrier {
	c := &Carrier{cfg: cfg, to: to, made: time.Now(), peers: map[string]*link{}, ln: ln, conns: map[net.Conn]*caller{}, saved: map[string]*part{},
		said: map[string]string{}, refused: map[string]struct{}{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for name, addr := range cfg.Peers {
		c.peers[name] = &link{name: name, addr: addr, wake: make(chan struct{}, 1)}
	}
	return c
}

// Start begins to connect and to take connections.
func (c *Carrier) Start() {
	for _, l := range c.peers {
		c.all.Go(func() { c.keep(l) })
	}
	if c.ln != nil {
		c.all.Go(c.accept)
	}
}

// Close ends all connections.
func (c *Carrier) Close() {
	c.cancel()
	if c.ln != nil {
		c.ln.Close()
	}
	c.mu.Lock()
	for conn := range c.conns {
		conn.Close()
	}
	c.mu.Unlock()
	c.all.Wait()
}

// Send has a frame sent, or lost where too much waits.
func (c *Carrier) Send(s *node.Frame) {
	l := c.peers[s.To]
	if l == nil {
		return
	}
	if s.SnapshotTo != 0 {
		c.all.Go(func() { c.to.Snapshot(s.SnapshotTo, c.sendSnapshot(l, s)) })
		return
	}
	f := AppendFrame(nil, byte(s.Kind), s.Body)
	l.mu.Lock()
	full := l.bytes+len(f) > queueBytes || len(s.Body) > frameMost
	if !full {
		l.queue = append(l.queue, f)
		l.bytes += len(f)
	}
	l.mu.Unlock()
	if full {
		c.Counts.Lost.Add(1)
		return
	}
	select {
	case l.wake <- struct{}{}:
	default: // it has been told
	}
}

// keep holds a connection to a gateway.
func (c *Carrier) keep(l *link) {
	wait := redialLeast
	for c.ctx.Err() == nil {
		began := time.Now()
		err := c.hold(l)
		if c.ctx.Err() != nil {
			return
		}
		c.to.Lost(l.name)
		// What waited is of no use to whoever comes next.
		l.mu.Lock()
		c.Counts.Lost.Add(uint64(len(l.queue)))
		l.queue, l.bytes = nil, 0
		l.mu.Unlock()
		c.say(l, err)
		if time.Since(began) > redialMost {
			wait = redialLeast
		}
		select {
		case <-c.ctx.Done():
		case <-time.After(wait/2 + rand.N(wait)):
		}
		wait = min(2*wait, redialMost)
	}
}

// say logs that a link is down, once, and a refusal whenever it says something else.
func (c *Carrier) say(l *link, err error) {
	var r *refusal
	refused := errors.As(err, &r) || errors.Is(err, errKey)
	text := "down" // what an error of the system says differs each time, in its port
	if refused {
		c.Counts.Refused.Add(1)
		text = err.Error()
	}
	if text == l.said {
		return
	}
	l.said = text
	if refused {
		slog.Warn("no connection to a gateway of the fleet", "gateway", l.name, "address", l.addr, "why", text)
	} else {
		slog.Info("no connection to a gateway of the fleet", "gateway", l.name, "address", l.addr, "why", err.Error())
	}
}

// open connects to a gateway, for a purpose.
func (c *Carrier) open(l *link, purpose byte) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTime}).DialContext(c.ctx, "tcp", l.addr)
	if err != nil {
		return nil, err
	}
	h, err := dial(conn, c.cfg.Key, purpose, time.Now().Add(handshakeTime), c.cfg.Hello, c.cfg.Judge)
	if err == nil && h.Name != l.name {
		err = &refusal{false, fmt.Sprintf("at %s is %s", l.addr, h.Name)}
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// hold connects to a gateway and sends what there is for it, until that fails.
func (c *Carrier) hold(l *link) error {
	conn, err := c.open(l, purposeFrames)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(c.ctx, func() { conn.Close() })()
	c.Counts.Connects.Add(1)
	l.said = ""
	l.mu.Lock()
	l.conn = conn
	l.mu.Unlock()
	if to, ok := c.to.(Linker); ok {
		to.Linked(l.name)
	}
	// The other says nothing on this connection: what can be read is its end.
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		var b [1]byte
		conn.Read(b[:])
	}()
	tick := time.NewTicker(idleEvery)
	defer tick.Stop()
	for {
		l.mu.Lock()
		frames := net.Buffers(l.queue)
		n, size := len(l.queue), l.bytes
		l.queue, l.bytes = nil, 0
		l.mu.Unlock()
		if n > 0 {
			conn.SetWriteDeadline(time.Now().Add(writeTime))
			if _, err := frames.WriteTo(conn); err != nil {
				return err
			}
			c.Counts.Sent.Add(uint64(n))
			c.Counts.SentBytes.Add(uint64(size))
			continue
		}
		select {
		case <-c.ctx.Done():
			return c.ctx.Err()
		case <-ended:
			return errors.New("the connection has ended")
		case <-l.wake:
		case <-tick.C:
			idle := AppendFrame(nil, kindIdle, nil)
			conn.SetWriteDeadline(time.Now().Add(writeTime))
			if _, err := conn.Write(idle); err != nil {
				return err
			}
			c.Counts.Sent.Add(1)
			c.Counts.SentBytes.Add(uint64(len(idle)))
		}
	}
}

// acceptWait is the pause where no connection can be taken.
const acceptWait = 50 * time.Millisecond

func (c *Carrier) accept() {
	for {
		conn, err := c.ln.Accept()
		if c.ctx.Err() != nil {
			return
		}
		if err != nil {
			slog.Warn("connections of the fleet are not taken", "err", err)
			select {
			case <-c.ctx.Done():
				return
			case <-time.After(acceptWait):
			}
			continue
		}
		c.mu.Lock()
		full := len(c.conns) >= connsMost
		if !full {
			c.conns[conn] = nil
		}
		c.mu.Unlock()
		if full {
			conn.Close()
			continue
		}
		c.all.Go(func() {
			c.serve(conn)
			conn.Close()
			c.mu.Lock()
			delete(c.conns, conn)
			c.mu.Unlock()
		})
	}
}

// judge is the Config's, and one gateway to a name: while one of another disk talks with us under
// it, a second is refused.
func (c *Carrier) judge(purpose byte, h *node.Hello) string {
	if purpose == purposeStream {
		if !c.cfg.Serve {
			return fmt.Sprintf("%s is no relay", c.cfg.Name)
		}
		return c.cfg.JudgeStream(h)
	}
	if why := c.cfg.Judge(h); why != "" {
		return why
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.conns {
		if o != nil && o.name == h.Name && o.replica != h.ReplicaID && time.Since(c.made)-time.Duration(o.heard.Load()) < silentMost {
			return fmt.Sprintf("another gateway with the name %s is connected", h.Name)
		}
	}
	return ""
}

// serve takes what comes on a connection.
func (c *Carrier) serve(conn net.Conn) {
	purpose, h, err := accept(conn, c.cfg.Key, c.cfg.Hello, c.judge)
	if err != nil {
		var r *refusal
		switch known := errors.As(err, &r) || errors.Is(err, errKey); {
		case known && purpose == purposeStream:
			c.refusedStream(conn.RemoteAddr(), err)
		case known:
			c.Counts.Refused.Add(1)
			slog.Warn("a connection to the fleet refused", "from", conn.RemoteAddr().String(), "why", err.Error())
		}
		return
	}
	if purpose == purposeSnapshot {
		c.takeSnapshot(conn, h)
		return
	}
	if purpose == purposeStream {
		c.takeStream(conn, h)
		return
	}
	// One connection at a time from each: the newest, as the one before may be of a process that
	// has ended.
	who := &caller{name: h.Name, replica: h.ReplicaID}
	who.heard.Store(int64(time.Since(c.made)))
	c.mu.Lock()
	for old, o := range c.conns {
		if o != nil && o.name == h.Name {
			old.Close()
		}
	}
	c.conns[conn] = who
	c.mu.Unlock()
	c.to.Greet(*h)
	if to, ok := c.to.(Linker); ok {
		defer to.Parted(h.Name)
	}
	in := bufio.NewReaderSize(conn, 64<<10)
	for {
		conn.SetReadDeadline(time.Now().Add(silentMost))
		kind, body, err := ReadFrame(in)
		if err != nil {
			if errors.Is(err, errGarbled) || errors.Is(err, errOversized) {
				c.Counts.Garbled.Add(1)
				slog.Warn("a frame of the fleet dropped, and its connection", "gateway", h.Name, "why", err.Error())
			}
			return
		}
		who.heard.Store(int64(time.Since(c.made)))
		if kind == kindIdle {
			continue
		}
		c.Counts.Received.Add(1)
		c.to.Receive(h.Name, node.Kind(kind), body)
	}
}

// Again connects to all anew, both ways: this gateway has another hello, and whoever speaks for it
// now has heard no other's yet.
func (c *Carrier) Again() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, who := range c.conns {
		if who != nil {
			conn.Close()
		}
	}
	for _, l := range c.peers {
		l.mu.Lock()
		if l.conn != nil {
			l.conn.Close()
		}
		l.mu.Unlock()
	}
}
