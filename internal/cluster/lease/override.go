package lease

import (
	"maps"
	"slices"
	"time"

	"dunemoor/internal/cluster/failpoint"
)

// Limits of overrides. Overrides are part of the coordination state because they are few and every
// gateway stores all of them in memory and in a file.
const (
	MaxOverrides   = 512
	MaxReasonBytes = 200
	// MaxOverrideDuration bounds the duration of an override that expires.
	MaxOverrideDuration = 30 * 24 * time.Hour
	// overrideWriteInterval is the interval at which a leader records the remaining duration of an
	// override. The next leader counts down from the recorded value, so an override never ends early, and
	// each change of the leader delays its end by at most this interval.
	overrideWriteInterval = time.Minute
)

// Override is an operator's instruction to drain a host in the whole fleet.
type Override struct {
	Pool      string `json:"pool"`
	Host      string `json:"host"` // ID of the host in the pool's endpoint list
	Reason    string `json:"reason,omitempty"`
	CreatedBy string `json:"by,omitempty"` // gateway that received the operator's request
	// Remaining is the last recorded remaining duration, or 0 if the override does not expire.
	Remaining       time.Duration `json:"left,omitempty"`
	CreatedRevision uint64        `json:"since"`
}

// Key returns the identifier of the host across all pools.
func (o *Override) Key() string { return o.Pool + "/" + o.Host }

// applyOverride adds or removes an override. A command that is committed after a later one of the same
// session has no effect: the operator no longer waits for it, and may have issued a contrary command since.
func (s *State) applyOverride(sess *Session, c *Command) Result {
	switch {
	case c.Request < sess.LastRequest && !failpoint.Enabled(failpoint.ApplySuperseded):
		return Result{Code: Superseded, Reason: reasonSuperseded}
	case c.Op == OpDrainHost:
		return s.drainHost(sess, c)
	}
	return s.undrainHost(c)
}

func (s *State) drainHost(sess *Session, c *Command) Result {
	o := c.Override
	switch {
	case o == nil || o.Pool == "" || o.Host == "" || len(o.Key()) > 2*MaxNameBytes:
		return rejectf(reasonBadOverride)
	case len(o.Reason) > MaxReasonBytes:
		return rejectf(reasonLongReason, MaxReasonBytes)
	case o.Remaining < 0 || o.Remaining > MaxOverrideDuration:
		return rejectf(reasonLongOverride, MaxOverrideDuration)
	case s.Overrides[o.Key()] == nil && len(s.Overrides) >= MaxOverrides:
		return rejectf(reasonTooManyOverrides, MaxOverrides)
	}
	if s.Overrides == nil {
		s.Overrides = map[string]*Override{}
	}
	s.Overrides[o.Key()] = &Override{o.Pool, o.Host, o.Reason, sess.Name, o.Remaining, s.Revision}
	s.OverridesModRevision = s.Revision
	return Result{Code: OK}
}

func (s *State) undrainHost(c *Command) Result {
	if c.Override == nil || s.Overrides[c.Override.Key()] == nil {
		return rejectf(reasonNoOverride)
	}
	delete(s.Overrides, c.Override.Key())
	s.OverridesModRevision = s.Revision
	return Result{Code: OK}
}

// updateOverride records the remaining duration of an override, or removes an override that has expired.
// As a former leader may have proposed the command, it applies only to the override that was created at
// the given revision, and never extends it.
func (s *State) updateOverride(c *Command) Result {
	if c.Override == nil {
		return Result{Code: Rejected}
	}
	o := s.Overrides[c.Override.Key()]
	switch {
	case o == nil || o.CreatedRevision != c.Override.CreatedRevision || o.Remaining == 0:
		return Result{Code: StaleToken}
	case c.Override.Remaining <= 0:
		delete(s.Overrides, o.Key())
		s.OverridesModRevision = s.Revision
	default:
		o.Remaining = min(o.Remaining, c.Override.Remaining)
	}
	return Result{Code: OK}
}

// ListOverrides returns the overrides, sorted by key.
func (s *State) ListOverrides() (list []Override) {
	for _, key := range slices.Sorted(maps.Keys(s.Overrides)) {
		list = append(list, *s.Overrides[key])
	}
	return list
}

// overrideTimer is a leader's countdown of an override that expires.
type overrideTimer struct {
	createdRevision      uint64
	startedAt, writtenAt time.Duration
	remaining            time.Duration // remaining duration of the override at startedAt
}

// OverrideUpdates returns the commands that record the remaining durations of overrides as of now.
func (t *ExpiryTracker) OverrideUpdates(now time.Duration, s *State) (list []Command) {
	for key := range t.overrideTimers {
		if s.Overrides[key] == nil {
			delete(t.overrideTimers, key)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(s.Overrides)) {
		o := s.Overrides[key]
		if o.Remaining == 0 {
			continue
		}
		timer, ok := t.overrideTimers[key]
		if !ok || timer.createdRevision != o.CreatedRevision {
			timer = overrideTimer{o.CreatedRevision, now, now, o.Remaining}
		}
		remaining := timer.remaining - (now - timer.startedAt)
		if remaining <= 0 || now >= timer.writtenAt+overrideWriteInterval {
			timer.writtenAt = now
			update := &Override{Pool: o.Pool, Host: o.Host, CreatedRevision: o.CreatedRevision, Remaining: max(0, remaining)}
			list = append(list, Command{Op: OpUpdateOverride, Override: update})
		}
		t.overrideTimers[key] = timer
	}
	return list
}
