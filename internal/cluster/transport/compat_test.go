package transport

import (
	"bufio"
	"bytes"
	"testing"

	"dunemoor/internal/cluster/node"
	"dunemoor/internal/cluster/relay"
	"dunemoor/internal/testutil/compat"
)

// Frames of all kinds keep their bytes, and are read back from a file of an earlier build.
func TestCompatFrames(t *testing.T) {
	kinds := []byte{
		kindKeepalive, byte(node.KindRaft), byte(node.KindMessage), byte(relay.KindRecord), byte(relay.KindJoin), byte(relay.KindJoinReply),
		byte(relay.KindHeartbeat), byte(relay.KindRoutes), kindSnapshotHeader, kindSnapshotChunk,
	}
	var b []byte
	for i, k := range kinds {
		b = AppendFrame(b, k, bytes.Repeat([]byte{byte(i)}, i))
	}
	compat.Bytes(t, "frames.bin", b)
	in := bufio.NewReader(bytes.NewReader(compat.Read(t, "frames.bin")))
	for i, wantKind := range kinds {
		kind, body, err := ReadFrame(in)
		if err != nil || kind != wantKind || len(body) != i {
			t.Errorf("frame %d: got kind %d, %d bytes, error %v, want kind %d, %d bytes, no error", i, kind, len(body), err, wantKind, i)
		}
	}
}

// The messages and the constants of the handshake keep their bytes.
func TestCompatHandshake(t *testing.T) {
	key, d, a := []byte("a key of 32 bytes for this test."), bytes.Repeat([]byte{1}, nonceSize), bytes.Repeat([]byte{2}, nonceSize)
	var b []byte
	for _, who := range []byte("ADB") {
		b = append(b, mac(key, who, d, a, []byte("text"))...)
	}
	compat.Bytes(t, "macs.bin", appendPrefixed(b, []byte("text")))
	compat.Values(t, "handshake.txt", magic, protocolVersion, nonceSize, macSize, purposeFrames, purposeSnapshot, purposeStream)
	compat.JSON(t, "word.json", &handshakeResult{})
	compat.JSON(t, "about.json", &snapshotHeader{})
}
