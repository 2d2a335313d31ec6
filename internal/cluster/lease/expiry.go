package lease

import (
	"maps"
	"slices"
	"time"

	"dunemoor/internal/cluster/failpoint"
)

// Durations of a session.
const (
	// TTL is how long a session lasts after a renewal.
	TTL = 3 * time.Second
	// RenewInterval is the time between two renewals of a gateway. With a TTL of three intervals, two
	// renewals may be lost.
	RenewInterval = time.Second
	// AckTimeout is the time after which the leader refuses the renewals of a gateway that acknowledge no
	// newer reply than before. Renewals without a reply are repeated within this time, so the loss of one
	// reply causes no refusal; the loss of two may. A gateway that receives no replies no longer acts as
	// the holder of its leases, and must not prevent others from holding them.
	AckTimeout = RenewInterval
	// ClockDriftDivisor is the reciprocal of the relative difference allowed between the rates of two
	// clocks; a holder's deadline is earlier by that fraction of TTL. Crystal oscillators differ by
	// 1 in 10,000 and a slewed clock by 1 in 2,000; 1 in 50 also covers timers that are read late.
	ClockDriftDivisor = 50
	// expireRetryInterval is the time between two proposals to end the same session.
	expireRetryInterval = time.Second
)

// HolderDeadline returns the time until which a gateway may act as the holder of its leases, given the
// time at which it sent its last confirmed renewal. The leader counts the TTL of the session from a
// later time.
func HolderDeadline(sent time.Duration) time.Duration { return sent + TTL - TTL/ClockDriftDivisor }

// ExpiryTracker records at the leader when each session expires. Each new leader starts with an empty
// tracker, as the renewals at its predecessor are not replicated, and therefore grants every session a
// full TTL.
type ExpiryTracker struct {
	startedAt      time.Duration
	expiresAt      map[uint64]time.Duration // by session
	expiring       map[uint64]time.Duration // by session: time at which its end was last proposed
	acknowledged   map[uint64]ackProgress
	overrideTimers map[string]overrideTimer
	// No session expires before nextCheck unless a session newer than lastSessionID is opened, so Expired
	// returns early until then.
	nextCheck     time.Duration
	lastSessionID uint64
}

// ackProgress is the sequence number of the latest reply that a gateway has acknowledged, and when it
// was first acknowledged.
type ackProgress struct {
	seq   uint64
	since time.Duration
}

// NewExpiryTracker returns the tracker of a leader that was elected at now.
func NewExpiryTracker(now time.Duration) *ExpiryTracker {
	if failpoint.Enabled(failpoint.SkipGracePeriod) {
		now -= TTL
	}
	return &ExpiryTracker{
		startedAt: now, expiresAt: map[uint64]time.Duration{}, expiring: map[uint64]time.Duration{},
		acknowledged: map[uint64]ackProgress{}, overrideTimers: map[string]overrideTimer{},
	}
}

// Reset extends every session to a full TTL from now. It is for a leader that was paused and therefore may
// have missed renewals. Renew still refuses sessions whose end was proposed, as the log may already contain
// the proposal.
func (t *ExpiryTracker) Reset(now time.Duration) {
	t.startedAt = now
	clear(t.expiresAt)
	clear(t.acknowledged)
}

// Acknowledge records the sequence number of the last reply that a gateway has received, and reports
// whether its renewals are accepted: see AckTimeout.
func (t *ExpiryTracker) Acknowledge(session, seq uint64, now time.Duration) bool {
	p, ok := t.acknowledged[session]
	if !ok || seq != p.seq {
		t.acknowledged[session] = ackProgress{seq, now}
		return true
	}
	return now < p.since+AckTimeout
}

// Renew extends a session for a renewal that was received at receivedAt. It reports false if the end of
// the session has already been proposed.
func (t *ExpiryTracker) Renew(session uint64, receivedAt time.Duration) bool {
	if _, ok := t.expiring[session]; ok {
		return false
	}
	t.expiresAt[session] = max(t.expiresAt[session], receivedAt+TTL)
	return true
}

// SessionOpened records a session that was opened at now.
func (t *ExpiryTracker) SessionOpened(now time.Duration, session uint64) { t.Renew(session, now) }

// Remaining returns the time until a session expires, by the leader's clock.
func (t *ExpiryTracker) Remaining(now time.Duration, session uint64) time.Duration {
	return max(0, t.deadline(session)-now)
}

func (t *ExpiryTracker) deadline(session uint64) time.Duration {
	if at, ok := t.expiresAt[session]; ok {
		return at
	}
	return t.startedAt + TTL
}

// Expired returns the IDs of the expired sessions in ascending order. The caller proposes their end. A
// session that still exists after expireRetryInterval is returned again.
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

// dropEnded deletes the entries of sessions that have ended.
func dropEnded[V any](bySession map[uint64]V, s *State) {
	for id := range bySession {
		if s.Sessions[id] == nil {
			delete(bySession, id)
		}
	}
}
