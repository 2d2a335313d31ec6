package relay

import (
	"encoding/binary"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/cluster/node"
)

// Record is what one member says to another, or to All. From, Replica, Epoch and Seq are put on by
// the relay that holds the sender's stream: who receives keeps the highest of each sender, and
// drops what is not higher.
type Record struct {
	To, From            string // To is empty on the stream of who it is for
	Replica, Epoch, Seq uint64 // they come with From
	Kind                node.Kind
	Body                []byte
}

// AppendRecord appends a record: its length, and then its kind, the names with their lengths, where
// it has a sender that one's numbers, and the body. Lengths and Seq are varints, the other numbers
// 8 bytes little-endian.
func AppendRecord(dst []byte, r *Record) []byte {
	var head [2*NameMost + 64]byte
	h := append(head[:0], byte(r.Kind))
	h = appendName(appendName(h, r.To), r.From)
	if r.From != "" {
		h = binary.LittleEndian.AppendUint64(h, r.Replica)
		h = binary.LittleEndian.AppendUint64(h, r.Epoch)
		h = binary.AppendUvarint(h, r.Seq)
	}
	dst = binary.AppendUvarint(dst, uint64(len(h)+len(r.Body)))
	return append(append(dst, h...), r.Body...)
}

func appendName(dst []byte, name string) []byte {
	return append(binary.AppendUvarint(dst, uint64(len(name))), name...)
}

// ReadRecords reads a frame of records; each stands alone: how many could not be read is told. The
// bodies are parts of b.
func ReadRecords(b []byte, each func(*Record)) (bad int) {
	for len(b) > 0 {
		n, w := binary.Uvarint(b)
		if w <= 0 || n > uint64(len(b)-w) {
			return bad + 1 // where the next begins is not known
		}
		r, ok := readRecord(b[w : w+int(n)])
		b = b[w+int(n):]
		if !ok {
			bad++
			if failpoint.Enabled(failpoint.DropRestOfBatch) {
				return bad
			}
			continue
		}
		each(&r)
	}
	return bad
}

func readRecord(b []byte) (r Record, ok bool) {
	if len(b) == 0 {
		return r, false
	}
	r.Kind, b = node.Kind(b[0]), b[1:]
	if r.To, b, ok = readName(b); !ok {
		return r, false
	}
	if r.From, b, ok = readName(b); !ok {
		return r, false
	}
	if r.From != "" {
		if len(b) < 17 {
			return r, false
		}
		r.Replica, r.Epoch, b = binary.LittleEndian.Uint64(b), binary.LittleEndian.Uint64(b[8:]), b[16:]
		seq, w := binary.Uvarint(b)
		if w <= 0 {
			return r, false
		}
		r.Seq, b = seq, b[w:]
	}
	r.Body = b
	// Only what members say goes by relays, and nothing that no frame takes.
	return r, r.Kind == node.KindMessage && len(b) <= RecordMost
}

func readName(b []byte) (name string, rest []byte, ok bool) {
	n, w := binary.Uvarint(b)
	if w <= 0 || n > NameMost || n > uint64(len(b)-w) {
		return "", nil, false
	}
	return string(b[w : w+int(n)]), b[w+int(n):], true
}

// life is one stream of one disk.
type life struct{ replica, epoch uint64 }

// sender is what is known of a sender's streams: the last, and the last of the disk that it had
// before under the same name.
type sender struct{ now, before life }

// takes says whether a word that came by a stream counts, and takes note of it where it is a later
// one; later says that it is.
func (s *sender) takes(x life) (later, ok bool) {
	switch {
	case x == s.now:
		return false, true
	case x.replica == s.now.replica:
		if x.epoch < s.now.epoch {
			return false, failpoint.Enabled(failpoint.AcceptStaleStream)
		}
		s.now = x
		return true, true
	case x.replica == s.before.replica && x.epoch <= s.before.epoch && s.before.epoch > 0:
		return false, failpoint.Enabled(failpoint.AcceptStaleStream)
	}
	if s.now.epoch > 0 {
		s.before = s.now
	}
	s.now = x
	return true, true
}

// marks is how far a receiver has taken the words of each sender.
type marks map[string]*mark

type mark struct {
	sender
	seq uint64
}

// marksMost bounds the senders that are known: all members that a fleet may have, and their relays.
const marksMost = 8192

// take says whether a record is taken: nothing of an earlier stream or number than before is.
func (m marks) take(r *Record) bool {
	k := m[r.From]
	if k == nil {
		if len(m) >= marksMost {
			for name := range m {
				delete(m, name)
				break
			}
		}
		k = &mark{}
		m[r.From] = k
	}
	later, ok := k.takes(life{r.Replica, r.Epoch})
	switch {
	case !ok:
		return false
	case later || r.Seq > k.seq:
		k.seq = r.Seq
		return true
	}
	return failpoint.Enabled(failpoint.AcceptStaleStream)
}
