package transport

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"dunemoor/internal/cluster/node"
	"dunemoor/internal/cluster/relay"
	"dunemoor/internal/testutil"
)

// A stream delivers frames in both directions and in order, large ones too, and ends on both sides when one
// side ends it.
func TestStreamCarriesFramesInOrderAndEndsOnBothSides(t *testing.T) {
	server, address := newRelay(t, "relay", "key")
	gateway := newGateway(t, "g1", "key")
	stream := gateway.Dial("relay", address, relay.KindJoin, []byte("join"))
	testutil.WaitUntil(t, "the relay replies", func() bool { return gateway.frameCount() == 1 })
	want := []string{joinReplyFrame}
	for i := range 200 {
		body := fmt.Appendf(nil, "n%03d", i)
		if i%50 == 49 {
			body = append(body, make([]byte, 700_000)...)
		}
		stream.Send(relay.KindRecord, body)
		want = append(want, describeFrame("relay", relay.KindRecord, body))
	}
	testutil.WaitUntil(t, "all frames have been echoed", func() bool { return gateway.frameCount() == len(want) })
	if got, _ := gateway.received(); !slices.Equal(got, want) {
		t.Errorf("frames of the gateway: got %q, want %q", got, want)
	}
	got, _ := server.received()
	if want := describeFrame("g1", relay.KindJoin, []byte("join")); got[0] != want {
		t.Errorf("first frame of the relay: got %q, want %q", got[0], want)
	}
	stream.Finish()
	testutil.WaitUntil(t, "both sides are notified of the end", func() bool { return gateway.endCount() == 1 && server.endCount() == 1 })
}

// If the connection is closed, hangs or is corrupted at any byte up to the relay's reply to the join, the
// stream ends once on the gateway, and no frame is accepted that the relay did not send.
func TestStreamEndsWhenDisturbedBeforeJoinReply(t *testing.T) {
	_, address := newRelay(t, "relay", "key")
	gateway := newGateway(t, "g1", "key")
	stream := gateway.Dial("relay", address, relay.KindJoin, []byte("join"))
	testutil.WaitUntil(t, "the relay replies", func() bool { return gateway.frameCount() == 1 })
	stream.Close()
	testutil.WaitUntil(t, "the stream ends", func() bool { return gateway.endCount() == 1 })

	const handshakeBytes = len(magic) + 1 + nonceSize + 2*macSize + 2 // size of the handshake without the hello
	const replyEnd = handshakeBytes + len(`{"hello":`) + frameHeaderBytes + len(joinReplyBody)
	for _, fault := range []proxyFault{faultClose, faultHang, faultCorrupt} {
		for at := 0; at < replyEnd; at += 7 {
			gateway := newGateway(t, "g1", "key")
			gateway.Dial("relay", newFaultyProxy(t, address, int64(at), fault), relay.KindJoin, []byte("join"))
			testutil.WaitUntil(t, fmt.Sprintf("%s at %d ends the stream", fault, at), func() bool { return gateway.endCount() == 1 })
			if got, _ := gateway.received(); len(got) > 0 && got[0] != joinReplyFrame {
				t.Errorf("%s at byte %d: got frames %q, want none or %q first", fault, at, got, joinReplyFrame)
			}
			gateway.Close()
		}
	}

	// After the handshake a frame with a corrupted byte ends the stream and is not accepted. The length of the
	// hello is not known here, so the loop ends when the corrupted byte is after everything that is sent.
	for at := handshakeBytes; ; at++ {
		gateway := newGateway(t, "g2", "key")
		gateway.Dial("relay", newFaultyProxy(t, address, int64(at), faultCorrupt), relay.KindJoin, []byte("join"))
		testutil.WaitUntil(t, "the stream ends or is accepted", func() bool { return gateway.endCount()+gateway.frameCount() > 0 })
		got, _ := gateway.received()
		malformed := gateway.Counters.FramesMalformed.Load()
		gateway.Close()
		if len(got) > 0 && got[0] != joinReplyFrame {
			t.Fatalf("corrupted at byte %d: got frames %q, want none or %q first", at, got, joinReplyFrame)
		}
		if len(got) > 0 {
			break
		}
		if at > 4096 || malformed > 1 {
			t.Fatalf("corrupted at byte %d: got no frame and %d malformed ones, want a frame by byte 4096 and 1 malformed at most", at, malformed)
		}
	}
}

// A relay ends the stream of a gateway that sends nothing within handshakeTimeout after the handshake.
func TestStreamEndsWhenGatewayIsSilentAfterHandshake(t *testing.T) {
	server, address := newRelay(t, "relay", "key")
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatalf("dial the relay: got %v, want no error", err)
	}
	defer conn.Close()
	hello := node.Hello{Fleet: "f", Format: node.FormatVersion, Name: "g1", ReplicaID: 1}
	_, err = handshakeDial(conn, []byte("key"), purposeStream, time.Now().Add(handshakeTimeout), func() node.Hello { return hello }, server.cfg.ValidateStream)
	if err != nil {
		t.Fatalf("handshakeDial: got %v, want no error", err)
	}
	testutil.WaitUntil(t, "the relay ends the stream", func() bool { return server.endCount() == 1 })
}

// A relay closes the stream of a gateway that reads nothing once too much is queued for it, so that the relay's
// memory is bounded.
func TestStreamOverrunClosesStalledGateway(t *testing.T) {
	server, address := newRelay(t, "relay", "key")
	stalled := newStallingProxy(t, address)
	gateway := newGateway(t, "g1", "key")
	gateway.Dial("relay", stalled, relay.KindJoin, []byte("join"))
	testutil.WaitUntil(t, "the relay has the stream", func() bool { return server.streamCount() == 1 })
	stream := server.streams[0]
	body := make([]byte, 32<<10)
	testutil.WaitUntil(t, "the queue exceeds its limit", func() bool {
		stream.Send(relay.KindRecord, body)
		stream.mu.Lock()
		defer stream.mu.Unlock()
		if stream.queueBytes < relay.MaxQueueBytes {
			return stream.err != nil
		}
		stream.writeBegan = stream.writeBegan.Add(-maxWriteStall) // simulates a write that has stalled for that time
		return true
	})
	stream.Send(relay.KindRecord, body)
	testutil.WaitUntil(t, "the stream is closed", func() bool { return server.endCount() == 1 })
	_, ends := server.received()
	if overrun := server.Counters.StreamsOverrun.Load(); !errors.Is(ends[0], ErrStreamOverrun) || overrun != 1 {
		t.Errorf("got end %v and %d streams counted as overrun, want %v and 1", ends[0], overrun, ErrStreamOverrun)
	}
}

// Streams are rejected if one side has another key, if the dialled gateway is not a relay or has another name,
// and if the relay does not accept the gateway. Each rejection is logged once, however often the gateway
// retries.
func TestStreamRejectsUnknownEndpointsAndLogsEachOnce(t *testing.T) {
	var logged logBuffer
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&logged, nil)))
	defer slog.SetDefault(previous)
	_, address := newRelay(t, "relay", "key")
	_, noRelayAddress := newListeningGateway(t, "no relay", "key")
	for _, tt := range []struct {
		name, key, relay, address string
		wantError, wantLog        string
	}{
		{"g1", "other", "relay", address, ErrWrongKey.Error(), "the other side does not know the fleet's key"},
		{"g2", "key", "no relay", noRelayAddress, "refused by it: no relay is not a relay", "stream to relay failed, retrying"},
		{"g3", "key", "relay2", address, "is relay", "stream to relay failed, retrying"},
		{"stranger", "key", "relay", address, "refused by it: it is a stranger", "why=\"refused: it is a stranger\""},
	} {
		gateway := newGateway(t, tt.name, tt.key)
		for i := range 3 {
			gateway.Dial(tt.relay, tt.address, relay.KindJoin, []byte("join"))
			testutil.WaitUntil(t, tt.name+" is rejected", func() bool { return gateway.endCount() == i+1 })
		}
		if got, ends := gateway.received(); len(got) > 0 || !strings.Contains(ends[0].Error(), tt.wantError) {
			t.Errorf("%s: got frames %q and ends %v, want no frame and %q", tt.name, got, ends, tt.wantError)
		}
		testutil.WaitUntil(t, tt.wantLog+" is logged for "+tt.name, func() bool { return logged.count(tt.wantLog) > 0 })
		gateway.Close()
	}
	// In the first and third case the gateway closes the connection and logs one line. In the other cases both
	// sides log one.
	const wantLines = 6
	testutil.WaitUntil(t, "all is logged", func() bool { return logged.count("") >= wantLines })
	if got := logged.count(""); got > wantLines {
		t.Errorf("log lines: got %d, want %d:\n%s", got, wantLines, logged.text())
	}
}
