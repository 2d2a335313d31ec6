package relay

import "lynxspool/internal/cluster/member"

// Record is what one member says to another, or to All. From, Replica, Epoch and Seq are put on by
// the relay that holds the sender's stream: who receives keeps the highest of each sender, and
// drops what is not higher.
type Record struct {
	To, From            string
	Replica, Epoch, Seq uint64
	Kind                member.Kind
	Body                []byte
}

// AppendRecord appends a record.
func AppendRecord(dst []byte, r *Record) []byte { panic("to come") }

// ReadRecords reads a frame of records; each stands alone: how many could not be read is told. The
// bodies are parts of b.
func ReadRecords(b []byte, each func(*Record)) (bad int) { panic("to come") }
