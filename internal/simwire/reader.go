package simwire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math"

	"dunemoor/balancer"
)

// Reader reads batches and their events: Batch reads a batch, and Next decodes its events until it returns false.
type Reader struct {
	in        *bufio.Reader
	frame     bytes.Buffer
	data      []byte // the frame after its length
	position  int    // position of the next record in data
	offset    int64  // offset of the frame in the input, in bytes
	next      int64  // offset of the next frame in the input, in bytes
	remaining uint32 // records of the batch that have not been read
	hosts     []balancer.Host
}

// NewReader returns a Reader of in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, ioBufferSize)}
}

// Batch reads the next batch and returns its clock. It returns io.EOF if the input ends between two batches;
// other errors contain the byte offset of the malformed part.
func (r *Reader) Batch() (balancer.Time, error) {
	r.offset = r.next
	var length [lengthSize]byte
	if n, err := io.ReadFull(r.in, length[:]); err == io.EOF {
		return 0, io.EOF
	} else if err != nil {
		return 0, r.errorf(n-lengthSize, "input ends inside the length of a frame")
	}
	size := binary.LittleEndian.Uint32(length[:])
	if size < batchHeaderSize || size > maxFrameSize {
		return 0, r.errorf(-lengthSize, "frame length %d is not between %d and %d", size, batchHeaderSize, maxFrameSize)
	}
	r.next = r.offset + lengthSize + int64(size)
	r.frame.Reset() // io.CopyN grows it with the bytes received, not with the length that the frame declares
	if n, err := io.CopyN(&r.frame, r.in, int64(size)); err != nil {
		return 0, r.errorf(int(n), "input ends inside a frame of %d bytes", size)
	}
	r.data = r.frame.Bytes()
	clock := binary.LittleEndian.Uint64(r.data)
	if clock > math.MaxInt64/uint64(timeUnit) {
		return 0, r.errorf(0, "clock %d is out of range", clock)
	}
	r.remaining = binary.LittleEndian.Uint32(r.data[clockSize:])
	r.position = batchHeaderSize
	return balancer.Time(clock) * timeUnit, nil
}

// Next decodes the next event of the batch into e. It returns false after the last one.
func (r *Reader) Next(e *Event) (bool, error) {
	if r.remaining == 0 {
		if r.position != len(r.data) {
			return false, r.errorf(r.position, "%d bytes after the last record", len(r.data)-r.position)
		}
		return false, nil
	}
	start := r.position
	available := len(r.data) - start - recordHeaderSize
	if available < 0 {
		return false, r.errorf(start, "record header is truncated")
	}
	size := binary.LittleEndian.Uint32(r.data[start+1:])
	if uint64(size) > uint64(available) {
		return false, r.errorf(start, "record of %d bytes exceeds the frame", size)
	}
	fieldsStart := start + recordHeaderSize
	r.position = fieldsStart + int(size)
	r.remaining--
	f := fieldReader{data: r.data[fieldsStart:r.position]}
	*e = Event{Code: Code(r.data[start]), Instance: f.uint32()}
	if err := r.decode(e, &f); err != nil {
		return false, r.errorf(start, "%v", err)
	}
	if f.truncated {
		return false, r.errorf(start, "record of code %d is too short", e.Code)
	}
	if len(f.data) > 0 {
		return false, r.errorf(start, "record of code %d has %d trailing bytes", e.Code, len(f.data))
	}
	return true, nil
}

// errorf returns an error with a byte offset in the input; position is relative to the end of the frame's length.
func (r *Reader) errorf(position int, format string, args ...any) error {
	return fmt.Errorf("at byte %d: %s", r.offset+lengthSize+int64(position), fmt.Sprintf(format, args...))
}

// decode decodes the fields of a record with the code e.Code. Fields that package balancer doesn't use are skipped.
func (r *Reader) decode(e *Event, f *fieldReader) error {
	switch e.Code {
	case Start:
		e.Seed = f.uint64()
		e.Settings = f.bytes(uint64(f.uint32()))
	case EndpointList:
		return r.decodeList(e, f)
	case Request:
		decodeRequest(&e.Request, f)
	case ResponseStarted:
		e.Request.ID = balancer.RequestID(f.uint32())
		e.Attempt = int(f.uint16())
		f.host()
		f.duration() // time since the attempt was sent
	case AttemptEnd:
		return decodeOutcome(&e.Outcome, f)
	case ClientGone:
		e.Request.ID = balancer.RequestID(f.uint32())
	case Timer:
		e.Token = f.uint64()
	case HealthCheckEnd:
		f.uint16()   // result
		f.duration() // time since the health check was sent
		f.host()
		f.skipFloats() // load report
	case PeerMessage:
		f.uint16()                  // rank of the sender
		f.bytes(uint64(f.uint16())) // payload
	case Stop:
	default:
		return fmt.Errorf("unknown event code %d", e.Code)
	}
	return nil
}

func decodeRequest(q *balancer.Request, f *fieldReader) {
	q.ID = balancer.RequestID(f.uint32())
	q.Class = int(f.uint8())
	q.Tenant = int(f.uint16())
	f.uint32() // expected work
	q.Remaining = f.duration()
	f.uint64() // routing key
	q.Duplicate = f.uint8()&flagDuplicate != 0
}

func decodeOutcome(o *balancer.Outcome, f *fieldReader) error {
	o.Request = balancer.RequestID(f.uint32())
	o.Attempt = int(f.uint16())
	f.host()
	code := f.uint16()
	o.Elapsed = f.duration()
	o.Closed = f.uint8() != 0
	f.skipFloats() // load report
	result, known := resultsByCode[code]
	if !known && !f.truncated {
		return fmt.Errorf("unknown outcome %d", code)
	}
	o.Result = result
	return nil
}

func (r *Reader) decodeList(e *Event, f *fieldReader) error {
	mode := f.uint8()
	f.uint64() // version
	count := f.uint32()
	if f.truncated {
		return nil
	}
	switch mode {
	case listFailed:
		e.List = balancer.ListFailed
	case listFull:
		e.List = balancer.ListFull
	case listSaved:
		e.List = balancer.ListSaved
	case listChanges:
		e.List = balancer.ListChanges
	default:
		return fmt.Errorf("unknown list mode %d", mode)
	}
	if uint64(count)*listEntrySize != uint64(len(f.data)) {
		return fmt.Errorf("list of %d entries has %d bytes", count, len(f.data))
	}
	r.hosts = r.hosts[:0]
	for range count {
		host, err := decodeHost(f)
		if err != nil {
			return err
		}
		r.hosts = append(r.hosts, host)
	}
	e.Hosts = r.hosts
	return nil
}

func decodeHost(f *fieldReader) (balancer.Host, error) {
	started := f.uint64()
	if started > math.MaxInt64/uint64(timeUnit) {
		return balancer.Host{}, fmt.Errorf("start time %d is out of range", started)
	}
	h := balancer.Host{Started: balancer.Time(started) * timeUnit}
	h.Kind = int(f.uint8())
	h.ID = f.host()
	h.Zone = int(f.uint16())
	h.Cell = int(f.uint16())
	switch state := f.uint8(); state {
	case hostReady:
		h.State = balancer.Ready
	case hostDraining:
		h.State = balancer.Draining
	case hostRemoved:
		h.State = balancer.Removed
	default:
		return balancer.Host{}, fmt.Errorf("unknown host state %d", state)
	}
	f.uint32() // weight
	return h, nil
}
