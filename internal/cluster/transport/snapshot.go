package transport

import (
	"bufio"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"time"

	"dunemoor/internal/cluster/node"
)

// A snapshot has a connection of its own, so that it does not delay frames. The sender's first frame is a
// header, to which the receiver replies with 8 bytes: the offset to start from. The rest follows in chunks, one
// per frame, and the receiver confirms the whole snapshot with a byte of 1. If the transfer is interrupted, the
// next attempt starts from what has arrived.
const (
	chunkBytes       = 256 << 10
	maxSnapshotBytes = 256 << 20
	// maxPartialSnapshots and partialSnapshotTTL limit the number and age of interrupted snapshots that are
	// kept.
	maxPartialSnapshots = 4
	partialSnapshotTTL  = 2 * time.Minute
	snapshotAttempts    = 5
	kindSnapshotHeader  = 100
	kindSnapshotChunk   = 101
	snapshotConfirmed   = 1
)

// snapshotHeader describes a snapshot.
type snapshotHeader struct {
	Size   int    `json:"size"`
	SHA256 []byte `json:"sum"`
}

// partialSnapshot is what has arrived of an interrupted snapshot.
type partialSnapshot struct {
	data []byte
	at   time.Time
}

// sendSnapshot sends a snapshot, in several attempts if needed, and reports whether the receiver has confirmed
// it.
func (t *Transport) sendSnapshot(p *peerConn, f *node.Frame) bool {
	for i := range snapshotAttempts {
		err := t.sendSnapshotOnce(p, f)
		if err == nil {
			t.Counters.SnapshotsSent.Add(1)
			return true
		}
		slog.Info("snapshot not sent, retrying", "gateway", p.name, "bytes", len(f.Body), "attempt", i+1, "why", err.Error())
		select {
		case <-t.ctx.Done():
			return false
		case <-time.After(minRedialDelay << i):
		}
	}
	return false
}

func (t *Transport) sendSnapshotOnce(p *peerConn, f *node.Frame) error {
	conn, err := t.dialPeer(p, purposeSnapshot)
	if err != nil {
		return err
	}
	defer conn.Close()
	sum := sha256.Sum256(f.Body)
	header, err := json.Marshal(snapshotHeader{len(f.Body), sum[:]})
	if err != nil {
		return err
	}
	conn.SetDeadline(time.Now().Add(writeTimeout))
	if _, err := conn.Write(AppendFrame(nil, kindSnapshotHeader, header)); err != nil {
		return err
	}
	var offset [8]byte
	if _, err := io.ReadFull(conn, offset[:]); err != nil {
		return err
	}
	start := min(binary.LittleEndian.Uint64(offset[:]), uint64(len(f.Body)))
	for rest := f.Body[start:]; len(rest) > 0; {
		n := min(len(rest), chunkBytes)
		conn.SetDeadline(time.Now().Add(writeTimeout))
		if _, err := conn.Write(AppendFrame(nil, kindSnapshotChunk, rest[:n])); err != nil {
			return err
		}
		rest = rest[n:]
	}
	var confirmation [1]byte
	conn.SetDeadline(time.Now().Add(silenceTimeout))
	_, err = io.ReadFull(conn, confirmation[:])
	return err
}

// receiveSnapshot receives a snapshot.
func (t *Transport) receiveSnapshot(conn net.Conn, h *node.Hello) {
	in := bufio.NewReader(conn)
	conn.SetDeadline(time.Now().Add(silenceTimeout))
	header, ok := readSnapshotHeader(in)
	if !ok {
		t.Counters.FramesMalformed.Add(1)
		return
	}
	id := h.Name + string(header.SHA256)
	data := t.takePartial(id)
	if len(data) > header.Size {
		data = nil
	}
	if _, err := conn.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(data)))); err != nil {
		return
	}
	for len(data) < header.Size {
		conn.SetReadDeadline(time.Now().Add(silenceTimeout))
		kind, chunk, err := ReadFrame(in)
		if err != nil || kind != kindSnapshotChunk || len(data)+len(chunk) > header.Size {
			t.keepPartial(id, data)
			return
		}
		data = append(data, chunk...)
	}
	if sum := sha256.Sum256(data); string(sum[:]) != string(header.SHA256) {
		t.Counters.FramesMalformed.Add(1)
		return
	}
	t.handler.Receive(h.Name, node.KindRaft, data)
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	conn.Write([]byte{snapshotConfirmed})
}

func readSnapshotHeader(in *bufio.Reader) (h snapshotHeader, ok bool) {
	kind, body, err := ReadFrame(in)
	if err != nil || kind != kindSnapshotHeader || json.Unmarshal(body, &h) != nil {
		return h, false
	}
	return h, h.Size >= 0 && h.Size <= maxSnapshotBytes
}

// takePartial removes and returns what was kept of a snapshot.
func (t *Transport) takePartial(id string) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.partialSnapshots[id]
	delete(t.partialSnapshots, id)
	if p == nil {
		return nil
	}
	return p.data
}

// keepPartial keeps what has arrived of a snapshot for the next attempt, and removes old ones.
func (t *Transport) keepPartial(id string, data []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for other, p := range t.partialSnapshots {
		if time.Since(p.at) > partialSnapshotTTL || len(t.partialSnapshots) >= maxPartialSnapshots {
			delete(t.partialSnapshots, other)
		}
	}
	if len(data) > 0 {
		t.partialSnapshots[id] = &partialSnapshot{data, time.Now()}
	}
}
