package balancer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"
)

// A checkpoint is the whole state of a Balancer as bytes. A Balancer restored from it
// acts from there on exactly as the one it was taken from, so that a recording can be
// replayed from any checkpoint and not only from the start.
//
// One walk over the state serves both ways: what is saved is what is loaded.

// checkpointVersion changes with every change of what a checkpoint holds.
const checkpointVersion = 4

// Checkpoint appends the state to dst. The actions decided must have been drained.
func (b *Balancer) Checkpoint(dst []byte) []byte {
	s := state{buf: dst}
	version := uint64(checkpointVersion)
	s.u64(&version)
	b.walk(&s)
	return s.buf
}

// Restore returns the Balancer that a checkpoint was taken of. The settings must be
// those that it ran with.
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
		s.err = errors.New("bytes are left over")
	}
	if s.err != nil {
		return nil, fmt.Errorf("checkpoint: %w", s.err)
	}
	return b, nil
}

// state is the walk: with loading unset each step appends, else it takes.
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

// whole walks any whole number, signed or not.
func whole[T ~int | ~int64 | ~uint8 | ~uint64](s *state, v *T) {
	z := int64(*v)
	x := uint64(z<<1) ^ uint64(z>>63)
	s.u64(&x)
	*v = T(int64(x>>1) ^ -int64(x&1))
}

// count walks a number of items, each of which takes a byte at least: it guards against
// a length that would have memory taken for what is not there.
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
		r.seenAt = -1 // what was worked out is worked out again
	}
}

// walk goes over all state but the settings and what follows from them.
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

func (b *Balancer) walkHosts(s *state) {
	n := s.count(len(b.hosts))
	if s.loading {
		b.hosts = make([]*host, n)
	}
	for i := range n {
		if s.loading {
			b.hosts[i] = &host{index: i, class: make([]classErrors, len(b.set.Classes)), readySet: setNone}
		}
		h := b.hosts[i]
		h.walk(s)
		if s.loading {
			b.byID[h.ID] = h
			b.addToKind(h)
		}
	}
	for k := range b.sets {
		b.walkList(s, &b.sets[k].list)
		for i, h := range b.sets[k].list {
			if h.position[k] = i + 1; k < setBusy {
				h.readySet = k
			}
		}
	}
	b.walkList(s, &b.rechecks)
	for i, h := range b.rechecks {
		h.recheckPosition = i + 1
	}
	if !s.loading {
		return
	}
	for _, h := range b.hosts {
		if h.ranked = h.rank(); h.ranked > 0 {
			b.readyHosts[h.ranked-1]++
		}
		h.counted.unrecovered = h.counted.ready && h.ejections > 0 // it follows from what is kept
		b.counts.add(h.counted, 1)
		for i := range h.class {
			if h.class[i].counted {
				b.excluded[i].add(h.counted, 1)
			}
		}
	}
	if b.ringBuilt {
		b.buildRing()
	}
}

// walkList walks a list of hosts, each by its place among all.
func (b *Balancer) walkList(s *state, list *[]*host) {
	n := s.count(len(*list))
	if s.loading {
		*list = make([]*host, 0, n)
	}
	for i := range n {
		k := 0
		if !s.loading {
			k = (*list)[i].index
		}
		k = s.index(k, len(b.hosts))
		if k < 0 {
			s.fail("a list names no host")
			return
		}
		if s.loading {
			*list = append(*list, b.hosts[k])
		}
	}
}

func (h *host) walk(s *state) {
	whole(s, &h.ID)
	whole(s, &h.Zone)
	whole(s, &h.Cell)
	whole(s, &h.Kind)
	whole(s, &h.State)
	h.ringHash = mix(uint64(h.ID))
	for _, t := range []*Time{&h.Started, &h.rttAt, &h.lastResponse, &h.limitCutAt, &h.restingUntil, &h.ejectedUntil, &h.startedAt, &h.nextSlowStartSend, &h.recheckTime} {
		whole(s, t)
	}
	for _, f := range []*float64{&h.rtt, &h.concurrencyLimit} {
		s.f64(f)
	}
	for _, f := range []*bool{&h.sampled, &h.trialOut, &h.backoffCut, &h.warming, &h.hasErrors,
		&h.counted.ready, &h.counted.inUse, &h.counted.ejected, &h.counted.broken} {
		s.flag(f)
	}
	for _, n := range []*int{&h.brokenResponses, &h.ejections} {
		whole(s, n)
	}
	whole(s, &h.ejectCause)
	s.mean(&h.recentRTT)
	for i := range h.class {
		f := &h.class[i]
		s.f64(&f.share)
		whole(s, &f.at)
		whole(s, &f.exclusions)
		whole(s, &f.excludedAt)
		whole(s, &f.excludedUntil)
		s.flag(&f.counted)
	}
}

// walkRequests goes over the requests in the order of their ids, then the lines, then
// what is out at each host in the order sent.
func (b *Balancer) walkRequests(s *state) {
	ids := make([]RequestID, 0, len(b.open))
	for id := range b.open {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	n := s.count(len(ids))
	for i := range n {
		r := &request{}
		if !s.loading {
			r = b.open[ids[i]]
		}
		b.walkRequest(s, r)
		if s.err != nil {
			return
		}
		if s.loading {
			b.open[r.ID] = r
		}
	}
	for k := range b.queues {
		n, next := 0, b.queues[k].head
		for m := next; m != nil; m = m.next {
			n++
		}
		for n = s.count(n); n > 0; n-- {
			var id RequestID
			if !s.loading {
				id, next = next.item.ID, next.next
			}
			whole(s, &id)
			if !s.loading {
				continue
			}
			r := b.open[id]
			if r == nil || r.queued {
				s.fail("a line names no request")
				return
			}
			r.band = k
			b.addToQueue(r, false)
		}
	}
	for _, h := range b.hosts {
		n, next := h.inFlight, h.attempts.head
		for n = s.count(n); n > 0; n-- {
			var id RequestID
			var k int
			if !s.loading {
				a := next.item
				id, next = a.req.ID, next.next
				for k = range a.req.attempts {
					if a.req.attempts[k] == a {
						break
					}
				}
			}
			whole(s, &id)
			whole(s, &k)
			if !s.loading {
				continue
			}
			r := b.open[id]
			if r == nil || k < 0 || k >= len(r.attempts) || r.attempts[k].ended || r.attempts[k].host != h || r.attempts[k].link.item != nil {
				s.fail("a host names no attempt")
				return
			}
			a := r.attempts[k]
			a.link.item = a
			h.attempts.pushBack(&a.link)
			h.inFlight++
		}
	}
}

func (b *Balancer) walkRequest(s *state, r *request) {
	whole(s, &r.ID)
	whole(s, &r.Class)
	if r.Class < 0 || r.Class >= len(b.set.Classes) {
		s.fail("a request of class %d", r.Class)
		return
	}
	r.class = &b.set.Classes[r.Class]
	whole(s, &r.Tenant)
	for _, t := range []*Time{&r.Remaining, &r.arrived, &r.deadline, &r.waitUntil} {
		whole(s, t)
	}
	whole(s, &r.band)
	if r.band < 0 || r.band >= len(b.queues) {
		s.fail("a request in line %d", r.band)
		return
	}
	for _, f := range []*bool{&r.Duplicate, &r.done, &r.timedOut, &r.streaming} {
		s.flag(f)
	}
	n := s.count(len(r.attempts))
	for i := range n {
		if s.loading {
			r.attempts = append(r.attempts, &attempt{req: r})
		}
		a := r.attempts[i]
		var h Host
		live := false
		if !s.loading {
			h, live = a.host.Host, b.byID[a.host.ID] == a.host
		}
		s.flag(&live)
		whole(s, &h.ID)
		whole(s, &h.Zone)
		whole(s, &h.Cell)
		whole(s, &a.sent)
		whole(s, &a.result)
		whole(s, &a.overtakenBy)
		for _, f := range []*bool{&a.ended, &a.trial, &a.canceledStuck, &a.countedSilent} {
			s.flag(f)
		}
		if !s.loading {
			continue
		}
		if !a.ended {
			r.inFlight++
		}
		if live {
			a.host = b.byID[h.ID]
		} else if a.ended {
			// It was forgotten after the attempt ended: only its zone and cell still
			// count, for the repeats of a keyed request.
			h.State = Removed
			a.host = &host{Host: h}
		}
		if a.host == nil {
			s.fail("an attempt at no host")
			return
		}
	}
}
