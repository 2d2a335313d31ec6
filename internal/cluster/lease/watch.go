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
	RenewInterval = time.Second
	// DriftShare is how much faster one clock may run than another in the time of a session: an
	// owner's deadline is that much earlier. Crystals differ by 1 in 10,000, a clock that is
	// slewed by 1 in 2,000; 1 in 50 leaves room for a timer that is read late.
	ClockDriftDivisor = 50
)

// OwnDeadline is until when an owner may believe itself that sent its last confirmed renewal at
// sent: by the leader's clock the session lasts for TTL from later than that.
func HolderDeadline(sent time.Duration) time.Duration { return sent + TTL - TTL/ClockDriftDivisor }

// Watch is a leader's view of which sessions live. It begins anew with each lead: what the one of
// before knew is not known, so each session has its whole time again.
type ExpiryTracker struct {
	startedAt      time.Duration
	expiresAt      map[uint64]time.Duration
	expiring       map[uint64]time.Duration // when their end was proposed
	acknowledged   map[uint64]ackProgress
	overrideTimers map[string]overrideTimer
	// next is before any session is over, as long as none but those up to opened is there: a tick
	// costs nothing until then.
	nextCheck     time.Duration
	lastSessionID uint64
}

// hearing is how far a gateway has heard our answers, and since when it stands there.
type ackProgress struct {
	seq   uint64
	since time.Duration
}

// DeafAfter is how long a gateway may renew without having heard an answer: it may have lost two.
// One that hears nothing believes itself no owner, and must not keep duties from others.
const AckTimeout = RenewInterval

// Hears takes note of the last answer that a gateway has heard, and says whether its renewals
// count.
func (w *ExpiryTracker) Acknowledge(session, seq uint64, now time.Duration) bool {
	h, ok := w.acknowledged[session]
	if !ok || seq != h.seq {
		w.acknowledged[session] = ackProgress{seq, now}
		return true
	}
	return now < h.since+AckTimeout
}

// NewWatch begins a lead at now.
func NewExpiryTracker(now time.Duration) *ExpiryTracker {
	if failpoint.Enabled(failpoint.SkipGracePeriod) {
		now -= TTL
	}
	return &ExpiryTracker{startedAt: now, expiresAt: map[uint64]time.Duration{}, expiring: map[uint64]time.Duration{}, acknowledged: map[uint64]ackProgress{}, overrideTimers: map[string]overrideTimer{}}
}

// Again gives each session its whole time again, as of a lead that begins now: for a leader that
// stood still and can't tell who has renewed. Whose end was proposed stays so: the record may have
// it already.
func (w *ExpiryTracker) Reset(now time.Duration) {
	w.startedAt = now
	clear(w.expiresAt)
	clear(w.acknowledged)
}

// Renew takes note of a renewal heard at a time, and says whether it holds: one whose end was
// proposed already is not held up any more.
func (w *ExpiryTracker) Renew(session uint64, heard time.Duration) bool {
	if _, ok := w.expiring[session]; ok {
		return false
	}
	w.expiresAt[session] = max(w.expiresAt[session], heard+TTL)
	return true
}

// Left is how long a session lasts yet, by the leader's clock.
func (w *ExpiryTracker) Remaining(now time.Duration, session uint64) time.Duration {
	return max(0, w.deadline(session)-now)
}

func (w *ExpiryTracker) deadline(session uint64) time.Duration {
	if t, ok := w.expiresAt[session]; ok {
		return t
	}
	return w.startedAt + TTL
}

// lapseAgain is when the end of a session is proposed once more, if nothing came of it.
const expireRetryInterval = time.Second

// Lapsed returns the sessions that are over, each once; whoever asks proposes their end.
func (w *ExpiryTracker) Expired(now time.Duration, s *State) (list []uint64) {
	if now < w.nextCheck && s.LastSessionID == w.lastSessionID {
		return nil
	}
	w.lastSessionID, w.nextCheck = s.LastSessionID, now+TTL
	for id := range w.expiresAt {
		if s.Sessions[id] == nil {
			delete(w.expiresAt, id)
		}
	}
	for id := range w.acknowledged {
		if s.Sessions[id] == nil {
			delete(w.acknowledged, id)
		}
	}
	for id := range w.expiring {
		if s.Sessions[id] == nil {
			delete(w.expiring, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.Sessions)) {
		if at, ok := w.expiring[id]; now >= w.deadline(id) && (!ok || now >= at+expireRetryInterval) {
			w.expiring[id] = now
			list = append(list, id)
		}
		if at, ok := w.expiring[id]; ok {
			w.nextCheck = min(w.nextCheck, at+expireRetryInterval)
		} else {
			w.nextCheck = min(w.nextCheck, w.deadline(id))
		}
	}
	return list
}

// Opened takes note of a session begun now: its time counts from here.
func (w *ExpiryTracker) SessionOpened(now time.Duration, session uint64) { w.Renew(session, now) }
