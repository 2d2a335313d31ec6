package flightrecorder

import (
	"encoding/json"
	"time"

	"dunemoor/balancer"
)

// Balancer is the Balancer as a gateway's loop uses it; a Recorder stands in its place.
type Balancer interface {
	Start(now balancer.Time)
	UpdateEndpoints(now balancer.Time, kind balancer.ListKind, list []balancer.Host)
	Request(now balancer.Time, q balancer.Request)
	AttemptStarted(now balancer.Time, id balancer.RequestID, n int)
	AttemptEnded(now balancer.Time, o balancer.Outcome)
	ClientGone(now balancer.Time, id balancer.RequestID)
	Timer(now balancer.Time, token uint64)
	HealthCheckPassed(now balancer.Time, id balancer.HostID, within balancer.Time)
	Shutdown(now, by balancer.Time)
	Retune(now balancer.Time, set balancer.Settings, from []int) error
	TakeActions(dst []balancer.Action) []balancer.Action
}

// Options say how much is recorded and where to.
type Options struct {
	RingBytes    int           // bytes kept in memory; leastRing at least
	ViewInterval time.Duration // time between two views of the hosts; 0: none
	Sink         Sink          // takes each block as it is closed, if set
}

// Sink takes blocks. It must not keep the slice, and must not wait.
type Sink interface {
	// Put says whether the block was taken, and whether what follows should begin with
	// a checkpoint, as where a new file has been begun.
	Put(block []byte) (taken, anew bool)
}

const (
	// segments is how many parts the ring has. Each begins with a checkpoint, so what a
	// dump holds can be replayed whole; the oldest goes when a new one begins.
	segments = 4
	// leastRing holds a block in each segment.
	leastRing = segments * 2 * (blockSize + blockHead)
	// viewsMost is how many hosts a view holds at most: the views of 5,000 hosts would
	// fill the ring with nothing else. Beyond it a view goes round.
	viewsMost = 64
	// resumeEvery is the least time between two checkpoints for a sink that lost blocks: a
	// disk that is full for an hour must not fill the ring with checkpoints.
	resumeEvery = time.Second
)

// Recorder records what passes between a loop and its Balancer. It belongs to the
// goroutine of the loop, starts none and does no I/O.
type Recorder struct {
	bal     *balancer.Balancer
	opts    Options
	first   SessionStart
	start   []byte // the payload of the first block: each dump begins with it
	session uint64
	base    balancer.Time // of the session
	number  uint32

	ring [segments]segment
	cur  int

	block  []byte // the payload of the block being filled
	since  balancer.Time
	last   balancer.Time
	viewAt balancer.Time
	viewed int // the next host of a view that goes round
	views  []balancer.HostView
	check  []byte
	open   bool // a block is begun

	lost     uint64 // blocks that the sink did not take
	anew     bool   // the sink wants a checkpoint
	resumeAt balancer.Time
}

// segment is a checkpoint and the blocks behind it.
type segment struct{ data []byte }

// New returns a Recorder that stands before bal, which must have been made with
// start's settings and seed and not been told anything yet.
func New(bal *balancer.Balancer, start SessionStart, session uint64, opts Options) (*Recorder, error) {
	payload, err := json.Marshal(start)
	if err != nil {
		return nil, err
	}
	opts.RingBytes = max(opts.RingBytes, leastRing)
	r := &Recorder{bal: bal, opts: opts, first: start, start: payload, session: session, base: start.At, last: start.At, viewAt: start.At}
	for i := range r.ring {
		r.ring[i].data = make([]byte, 0, opts.RingBytes/segments)
	}
	r.block = make([]byte, 0, blockSize+maxRecord)
	r.emit(blockStart, start.At, payload, false)
	return r, nil
}

// Lost is the number of blocks that the sink did not take.
func (r *Recorder) Lost() uint64 { return r.lost }

// emit closes a block: into the ring, and to the sink.
func (r *Recorder) emit(kind byte, base balancer.Time, payload []byte, inRing bool) {
	h := head{kind: kind, session: r.session, number: r.number, base: base}
	r.number++
	var hb [blockHead]byte
	h.put(hb[:], payload)
	s := &r.ring[r.cur]
	whole := len(s.data)
	if len(s.data)+blockHead+len(payload) > cap(s.data) {
		inRing = false // a checkpoint too large for its segment: a replay begins at the next whole one
	}
	if inRing {
		s.data = append(append(s.data, hb[:]...), payload...)
	}
	if r.opts.Sink == nil {
		return
	}
	var block []byte
	if inRing {
		block = s.data[whole:]
	} else {
		block = append(hb[:], payload...)
	}
	taken, anew := r.opts.Sink.Put(block)
	if !taken {
		r.lost++
	}
	r.anew = anew || !taken || r.anew && kind != blockCheckpoint
}

// flush closes the block being filled.
func (r *Recorder) flush() {
	if !r.open {
		return
	}
	r.open = false
	if s := &r.ring[r.cur]; len(s.data)+blockHead+len(r.block) > cap(s.data) {
		r.turn() // one event had more actions than there was room kept for
	}
	r.emit(blockRecords, r.since, r.block, true)
	r.block = r.block[:0]
}

// turn gives up the oldest segment and begins a new one.
func (r *Recorder) turn() {
	r.cur = (r.cur + 1) % segments
	r.ring[r.cur].data = r.ring[r.cur].data[:0]
}

// room makes sure of a block with room for a record of n bytes. It is called between an
// event's actions and the next event only, so that a checkpoint never parts the two.
func (r *Recorder) room(now balancer.Time, n int) {
	if r.open && len(r.block)+n > blockSize {
		r.flush()
		s := &r.ring[r.cur]
		full := len(s.data)+2*blockHead+blockSize+maxRecord+n > cap(s.data)
		if full {
			r.turn()
		}
		if full || r.anew && now >= r.resumeAt {
			r.resumeAt = now + resumeEvery
			r.check = r.bal.Checkpoint(r.check[:0])
			r.emit(blockCheckpoint, r.last, r.check, true)
		}
	}
	if !r.open {
		r.open, r.since, r.last = true, now, now
	}
}

// event begins the record of an event.
func (r *Recorder) event(now balancer.Time, kind byte, n int) {
	if r.opts.ViewInterval > 0 && now >= r.viewAt {
		r.view(now)
	}
	r.room(now, n)
	r.block = iv(append(r.block, kind), int64(now-r.last))
	r.last = now
}

// view records what the module holds of the hosts.
func (r *Recorder) view(now balancer.Time) {
	r.viewAt = now + r.opts.ViewInterval
	r.views = r.bal.Views(r.views[:0])
	n := len(r.views)
	if n == 0 {
		return
	}
	most := min(n, viewsMost)
	r.room(now, most*maxRecord)
	r.block = iv(append(r.block, recView), int64(now-r.last))
	r.last = now
	r.block = uv(r.block, uint64(most))
	for range most {
		r.viewed %= n
		r.block = putView(r.block, &r.views[r.viewed], now)
		r.viewed++
	}
}

// NameHost records how a host is called; it is told once for each.
func (r *Recorder) NameHost(now balancer.Time, id balancer.HostID, name string) {
	name = name[:min(len(name), maxRecord)]
	r.event(now, recName, maxRecord+len(name))
	r.block = uv(appendID(r.block, id), uint64(len(name)))
	r.block = append(r.block, name...)
}

func appendID(b []byte, id balancer.HostID) []byte {
	for i := 0; i < 64; i += 8 {
		b = append(b, byte(id>>i))
	}
	return b
}

// Start is the module's, recorded.
func (r *Recorder) Start(now balancer.Time) {
	r.event(now, recStart, maxRecord)
	r.bal.Start(now)
}

// UpdateEndpoints records the event and passes it on. A list may be larger than a block: its block is then
// larger too.
func (r *Recorder) UpdateEndpoints(now balancer.Time, kind balancer.ListKind, list []balancer.Host) {
	r.event(now, recHosts, maxRecord+len(list)*32)
	r.block = uv(append(r.block, byte(kind)), uint64(len(list)))
	for i := range list {
		r.block = putHost(r.block, &list[i])
	}
	r.bal.UpdateEndpoints(now, kind, list)
}

// Request records the event and passes it on.
func (r *Recorder) Request(now balancer.Time, q balancer.Request) {
	r.event(now, recRequest, maxRecord)
	r.block = putRequest(r.block, &q)
	r.bal.Request(now, q)
}

// AttemptStarted records the event and passes it on.
func (r *Recorder) AttemptStarted(now balancer.Time, id balancer.RequestID, n int) {
	r.event(now, recStarted, maxRecord)
	r.block = iv(uv(r.block, uint64(id)), int64(n))
	r.bal.AttemptStarted(now, id, n)
}

// AttemptEnded records the event and passes it on.
func (r *Recorder) AttemptEnded(now balancer.Time, o balancer.Outcome) {
	r.event(now, recOutcome, maxRecord)
	r.block = putOutcome(r.block, &o)
	r.bal.AttemptEnded(now, o)
}

// ClientGone records the event and passes it on.
func (r *Recorder) ClientGone(now balancer.Time, id balancer.RequestID) {
	r.event(now, recGone, maxRecord)
	r.block = uv(r.block, uint64(id))
	r.bal.ClientGone(now, id)
}

// Timer records the event and passes it on.
func (r *Recorder) Timer(now balancer.Time, token uint64) {
	r.event(now, recTimer, maxRecord)
	r.block = uv(r.block, token)
	r.bal.Timer(now, token)
}

// HealthCheckPassed records the event and passes it on.
func (r *Recorder) HealthCheckPassed(now balancer.Time, id balancer.HostID, within balancer.Time) {
	r.event(now, recHint, maxRecord)
	r.block = iv(appendID(r.block, id), int64(within))
	r.bal.HealthCheckPassed(now, id, within)
}

// Shutdown records the event and passes it on.
func (r *Recorder) Shutdown(now, by balancer.Time) {
	r.event(now, recStop, maxRecord)
	r.block = iv(r.block, int64(by-now))
	r.bal.Shutdown(now, by)
}

// SetClassNames names the classes that a Retune brings, for those who read.
func (r *Recorder) SetClassNames(names []string) { r.first.Classes = names }

// Retune is the module's. The recording begins anew with it: a session whose state is known from
// a checkpoint. Hosts are to be named again.
func (r *Recorder) Retune(now balancer.Time, set balancer.Settings, from []int) error {
	if err := r.bal.Retune(now, set, from); err != nil {
		return err
	}
	r.flush()
	for i := range r.ring {
		r.ring[i].data = r.ring[i].data[:0]
	}
	r.first.Settings, r.first.At = set, now
	if payload, err := json.Marshal(r.first); err == nil { // as it did at the start
		r.start = payload
	}
	r.session, r.number, r.base, r.last = r.session+1, 0, now, now
	r.emit(blockStart, now, r.start, false)
	r.check = r.bal.Checkpoint(r.check[:0])
	r.emit(blockCheckpoint, now, r.check, true)
	return nil
}

// TakeActions passes on the actions and records them.
func (r *Recorder) TakeActions(dst []balancer.Action) []balancer.Action {
	n := len(dst)
	dst = r.bal.TakeActions(dst)
	for i := range dst[n:] {
		r.block = putAction(r.block, &dst[n+i])
	}
	return dst
}

// Flush closes the block being filled, so that the sink has all there is.
func (r *Recorder) Flush() { r.flush() }

// Dump appends the ring to dst, oldest first, in the form of a file.
func (r *Recorder) Dump(dst []byte) []byte {
	r.flush()
	h := head{kind: blockStart, session: r.session, base: r.base}
	var hb [blockHead]byte
	h.put(hb[:], r.start)
	dst = append(append(dst, hb[:]...), r.start...)
	for i := 1; i <= segments; i++ {
		dst = append(dst, r.ring[(r.cur+i)%segments].data...)
	}
	return dst
}
