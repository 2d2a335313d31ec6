package lease

import (
	"maps"
	"slices"
	"time"

	"dunemoor/internal/cluster/failpoint"
)

// Limits of overrides. There are few, and each gateway keeps all of them in memory and in a file:
// therefore they are part of the coordination state.
const (
	MaxOverrides   = 512
	MaxReasonBytes = 200
	// MaxOverrideDuration bounds an override that expires.
	MaxOverrideDuration = 30 * 24 * time.Hour
	// overrideWriteInterval is how often a leader records how long an override still lasts. The next
	// leader counts from there: an override never ends early, and at most this late for each change
	// of the leader.
	overrideWriteInterval = time.Minute
)

// Override is an operator's instruction to drain a host, for the whole fleet.
type Override struct {
	Pool      string `json:"pool"`
	Host      string `json:"host"` // its ID in the pool's endpoint list
	Reason    string `json:"reason,omitempty"`
	CreatedBy string `json:"by,omitempty"` // gateway that the operator called
	// Remaining is how long it lasts, as last recorded; 0: until it is removed.
	Remaining       time.Duration `json:"left,omitempty"`
	CreatedRevision uint64        `json:"since"`
}

// Key identifies the host over all pools.
func (o *Override) Key() string { return o.Pool + "/" + o.Host }

// applyOverride adds or removes an override. A command that arrives behind a later one of the same
// session is not carried out: the operator has given up on it and may have said otherwise since.
func (s *State) applyOverride(x *Session, c *Command) Result {
	switch {
	case c.Request < x.LastRequest && !failpoint.Enabled(failpoint.ApplySuperseded):
		return Result{Code: Superseded, Reason: reasonSuperseded}
	case c.Op == OpDrainHost:
		return s.drainHost(x, c)
	}
	return s.undrainHost(c)
}

func (s *State) drainHost(x *Session, c *Command) Result {
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
	s.Overrides[o.Key()] = &Override{o.Pool, o.Host, o.Reason, x.Name, o.Remaining, s.Revision}
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

// expireOverride records how long an override still lasts. The command may come from a former
// leader: it applies only to the override that was created at the given revision, and only shortens
// it.
func (s *State) expireOverride(c *Command) Result {
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

// ListOverrides returns the overrides ordered by their keys.
func (s *State) ListOverrides() (list []Override) {
	for _, key := range slices.Sorted(maps.Keys(s.Overrides)) {
		list = append(list, *s.Overrides[key])
	}
	return list
}

// overrideTimer is how a leader counts down an override that expires.
type overrideTimer struct {
	createdRevision      uint64
	startedAt, writtenAt time.Duration
	remaining            time.Duration // at startedAt
}

// OverrideUpdates returns the commands that record, as of now, how long overrides still last.
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
			list = append(list, Command{Op: OpExpireOverride, Override: update})
		}
		t.overrideTimers[key] = timer
	}
	return list
}
