// Package endpoints decides which updates of a pool's endpoint list a gateway applies: those of the holder of
// the pool's list lease, which watches discovery for the fleet, or those of discovery itself. It does no I/O
// and reads no clock.
//
// An older list must never replace a newer one, as it would make a host ready again that is draining or gone.
// A holder is identified by its token, and one with a lower token than is known is ignored (the node's
// fence). A new holder may know less than the one before, as discovery is slow to tell it: its lists count
// only from the version that is known here. Updates of one holder count in the order in which they were sent,
// whatever their versions: discovery itself may begin to count anew.
package endpoints

import "time"

const (
	// HeartbeatInterval lies between two updates of a holder whose list has not changed.
	HeartbeatInterval = 2 * time.Second
	// PublicationTimeout is how long a gateway goes by the holder's last update: three heartbeats are lost by
	// then. It is as long as a watch of discovery may be silent.
	PublicationTimeout = 6 * time.Second
	// StartupTimeout is how long a gateway that has just started waits for an update before it watches
	// discovery itself: the other parts of a start take as long.
	StartupTimeout = time.Second
)

// Kind is a kind of update.
type Kind string

// Kinds of updates.
const (
	KindHeartbeat Kind = "beat"    // the list of Version is still valid
	KindFull      Kind = "whole"   // all hosts, as of Version
	KindChanges   Kind = "changes" // what changed from From to Version
)

// Update is what a holder publishes of a list.
type Update struct {
	Kind    Kind   `json:"kind"`
	From    uint64 `json:"from,omitempty"`
	Version uint64 `json:"version"`
}

// Verdict is what to do with an update.
type Verdict int

// Verdicts.
const (
	Ignore   Verdict = iota
	Apply            // pass it to the pool
	Current          // it says nothing new
	Outdated         // an update was missed: ask the holder for the full list
)

// Follower is one gateway's view of one pool's list.
type Follower struct {
	version    uint64 // of the list, if there is one
	hasList    bool
	token      uint64        // of the holder whose update was last accepted
	updatedAt  time.Duration // when that was, or when the wait for a holder's update began
	isHolder   bool
	unassisted bool // no update has arrived for too long
}

// NewFollower returns a Follower without a list.
func NewFollower(now time.Duration) *Follower {
	return &Follower{updatedAt: now - PublicationTimeout + StartupTimeout}
}

// SetHolder sets whether this gateway is the holder.
func (f *Follower) SetHolder(now time.Duration, isHolder bool) {
	if f.isHolder && !isHolder {
		f.updatedAt = now // the next holder gets its time
	}
	f.isHolder = isHolder
}

// Receive takes the update of a holder.
func (f *Follower) Receive(now time.Duration, token uint64, u Update) Verdict {
	v := f.classify(token, u)
	if v == Apply {
		f.version = u.Version
		f.hasList = true
	}
	if v == Apply || v == Current {
		f.token = token
		f.updatedAt = now
		f.unassisted = false
	}
	return v
}

func (f *Follower) classify(token uint64, u Update) Verdict {
	switch {
	case f.isHolder || token < f.token:
		return Ignore // this gateway publishes the list, or the update is of a former holder
	case token != f.token && f.hasList && u.Version < f.version:
		return Ignore // a new holder that knows less than this gateway
	}
	switch u.Kind {
	case KindFull:
		return Apply
	case KindChanges:
		return f.classifyChanges(u)
	case KindHeartbeat:
		if !f.hasList || u.Version != f.version {
			return Outdated
		}
		return Current
	}
	return Ignore
}

func (f *Follower) classifyChanges(u Update) Verdict {
	switch {
	case !f.hasList || u.From > f.version:
		return Outdated
	case u.Version <= f.version && u.From < f.version:
		return Current // they came with the full list
	case u.From == f.version:
		return Apply
	}
	return Outdated
}

// ReceiveDirect takes a list of discovery itself, and reports whether it counts: changes that are no newer
// than what a holder has published meanwhile do not.
func (f *Follower) ReceiveDirect(version uint64, full bool) bool {
	if !full && f.hasList && version <= f.version {
		return false
	}
	f.version = version
	f.hasList = true
	return true
}

// ShouldWatch reports whether this gateway has to watch discovery now: as the holder, or as it has had no
// valid update for too long.
func (f *Follower) ShouldWatch(now time.Duration) bool {
	if !f.isHolder && now-f.updatedAt >= PublicationTimeout {
		f.unassisted = true
	}
	return f.isHolder || f.unassisted
}

// Unassisted reports whether this gateway watches discovery for want of a holder's updates.
func (f *Follower) Unassisted() bool { return f.unassisted && !f.isHolder }

// Version returns the version of the list that is known.
func (f *Follower) Version() uint64 { return f.version }
