package balancer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
)

// A checkpoint is the complete state of a Balancer as bytes. A Balancer restored from it acts exactly as the
// one that it was taken from, so that a recording can be replayed from any checkpoint and not only from the
// start.
//
// One walk over the state serves both directions: what is saved is what is loaded.

// checkpointVersion changes whenever the contents of a checkpoint change.
const checkpointVersion = 4

// Checkpoint appends the state to dst. The actions decided before must have been taken.
func (b *Balancer) Checkpoint(dst []byte) []byte {
	s := state{buf: dst}
	version := uint64(checkpointVersion)
	s.u64(&version)
	b.walk(&s)
	return s.buf
}

// Restore returns the Balancer that a checkpoint was taken of. The settings must be those that it had.
func Restore(set Settings, data []byte) (*Balancer, error) {
	b, err := New(set, 0)
	if err != nil {
		return nil, err
	}
	s := state{buf: data, loading: true}
	var version uint64
	s.u64(&version)
	if version != checkpointVersion {
		return nil, fmt.Errorf("checkpoint: version %d, this build reads %d", version, checkpointVersion)
	}
	b.walk(&s)
	if s.err == nil && len(s.buf) > 0 {
		s.err = errors.New("it is followed by more bytes")
	}
	if s.err != nil {
		return nil, fmt.Errorf("checkpoint: %w", s.err)
	}
	return b, nil
}

// state is the walk: each step appends to buf, or takes from it when loading.
type state struct {
	buf     []byte
	loading bool
	err     error
}

func (s *state) fail(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf(format, args...)
	}
	s.buf = nil
}

func (s *state) u64(v *uint64) {
	if !s.loading {
		s.buf = binary.AppendUvarint(s.buf, *v)
		return
	}
	x, n := binary.Uvarint(s.buf)
	if n <= 0 {
		*v = 0
		s.fail("it is cut off")
		return
	}
	*v, s.buf = x, s.buf[n:]
}

func (s *state) f64(v *float64) {
	if !s.loading {
		s.buf = binary.LittleEndian.AppendUint64(s.buf, math.Float64bits(*v))
		return
	}
	if len(s.buf) < 8 {
		*v = 0
		s.fail("it is cut off")
		return
	}
	*v, s.buf = math.Float64frombits(binary.LittleEndian.Uint64(s.buf)), s.buf[8:]
}

func (s *state) flag(v *bool) {
	var x uint64
	if *v {
		x = 1
	}
	s.u64(&x)
	*v = x != 0
}

// whole walks an integer, signed or not.
func whole[T ~int | ~int64 | ~uint8 | ~uint64](s *state, v *T) {
	z := int64(*v)
	x := uint64(z<<1) ^ uint64(z>>63)
	s.u64(&x)
	*v = T(int64(x>>1) ^ -int64(x&1))
}

// count walks a number of items, each of which has at least a byte: it guards against allocating memory for
// items that are not there.
func (s *state) count(n int) int {
	x := uint64(n)
	s.u64(&x)
	if s.loading && x > uint64(len(s.buf)) {
		s.fail("%d items in %d bytes", x, len(s.buf))
		return 0
	}
	return int(x)
}

// index walks a number below n, or -1.
func (s *state) index(i, n int) int {
	whole(s, &i)
	if s.loading && (i < -1 || i >= n) {
		s.fail("%d is not among %d", i, n)
		return -1
	}
	return i
}

func (s *state) means(list *[]movingAverage) {
	n := s.count(len(*list))
	if s.loading {
		*list = make([]movingAverage, n)
	}
	for i := range *list {
		s.mean(&(*list)[i])
	}
}

func (s *state) mean(m *movingAverage) {
	s.f64(&m.mean)
	s.f64(&m.dev)
	s.flag(&m.seen)
	whole(s, &m.n)
	whole(s, &m.at)
}

func (s *state) rate(r *decayingRate) {
	s.f64(&r.rate)
	whole(s, &r.at)
	if s.loading {
		r.seenAt = -1 // it is computed again
	}
}

// walk walks the state, without the settings and what is derived from them.
func (b *Balancer) walk(s *state) {
	whole(s, &b.rng)
	whole(s, &b.now)
	whole(s, &b.nextMove)
	whole(s, &b.lastUnserved)
	for _, n := range []*int{&b.inFlight, &b.scanned} {
		whole(s, n)
	}
	s.flag(&b.ringBuilt)
	s.flag(&b.subsetCurrent)
	for _, r := range []*decayingRate{&b.requests, &b.sends, &b.successes} {
		s.rate(r)
	}
	classes := len(b.classRTT)
	s.means(&b.classRTT)
	if s.loading && len(b.classRTT) != classes {
		s.fail("it is of %d classes, the settings have %d", len(b.classRTT), classes)
		return
	}
	for i := range b.starvation {
		s.f64(&b.starvation[i].share)
		whole(s, &b.starvation[i].at)
	}
	s.means(&b.kindRTT)
	for _, m := range []*movingAverage{&b.anyRTT, &b.warmHostRate, &b.pressure} {
		s.mean(m)
	}
	for i := range b.quota {
		s.f64(&b.quota[i].tokens)
		whole(s, &b.quota[i].at)
	}
	for _, t := range []*Time{&b.sendRateCutAt, &b.sendRateGrownAt, &b.tokensAt, &b.sweepAt, &b.pollAt} {
		whole(s, t)
	}
	for _, f := range []*float64{&b.sendRate, &b.sendTokens, &b.unansweredShare} {
		s.f64(f)
	}
	s.flag(&b.polling)
	whole(s, &b.pollFailures)
	for i := range b.logs {
		whole(s, &b.logs[i].at)
		s.flag(&b.logs[i].logged)
		whole(s, &b.logs[i].suppressed)
	}
	b.walkHosts(s)
	b.walkRequests(s)
}
