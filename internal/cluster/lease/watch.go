package lease

import (
	"maps"
	"slices"
	"time"

	"dunemoor/internal/cluster/failpoint"
)

// Times of a session.
const (
	// TTL is how long a session lasts behind a renewal.
	TTL = 3 * time.Second
	// RenewEvery is when a gateway renews: two renewals may be lost.
	RenewEvery = time.Second
	// DriftShare is how much faster one clock may run than another in the time of a session: an
	// owner's deadline is that much earlier. Crystals differ by 1 in 10,000, a clock that is
	// slewed by 1 in 2,000; 1 in 50 leaves room for a timer that is read late.
	DriftShare = 50
)

// OwnDeadline is until when an owner may believe itself that sent its last confirmed renewal at
// sent: by the leader's clock the session lasts for TTL from later than that.
func OwnDeadline(sent time.Duration) time.Duration { return sent + TTL - TTL/DriftShare }

// Watch is a leader's view of which sessions live. It begins anew with each lead: what the one of
// before knew is not known, so each session has its whole time again.
type Watch struct {
	began   time.Duration
	until   map[uint64]time.Duration
	lapsing map[uint64]time.Duration // when their end was proposed
	hears   map[uint64]hearing
	words   map[string]lasting
	// next is before any session is over, as long as none but those up to opened is there: a tick
	// costs nothing until then.
	next   time.Duration
	opened uint64
}

// hearing is how far a gateway has heard our answers, and since when it stands there.
type hearing struct {
	seq   uint64
	since time.Duration
}

// DeafAfter is how long a gateway may renew without having heard an answer: it may have lost two.
// One that hears nothing believes itself no owner, and must not keep duties from others.
const DeafAfter = RenewEvery

// Hears takes note of the last answer that a gateway has heard, and says whether its renewals
// count.
func (w *Watch) Hears(session, seq uint64, now time.Duration) bool {
	h, ok := w.hears[session]
	if !ok || seq != h.seq {
		w.hears[session] = hearing{seq, now}
		return true
	}
	return now < h.since+DeafAfter
}

// NewWatch begins a lead at now.
func NewWatch(now time.Duration) *Watch {
	if failpoint.Enabled(failpoint.SkipGracePeriod) {
		now -= TTL
	}
	return &Watch{began: now, until: map[uint64]time.Duration{}, lapsing: map[uint64]time.Duration{}, hears: map[uint64]hearing{}, words: map[string]lasting{}}
}

// Again gives each session its whole time again, as of a lead that begins now: for a leader that
// stood still and can't tell who has renewed. Whose end was proposed stays so: the record may have
// it already.
func (w *Watch) Again(now time.Duration) {
	w.began = now
	clear(w.until)
	clear(w.hears)
}

// Renew takes note of a renewal heard at a time, and says whether it holds: one whose end was
// proposed already is not held up any more.
func (w *Watch) Renew(session uint64, heard time.Duration) bool {
	if _, ok := w.lapsing[session]; ok {
		return false
	}
	w.until[session] = max(w.until[session], heard+TTL)
	return true
}

// Left is how long a session lasts yet, by the leader's clock.
func (w *Watch) Left(now time.Duration, session uint64) time.Duration {
	return max(0, w.end(session)-now)
}

func (w *Watch) end(session uint64) time.Duration {
	if t, ok := w.until[session]; ok {
		return t
	}
	return w.began + TTL
}

// lapseAgain is when the end of a session is proposed once more, if nothing came of it.
const lapseAgain = time.Second

// Lapsed returns the sessions that are over, each once; whoever asks proposes their end.
func (w *Watch) Lapsed(now time.Duration, s *State) (list []uint64) {
	if now < w.next && s.NextID == w.opened {
		return nil
	}
	w.opened, w.next = s.NextID, now+TTL
	for id := range w.until {
		if s.Sessions[id] == nil {
			delete(w.until, id)
		}
	}
	for id := range w.hears {
		if s.Sessions[id] == nil {
			delete(w.hears, id)
		}
	}
	for id := range w.lapsing {
		if s.Sessions[id] == nil {
			delete(w.lapsing, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.Sessions)) {
		if at, ok := w.lapsing[id]; now >= w.end(id) && (!ok || now >= at+lapseAgain) {
			w.lapsing[id] = now
			list = append(list, id)
		}
		if at, ok := w.lapsing[id]; ok {
			w.next = min(w.next, at+lapseAgain)
		} else {
			w.next = min(w.next, w.end(id))
		}
	}
	return list
}

// Opened takes note of a session begun now: its time counts from here.
func (w *Watch) Opened(now time.Duration, session uint64) { w.Renew(session, now) }
