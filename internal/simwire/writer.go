package simwire

import (
	"bufio"
	"encoding/binary"
	"io"

	"dunemoor/balancer"
)

// replyHeaderSize is the size in bytes of a reply's length and its number of records.
const replyHeaderSize = 8

// Writer collects the actions of one batch and writes them as one reply.
type Writer struct {
	out   *bufio.Writer
	reply []byte // begins with space for the header, which Flush sets
	count uint32 // number of records in reply
}

// NewWriter returns a Writer to out.
func NewWriter(out io.Writer) *Writer {
	return &Writer{
		out:   bufio.NewWriterSize(out, ioBufferSize),
		reply: make([]byte, replyHeaderSize, 1<<12),
	}
}

// Flush writes the reply to the current batch and begins the next one. It returns the error of the
// underlying writer.
func (w *Writer) Flush() error {
	binary.LittleEndian.PutUint32(w.reply, uint32(len(w.reply)-lengthSize))
	binary.LittleEndian.PutUint32(w.reply[lengthSize:], w.count)
	w.out.Write(w.reply) // a bufio.Writer keeps its error, and Flush returns it
	w.reply = w.reply[:replyHeaderSize]
	w.count = 0
	return w.out.Flush()
}

// Action adds an action of an instance.
func (w *Writer) Action(instance uint32, a *balancer.Action) {
	switch a.Kind {
	case balancer.Send:
		w.record(actionSend, instance, requestIDSize+hostSize+timeSize)
		w.uint32(uint32(a.Request))
		w.host(a.Host)
		w.uint64(0) // the time at which the attempt is abandoned; 0: at the client's deadline
	case balancer.Cancel:
		w.record(actionCancel, instance, requestIDSize+attemptSize)
		w.uint32(uint32(a.Request))
		w.uint16(uint16(a.Attempt))
	case balancer.Reject:
		w.record(actionReject, instance, requestIDSize+durationSize)
		w.uint32(uint32(a.Request))
		w.uint32(uint32(a.RetryAfter / timeUnit))
	case balancer.Fail:
		w.record(actionFail, instance, requestIDSize)
		w.uint32(uint32(a.Request))
	case balancer.Wake:
		w.record(actionWake, instance, timeSize+tokenSize)
		w.uint64(uint64((a.At + timeUnit - 1) / timeUnit)) // rounded up: a timer must not fire early
		w.uint64(a.Token)
	case balancer.Close:
		w.record(actionClose, instance, hostSize)
		w.host(a.Host)
	case balancer.Poll:
		w.record(actionPoll, instance, 1)
		w.reply = append(w.reply, pollOn)
	case balancer.Log:
		w.text(actionLog, instance, a.Text)
	}
}

// Crash reports that an instance can't continue; text is the reason, of which the first 1,024 bytes are sent.
func (w *Writer) Crash(instance uint32, text string) { w.text(actionCrash, instance, text) }

func (w *Writer) text(code byte, instance uint32, text string) {
	text = text[:min(len(text), maxTextSize)]
	w.record(code, instance, textLengthSize+len(text))
	w.uint16(uint16(len(text)))
	w.reply = append(w.reply, text...)
}

// record begins a record; size is the size of the fields after the instance, in bytes.
func (w *Writer) record(code byte, instance uint32, size int) {
	const instanceSize = 4
	w.count++
	w.reply = append(w.reply, code)
	w.uint32(uint32(instanceSize + size))
	w.uint32(instance)
}

// host writes the address and the port that a HostID consists of.
func (w *Writer) host(id balancer.HostID) {
	w.uint32(uint32(id))
	w.uint16(uint16(id >> 32))
}

func (w *Writer) uint16(v uint16) { w.reply = binary.LittleEndian.AppendUint16(w.reply, v) }
func (w *Writer) uint32(v uint32) { w.reply = binary.LittleEndian.AppendUint32(w.reply, v) }
func (w *Writer) uint64(v uint64) { w.reply = binary.LittleEndian.AppendUint64(w.reply, v) }
