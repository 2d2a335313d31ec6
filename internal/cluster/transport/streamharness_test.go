package transport

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"dunemoor/internal/cluster/node"
	"dunemoor/internal/cluster/relay"
	"dunemoor/internal/testutil"
)

// joinReplyBody is the body of a relay's reply to a join.
const joinReplyBody = "taken"

// joinReplyFrame describes the reply of the relay named relay to a join.
var joinReplyFrame = describeFrame("relay", relay.KindJoinReply, []byte(joinReplyBody))

// streamEndpoint is a relay or a gateway that records the events of its streams. A relay replies to a join, and
// echoes all other frames.
type streamEndpoint struct {
	*Transport
	isRelay bool

	mu      sync.Mutex
	streams []*Stream
	frames  []string // received frames, as describeFrame returns them
	ends    []error
}

func (e *streamEndpoint) ReceiveHello(node.Hello)           {}
func (e *streamEndpoint) Receive(string, node.Kind, []byte) {}
func (e *streamEndpoint) Unreachable(string)                {}
func (e *streamEndpoint) SnapshotSent(uint64, bool)         {}

func (e *streamEndpoint) StreamFrame(stream *Stream, kind node.Kind, body []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frames = append(e.frames, describeFrame(stream.Name, kind, body))
	switch {
	case !e.isRelay:
	case kind == relay.KindJoin:
		e.streams = append(e.streams, stream)
		stream.Send(relay.KindJoinReply, []byte(joinReplyBody))
	default:
		stream.Send(kind, body)
	}
}

func (e *streamEndpoint) StreamEnded(_ *Stream, reason error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ends = append(e.ends, reason)
}

// received returns the frames that have arrived, and the errors of the streams that have ended.
func (e *streamEndpoint) received() (frames []string, ends []error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append(frames, e.frames...), append(ends, e.ends...)
}

func (e *streamEndpoint) frameCount() int {
	frames, _ := e.received()
	return len(frames)
}

func (e *streamEndpoint) endCount() int {
	_, ends := e.received()
	return len(ends)
}

func (e *streamEndpoint) streamCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.streams)
}

// newRelay returns a relay, which rejects a gateway named stranger, and its address.
func newRelay(t *testing.T, name, key string) (e *streamEndpoint, address string) {
	t.Helper()
	listener := testutil.Listen(t, "127.0.0.1:0", nil)
	return startStreamEndpoint(t, name, key, listener, true), listener.Addr().String()
}

// newGateway returns a gateway that does not listen.
func newGateway(t *testing.T, name, key string) *streamEndpoint {
	t.Helper()
	return startStreamEndpoint(t, name, key, nil, false)
}

// newListeningGateway returns a gateway that listens but accepts no streams, and its address.
func newListeningGateway(t *testing.T, name, key string) (e *streamEndpoint, address string) {
	t.Helper()
	listener := testutil.Listen(t, "127.0.0.1:0", nil)
	return startStreamEndpoint(t, name, key, listener, false), listener.Addr().String()
}

func startStreamEndpoint(t *testing.T, name, key string, listener net.Listener, isRelay bool) *streamEndpoint {
	t.Helper()
	e := &streamEndpoint{isRelay: isRelay}
	hello := node.Hello{Fleet: "f", Format: node.FormatVersion, Name: name, ReplicaID: uint64(len(name)) + uint64(name[len(name)-1])}
	e.Transport = New(Config{
		Name: name, Key: []byte(key), Hello: func() node.Hello { return hello }, Validate: func(*node.Hello) error { return errors.New("it is for streams only") },
		StreamHandler: e, AcceptStreams: isRelay, ValidateStream: func(h *node.Hello) error {
			if h.Name == "stranger" {
				return errors.New("it is a stranger")
			}
			return nil
		},
	}, listener, e)
	t.Cleanup(e.Close)
	e.Start()
	return e
}

// proxyFault is a fault that a proxy causes on a connection.
type proxyFault string

const (
	faultClose   proxyFault = "close"
	faultHang    proxyFault = "hang"
	faultCorrupt proxyFault = "corrupt" // changes one bit, and forwards the rest
)

// newFaultyProxy returns the address of a proxy to a relay, which causes a fault at one byte of the relay's
// data.
func newFaultyProxy(t *testing.T, relayAddress string, at int64, fault proxyFault) string {
	listener := testutil.Listen(t, "127.0.0.1:0", nil)
	testEnd := make(chan struct{})
	t.Cleanup(func() {
		listener.Close()
		close(testEnd)
	})
	go func() {
		for {
			gatewayConn, err := listener.Accept()
			if err != nil {
				return
			}
			relayConn, err := net.Dial("tcp", relayAddress)
			if err != nil {
				gatewayConn.Close()
				continue
			}
			go func() {
				io.Copy(relayConn, gatewayConn)
				relayConn.Close()
			}()
			go func() {
				defer gatewayConn.Close()
				forwardWithFault(gatewayConn, relayConn, at, fault, testEnd)
			}()
		}
	}()
	return listener.Addr().String()
}

// forwardWithFault forwards a relay's data and causes a fault at one byte. A connection that hangs does so
// until testEnd is closed.
func forwardWithFault(gatewayConn, relayConn net.Conn, at int64, fault proxyFault, testEnd <-chan struct{}) {
	if _, err := io.CopyN(gatewayConn, relayConn, at); err != nil {
		return
	}
	var b [1]byte
	if _, err := io.ReadFull(relayConn, b[:]); err != nil {
		return
	}
	switch fault {
	case faultClose:
		relayConn.Close()
	case faultHang:
		<-testEnd
	case faultCorrupt:
		b[0] ^= 0x20
		gatewayConn.Write(b[:])
		io.Copy(gatewayConn, relayConn)
	}
}

// newStallingProxy returns the address of a proxy for one connection to a relay. It forwards data up to the
// reply to the join, and reads nothing more until the test ends.
func newStallingProxy(t *testing.T, relayAddress string) string {
	listener := testutil.Listen(t, "127.0.0.1:0", nil)
	testEnd := make(chan struct{})
	t.Cleanup(func() {
		listener.Close()
		close(testEnd)
	})
	go func() {
		gatewayConn, err := listener.Accept()
		if err != nil {
			return
		}
		defer gatewayConn.Close()
		relayConn, err := net.Dial("tcp", relayAddress)
		if err != nil {
			return
		}
		defer relayConn.Close()
		go func() { io.Copy(relayConn, gatewayConn) }()
		b := make([]byte, 4096)
		for {
			n, err := relayConn.Read(b)
			if err != nil {
				return
			}
			gatewayConn.Write(b[:n])
			if bytes.Contains(b[:n], []byte(joinReplyBody)) {
				break
			}
		}
		<-testEnd
	}()
	return listener.Addr().String()
}

// logBuffer collects log lines.
type logBuffer struct {
	mu  sync.Mutex
	all bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.Write(b)
}

func (l *logBuffer) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.String()
}

// count returns how many lines contain a text.
func (l *logBuffer) count(text string) (n int) {
	for _, line := range strings.Split(strings.TrimSpace(l.text()), "\n") {
		if line != "" && strings.Contains(line, text) {
			n++
		}
	}
	return n
}
