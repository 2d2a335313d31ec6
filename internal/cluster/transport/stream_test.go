package transport

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"dunemoor/internal/cluster/node"
	"dunemoor/internal/cluster/relay"
	"dunemoor/internal/testutil"
)

// side is a relay or a gateway as its transport sees it. A relay replies to a join, and echoes the rest.
type side struct {
	*Transport
	relay bool
	mute  bool // a relay that replies to nothing

	mu      sync.Mutex
	streams []*Stream
	got     []string
	ends    []error
}

func (s *side) ReceiveHello(node.Hello)           {}
func (s *side) Receive(string, node.Kind, []byte) {}
func (s *side) Unreachable(string)                {}
func (s *side) SnapshotSent(uint64, bool)         {}

func (s *side) StreamFrame(x *Stream, kind node.Kind, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.got = append(s.got, frame(x.Name, kind, len(body), string(body[:min(8, len(body))])))
	switch {
	case !s.relay || s.mute:
	case kind == relay.KindJoin:
		s.streams = append(s.streams, x)
		x.Send(relay.KindJoinReply, []byte("taken"))
	default:
		x.Send(kind, body)
	}
}

func (s *side) StreamEnded(_ *Stream, why error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends = append(s.ends, why)
}

func (s *side) seen() (frames []string, ends []error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(frames, s.got...), append(ends, s.ends...)
}

// newSide returns a relay, which listens, or a gateway, which does not.
func newSide(t *testing.T, name, key string, serve bool) (s *side, addr string) {
	t.Helper()
	s = &side{relay: serve}
	hello := node.Hello{Fleet: "f", Format: node.FormatVersion, Name: name, ReplicaID: uint64(len(name)) + uint64(name[len(name)-1])}
	var ln net.Listener
	if serve || name == "no relay" {
		ln = testutil.Listen(t, "127.0.0.1:0", nil)
		addr = ln.Addr().String()
	}
	s.Transport = New(Config{
		Name: name, Key: []byte(key), Hello: func() node.Hello { return hello }, Validate: func(*node.Hello) error { return errors.New("it is for streams only") },
		StreamHandler: s, AcceptStreams: serve, ValidateStream: func(h *node.Hello) error {
			if h.Name == "stranger" {
				return errors.New("it is a stranger")
			}
			return nil
		},
	}, ln, s)
	t.Cleanup(s.Close)
	s.Start()
	return s, addr
}

// A stream carries frames in both directions and in order, large ones too, and ends on both sides when one of them
// ends it.
func TestStream(t *testing.T) {
	r, addr := newSide(t, "relay", "key", true)
	g, _ := newSide(t, "g1", "key", false)
	s := g.Dial("relay", addr, relay.KindJoin, []byte("join"))
	testutil.WaitUntil(t, "the relay replies", func() bool { got, _ := g.seen(); return len(got) == 1 })
	want := []string{frame("relay", relay.KindJoinReply, 5, "taken")}
	for i := range 200 {
		body := fmt.Appendf(nil, "n%03d", i)
		if i%50 == 49 {
			body = append(body, make([]byte, 700_000)...)
		}
		s.Send(relay.KindRecord, body)
		want = append(want, frame("relay", relay.KindRecord, len(body), string(body[:min(8, len(body))])))
	}
	testutil.WaitUntil(t, "all have returned", func() bool { got, _ := g.seen(); return len(got) == len(want) })
	if got, _ := g.seen(); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v", got)
	}
	if got, _ := r.seen(); got[0] != frame("g1", relay.KindJoin, 4, "join") {
		t.Errorf("the relay got %s first", got[0])
	}
	s.Finish()
	testutil.WaitUntil(t, "both know its end", func() bool { _, a := g.seen(); _, b := r.seen(); return len(a) == 1 && len(b) == 1 })
}

// disturb returns a proxy that does something at a byte of what the relay sends.
func disturb(t *testing.T, to string, at int64, what string) string {
	ln := testutil.Listen(t, "127.0.0.1:0", nil)
	over := make(chan struct{})
	t.Cleanup(func() { ln.Close(); close(over) })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			d, err := net.Dial("tcp", to)
			if err != nil {
				c.Close()
				continue
			}
			go func() { io.Copy(d, c); d.Close() }()
			go func() {
				defer c.Close()
				if _, err := io.CopyN(c, d, at); err != nil {
					return
				}
				var b [1]byte
				if _, err := io.ReadFull(d, b[:]); err != nil {
					return
				}
				switch what {
				case "end":
					d.Close()
					return
				case "hang":
					<-over // it does not end
					return
				}
				b[0] ^= 0x20
				c.Write(b[:])
				io.Copy(c, d)
			}()
		}
	}()
	return ln.Addr().String()
}

// A stream that ends, hangs or is corrupted at any byte of what its relay sends first ends for the gateway, once, and
// nothing is accepted that the relay did not send.
func TestStreamDisturbed(t *testing.T) {
	_, addr := newSide(t, "relay", "key", true)
	g, _ := newSide(t, "g1", "key", false)
	whole := 0 // bytes until the reply has arrived
	first := frame("relay", relay.KindJoinReply, 5, "taken")
	{
		s := g.Dial("relay", addr, relay.KindJoin, []byte("join"))
		testutil.WaitUntil(t, "the relay replies", func() bool { got, _ := g.seen(); return len(got) == 1 })
		s.Close()
		testutil.WaitUntil(t, "it ends", func() bool { _, ends := g.seen(); return len(ends) == 1 })
		whole = len(magic) + 1 + nonceSize + 2*macSize + 2 + len(`{"hello":`) + frameHeaderBytes + 5
	}
	for _, what := range []string{"end", "hang", "corrupt"} {
		for at := 0; at < whole; at += 7 {
			g, _ := newSide(t, "g1", "key", false)
			g.Dial("relay", disturb(t, addr, int64(at), what), relay.KindJoin, []byte("join"))
			testutil.WaitUntil(t, fmt.Sprintf("%s at %d ends the stream", what, at), func() bool { _, ends := g.seen(); return len(ends) == 1 })
			if got, _ := g.seen(); len(got) > 0 && got[0] != first {
				t.Errorf("%s at %d: got %v", what, at, got)
			}
			g.Close()
		}
	}
	// After the handshake: a frame with a wrong byte ends the stream and is not accepted.
	g, _ = newSide(t, "g2", "key", false)
	hello := len(magic) + 1 + nonceSize + 2*macSize + 2
	for at := hello; ; at++ { // the length of its hello is not known here
		g, _ := newSide(t, "g2", "key", false)
		g.Dial("relay", disturb(t, addr, int64(at), "corrupt"), relay.KindJoin, []byte("join"))
		testutil.WaitUntil(t, "the stream ends or is accepted", func() bool { got, ends := g.seen(); return len(ends)+len(got) > 0 })
		got, _ := g.seen()
		malformed := g.Counters.FramesMalformed.Load()
		g.Close()
		if len(got) > 0 && got[0] != first {
			t.Fatalf("corrupted at %d: got %v", at, got)
		}
		if len(got) > 0 { // the byte is after all that is sent
			break
		}
		if at > 4096 || malformed > 1 {
			t.Fatalf("at byte %d nothing was accepted yet, %d malformed", at, malformed)
		}
	}
}

// A gateway that sends nothing after the handshake is not waited for longer than for the handshake.
func TestStreamSilent(t *testing.T) {
	r, addr := newSide(t, "relay", "key", true)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	hello := node.Hello{Fleet: "f", Format: node.FormatVersion, Name: "g1", ReplicaID: 1}
	if _, err := handshakeDial(c, []byte("key"), purposeStream, time.Now().Add(handshakeTimeout), func() node.Hello { return hello }, r.cfg.ValidateStream); err != nil {
		t.Fatal(err)
	}
	testutil.WaitUntil(t, "the relay ends it", func() bool { _, ends := r.seen(); return len(ends) == 1 })
}

// A gateway that reads nothing is closed once too much waits for it, and the relay's memory for it stays bounded.
func TestStreamOverrun(t *testing.T) {
	r, addr := newSide(t, "relay", "key", true)
	stop := make(chan struct{})
	stalled := testutil.Listen(t, "127.0.0.1:0", nil)
	t.Cleanup(func() { stalled.Close() })
	go func() { // passes on the reply to the join, and reads nothing more
		c, err := stalled.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		d, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		defer d.Close()
		go func() { io.Copy(d, c) }()
		b := make([]byte, 4096)
		for {
			n, err := d.Read(b)
			if err != nil {
				return
			}
			c.Write(b[:n])
			if bytes.Contains(b[:n], []byte("taken")) {
				break
			}
		}
		<-stop
	}()
	defer close(stop)
	g, _ := newSide(t, "g1", "key", false)
	g.Dial("relay", stalled.Addr().String(), relay.KindJoin, []byte("join"))
	testutil.WaitUntil(t, "the relay has the stream", func() bool { r.mu.Lock(); defer r.mu.Unlock(); return len(r.streams) == 1 })
	s := r.streams[0]
	body := make([]byte, 32<<10)
	testutil.WaitUntil(t, "more waits than may", func() bool {
		s.Send(relay.KindRecord, body)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.queueBytes < relay.MaxQueueBytes {
			return s.err != nil
		}
		s.writeBegan = s.writeBegan.Add(-maxWriteStall) // it has hung for so long
		return true
	})
	s.Send(relay.KindRecord, body)
	testutil.WaitUntil(t, "it is closed", func() bool { _, ends := r.seen(); return len(ends) == 1 })
	if _, ends := r.seen(); !errors.Is(ends[0], ErrStreamOverrun) || r.Counters.StreamsOverrun.Load() != 1 {
		t.Errorf("it ended with %v, %d were overrun", ends[0], r.Counters.StreamsOverrun.Load())
	}
}

// Rejected are a side with another key, one that is no relay or not the one that was dialed, and a gateway that the
// relay does not accept. Each is logged once, however often it tries.
func TestStreamRejected(t *testing.T) {
	var logged lines
	was := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&logged, nil)))
	defer slog.SetDefault(was)
	_, addr := newSide(t, "relay", "key", true)
	_, other := newSide(t, "no relay", "key", false)
	for _, c := range []struct{ name, key, dials, at, want, said string }{
		{"g1", "other", "relay", addr, ErrWrongKey.Error(), "the other side does not know the fleet's key"},
		{"g2", "key", "no relay", other, "refused by it: no relay is not a relay", "stream to relay failed, retrying"},
		{"g3", "key", "relay2", addr, "is relay", "stream to relay failed, retrying"},
		{"stranger", "key", "relay", addr, "refused by it: it is a stranger", "why=\"refused: it is a stranger\""},
	} {
		g, _ := newSide(t, c.name, c.key, false)
		for i := range 3 {
			g.Dial(c.dials, c.at, relay.KindJoin, []byte("join"))
			testutil.WaitUntil(t, c.name+" is rejected", func() bool { _, ends := g.seen(); return len(ends) == i+1 })
		}
		if got, ends := g.seen(); len(got) > 0 || !strings.Contains(ends[0].Error(), c.want) {
			t.Errorf("%s: got %v, %v", c.name, got, ends)
		}
		testutil.WaitUntil(t, c.said+" is logged of "+c.name, func() bool { return logged.count(c.said) > 0 })
		g.Close()
	}
	// In the first and third case it is the gateway that closes: one line each. In the others both sides log.
	testutil.WaitUntil(t, "all is logged", func() bool { return logged.count("") >= 6 })
	if n := logged.count(""); n > 6 {
		t.Errorf("%d lines were logged\n%s", n, logged.text())
	}
}

// lines collects what was logged.
type lines struct {
	mu  sync.Mutex
	all bytes.Buffer
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.Write(b)
}

func (l *lines) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.String()
}

// count returns how many lines contain a text.
func (l *lines) count(text string) (n int) {
	for _, line := range strings.Split(strings.TrimSpace(l.text()), "\n") {
		if line != "" && strings.Contains(line, text) {
			n++
		}
	}
	return n
}
