package peer

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

// A snapshot goes on a connection of its own, beside the frames and never before them: a first
// frame says what it is, the taker answers with 8 bytes of where to go on from, pieces follow as
// frames, and a byte of 1 says that it has come whole. One that breaks off goes on from there.
const (
	pieceBytes   = 256 << 10
	snapshotMost = 256 << 20
	// partsMost and partTime bound what is kept of snapshots that broke off.
	partsMost = 4
	partTime  = 2 * time.Minute
	tries     = 5
	kindHead  = 100
	kindPiece = 101
)

type about struct {
	Size int    `json:"size"`
	Sum  []byte `json:"sum"` // SHA-256
}

// part is what has come of a snapshot.
type part struct {
	b  []byte
	at time.Time
}

// sendSnapshot sends one, in several tries where it must be, and says whether it came whole.
func (c *Carrier) sendSnapshot(l *link, s *node.Frame) bool {
	for i := range tries {
		err := c.trySnapshot(l, s)
		if err == nil {
			c.Counts.Snapshots.Add(1)
			return true
		}
		slog.Info("a snapshot was not sent", "gateway", l.name, "bytes", len(s.Body), "try", i+1, "why", err.Error())
		select {
		case <-c.ctx.Done():
			return false
		case <-time.After(redialLeast << i):
		}
	}
	return false
}

func (c *Carrier) trySnapshot(l *link, s *node.Frame) error {
	conn, err := c.open(l, purposeSnapshot)
	if err != nil {
		return err
	}
	defer conn.Close()
	sum := sha256.Sum256(s.Body)
	head, err := json.Marshal(about{len(s.Body), sum[:]})
	if err != nil {
		return err
	}
	conn.SetDeadline(time.Now().Add(writeTime))
	if _, err := conn.Write(AppendFrame(nil, kindHead, head)); err != nil {
		return err
	}
	var from [8]byte
	if _, err := io.ReadFull(conn, from[:]); err != nil {
		return err
	}
	at := binary.LittleEndian.Uint64(from[:])
	for rest := s.Body[min(at, uint64(len(s.Body))):]; len(rest) > 0; {
		n := min(len(rest), pieceBytes)
		conn.SetDeadline(time.Now().Add(writeTime))
		if _, err := conn.Write(AppendFrame(nil, kindPiece, rest[:n])); err != nil {
			return err
		}
		rest = rest[n:]
	}
	var done [1]byte
	conn.SetDeadline(time.Now().Add(silentMost))
	_, err = io.ReadFull(conn, done[:])
	return err
}

// takeSnapshot takes one.
func (c *Carrier) takeSnapshot(conn net.Conn, h *node.Hello) {
	in := bufio.NewReader(conn)
	conn.SetDeadline(time.Now().Add(silentMost))
	kind, head, err := ReadFrame(in)
	var a about
	if err != nil || kind != kindHead || json.Unmarshal(head, &a) != nil || a.Size < 0 || a.Size > snapshotMost {
		c.Counts.Garbled.Add(1)
		return
	}
	id := h.Name + string(a.Sum)
	b := c.resume(id)
	if len(b) > a.Size {
		b = nil
	}
	if _, err := conn.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(b)))); err != nil {
		return
	}
	for len(b) < a.Size {
		conn.SetReadDeadline(time.Now().Add(silentMost))
		kind, piece, err := ReadFrame(in)
		if err != nil || kind != kindPiece || len(b)+len(piece) > a.Size {
			c.keepPart(id, b)
			return
		}
		b = append(b, piece...)
	}
	if sum := sha256.Sum256(b); string(sum[:]) != string(a.Sum) {
		c.Counts.Garbled.Add(1)
		return
	}
	c.to.Receive(h.Name, node.KindRaft, b)
	conn.SetWriteDeadline(time.Now().Add(writeTime))
	conn.Write([]byte{1})
}

func (c *Carrier) resume(id string) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.saved[id]
	delete(c.saved, id)
	if p == nil {
		return nil
	}
	return p.b
}

// keepPart keeps what has come of a snapshot for a while, of few.
func (c *Carrier) keepPart(id string, b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, p := range c.saved {
		if time.Since(p.at) > partTime || len(c.saved) >= partsMost {
			delete(c.saved, k)
		}
	}
	if len(b) > 0 {
		c.saved[id] = &part{b, time.Now()}
	}
}
