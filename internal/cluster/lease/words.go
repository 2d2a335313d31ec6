package lease

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Bounds of operators' words. They are few and every gateway has all of them, in its memory and in
// a file: so they are in the record and not in a shelf.
const (
	MaxOverrides   = 512
	MaxReasonBytes = 200
	// LastMost is how long a word may last that ends by itself.
	MaxOverrideDuration = 30 * 24 * time.Hour
	// spendEvery is how often a leader writes down how long a word lasts yet: the next begins from
	// there, so that a word never ends early, and by so much late for each change of leaders.
	overrideWriteInterval = time.Minute
)

// The commands about operators' words.
const (
	OpDrainHost      Op = "drain"   // a host is to get nothing new, whatever its list says
	OpUndrainHost    Op = "undrain" // it is what its list says
	OpExpireOverride Op = "spend"   // the leader writes down how long a word lasts yet
)

// Word is an operator's word on a host, for the whole fleet.
type Override struct {
	Pool      string `json:"pool"`
	Host      string `json:"host"` // its id in the pool's list
	Reason    string `json:"reason,omitempty"`
	CreatedBy string `json:"by,omitempty"` // the gateway that was asked
	// Left is how long it lasts yet, as it was written down last; 0: until it is taken back.
	Remaining       time.Duration `json:"left,omitempty"`
	CreatedRevision uint64        `json:"since"` // index
}

// Key names the host.
func (w *Override) Key() string { return w.Pool + "/" + w.Host }

func (s *State) drainHost(x *Session, c *Command) Result {
	w := c.Override
	switch {
	case w == nil || w.Pool == "" || w.Host == "" || len(w.Key()) > 2*MaxNameBytes:
		return Result{Code: Rejected, Reason: "a word names a pool and a host, neither of them too long"}
	case len(w.Reason) > MaxReasonBytes:
		return Result{Code: Rejected, Reason: fmt.Sprintf("a reason has %d bytes at most", MaxReasonBytes)}
	case w.Remaining < 0 || w.Remaining > MaxOverrideDuration:
		return Result{Code: Rejected, Reason: fmt.Sprintf("a word that ends by itself lasts %v at most", MaxOverrideDuration)}
	case s.Overrides[w.Key()] == nil && len(s.Overrides) >= MaxOverrides:
		return Result{Code: Rejected, Reason: fmt.Sprintf("the fleet keeps %d words at most", MaxOverrides)}
	}
	if s.Overrides == nil {
		s.Overrides = map[string]*Override{}
	}
	s.Overrides[w.Key()] = &Override{w.Pool, w.Host, w.Reason, x.Name, w.Remaining, s.Revision}
	s.OverridesModRevision = s.Revision
	return Result{Code: OK}
}

func (s *State) undrainHost(c *Command) Result {
	if c.Override == nil || s.Overrides[c.Override.Key()] == nil {
		return Result{Code: Rejected, Reason: "there is no word on that host"}
	}
	delete(s.Overrides, c.Override.Key())
	s.OverridesModRevision = s.Revision
	return Result{Code: OK}
}

// spend takes a leader's account of a word, which may be one of before: it holds for the word that
// was said when it says, and only brings its end nearer.
func (s *State) expireOverride(c *Command) Result {
	if c.Override == nil {
		return Result{Code: Rejected}
	}
	w := s.Overrides[c.Override.Key()]
	switch {
	case w == nil || w.CreatedRevision != c.Override.CreatedRevision || w.Remaining == 0:
		return Result{Code: StaleToken}
	case c.Override.Remaining <= 0:
		delete(s.Overrides, w.Key())
		s.OverridesModRevision = s.Revision
	default:
		w.Remaining = min(w.Remaining, c.Override.Remaining)
	}
	return Result{Code: OK}
}

// lasting is a leader's account of a word that ends by itself.
type overrideTimer struct {
	createdRevision      uint64
	startedAt, writtenAt time.Duration
	remaining            time.Duration
}

// Spend is what a leader has to write down of words at now.
func (w *ExpiryTracker) OverrideUpdates(now time.Duration, s *State) (list []Command) {
	for key := range w.overrideTimers {
		if s.Overrides[key] == nil {
			delete(w.overrideTimers, key)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(s.Overrides)) {
		x := s.Overrides[key]
		if x.Remaining == 0 {
			continue
		}
		l, ok := w.overrideTimers[key]
		if !ok || l.createdRevision != x.CreatedRevision {
			l = overrideTimer{x.CreatedRevision, now, now, x.Remaining}
		}
		if left := l.remaining - (now - l.startedAt); left <= 0 || now >= l.writtenAt+overrideWriteInterval {
			l.writtenAt = now
			list = append(list, Command{Op: OpExpireOverride, Override: &Override{Pool: x.Pool, Host: x.Host, CreatedRevision: x.CreatedRevision, Remaining: max(0, left)}})
		}
		w.overrideTimers[key] = l
	}
	return list
}

// ListWords is the words in their order.
func (s *State) ListOverrides() (list []Override) {
	for _, key := range slices.Sorted(maps.Keys(s.Overrides)) {
		list = append(list, *s.Overrides[key])
	}
	return list
}
