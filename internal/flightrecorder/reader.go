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

// ItemKind says what a Reader found.
type ItemKind uint8

// Kinds of item.
const (
	ItemSession    ItemKind = iota // a gateway starts: Start
	ItemCheckpoint                 // Checkpoint
	ItemEvent                      // Event
	ItemAction                     // Action, in answer to the event before it
	ItemView                       // Views
	ItemName                       // Host, Text
	ItemLoss                       // Text says what is missing here
	ItemForeign                    // Text says what stands here beside the recording; nothing is missing
)

// EventKind is a kind of event, named as the Balancer's methods.
type EventKind uint8

// Kinds of event.
const (
	EventStart   EventKind = recStart
	EventHosts   EventKind = recHosts
	EventRequest EventKind = recRequest
	EventStarted EventKind = recStarted
	EventOutcome EventKind = recOutcome
	EventGone    EventKind = recGone
	EventTimer   EventKind = recTimer
	EventHint    EventKind = recHint
	EventStop    EventKind = recStop
)

// Event is one event as it was told to the module. Only the fields of its kind are set.
type Event struct {
	Kind    EventKind
	At      balancer.Time
	List    balancer.ListKind
	Hosts   []balancer.Host // valid until the next item
	Request balancer.Request
	Attempt int
	Outcome balancer.Outcome
	Token   uint64
	Hint    Hint
	By      balancer.Time // of Stop
}

// Hint is that a host that was given up may be worth a try.
type Hint struct {
	Host   balancer.HostID
	Within balancer.Time
}

// Tell tells a module of the event.
func (e *Event) Tell(m Balancer) {
	switch e.Kind {
	case EventStart:
		m.Start(e.At)
	case EventHosts:
		m.UpdateEndpoints(e.At, e.List, e.Hosts)
	case EventRequest:
		m.Request(e.At, e.Request)
	case EventStarted:
		m.AttemptStarted(e.At, e.Request.ID, e.Attempt)
	case EventOutcome:
		m.AttemptEnded(e.At, e.Outcome)
	case EventGone:
		m.ClientGone(e.At, e.Request.ID)
	case EventTimer:
		m.Timer(e.At, e.Token)
	case EventHint:
		m.HealthCheckPassed(e.At, e.Hint.Host, e.Hint.Within)
	case EventStop:
		m.Shutdown(e.At, e.By)
	}
}

// Item is one thing read from a recording.
type Item struct {
	Kind       ItemKind
	At         balancer.Time
	Session    uint64
	Offset     int64 // of its block
	Start      *SessionStart
	Checkpoint []byte // valid until the next item
	Event      Event
	Action     balancer.Action
	Views      []balancer.HostView // valid until the next item
	Host       balancer.HostID
	Text       string
}

// ErrNoRecording is what a Reader returns where a stream holds no block at all.
var ErrNoRecording = errors.New("this is no recording: no block in it")

// VersionError says that a recording has another form than this build reads.
type VersionError struct{ Found byte }

func (e *VersionError) Error() string {
	return fmt.Sprintf("the recording has version %d, this build reads version %d", e.Found, Version)
}

// Reader reads a recording as a stream, a block at a time: its memory does not grow with
// the recording. What can't be read is passed over and said, as an ItemLoss.
type Reader struct {
	in      *bufio.Reader
	offset  int64
	block   head
	at      int64  // offset of block
	payload []byte // of block
	rest    taker  // of payload
	now     balancer.Time
	began   bool
	found   bool
	session uint64
	next    uint32 // the number that the next block of the session should have
	skipped int64  // bytes that are no block
	torn    int    // blocks whose payload is not whole
	pending []Item // to be given out before anything else
	hosts   []balancer.Host
	views   []balancer.HostView
}

// NewReader returns a Reader of a recording.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<16)}
}

// Next reads the next item; io.EOF is the end.
func (r *Reader) Next(it *Item) error {
	for {
		if len(r.pending) > 0 {
			*it = r.pending[0]
			r.pending = r.pending[1:]
			return nil
		}
		if len(r.rest.data) == 0 {
			if err := r.nextBlock(); err != nil {
				if err == io.EOF && len(r.pending) > 0 {
					continue
				}
				return err
			}
			continue
		}
		*it = Item{Session: r.block.session, Offset: r.at}
		if err := r.record(it); err != nil {
			// Its sum is right, so it was written like this: another build's records.
			r.rest.data = nil
			r.lose("%v at byte %d, the rest of the block is passed over", err, r.at)
			continue
		}
		return nil
	}
}

func (r *Reader) lose(format string, args ...any) { r.tell(ItemLoss, format, args...) }

func (r *Reader) tell(kind ItemKind, format string, args ...any) {
	r.pending = append(r.pending, Item{
		Kind: kind, At: r.now, Session: r.block.session, Offset: r.at, Text: fmt.Sprintf(format, args...),
	})
}

// nextBlock finds the next whole block and makes it the current one, or gives out what
// it is in full.
func (r *Reader) nextBlock() error {
	for {
		b, err := r.in.Peek(blockHead)
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if len(b) < blockHead {
			return r.end(len(b))
		}
		var h head
		if !h.parse(b) {
			// Pass over everything up to what may be the next block.
			n := bytes.IndexByte(b[1:], magic[0]) + 1
			if n == 0 {
				n = len(b)
			}
			r.skip(n)
			continue
		}
		if h.version != Version {
			return &VersionError{h.version}
		}
		if h.length > maxBlock {
			r.skip(blockHead)
			continue
		}
		at := r.offset
		r.in.Discard(blockHead)
		r.offset += blockHead
		if err := r.read(int(h.length)); err != nil {
			if err != io.EOF {
				return err
			}
			r.found, r.torn = true, r.torn+1
			return r.end(0)
		}
		if crc32.Checksum(r.payload, castagnoli) != h.sum {
			r.torn++
			r.found = true
			continue // what follows is looked for behind it, which its head says for sure
		}
		r.take(h, at)
		return nil
	}
}

// read reads a payload; memory grows with what arrives, not with what the head claims.
func (r *Reader) read(n int) error {
	r.payload = r.payload[:0]
	for len(r.payload) < n {
		step := min(n-len(r.payload), 1<<16)
		from := len(r.payload)
		r.payload = append(r.payload, make([]byte, step)...)
		got, err := io.ReadFull(r.in, r.payload[from:])
		r.offset += int64(got)
		if err == io.ErrUnexpectedEOF {
			err = io.EOF
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *Reader) skip(n int) {
	r.in.Discard(n)
	r.offset += int64(n)
	r.skipped += int64(n)
}

// end is the end of the stream with so many bytes that hold no head.
func (r *Reader) end(left int) error {
	r.skip(left)
	if !r.found {
		return ErrNoRecording
	}
	r.say(false)
	return io.EOF
}

// say gives out what was passed over since the last whole block. Where the block behind
// it is the next of its session, that was none of ours.
func (r *Reader) say(next bool) {
	if r.torn > 0 {
		r.lose("%d torn block(s) before byte %d", r.torn, r.offset)
	}
	kind := ItemLoss
	if next {
		kind = ItemForeign
	}
	if r.skipped > 0 {
		r.tell(kind, "%d bytes before byte %d are no part of a recording", r.skipped, r.offset)
	}
	r.torn, r.skipped = 0, 0
}

// take makes a whole block the current one.
func (r *Reader) take(h head, at int64) {
	anew := !r.began || h.session != r.session
	r.found, r.began = true, true
	r.block, r.at, r.now = h, at, h.base
	r.say(!anew && h.number == r.next)
	switch {
	case anew || h.kind == blockStart:
		r.session = h.session
	case h.number != r.next:
		r.lose("block %d of the session follows block %d: what lies between is lost or was overwritten", h.number, r.next-1)
	}
	if anew && h.kind != blockStart {
		r.lose("the session begins in mid-flight, at block %d", h.number)
	}
	r.next = h.number + 1
	switch h.kind {
	case blockStart:
		var s SessionStart
		if err := json.Unmarshal(r.payload, &s); err != nil {
			r.lose("the start of a session can't be read: %v", err)
			return
		}
		r.pending = append(r.pending, Item{Kind: ItemSession, At: s.At, Session: h.session, Offset: at, Start: &s})
	case blockCheckpoint:
		r.pending = append(r.pending, Item{Kind: ItemCheckpoint, At: h.base, Session: h.session, Offset: at, Checkpoint: r.payload})
	case blockRecords:
		r.rest = taker{data: r.payload}
	default:
		r.lose("a block of kind %d is passed over", h.kind)
	}
}

// record reads one record of the current block.
func (r *Reader) record(it *Item) error {
	t := &r.rest
	kind := t.u8()
	if kind >= recAction && kind < recView {
		it.Kind, it.At = ItemAction, r.now
		it.Action = t.action(balancer.ActionKind(kind - recAction))
		return t.err
	}
	r.now += balancer.Time(t.iv())
	it.At = r.now
	e := &it.Event
	it.Kind, e.Kind, e.At = ItemEvent, EventKind(kind), r.now
	switch kind {
	case recStart:
	case recHosts:
		e.List = balancer.ListKind(t.u8())
		n := t.uv()
		if n > uint64(len(t.data)) {
			return fmt.Errorf("a list of %d hosts in %d bytes", n, len(t.data))
		}
		r.hosts = r.hosts[:0]
		for range n {
			r.hosts = append(r.hosts, t.host())
		}
		e.Hosts = r.hosts
	case recRequest:
		e.Request = t.request()
	case recStarted:
		e.Request.ID, e.Attempt = balancer.RequestID(t.uv()), int(t.iv())
	case recOutcome:
		e.Outcome = t.outcome()
	case recGone:
		e.Request.ID = balancer.RequestID(t.uv())
	case recTimer:
		e.Token = t.uv()
	case recHint:
		e.Hint = Hint{balancer.HostID(t.u64()), balancer.Time(t.iv())}
	case recStop:
		e.By = r.now + balancer.Time(t.iv())
	case recView:
		it.Kind = ItemView
		n := t.uv()
		if n > uint64(len(t.data)) {
			return fmt.Errorf("a view of %d hosts in %d bytes", n, len(t.data))
		}
		r.views = r.views[:0]
		for range n {
			r.views = append(r.views, t.view(r.now))
		}
		it.Views = r.views
	case recName:
		it.Kind = ItemName
		it.Host, it.Text = balancer.HostID(t.u64()), t.text()
	default:
		return fmt.Errorf("a record of kind %d", kind)
	}
	return t.err
}
