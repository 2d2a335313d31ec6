package transport

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"dunemoor/internal/cluster/node"
	"dunemoor/internal/testutil"
)

// testPeer is a gateway that records what its transport delivers.
type testPeer struct {
	*Transport

	mu        sync.Mutex
	hellos    []string // names of the senders
	frames    []string // received frames, as describeFrame returns them
	snapshots []bool   // results of the snapshots that the gateway has sent
}

func (p *testPeer) ReceiveHello(h node.Hello) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hellos = append(p.hellos, h.Name)
}

func (p *testPeer) Receive(from string, kind node.Kind, body []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frames = append(p.frames, describeFrame(from, kind, body))
}

// describeFrame returns the sender, the kind and the size of a frame, and its first bytes.
func describeFrame(from string, kind node.Kind, body []byte) string {
	return fmt.Sprintf("%s %d %d %s", from, kind, len(body), body[:min(8, len(body))])
}

func (p *testPeer) Unreachable(string) {}

func (p *testPeer) SnapshotSent(_ uint64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.snapshots = append(p.snapshots, ok)
}

func (p *testPeer) helloCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.hellos)
}

func (p *testPeer) frameCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.frames)
}

// newPeers returns the gateways a and b, which are peers, each with its key of keys. proxy returns the address
// at which a gateway reaches the other, given the address at which the other listens.
func newPeers(t *testing.T, keys [2]string, proxy func(address string) string) (peers [2]*testPeer) {
	t.Helper()
	var listeners [2]net.Listener
	for i := range listeners {
		listeners[i] = testutil.Listen(t, "127.0.0.1:0", nil)
	}
	names := [2]string{"a", "b"}
	for i := range peers {
		p := &testPeer{}
		hello := node.Hello{Fleet: "f", Format: node.FormatVersion, Name: names[i], ReplicaID: uint64(i + 1)}
		p.Transport = New(Config{
			Name: names[i], Key: []byte(keys[i]), Peers: map[string]string{names[1-i]: proxy(listeners[1-i].Addr().String())},
			Hello: func() node.Hello { return hello }, Validate: func(*node.Hello) error { return nil },
		}, listeners[i], p)
		peers[i] = p
		t.Cleanup(p.Close)
	}
	peers[0].Start()
	peers[1].Start()
	return peers
}

// noProxy connects peers directly.
func noProxy(address string) string { return address }

func waitUntilConnected(t *testing.T, peers [2]*testPeer) {
	t.Helper()
	testutil.WaitUntil(t, "both have connected", func() bool { return peers[0].helloCount() > 0 && peers[1].helloCount() > 0 })
}

// Frames arrive in the order in which they were sent, after the hello. A snapshot arrives too, and its sender
// is notified.
func TestPeerReceivesFramesInOrderAndSnapshot(t *testing.T) {
	peers := newPeers(t, [2]string{"key", "key"}, noProxy)
	sender, receiver := peers[0], peers[1]
	waitUntilConnected(t, peers)
	for i := range 100 {
		sender.Send(&node.Frame{To: "b", Kind: node.KindMessage, Body: fmt.Appendf(nil, "n%03d", i)})
	}
	testutil.WaitUntil(t, "all have arrived", func() bool { return receiver.frameCount() == 100 })
	for i, got := range receiver.frames {
		if want := describeFrame("a", node.KindMessage, fmt.Appendf(nil, "n%03d", i)); got != want {
			t.Fatalf("frame %d: got %q, want %q", i, got, want)
		}
	}
	snapshot := bytes.Repeat([]byte("snapshot"), 200_000)
	sender.Send(&node.Frame{To: "b", Kind: node.KindRaft, Body: snapshot, SnapshotTo: 2})
	testutil.WaitUntil(t, "the snapshot has arrived", func() bool { return receiver.frameCount() == 101 })
	testutil.WaitUntil(t, "the sender is notified of the snapshot", func() bool {
		sender.mu.Lock()
		defer sender.mu.Unlock()
		return slices.Equal(sender.snapshots, []bool{true})
	})
	if got, want := receiver.frames[100], describeFrame("a", node.KindRaft, snapshot); got != want {
		t.Errorf("snapshot: got %q, want %q", got, want)
	}
}

// Keepalive frames are counted as sent, but are not delivered.
func TestKeepaliveFramesAreCountedAndNotDelivered(t *testing.T) {
	peers := newPeers(t, [2]string{"key", "key"}, noProxy)
	for i := range peers {
		counters := &peers[i].Counters
		testutil.WaitUntil(t, "a keepalive frame is counted", func() bool {
			return counters.FramesSent.Load() > 0 && counters.BytesSent.Load() >= frameHeaderBytes
		})
	}
	if got := peers[0].frameCount() + peers[1].frameCount(); got > 0 {
		t.Errorf("frames delivered: got %d, want 0", got)
	}
}

// A peer with another key is rejected on both sides.
func TestPeerWithOtherKeyIsRejected(t *testing.T) {
	peers := newPeers(t, [2]string{"key", "other"}, noProxy)
	testutil.WaitUntil(t, "both are rejected", func() bool {
		return peers[0].Counters.ConnsRejected.Load() > 1 && peers[1].Counters.ConnsRejected.Load() > 1
	})
	if got := peers[0].helloCount() + peers[1].helloCount(); got > 0 {
		t.Errorf("hellos accepted: got %d, want 0", got)
	}
}

// newInterruptingProxy returns a function that starts a proxy for an address. The proxy closes the first
// connection on which it has forwarded afterBytes bytes, and does not interrupt the others.
func newInterruptingProxy(t *testing.T, afterBytes int64) func(address string) string {
	return func(address string) string {
		listener := testutil.Listen(t, "127.0.0.1:0", nil)
		t.Cleanup(func() { listener.Close() })
		var interrupted atomic.Bool
		go func() {
			for {
				client, err := listener.Accept()
				if err != nil {
					return
				}
				server, err := net.Dial("tcp", address)
				if err != nil {
					client.Close()
					continue
				}
				go func() {
					io.Copy(client, server)
					client.Close()
				}()
				go func() {
					defer client.Close()
					defer server.Close()
					n, _ := io.CopyN(server, client, afterBytes)
					if n < afterBytes {
						return
					}
					if interrupted.CompareAndSwap(false, true) {
						return
					}
					io.Copy(server, client)
				}()
			}
		}()
		return listener.Addr().String()
	}
}

// A snapshot whose transfer is interrupted is resumed and arrives complete.
func TestSnapshotResumesAfterInterruption(t *testing.T) {
	peers := newPeers(t, [2]string{"key", "key"}, newInterruptingProxy(t, 1<<20))
	waitUntilConnected(t, peers)
	snapshot := bytes.Repeat([]byte("snapshot"), 400_000)
	peers[0].Send(&node.Frame{To: "b", Kind: node.KindRaft, Body: snapshot, SnapshotTo: 2})
	testutil.WaitUntil(t, "the snapshot has arrived", func() bool { return peers[1].frameCount() == 1 })
	if got, want := peers[1].frames[0], describeFrame("a", node.KindRaft, snapshot); got != want {
		t.Errorf("snapshot: got %q, want %q", got, want)
	}
}
