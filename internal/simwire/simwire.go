// Package simwire translates between the simulator's binary frames and the
// events and actions of package balancer. It decides nothing.
package simwire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"time"

	"dunemoor/balancer"
)

// Codes of events.
const (
	Hello      = 0
	PeersKnown = 1
	Req        = 2
	Flowing    = 3
	AttemptEnd = 4
	Withdrawn  = 5
	Ring       = 6
	StatusBack = 7
	FromPeer   = 8
	Halt       = 9
)

// Codes of actions.
const (
	callOut  = 64
	busy     = 65
	fail     = 66
	withdraw = 67
	wakeAt   = 68
	letGo    = 70
	writeLog = 72
	crash    = 73
	tail     = 74
)

const (
	batchHeader  = 12 // bytes of a batch's header behind its length
	recordHeader = 5
	entrySize    = 24
	maxFrame     = 1 << 30
	maxText      = 1 << 10
)

// unit is the unit of all times on the wire.
const unit = time.Microsecond

// flagRepeat is the bit of a request's flags that marks a client's repeat.
const flagRepeat = 2

// Event is one decoded record. Only the fields of its code are set.
type Event struct {
	Code     byte
	Instance uint32

	Seed     uint64 // Hello
	Settings []byte // Hello; valid until the next batch

	List  balancer.ListKind // PeersKnown
	Hosts []balancer.Host   // PeersKnown; valid until the next event

	Request balancer.Request // Req; its ID also in Withdrawn and Flowing
	Attempt int              // Flowing
	Outcome balancer.Outcome // AttemptEnd
	Token   uint64           // Ring
}

// Reader reads batches and the events in them.
type Reader struct {
	in    *bufio.Reader
	frame bytes.Buffer
	data  []byte // the frame behind its length field
	pos   int    // of the next record in data
	base  int64  // of the frame in the input
	next  int64  // of the frame after it
	left  uint32 // records still to come
	hosts []balancer.Host
}

// NewReader returns a Reader of in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<16)}
}

// Batch reads the next batch and returns its clock, or io.EOF when the input
// has ended between batches.
func (r *Reader) Batch() (balancer.Time, error) {
	var head [4]byte
	r.base = r.next
	if n, err := io.ReadFull(r.in, head[:]); err == io.EOF {
		return 0, io.EOF
	} else if err != nil {
		return 0, r.errorf(n-4, "input ends inside the length of a frame")
	}
	n := binary.LittleEndian.Uint32(head[:])
	if n < batchHeader || n > maxFrame {
		return 0, r.errorf(-4, "frame length %d is not between %d and %d", n, batchHeader, maxFrame)
	}
	r.next = r.base + 4 + int64(n)
	r.frame.Reset() // grows with what arrives, not with what the length claims
	if got, err := io.CopyN(&r.frame, r.in, int64(n)); err != nil {
		return 0, r.errorf(int(got), "input ends inside a frame of %d bytes", n)
	}
	r.data = r.frame.Bytes()
	clock := binary.LittleEndian.Uint64(r.data)
	if clock > math.MaxInt64/uint64(unit) {
		return 0, r.errorf(0, "clock %d is out of range", clock)
	}
	r.left, r.pos = binary.LittleEndian.Uint32(r.data[8:]), batchHeader
	return balancer.Time(clock) * unit, nil
}

// Next decodes the next event of the batch into e and says whether there was
// one.
func (r *Reader) Next(e *Event) (bool, error) {
	if r.left == 0 {
		if r.pos != len(r.data) {
			return false, r.errorf(r.pos, "%d bytes behind the last record", len(r.data)-r.pos)
		}
		return false, nil
	}
	if len(r.data)-r.pos < recordHeader {
		return false, r.errorf(r.pos, "record header is cut off")
	}
	size := binary.LittleEndian.Uint32(r.data[r.pos+1:])
	if uint64(size) > uint64(len(r.data)-r.pos-recordHeader) {
		return false, r.errorf(r.pos, "record of %d bytes reaches past the frame", size)
	}
	start := r.pos
	end := start + recordHeader + int(size)
	f := fields{data: r.data[start+recordHeader : end]}
	r.pos, r.left = end, r.left-1
	*e = Event{Code: r.data[start], Instance: f.u32()}
	if err := r.decode(e, &f); err != nil {
		return false, r.errorf(start, "%v", err)
	}
	if f.short {
		return false, r.errorf(start, "record of code %d is too short", e.Code)
	}
	if len(f.data) > 0 {
		return false, r.errorf(start, "record of code %d has %d bytes too many", e.Code, len(f.data))
	}
	return true, nil
}

// errorf places an error in the input; pos counts from behind the frame's length.
func (r *Reader) errorf(pos int, format string, args ...any) error {
	return fmt.Errorf("at byte %d: %s", r.base+4+int64(pos), fmt.Sprintf(format, args...))
}

func (r *Reader) decode(e *Event, f *fields) error {
	switch e.Code {
	case Hello:
		e.Seed = f.u64()
		e.Settings = f.bytes(uint64(f.u32()))
	case PeersKnown:
		return r.decodeList(e, f)
	case Req:
		e.Request.ID = balancer.RequestID(f.u32())
		e.Request.Class = int(f.u8())
		e.Request.Tenant = int(f.u16())
		f.u32() // expected work
		e.Request.Remaining = f.time()
		f.u64() // routing key
		e.Request.Duplicate = f.u8()&flagRepeat != 0
	case Flowing:
		e.Request.ID = balancer.RequestID(f.u32())
		e.Attempt = int(f.u16())
		f.host()
		f.time()
	case AttemptEnd:
		e.Outcome.Request = balancer.RequestID(f.u32())
		e.Outcome.Attempt = int(f.u16())
		f.host()
		code := f.u16()
		e.Outcome.Elapsed = f.time()
		e.Outcome.Closed = f.u8() != 0
		f.bytes(4 * uint64(f.u8()))
		var ok bool
		if e.Outcome.Result, ok = results[code]; !ok && !f.short {
			return fmt.Errorf("unknown outcome %d", code)
		}
	case Withdrawn:
		e.Request.ID = balancer.RequestID(f.u32())
	case Ring:
		e.Token = f.u64()
	case StatusBack:
		f.u16()
		f.time()
		f.host()
		f.bytes(4 * uint64(f.u8()))
	case FromPeer:
		f.u16()
		f.bytes(uint64(f.u16()))
	case Halt:
	default:
		return fmt.Errorf("unknown event code %d", e.Code)
	}
	return nil
}

func (r *Reader) decodeList(e *Event, f *fields) error {
	mode := f.u8()
	f.u64() // version
	n := f.u32()
	if f.short {
		return nil
	}
	switch mode {
	case 0:
		e.List = balancer.ListFailed
	case 1:
		e.List = balancer.ListFull
	case 3:
		e.List = balancer.ListSaved
	case 4:
		e.List = balancer.ListChanges
	default:
		return fmt.Errorf("unknown list mode %d", mode)
	}
	if uint64(n)*entrySize != uint64(len(f.data)) {
		return fmt.Errorf("list of %d entries has %d bytes", n, len(f.data))
	}
	r.hosts = r.hosts[:0]
	for range n {
		start := f.u64()
		if start > math.MaxInt64/uint64(unit) {
			return fmt.Errorf("start time %d is out of range", start)
		}
		h := balancer.Host{Started: balancer.Time(start) * unit, Kind: int(f.u8())}
		h.ID = f.host()
		h.Zone, h.Cell = int(f.u16()), int(f.u16())
		switch state := f.u8(); state {
		case 3:
			h.State = balancer.Ready
		case 0:
			h.State = balancer.Draining
		case 2:
			h.State = balancer.Removed
		default:
			return fmt.Errorf("unknown host state %d", state)
		}
		f.u32() // weight
		r.hosts = append(r.hosts, h)
	}
	e.Hosts = r.hosts
	return nil
}

var results = map[uint16]balancer.Result{
	100: balancer.OK,
	301: balancer.Failed,
	302: balancer.Full,
	303: balancer.TimedOut,
	304: balancer.ConnectFailed,
	305: balancer.Reset,
	306: balancer.Canceled,
	307: balancer.NotSent,
}

// fields reads little-endian fields; once one is missing, short is set and all
// further ones are zero.
type fields struct {
	data  []byte
	short bool
}

func (f *fields) bytes(n uint64) []byte {
	if uint64(len(f.data)) < n {
		f.short, f.data = true, nil
		return nil
	}
	v := f.data[:n]
	f.data = f.data[n:]
	return v
}

func (f *fields) u8() uint8 {
	if v := f.bytes(1); v != nil {
		return v[0]
	}
	return 0
}

func (f *fields) u16() uint16 {
	if v := f.bytes(2); v != nil {
		return binary.LittleEndian.Uint16(v)
	}
	return 0
}

func (f *fields) u32() uint32 {
	if v := f.bytes(4); v != nil {
		return binary.LittleEndian.Uint32(v)
	}
	return 0
}

func (f *fields) u64() uint64 {
	if v := f.bytes(8); v != nil {
		return binary.LittleEndian.Uint64(v)
	}
	return 0
}

func (f *fields) time() time.Duration { return time.Duration(f.u32()) * unit }

// host packs the four address bytes and the port into one number.
func (f *fields) host() balancer.HostID {
	addr := f.u32()
	return balancer.HostID(addr) | balancer.HostID(f.u16())<<32
}

// Writer collects the actions of one batch and writes them as one reply.
type Writer struct {
	out   *bufio.Writer
	buf   []byte
	count uint32
}

// NewWriter returns a Writer to out.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: bufio.NewWriterSize(out, 1<<16), buf: make([]byte, 8, 1<<12)}
}

// Flush sends the reply to the batch.
func (w *Writer) Flush() error {
	binary.LittleEndian.PutUint32(w.buf, uint32(len(w.buf)-4))
	binary.LittleEndian.PutUint32(w.buf[4:], w.count)
	w.out.Write(w.buf) // an error sticks and is returned by Flush
	w.buf, w.count = w.buf[:8], 0
	return w.out.Flush()
}

// Action adds an action of an instance.
func (w *Writer) Action(instance uint32, a *balancer.Action) {
	switch a.Kind {
	case balancer.Send:
		w.record(callOut, instance, 22)
		w.u32(uint32(a.Request))
		w.u32(uint32(a.Host))
		w.u16(uint16(a.Host >> 32))
		w.u64(0) // it is given up at the client's deadline, and goes out at once
	case balancer.Cancel:
		w.record(withdraw, instance, 10)
		w.u32(uint32(a.Request))
		w.u16(uint16(a.Attempt))
	case balancer.Reject:
		w.record(busy, instance, 12)
		w.u32(uint32(a.Request))
		w.u32(uint32(a.RetryAfter / unit))
	case balancer.Fail:
		w.record(fail, instance, 8)
		w.u32(uint32(a.Request))
	case balancer.Wake:
		w.record(wakeAt, instance, 20)
		w.u64(uint64((a.At + unit - 1) / unit))
		w.u64(a.Token)
	case balancer.Close:
		w.record(letGo, instance, 10)
		w.u32(uint32(a.Host))
		w.u16(uint16(a.Host >> 32))
	case balancer.Poll:
		w.record(tail, instance, 5)
		w.buf = append(w.buf, 1)
	case balancer.Log:
		w.text(writeLog, instance, a.Text)
	}
}

// Crash reports that an instance cannot go on.
func (w *Writer) Crash(instance uint32, text string) { w.text(crash, instance, text) }

func (w *Writer) text(code byte, instance uint32, text string) {
	text = text[:min(len(text), maxText)]
	w.record(code, instance, 6+len(text))
	w.u16(uint16(len(text)))
	w.buf = append(w.buf, text...)
}

func (w *Writer) record(code byte, instance uint32, size int) {
	w.count++
	w.buf = append(w.buf, code)
	w.u32(uint32(size))
	w.u32(instance)
}

func (w *Writer) u16(v uint16) { w.buf = binary.LittleEndian.AppendUint16(w.buf, v) }
func (w *Writer) u32(v uint32) { w.buf = binary.LittleEndian.AppendUint32(w.buf, v) }
func (w *Writer) u64(v uint64) { w.buf = binary.LittleEndian.AppendUint64(w.buf, v) }
