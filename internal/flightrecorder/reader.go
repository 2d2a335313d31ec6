package flightrecorder

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"dunemoor/balancer"
)

// ErrNoRecording is the error for a stream without any block.
var ErrNoRecording = errors.New("this is no recording: no block in it")

// VersionError is the error for a recording with another version of the format.
type VersionError struct{ Found byte }

func (e *VersionError) Error() string {
	return fmt.Sprintf("the recording has version %d, this build reads version %d", e.Found, Version)
}

// ioBufferSize is the size of the input buffer, and of the steps in which a payload is read, in bytes.
const ioBufferSize = 1 << 16

// Reader reads a recording as a stream, block by block: its memory use doesn't grow with the recording. What
// can't be read is skipped and reported as an item of kind ItemLoss.
type Reader struct {
	in          *bufio.Reader
	offset      int64 // offset in the recording of the next byte to read
	block       header
	blockOffset int64
	payload     []byte              // payload of block
	records     decoder             // decoder of the records in payload
	now         balancer.Time       // time of the last record that has one
	hosts       []balancer.Host     // hosts of the last endpoint list; reused for the next one
	views       []balancer.HostView // hosts of the last view; reused for the next one
	pending     []Item              // Next returns these before it reads on

	foundAny     bool   // a valid header was found
	inSession    bool   // an intact block was read
	session      uint64 // session of the last intact block
	nextNumber   uint32 // expected number of the session's next block
	skippedBytes int64  // bytes outside of blocks since the last intact block
	tornBlocks   int    // blocks with a damaged or truncated payload since the last intact block
}

// NewReader returns a Reader of a recording.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, ioBufferSize)}
}

// Next reads the next item. It returns io.EOF at the end of the stream, ErrNoRecording if the stream has no block,
// a *VersionError, or the error of the stream.
func (r *Reader) Next(it *Item) error {
	for {
		if len(r.pending) > 0 {
			*it = r.pending[0]
			r.pending = r.pending[1:]
			return nil
		}
		if len(r.records.data) == 0 {
			err := r.nextBlock()
			lossesPending := err == io.EOF && len(r.pending) > 0
			if err != nil && !lossesPending {
				return err
			}
			continue
		}
		*it = Item{Session: r.block.session, Offset: r.blockOffset}
		err := r.readRecord(it)
		if err == nil {
			return nil
		}
		// The block's checksum is correct, so another build wrote a record that this build can't decode.
		r.records.data = nil
		r.reportLoss("%v at byte %d, the rest of the block is passed over", err, r.blockOffset)
	}
}

func (r *Reader) reportLoss(format string, args ...any) { r.report(ItemLoss, format, args...) }

// report adds an item with a text to the pending items.
func (r *Reader) report(kind ItemKind, format string, args ...any) {
	r.pending = append(r.pending, Item{
		Kind: kind, At: r.now, Session: r.block.session, Offset: r.blockOffset, Text: fmt.Sprintf(format, args...),
	})
}

// nextBlock finds the next intact block and makes it the current one; see readBlockItems.
func (r *Reader) nextBlock() error {
	for {
		b, err := r.in.Peek(headerSize)
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if len(b) < headerSize {
			return r.end(len(b))
		}
		var h header
		if !h.decode(b) {
			r.skipToMagic(b)
			continue
		}
		if h.version != Version {
			return &VersionError{h.version}
		}
		if h.length > maxPayload {
			r.skip(headerSize)
			continue
		}
		intact, err := r.readBlock(&h)
		if err != nil {
			return err
		}
		if intact {
			return nil
		}
	}
}

// skipToMagic skips the peeked bytes, up to the next one that may be the start of a block.
func (r *Reader) skipToMagic(peeked []byte) {
	next := bytes.IndexByte(peeked[1:], magic[0]) + 1
	if next == 0 {
		next = len(peeked)
	}
	r.skip(next)
}

func (r *Reader) skip(n int) {
	r.in.Discard(n)
	r.offset += int64(n)
	r.skippedBytes += int64(n)
}

// readBlock reads the block whose header is next in the stream, and makes it the current one unless its payload is
// torn. As the header has its own checksum, its length is correct, and the next block is searched for after the payload.
func (r *Reader) readBlock(h *header) (intact bool, err error) {
	offset := r.offset
	r.in.Discard(headerSize)
	r.offset += headerSize
	err = r.readPayload(int(h.length))
	if err != nil && err != io.EOF {
		return false, err
	}
	r.foundAny = true
	if err == io.EOF {
		r.tornBlocks++
		return false, r.end(0)
	}
	if crc32.Checksum(r.payload, castagnoli) != h.sum {
		r.tornBlocks++
		return false, nil
	}
	r.beginBlock(*h, offset)
	return true, nil
}

// readPayload reads a payload. Memory grows with the bytes received, not with the length that the header declares.
func (r *Reader) readPayload(length int) error {
	r.payload = r.payload[:0]
	for len(r.payload) < length {
		step := min(length-len(r.payload), ioBufferSize)
		start := len(r.payload)
		r.payload = append(r.payload, make([]byte, step)...)
		n, err := io.ReadFull(r.in, r.payload[start:])
		r.offset += int64(n)
		if err == io.ErrUnexpectedEOF {
			err = io.EOF
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// end handles the end of the stream; trailing is the number of bytes at its end that are too few for a header.
func (r *Reader) end(trailing int) error {
	r.skip(trailing)
	if !r.foundAny {
		return ErrNoRecording
	}
	r.reportSkipped(false)
	return io.EOF
}

// reportSkipped reports what was skipped since the last intact block. nextFollows is set if the session continues with
// its next block, so that nothing is lost: the skipped bytes were not part of the recording.
func (r *Reader) reportSkipped(nextFollows bool) {
	if r.tornBlocks > 0 {
		r.reportLoss("%d torn block(s) before byte %d", r.tornBlocks, r.offset)
	}
	kind := ItemLoss
	if nextFollows {
		kind = ItemUnrelated
	}
	if r.skippedBytes > 0 {
		r.report(kind, "%d bytes before byte %d are no part of a recording", r.skippedBytes, r.offset)
	}
	r.tornBlocks = 0
	r.skippedBytes = 0
}

// beginBlock makes an intact block the current one, and reports what is missing before it.
func (r *Reader) beginBlock(h header, offset int64) {
	newSession := !r.inSession || h.session != r.session
	follows := !newSession && h.number == r.nextNumber
	r.inSession = true
	r.block = h
	r.blockOffset = offset
	r.now = h.base
	r.reportSkipped(follows)
	switch {
	case newSession || h.kind == blockStart:
		r.session = h.session
	case !follows:
		r.reportLoss("block %d of the session follows block %d: what lies between is lost or was overwritten", h.number, r.nextNumber-1)
	}
	if newSession && h.kind != blockStart {
		r.reportLoss("the session begins in mid-flight, at block %d", h.number)
	}
	r.nextNumber = h.number + 1
	r.readBlockItems()
}

// readBlockItems adds the item that the current block consists of to the pending items, or prepares to read the
// block's records.
func (r *Reader) readBlockItems() {
	it := Item{At: r.block.base, Session: r.block.session, Offset: r.blockOffset}
	switch r.block.kind {
	case blockStart:
		it.Kind = ItemSession
		it.Start = &SessionStart{}
		if err := json.Unmarshal(r.payload, it.Start); err != nil {
			r.reportLoss("the start of a session can't be read: %v", err)
			return
		}
		it.At = it.Start.At
		r.pending = append(r.pending, it)
	case blockCheckpoint:
		it.Kind = ItemCheckpoint
		it.Checkpoint = r.payload
		r.pending = append(r.pending, it)
	case blockRecords:
		r.records = decoder{data: r.payload}
	default:
		r.reportLoss("a block of kind %d is passed over", r.block.kind)
	}
}

// readRecord reads one record of the current block.
func (r *Reader) readRecord(it *Item) error {
	d := &r.records
	kind := d.uint8()
	if kind >= recordAction && kind < recordView {
		it.Kind = ItemAction
		it.At = r.now
		it.Action = d.action(balancer.ActionKind(kind - recordAction))
		return d.err
	}
	r.now += d.duration()
	it.At = r.now
	var err error
	switch kind {
	case recordView:
		it.Kind = ItemView
		err = r.readViews(it)
	case recordName:
		it.Kind = ItemName
		it.Host = d.hostID()
		it.Text = d.text()
	default:
		it.Kind = ItemEvent
		it.Event.Kind = EventKind(kind)
		it.Event.At = r.now
		err = r.readEvent(&it.Event)
	}
	if err != nil {
		return err
	}
	return d.err
}

// readEvent reads the fields of an event of kind e.Kind.
func (r *Reader) readEvent(e *Event) error {
	d := &r.records
	switch e.Kind {
	case EventStart:
	case EventUpdateEndpoints:
		return r.readHosts(e)
	case EventRequest:
		e.Request = d.request()
	case EventResponseStarted:
		e.Request.ID = d.requestID()
		e.Attempt = d.int()
	case EventAttemptEnded:
		e.Outcome = d.outcome()
	case EventClientGone:
		e.Request.ID = d.requestID()
	case EventTimer:
		e.Token = d.uvarint()
	case EventHealthCheckPassed:
		e.HealthCheck = HealthCheck{Host: d.hostID(), Within: d.duration()}
	case EventShutdown:
		e.ShutdownBy = r.now + d.duration()
	default:
		return fmt.Errorf("a record of kind %d", e.Kind)
	}
	return nil
}

func (r *Reader) readHosts(e *Event) error {
	e.List = balancer.ListKind(r.records.uint8())
	count, err := r.records.count("hosts")
	if err != nil {
		return err
	}
	r.hosts = r.hosts[:0]
	for range count {
		r.hosts = append(r.hosts, r.records.host())
	}
	e.Hosts = r.hosts
	return nil
}

func (r *Reader) readViews(it *Item) error {
	count, err := r.records.count("views")
	if err != nil {
		return err
	}
	r.views = r.views[:0]
	for range count {
		r.views = append(r.views, r.records.view(r.now))
	}
	it.Views = r.views
	return nil
}
