package flightrecorder

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"dunemoor/balancer"
)

// Balancer is a *balancer.Balancer as an event loop uses it. A Recorder takes its place.
type Balancer interface {
	Start(now balancer.Time)
	UpdateEndpoints(now balancer.Time, kind balancer.ListKind, list []balancer.Host)
	Request(now balancer.Time, q balancer.Request)
	AttemptStarted(now balancer.Time, id balancer.RequestID, attempt int)
	AttemptEnded(now balancer.Time, o balancer.Outcome)
	ClientGone(now balancer.Time, id balancer.RequestID)
	Timer(now balancer.Time, token uint64)
	HealthCheckPassed(now balancer.Time, id balancer.HostID, within balancer.Time)
	Shutdown(now, by balancer.Time)
	Retune(now balancer.Time, set balancer.Settings, from []int) error
	TakeActions(dst []balancer.Action) []balancer.Action
}

// Options is what a Recorder keeps, and where it writes.
type Options struct {
	RingBytes    int           // size of the ring in memory; at least minRingBytes is used
	ViewInterval time.Duration // between two views of the hosts; 0: no views
	Sink         Sink          // receives each block when it is closed; nil: none
}

// Sink receives blocks.
type Sink interface {
	// Put takes a block. It must not keep the slice, and must not block. It returns whether the block was
	// accepted, and whether a checkpoint should follow, as where a new file begins.
	Put(block []byte) (accepted, wantCheckpoint bool)
}

const (
	// ringSegments is the number of parts of the ring. Each begins with a checkpoint, from which a replay can
	// start; the oldest is overwritten.
	ringSegments = 4
	// minRingBytes has room for two blocks a segment.
	minRingBytes = ringSegments * 2 * (blockSize + headerSize)
	// maxViewedHosts is the number of hosts in a view. Of more hosts each view has the next ones in turn, so
	// that views don't fill the ring.
	maxViewedHosts = 64
	// checkpointInterval is the least time between two checkpoints for a sink that lost blocks: while a disk
	// is full, checkpoints must not fill the ring.
	checkpointInterval = time.Second
	// maxHostRecord is the size of a host in a list, in bytes.
	maxHostRecord = 32
)

// Recorder records what passes between an event loop and its balancer. It belongs to the goroutine of the
// loop, starts none and does no I/O.
type Recorder struct {
	balancer    *balancer.Balancer
	options     Options
	start       SessionStart
	startJSON   []byte // of start: each dump begins with it
	session     uint64
	sessionBase balancer.Time
	nextNumber  uint32 // of the session's blocks

	ring    [ringSegments][]byte // each a checkpoint and the blocks after it
	current int                  // index in ring

	block      []byte // payload of the block being filled
	blockOpen  bool   // a block is being filled
	blockBase  balancer.Time
	lastRecord balancer.Time
	nextViewAt balancer.Time
	nextInView int // index of the first host of the next view
	views      []balancer.HostView
	checkpoint []byte
	// Checkpoints for the sink.
	rejectedBlocks   uint64        // that the sink didn't accept
	wantsCheckpoint  bool          // the sink asked for one, or didn't accept a block since the last one
	nextCheckpointAt balancer.Time // the sink gets none before
}

// New returns a Recorder in front of bal, which must have the settings and the seed of start and must not have
// had any event. session tells the sessions of a file apart. The error is that of encoding start.
func New(bal *balancer.Balancer, start SessionStart, session uint64, options Options) (*Recorder, error) {
	startJSON, err := json.Marshal(start)
	if err != nil {
		return nil, fmt.Errorf("encode session start: %w", err)
	}
	options.RingBytes = max(options.RingBytes, minRingBytes)
	r := &Recorder{
		balancer:    bal,
		options:     options,
		start:       start,
		startJSON:   startJSON,
		session:     session,
		sessionBase: start.At,
		lastRecord:  start.At,
		nextViewAt:  start.At,
		block:       make([]byte, 0, blockSize+maxRecord),
	}
	for i := range r.ring {
		r.ring[i] = make([]byte, 0, options.RingBytes/ringSegments)
	}
	r.writeBlock(blockStart, start.At, startJSON, false)
	return r, nil
}

// RejectedBlocks returns the number of blocks that the sink did not accept.
func (r *Recorder) RejectedBlocks() uint64 { return r.rejectedBlocks }

// SetClassNames sets the names of the classes of the next Retune. They are for readers of the recording.
func (r *Recorder) SetClassNames(names []string) { r.start.Classes = names }

// Flush closes the block being filled, so that the sink has all records.
func (r *Recorder) Flush() { r.flush() }

// Dump appends the ring to dst, the oldest block first, in the format of a file.
func (r *Recorder) Dump(dst []byte) []byte {
	r.flush()
	h := header{kind: blockStart, session: r.session, base: r.sessionBase}
	var encoded [headerSize]byte
	h.encode(encoded[:], r.startJSON)
	dst = append(dst, encoded[:]...)
	dst = append(dst, r.startJSON...)
	for i := 1; i <= ringSegments; i++ {
		dst = append(dst, r.ring[(r.current+i)%ringSegments]...)
	}
	return dst
}

// writeBlock writes a block to the ring, if inRing is set, and to the sink.
func (r *Recorder) writeBlock(kind byte, base balancer.Time, payload []byte, inRing bool) {
	h := header{kind: kind, session: r.session, number: r.nextNumber, base: base}
	r.nextNumber++
	var encoded [headerSize]byte
	h.encode(encoded[:], payload)
	segment := &r.ring[r.current]
	start := len(*segment)
	if !fits(*segment, len(payload)) {
		inRing = false // a checkpoint larger than its segment: replays start at the next one that fits
	}
	if inRing {
		*segment = append(append(*segment, encoded[:]...), payload...)
	}
	if r.options.Sink == nil {
		return
	}
	var block []byte
	if inRing {
		block = (*segment)[start:]
	} else {
		block = append(encoded[:], payload...)
	}
	r.putBlock(kind, block)
}

// putBlock hands a block to the sink. After a block that was not accepted a replay needs a checkpoint.
func (r *Recorder) putBlock(kind byte, block []byte) {
	accepted, wantCheckpoint := r.options.Sink.Put(block)
	if !accepted {
		r.rejectedBlocks++
	}
	stillWanted := r.wantsCheckpoint && kind != blockCheckpoint
	r.wantsCheckpoint = wantCheckpoint || !accepted || stillWanted
}

// fits reports whether a segment has room for a block with that payload, in bytes.
func fits(segment []byte, payload int) bool {
	return len(segment)+headerSize+payload <= cap(segment)
}

// flush closes the block being filled.
func (r *Recorder) flush() {
	if !r.blockOpen {
		return
	}
	r.blockOpen = false
	if !fits(r.ring[r.current], len(r.block)) {
		r.nextSegment() // one event had more actions than there was room for
	}
	r.writeBlock(blockRecords, r.blockBase, r.block, true)
	r.block = r.block[:0]
}

// nextSegment overwrites the oldest segment.
func (r *Recorder) nextSegment() {
	r.current = (r.current + 1) % ringSegments
	r.ring[r.current] = r.ring[r.current][:0]
}

// reserve makes sure that a block with room for a record of size bytes is open. It is called between an
// event's actions and the next event only, so that no checkpoint separates the two.
func (r *Recorder) reserve(now balancer.Time, size int) {
	if r.blockOpen && len(r.block)+size > blockSize {
		r.flush()
		// Room for a checkpoint's header, a full block, and the actions of its last event.
		segmentFull := !fits(r.ring[r.current], headerSize+blockSize+maxRecord+size)
		if segmentFull {
			r.nextSegment()
		}
		if segmentFull || (r.wantsCheckpoint && now >= r.nextCheckpointAt) {
			r.writeCheckpoint(now)
		}
	}
	if !r.blockOpen {
		r.blockOpen = true
		r.blockBase = now
		r.lastRecord = now
	}
}

func (r *Recorder) writeCheckpoint(now balancer.Time) {
	r.nextCheckpointAt = now + checkpointInterval
	r.checkpoint = r.balancer.Checkpoint(r.checkpoint[:0])
	r.writeBlock(blockCheckpoint, r.lastRecord, r.checkpoint, true)
}

// beginEvent begins the record of an event; size is the most bytes that it takes.
func (r *Recorder) beginEvent(now balancer.Time, kind byte, size int) {
	if r.options.ViewInterval > 0 && now >= r.nextViewAt {
		r.recordView(now)
	}
	r.reserve(now, size)
	r.appendKind(now, kind)
}

// appendKind appends the kind of a record and the time since the one before.
func (r *Recorder) appendKind(now balancer.Time, kind byte) {
	r.block = binary.AppendVarint(append(r.block, kind), int64(now-r.lastRecord))
	r.lastRecord = now
}

// recordView records the state of the hosts as the balancer has it.
func (r *Recorder) recordView(now balancer.Time) {
	r.nextViewAt = now + r.options.ViewInterval
	r.views = r.balancer.Views(r.views[:0])
	hosts := len(r.views)
	if hosts == 0 {
		return
	}
	count := min(hosts, maxViewedHosts)
	r.reserve(now, count*maxRecord)
	r.appendKind(now, recordView)
	r.block = binary.AppendUvarint(r.block, uint64(count))
	for range count {
		r.nextInView %= hosts
		r.block = appendView(r.block, &r.views[r.nextInView], now)
		r.nextInView++
	}
}

// NameHost records the name of a host, for readers of the recording.
func (r *Recorder) NameHost(now balancer.Time, id balancer.HostID, name string) {
	name = name[:min(len(name), maxRecord)]
	r.beginEvent(now, recordName, maxRecord+len(name))
	r.block = appendText(appendHostID(r.block, id), name)
}
