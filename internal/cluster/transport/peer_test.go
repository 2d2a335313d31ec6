package transport

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"dunemoor/internal/cluster/node"
	"dunemoor/internal/testutil"
)

// end is a gateway as its transport sees it.
type end struct {
	*Transport
	mu     sync.Mutex
	hellos []string
	got    []string
	snaps  []bool
}

func (e *end) ReceiveHello(h node.Hello) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hellos = append(e.hellos, h.Name)
}

func (e *end) Receive(from string, kind node.Kind, body []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.got = append(e.got, frame(from, kind, len(body), string(body[:min(8, len(body))])))
}

// frame describes a frame: its sender, its kind, its size, and how it begins.
func frame(from string, kind node.Kind, size int, begins string) string {
	return fmt.Sprintf("%s %d %d %s", from, kind, size, begins)
}

func (e *end) Unreachable(string) {}

func (e *end) SnapshotSent(_ uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.snaps = append(e.snaps, ok)
}

func (e *end) count(of *[]string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(*of)
}

// pair returns two gateways that are peers; by is what may be between them.
func pair(t *testing.T, keys [2]string, by func(addr string) string) (ends [2]*end) {
	t.Helper()
	var lns [2]net.Listener
	for i := range lns {
		lns[i] = testutil.Listen(t, "127.0.0.1:0", nil)
	}
	names := [2]string{"a", "b"}
	for i := range ends {
		e := &end{}
		hello := node.Hello{Fleet: "f", Format: node.FormatVersion, Name: names[i], ReplicaID: uint64(i + 1)}
		e.Transport = New(Config{
			Name: names[i], Key: []byte(keys[i]), Peers: map[string]string{names[1-i]: by(lns[1-i].Addr().String())},
			Hello: func() node.Hello { return hello }, Validate: func(*node.Hello) error { return nil },
		}, lns[i], e)
		ends[i] = e
		t.Cleanup(e.Close)
	}
	ends[0].Start()
	ends[1].Start()
	return ends
}

func straight(addr string) string { return addr }

// Frames arrive in the order in which they were sent, after the hello, and a snapshot beside them.
func TestCarry(t *testing.T) {
	e := pair(t, [2]string{"key", "key"}, straight)
	testutil.WaitUntil(t, "both have connected", func() bool { return e[0].count(&e[0].hellos) > 0 && e[1].count(&e[1].hellos) > 0 })
	for i := range 100 {
		e[0].Send(&node.Frame{To: "b", Kind: node.KindMessage, Body: fmt.Appendf(nil, "n%03d", i)})
	}
	testutil.WaitUntil(t, "all have arrived", func() bool { return e[1].count(&e[1].got) == 100 })
	for i, got := range e[1].got {
		if want := frame("a", node.KindMessage, 4, fmt.Sprintf("n%03d", i)); got != want {
			t.Fatalf("frame %d is %q, want %q", i, got, want)
		}
	}
	big := bytes.Repeat([]byte("snapshot"), 200_000)
	e[0].Send(&node.Frame{To: "b", Kind: node.KindRaft, Body: big, SnapshotTo: 2})
	testutil.WaitUntil(t, "the snapshot has arrived", func() bool { return e[1].count(&e[1].got) == 101 })
	testutil.WaitUntil(t, "its sender knows", func() bool { e[0].mu.Lock(); defer e[0].mu.Unlock(); return len(e[0].snaps) == 1 && e[0].snaps[0] })
	if got := e[1].got[100]; got != frame("a", node.KindRaft, len(big), "snapshot") {
		t.Errorf("the snapshot is %q", got)
	}
}

// Idle frames count as sent too.
func TestIdleCounts(t *testing.T) {
	e := pair(t, [2]string{"key", "key"}, straight)
	for i := range e {
		c := &e[i].Counters
		testutil.WaitUntil(t, "an idle frame counts", func() bool { return c.FramesSent.Load() > 0 && c.BytesSent.Load() >= frameHeaderBytes })
	}
	if n := e[0].count(&e[0].got) + e[1].count(&e[1].got); n > 0 {
		t.Errorf("%d frames were delivered", n)
	}
}

// A peer with another key is rejected, on either side.
func TestKey(t *testing.T) {
	e := pair(t, [2]string{"key", "other"}, straight)
	testutil.WaitUntil(t, "both are rejected", func() bool { return e[0].Counters.ConnsRejected.Load() > 1 && e[1].Counters.ConnsRejected.Load() > 1 })
	if e[0].count(&e[0].hellos)+e[1].count(&e[1].hellos) > 0 {
		t.Error("one was accepted")
	}
}

// breaking returns a proxy that ends the first connection after a number of bytes; the next are passed on whole.
func breaking(t *testing.T, after int64) func(addr string) string {
	return func(addr string) string {
		ln := testutil.Listen(t, "127.0.0.1:0", nil)
		t.Cleanup(func() { ln.Close() })
		var broke atomic.Bool
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				d, err := net.Dial("tcp", addr)
				if err != nil {
					c.Close()
					continue
				}
				go func() { io.Copy(c, d); c.Close() }()
				go func() {
					defer c.Close()
					defer d.Close()
					n, _ := io.CopyN(d, c, after)
					if n < after {
						return
					}
					if broke.CompareAndSwap(false, true) {
						return
					}
					io.Copy(d, c)
				}()
			}
		}()
		return ln.Addr().String()
	}
}

// A snapshot that is interrupted resumes where it was.
func TestSnapshotResumes(t *testing.T) {
	e := pair(t, [2]string{"key", "key"}, breaking(t, 1<<20))
	testutil.WaitUntil(t, "both have connected", func() bool { return e[0].count(&e[0].hellos) > 0 && e[1].count(&e[1].hellos) > 0 })
	big := bytes.Repeat([]byte("snapshot"), 400_000)
	e[0].Send(&node.Frame{To: "b", Kind: node.KindRaft, Body: big, SnapshotTo: 2})
	testutil.WaitUntil(t, "the snapshot has arrived", func() bool { return e[1].count(&e[1].got) == 1 })
	if got := e[1].got[0]; got != frame("a", node.KindRaft, len(big), "snapshot") {
		t.Errorf("the snapshot is %q", got)
	}
}

// A frame is read as it was written, and one with any bit changed is not read as another: kind and body are under
// the checksum, and a wrong length breaks it.
func TestFrames(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		body := make([]byte, r.IntN(200))
		for i := range body {
			body[i] = byte(r.Uint32())
		}
		b := AppendFrame(nil, 7, body)
		if kind, got, err := ReadFrame(bufio.NewReader(bytes.NewReader(b))); err != nil || kind != 7 || !bytes.Equal(got, body) {
			t.Fatalf("%d, %v", kind, err)
		}
		b[r.IntN(len(b))] ^= 1 << r.IntN(8)
		if _, _, err := ReadFrame(bufio.NewReader(bytes.NewReader(append(b, body...)))); err == nil {
			t.Fatalf("a changed frame of %d bytes is read", len(body))
		}
	}
}

// Whatever arrives, reading ends and takes no more memory than has arrived.
func FuzzReadFrame(f *testing.F) {
	f.Add(AppendFrame(nil, 1, []byte("body")))
	f.Add([]byte{255, 255, 127, 0, 1, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		in := bufio.NewReader(bytes.NewReader(b))
		for {
			kind, body, err := ReadFrame(in)
			if err != nil {
				return
			}
			if len(body) > len(b) {
				t.Fatalf("%d bytes of kind %d out of %d", len(body), kind, len(b))
			}
		}
	})
}
