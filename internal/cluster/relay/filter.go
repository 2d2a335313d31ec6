package relay

import "dunemoor/internal/cluster/failpoint"

// Incarnation identifies a stream of a disk. The epochs of a disk only increase.
type Incarnation struct{ ReplicaID, Epoch uint64 }

// incarnations holds the latest known streams of a sender: the current one, and the last stream of the disk
// that the sender had before under the same name.
type incarnations struct{ current, previous Incarnation }

// accept reports whether data of stream x is accepted. later reports that x is newer than the current stream,
// which x then replaces.
func (s *incarnations) accept(x Incarnation) (later, ok bool) {
	switch {
	case x == s.current:
		return false, true
	case x.ReplicaID == s.current.ReplicaID:
		if x.Epoch < s.current.Epoch {
			return false, failpoint.Enabled(failpoint.AcceptStaleStream)
		}
		s.current = x
		return true, true
	case x.ReplicaID == s.previous.ReplicaID && x.Epoch <= s.previous.Epoch && s.previous.Epoch > 0:
		return false, failpoint.Enabled(failpoint.AcceptStaleStream)
	}
	if s.current.Epoch > 0 {
		s.previous = s.current
	}
	s.current = x
	return true, true
}

// maxSenders is the maximum number of senders in a sequenceFilter: all members that a fleet may have, and its
// relays.
const maxSenders = 8192

// sequenceFilter accepts each record at most once, and none that is older than the last one of its sender.
type sequenceFilter map[string]*senderState

type senderState struct {
	incarnations
	seq uint64 // sequence number of the last record accepted in the current incarnation
}

// accept reports whether a record is accepted.
func (f sequenceFilter) accept(r *Record) bool {
	s := f[r.From]
	if s == nil {
		s = &senderState{}
		f.add(r.From, s)
	}
	later, ok := s.incarnations.accept(Incarnation{r.ReplicaID, r.Epoch})
	switch {
	case !ok:
		return false
	case later || r.Seq > s.seq:
		s.seq = r.Seq
		return true
	}
	return failpoint.Enabled(failpoint.AcceptStaleStream)
}

// add adds a sender. If there are too many, it removes an arbitrary one first.
func (f sequenceFilter) add(name string, s *senderState) {
	if len(f) >= maxSenders {
		for other := range f {
			delete(f, other)
			break
		}
	}
	f[name] = s
}
