// Package flightrecorder records what happens between a gateway's loop and its Balancer, reads
// such recordings, replays them and tries other builds of the module on them.
//
// A recording is a row of blocks, each whole in itself: a block that is torn, lost or
// overwritten takes nothing else with it, and what stands between two blocks is passed
// over. docs/design/flightrecorder.md has the form byte by byte.
package flightrecorder

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"time"

	"dunemoor/balancer"
)

// Version is the version of the form; a reader refuses others and says so.
const Version = 1

const (
	magic     = "\xd1FLY" // no text has its first byte in ASCII, so a log line is not taken for a block
	blockHead = 40        // bytes ahead of a block's payload
	// maxBlock bounds what a reader takes for a block. A checkpoint with 5,000 hosts and
	// 10,000 requests is under 2 MB.
	maxBlock = 16 << 20
	// blockSize is the payload at which a block of records is closed: what a crash may
	// cost, some 700 events, against 40 bytes of head.
	blockSize = 16 << 10
	// maxRecord is room for any record that is not a list or a view.
	maxRecord = 128
)

// Kinds of block.
const (
	blockStart      = 1 // settings and seed: a gateway starts here
	blockCheckpoint = 2 // the module's whole state
	blockRecords    = 3
)

// Kinds of record. Events come from the gateway, actions from the module in answer to
// the event before them.
const (
	recStart   = 1
	recHosts   = 2
	recRequest = 3
	recStarted = 4
	recOutcome = 5
	recGone    = 6
	recTimer   = 7
	recHint    = 8
	recStop    = 9
	recAction  = 16 // + ActionKind
	recView    = 32
	recName    = 33
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// head is what stands ahead of a block:
//
//	0  magic      4 bytes
//	4  version    1
//	5  kind       1
//	6  0          2
//	8  session    8  the same in all blocks of one run of a gateway
//	16 number     4  of the block in its session, from 0
//	20 length     4  of the payload
//	24 time       8  of the module, in ns, that the block's records count from
//	32 sum        4  CRC-32C of the payload
//	36 head sum   4  CRC-32C of bytes 0 to 35
//
// All numbers are little-endian.
type head struct {
	kind    byte
	version byte
	session uint64
	number  uint32
	length  uint32
	base    balancer.Time
	sum     uint32
}

func (h *head) put(b []byte, payload []byte) {
	copy(b, magic)
	b[4], b[5], b[6], b[7] = Version, h.kind, 0, 0
	binary.LittleEndian.PutUint64(b[8:], h.session)
	binary.LittleEndian.PutUint32(b[16:], h.number)
	binary.LittleEndian.PutUint32(b[20:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(b[24:], uint64(h.base))
	binary.LittleEndian.PutUint32(b[32:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(b[36:], crc32.Checksum(b[:36], castagnoli))
}

// parse reads a head; ok is false where there is none.
func (h *head) parse(b []byte) (ok bool) {
	if string(b[:4]) != magic || crc32.Checksum(b[:36], castagnoli) != binary.LittleEndian.Uint32(b[36:]) {
		return false
	}
	*h = head{
		version: b[4], kind: b[5],
		session: binary.LittleEndian.Uint64(b[8:]),
		number:  binary.LittleEndian.Uint32(b[16:]),
		length:  binary.LittleEndian.Uint32(b[20:]),
		base:    balancer.Time(binary.LittleEndian.Uint64(b[24:])),
		sum:     binary.LittleEndian.Uint32(b[32:]),
	}
	return true
}

// SessionStart is what the first block of a session holds.
type SessionStart struct {
	Name     string // the gateway's
	Build    string // of the program
	Classes  []string
	Seed     uint64
	Wall     time.Time // when the session began, by the wall clock
	At       balancer.Time
	Settings balancer.Settings
}

// The put functions append a record; they are the hot path.

func uv(b []byte, x uint64) []byte {
	for x >= 0x80 {
		b = append(b, byte(x)|0x80)
		x >>= 7
	}
	return append(b, byte(x))
}

func iv(b []byte, x int64) []byte { return uv(b, uint64(x<<1)^uint64(x>>63)) }

func putRequest(b []byte, q *balancer.Request) []byte {
	b = uv(b, uint64(q.ID))
	b = iv(b, int64(q.Class))
	b = iv(b, int64(q.Tenant))
	b = iv(b, int64(q.Remaining))
	return append(b, bit(q.Duplicate))
}

func putOutcome(b []byte, o *balancer.Outcome) []byte {
	b = uv(b, uint64(o.Request))
	b = iv(b, int64(o.Attempt))
	b = append(b, byte(o.Result))
	b = iv(b, int64(o.Elapsed))
	return append(b, bit(o.Closed))
}

func putHost(b []byte, h *balancer.Host) []byte {
	b = binary.LittleEndian.AppendUint64(b, uint64(h.ID))
	b = iv(b, int64(h.Zone))
	b = iv(b, int64(h.Cell))
	b = iv(b, int64(h.Kind))
	b = append(b, byte(h.State))
	return iv(b, int64(h.Started))
}

// putAction appends an action with the fields that mean anything for its kind. Two
// actions are the same if these bytes are.
func putAction(b []byte, a *balancer.Action) []byte {
	b = append(b, recAction+byte(a.Kind))
	switch a.Kind {
	case balancer.Send:
		b = uv(b, uint64(a.Request))
		b = binary.LittleEndian.AppendUint64(b, uint64(a.Host))
		b = iv(b, int64(a.At))
	case balancer.Cancel:
		b = uv(b, uint64(a.Request))
		b = iv(b, int64(a.Attempt))
	case balancer.Reject:
		b = uv(b, uint64(a.Request))
		b = iv(b, int64(a.RetryAfter))
		b = append(b, byte(a.Cause))
	case balancer.Fail:
		b = uv(b, uint64(a.Request))
		b = append(b, byte(a.Cause))
	case balancer.Wake:
		b = iv(b, int64(a.At))
		b = uv(b, a.Token)
	case balancer.Close:
		b = binary.LittleEndian.AppendUint64(b, uint64(a.Host))
	case balancer.Log:
		text := a.Text[:min(len(a.Text), maxRecord)]
		b = binary.LittleEndian.AppendUint64(b, uint64(a.Host))
		b = uv(b, uint64(len(text)))
		b = append(b, text...)
	}
	return b
}

// Of a view, limits and means are kept in thousandths, estimates in microseconds.
func putView(b []byte, v *balancer.HostView, now balancer.Time) []byte {
	b = binary.LittleEndian.AppendUint64(b, uint64(v.Host))
	flags := byte(v.State) | bit(v.InSubset)<<2 | bit(v.Warming)<<3 | bit(v.Overdue)<<4 | byte(v.Cause&7)<<5
	b = append(b, flags)
	b = iv(b, int64(v.InFlight))
	b = iv(b, int64(v.ConcurrencyLimit*1e3))
	b = iv(b, int64(v.RecentRTT*1e3))
	b = iv(b, int64(v.EstimatedRTT*1e6))
	b = iv(b, int64(v.Ejections))
	for _, t := range []balancer.Time{v.EjectedUntil, v.RestingUntil, v.NextSlowStartSend} {
		if t <= now {
			b = append(b, 0)
		} else {
			b = iv(b, int64(t-now))
		}
	}
	return uv(b, v.ExcludedFor)
}

func bit(x bool) byte {
	if x {
		return 1
	}
	return 0
}

// taker reads what the put functions wrote; once something is missing, err is set and
// all further figures are zero.
type taker struct {
	data []byte
	err  error
}

func (t *taker) short() { t.err, t.data = fmt.Errorf("a record is cut off"), nil }

func (t *taker) u8() byte {
	if len(t.data) == 0 {
		t.short()
		return 0
	}
	x := t.data[0]
	t.data = t.data[1:]
	return x
}

func (t *taker) u64() uint64 {
	if len(t.data) < 8 {
		t.short()
		return 0
	}
	x := binary.LittleEndian.Uint64(t.data)
	t.data = t.data[8:]
	return x
}

func (t *taker) uv() uint64 {
	x, n := binary.Uvarint(t.data)
	if n <= 0 {
		t.short()
		return 0
	}
	t.data = t.data[n:]
	return x
}

func (t *taker) iv() int64 {
	x := t.uv()
	return int64(x>>1) ^ -int64(x&1)
}

func (t *taker) text() string {
	n := t.uv()
	if n > uint64(len(t.data)) {
		t.short()
		return ""
	}
	s := string(t.data[:n])
	t.data = t.data[n:]
	return s
}

func (t *taker) request() (q balancer.Request) {
	q.ID = balancer.RequestID(t.uv())
	q.Class, q.Tenant = int(t.iv()), int(t.iv())
	q.Remaining = time.Duration(t.iv())
	q.Duplicate = t.u8() != 0
	return q
}

func (t *taker) outcome() (o balancer.Outcome) {
	o.Request = balancer.RequestID(t.uv())
	o.Attempt = int(t.iv())
	o.Result = balancer.Result(t.u8())
	o.Elapsed = time.Duration(t.iv())
	o.Closed = t.u8() != 0
	return o
}

func (t *taker) host() (h balancer.Host) {
	h.ID = balancer.HostID(t.u64())
	h.Zone, h.Cell, h.Kind = int(t.iv()), int(t.iv()), int(t.iv())
	h.State = balancer.HostState(t.u8())
	h.Started = balancer.Time(t.iv())
	return h
}

func (t *taker) action(kind balancer.ActionKind) (a balancer.Action) {
	a.Kind = kind
	switch kind {
	case balancer.Send:
		a.Request, a.Host, a.At = balancer.RequestID(t.uv()), balancer.HostID(t.u64()), balancer.Time(t.iv())
	case balancer.Cancel:
		a.Request, a.Attempt = balancer.RequestID(t.uv()), int(t.iv())
	case balancer.Reject:
		a.Request, a.RetryAfter = balancer.RequestID(t.uv()), time.Duration(t.iv())
		a.Cause = balancer.Cause(t.u8())
	case balancer.Fail:
		a.Request, a.Cause = balancer.RequestID(t.uv()), balancer.Cause(t.u8())
	case balancer.Wake:
		a.At, a.Token = balancer.Time(t.iv()), t.uv()
	case balancer.Close:
		a.Host = balancer.HostID(t.u64())
	case balancer.Log:
		a.Host, a.Text = balancer.HostID(t.u64()), t.text()
	case balancer.Poll:
	default:
		t.err = fmt.Errorf("action of kind %d", kind)
	}
	return a
}

func (t *taker) view(now balancer.Time) (v balancer.HostView) {
	v.Host = balancer.HostID(t.u64())
	flags := t.u8()
	v.State, v.Cause = balancer.HostState(flags&3), balancer.Cause(flags>>5)
	v.InSubset, v.Warming, v.Overdue = flags&4 != 0, flags&8 != 0, flags&16 != 0
	v.InFlight = int(t.iv())
	v.ConcurrencyLimit, v.RecentRTT, v.EstimatedRTT = float64(t.iv())/1e3, float64(t.iv())/1e3, float64(t.iv())/1e6
	v.Ejections = int(t.iv())
	for _, to := range []*balancer.Time{&v.EjectedUntil, &v.RestingUntil, &v.NextSlowStartSend} {
		if d := t.iv(); d > 0 {
			*to = now + balancer.Time(d)
		}
	}
	v.ExcludedFor = t.uv()
	return v
}
