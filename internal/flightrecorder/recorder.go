package flightrecorder

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"dunemoor/balancer"
)

// Balancer is the set of methods of *balancer.Balancer that an event loop calls. Recorder implements it too, to take
// the balancer's place.
type Balancer interface {
	Start(now balancer.Time)
	UpdateEndpoints(now balancer.Time, kind balancer.ListKind, list []balancer.Host)
	Request(now balancer.Time, q balancer.Request)
	ResponseStarted(now balancer.Time, id balancer.RequestID, attempt int)
	AttemptEnded(now balancer.Time, o balancer.Outcome)
	ClientGone(now balancer.Time, id balancer.RequestID)
	Timer(now balancer.Time, token uint64)
	HealthCheckPassed(now balancer.Time, id balancer.HostID, within balancer.Time)
	Shutdown(now, by balancer.Time)
	Retune(now balancer.Time, set balancer.Settings, from []int) error
	TakeActions(dst []balancer.Action) []balancer.Action
}

// Options configures a Recorder.
type Options struct {
	RingBytes    int           // size of the ring in memory; at least minRingBytes is used
	ViewInterval time.Duration // time between two views of the hosts; 0: no views
	Sink         Sink          // receives each block when it is closed; nil: none
}

// Sink receives blocks.
type Sink interface {
	// Put receives a block. It must not keep the slice, and must not block. It returns whether the block was
	// accepted, and whether a checkpoint should follow, for example because a new file begins.
	Put(block []byte) (accepted, needCheckpoint bool)
}

const (
	// ringSegments is the number of segments of the ring; the oldest one is overwritten. A segment begins with a
	// checkpoint, from which a replay can start, with these exceptions: the first one of a Recorder begins at the
	// start of the session, and one that flush begins has no checkpoint at its start.
	ringSegments = 4
	// minRingBytes has space for two blocks per segment.
	minRingBytes = ringSegments * 2 * (blockSize + headerSize)
	// maxViewedHosts is the maximum number of hosts in a view. If there are more, consecutive views contain them
	// in turn, so that views don't fill the ring.
	maxViewedHosts = 64
	// checkpointInterval is the minimum time between two checkpoints for a sink that lost blocks: while a disk
	// is full, checkpoints must not fill the ring.
	checkpointInterval = time.Second
	// maxHostRecord is the maximum size of a host in a list, in bytes.
	maxHostRecord = 32
)

// Recorder records the events and actions that an event loop and its balancer exchange. Only the goroutine of the
// loop may use it. It starts no goroutine and does no I/O.
type Recorder struct {
	balancer    *balancer.Balancer
	options     Options
	start       SessionStart
	startJSON   []byte // start, encoded: each dump begins with it
	session     uint64
	sessionBase balancer.Time // start of the session
	nextNumber  uint32        // number of the session's next block

	ring    [ringSegments][]byte // each segment is a checkpoint and the blocks after it, see ringSegments
	current int                  // index in ring

	block      []byte // payload of the block being filled
	blockOpen  bool   // a block is being filled
	blockBase  balancer.Time
	lastRecord balancer.Time
	nextViewAt balancer.Time
	nextInView int // index in views of the next view's first host
	views      []balancer.HostView
	checkpoint []byte
	// Checkpoints for the sink.
	rejectedBlocks    uint64        // blocks that the sink didn't accept
	checkpointPending bool          // the sink requested a checkpoint, or rejected a block since the last one
	nextCheckpointAt  balancer.Time // earliest time of the next checkpoint for the sink
}

// New returns a Recorder in front of bal, which must have the settings and the seed of start and must not have
// received any event. session identifies the session among those in a file. The error is that of encoding start.
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

// SetClassNames sets the class names that the next Retune records, for readers of the recording.
func (r *Recorder) SetClassNames(names []string) { r.start.Classes = names }

// Flush closes the block being filled, so that the sink has received all records.
func (r *Recorder) Flush() { r.flush() }

// Dump appends the contents of the ring to dst, the oldest block first, in the format of a recording file.
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
		// The block is a checkpoint that doesn't fit, or is larger than a segment, such as one with a long endpoint
		// list. Replays of a dump start at the next checkpoint that fits.
		inRing = false
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

// putBlock passes a block to the sink. After a block that was not accepted, a replay needs a checkpoint.
func (r *Recorder) putBlock(kind byte, block []byte) {
	accepted, needCheckpoint := r.options.Sink.Put(block)
	if !accepted {
		r.rejectedBlocks++
	}
	stillPending := r.checkpointPending && kind != blockCheckpoint
	r.checkpointPending = needCheckpoint || !accepted || stillPending
}

// fits reports whether a segment has space for a block with a payload of that many bytes.
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
		r.nextSegment() // the actions of one event exceeded the space that reserve ensured
	}
	r.writeBlock(blockRecords, r.blockBase, r.block, true)
	r.block = r.block[:0]
}

// nextSegment makes the oldest segment the current one and discards its contents.
func (r *Recorder) nextSegment() {
	r.current = (r.current + 1) % ringSegments
	r.ring[r.current] = r.ring[r.current][:0]
}

// reserve ensures that a block with space for a record of size bytes is open. It is called only between the actions
// of an event and the next event, so that no checkpoint separates an event from its actions.
func (r *Recorder) reserve(now balancer.Time, size int) {
	if r.blockOpen && len(r.block)+size > blockSize {
		r.flush()
		// Space for the header of a checkpoint, and for a full block plus maxRecord+size for a record that is larger
		// than a block or for the actions of the last event. The payload of the checkpoint isn't included: writeBlock
		// leaves a checkpoint that doesn't fit out of the ring.
		segmentFull := !fits(r.ring[r.current], headerSize+blockSize+maxRecord+size)
		if segmentFull {
			r.nextSegment()
		}
		if segmentFull || (r.checkpointPending && now >= r.nextCheckpointAt) {
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

// beginEvent begins the record of an event; size is its maximum size in bytes.
func (r *Recorder) beginEvent(now balancer.Time, kind byte, size int) {
	if r.options.ViewInterval > 0 && now >= r.nextViewAt {
		r.recordView(now)
	}
	r.reserve(now, size)
	r.appendKind(now, kind)
}

// appendKind appends the kind of a record and the time since the preceding record.
func (r *Recorder) appendKind(now balancer.Time, kind byte) {
	r.block = binary.AppendVarint(append(r.block, kind), int64(now-r.lastRecord))
	r.lastRecord = now
}

// recordView records a view: the state that the balancer keeps of the hosts.
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
