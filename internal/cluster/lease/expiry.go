package lease

import (
	"maps"
	"slices"
	"time"

	"dunemoor/internal/cluster/failpoint"
)

// Times of a session.
const (
	// TTL is how long a session lasts after a renewal.
	TTL = 3 * time.Second
	// RenewInterval lies between two renewals of a gateway: two may be lost.
	RenewInterval = time.Second
	// AckTimeout is how long a gateway may renew without having received a reply: it may have lost
	// two. A gateway that receives nothing considers itself no holder, and must not keep its leases
	// from others.
	AckTimeout = RenewInterval
	// ClockDriftDivisor is the reciprocal of how much faster one clock may run than another over a
	// session: a holder's deadline is that much earlier. Crystals differ by 1 in 10,000, a clock that
	// is slewed by 1 in 2,000; 1 in 50 leaves room for a timer that is read late.
	ClockDriftDivisor = 50
	// expireRetryInterval lies between two proposals to end the same session.
	expireRetryInterval = time.Second
)

// HolderDeadline returns until when a gateway may act as the holder of its leases, where its last
// renewal that was confirmed was sent at sent: by the leader's clock the session lasts for TTL from a
// later moment.
func HolderDeadline(sent time.Duration) time.Duration { return sent + TTL - TTL/ClockDriftDivisor }

// ExpiryTracker is a leader's knowledge of which sessions are alive. Each leader begins with a new
// one: what its predecessor knew is lost, so that each session gets a full TTL.
type ExpiryTracker struct {
	startedAt      time.Duration
	expiresAt      map[uint64]time.Duration // by session
	expiring       map[uint64]time.Duration // when the end of a session was last proposed
	acknowledged   map[uint64]ackProgress
	overrideTimers map[string]overrideTimer
	// No session expires before nextCheck as long as lastSessionID is the newest: until then Expired
	// has nothing to do.
	nextCheck     time.Duration
	lastSessionID uint64
}

// ackProgress is the last reply that a gateway has received, and since when that is the last.
type ackProgress struct {
	seq   uint64
	since time.Duration
}

// NewExpiryTracker returns the tracker of a leader that is elected now.
func NewExpiryTracker(now time.Duration) *ExpiryTracker {
	if failpoint.Enabled(failpoint.SkipGracePeriod) {
		now -= TTL
	}
	return &ExpiryTracker{
		startedAt: now, expiresAt: map[uint64]time.Duration{}, expiring: map[uint64]time.Duration{},
		acknowledged: map[uint64]ackProgress{}, overrideTimers: map[string]overrideTimer{},
	}
}

// Reset gives each session a full TTL from now: for a leader that was paused and can't tell who has
// renewed. Sessions whose end was proposed remain so, as the log may have the proposal already.
func (t *ExpiryTracker) Reset(now time.Duration) {
	t.startedAt = now
	clear(t.expiresAt)
	clear(t.acknowledged)
}

// Acknowledge notes the last reply that a gateway has received and reports whether its renewals
// count.
func (t *ExpiryTracker) Acknowledge(session, seq uint64, now time.Duration) bool {
	p, ok := t.acknowledged[session]
	if !ok || seq != p.seq {
		t.acknowledged[session] = ackProgress{seq, now}
		return true
	}
	return now < p.since+AckTimeout
}

// Renew extends a session by a renewal that was received at a time. It reports false for a session
// whose end was proposed already.
func (t *ExpiryTracker) Renew(session uint64, receivedAt time.Duration) bool {
	if _, ok := t.expiring[session]; ok {
		return false
	}
	t.expiresAt[session] = max(t.expiresAt[session], receivedAt+TTL)
	return true
}

// SessionOpened notes a session that was opened now.
func (t *ExpiryTracker) SessionOpened(now time.Duration, session uint64) { t.Renew(session, now) }

// Remaining returns how long a session still lasts, by the leader's clock.
func (t *ExpiryTracker) Remaining(now time.Duration, session uint64) time.Duration {
	return max(0, t.deadline(session)-now)
}

func (t *ExpiryTracker) deadline(session uint64) time.Duration {
	if at, ok := t.expiresAt[session]; ok {
		return at
	}
	return t.startedAt + TTL
}

// Expired returns the sessions that are over, in their order. The caller proposes their end; a
// session that is still there is returned again after a while.
func (t *ExpiryTracker) Expired(now time.Duration, s *State) (list []uint64) {
	if now < t.nextCheck && s.LastSessionID == t.lastSessionID {
		return nil
	}
	t.lastSessionID, t.nextCheck = s.LastSessionID, now+TTL
	dropEnded(t.expiresAt, s)
	dropEnded(t.acknowledged, s)
	dropEnded(t.expiring, s)
	for _, id := range slices.Sorted(maps.Keys(s.Sessions)) {
		proposedAt, proposed := t.expiring[id]
		if now >= t.deadline(id) && (!proposed || now >= proposedAt+expireRetryInterval) {
			proposedAt, proposed = now, true
			t.expiring[id] = now
			list = append(list, id)
		}
		if proposed {
			t.nextCheck = min(t.nextCheck, proposedAt+expireRetryInterval)
		} else {
			t.nextCheck = min(t.nextCheck, t.deadline(id))
		}
	}
	return list
}

// dropEnded removes the entries of sessions that have ended.
func dropEnded[V any](bySession map[uint64]V, s *State) {
	for id := range bySession {
		if s.Sessions[id] == nil {
			delete(bySession, id)
		}
	}
}
