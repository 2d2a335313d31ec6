// Package endpoints decides which updates of a pool's endpoint list a gateway applies: those of the holder of
// the pool's list lease, which watches discovery for the fleet, or those of discovery itself. It does no I/O
// and reads no clock.
//
// An older list must never replace a newer one, because it would make hosts available again that are draining
// or gone. A holder is identified by its token, and updates with a lower token than the highest known one are
// ignored (the node's fence). A new holder may have an older list than the previous one, if discovery is slow
// to send it the latest: its updates are ignored until they reach the version that is known here. Updates of
// the same holder are applied in the order in which they were sent, whatever their versions, because discovery
// itself may restart its versions.
package endpoints

import "time"

const (
	// HeartbeatInterval is the time between two updates of a holder whose list does not change: that at which discovery
	// confirms the list to it.
	HeartbeatInterval = 2 * time.Second
	// PublicationTimeout is how long a gateway relies on the holder's last update. Three heartbeats are lost by
	// then. It is as long as a watch of discovery may be silent.
	PublicationTimeout = 6 * time.Second
	// StartupTimeout is how long a gateway that has just started waits for an update before it watches
	// discovery directly. The other parts of a start take as long.
	StartupTimeout = time.Second
)

// Kind is a kind of update.
type Kind string

// Kinds of updates.
const (
	KindHeartbeat Kind = "beat"    // the list of Version is still current: discovery has just confirmed it to the holder
	KindFull      Kind = "whole"   // all hosts of Version
	KindChanges   Kind = "changes" // the changes from version From to Version
)

// Update describes a publication of a list by its holder.
type Update struct {
	Kind    Kind   `json:"kind"`
	From    uint64 `json:"from,omitempty"`
	Version uint64 `json:"version"`
}

// Verdict is how a gateway handles an update.
type Verdict int

// Verdicts.
const (
	Ignore   Verdict = iota
	Apply            // pass it to the pool
	Current          // the update has nothing new
	Outdated         // an update was missed: request the full list from the holder
)

// Follower is the state of one pool's list on one gateway.
type Follower struct {
	version   uint64 // version of the list, if hasList is set
	hasList   bool
	token     uint64        // token of the holder whose update was last accepted
	updatedAt time.Duration // time at which that update arrived, or at which the wait for an update began
	isHolder  bool
	fallback  bool // no update has arrived for too long: discovery is watched directly
	hasLeft   bool // the gateway has left the fleet: discovery is watched directly
}

// NewFollower returns a Follower without a list.
func NewFollower(now time.Duration) *Follower {
	return &Follower{updatedAt: now - PublicationTimeout + StartupTimeout}
}

// SetHolder sets whether this gateway is the holder of the list lease.
func (f *Follower) SetHolder(now time.Duration, isHolder bool) {
	if f.isHolder && !isHolder {
		f.updatedAt = now // gives the next holder time to publish
	}
	f.isHolder = isHolder
}

// Leave handles the event that this gateway leaves the fleet. Updates of a holder are ignored from then on.
func (f *Follower) Leave() { f.hasLeft = true }

// HasLeft reports whether Leave has been called.
func (f *Follower) HasLeft() bool { return f.hasLeft }

// Receive handles an update of a holder.
func (f *Follower) Receive(now time.Duration, token uint64, u Update) Verdict {
	v := f.classify(token, u)
	if v == Apply {
		f.version = u.Version
		f.hasList = true
	}
	if v == Apply || v == Current {
		f.token = token
		f.updatedAt = now
		f.fallback = false
	}
	return v
}

func (f *Follower) classify(token uint64, u Update) Verdict {
	switch {
	case f.isHolder || f.hasLeft || token < f.token:
		return Ignore // this gateway does not follow a holder, or a former holder has sent the update
	case token != f.token && f.hasList && u.Version < f.version:
		return Ignore // the list of a new holder is older than the one here
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
		return Current // the full list had these changes already
	case u.From == f.version:
		return Apply
	}
	return Outdated
}

// ReceiveDirect handles a list from discovery itself, and reports whether it is applied. Changes are not
// applied if a holder has published the same or a later version in the meantime.
func (f *Follower) ReceiveDirect(version uint64, full bool) bool {
	if !full && f.hasList && version <= f.version {
		return false
	}
	f.version = version
	f.hasList = true
	return true
}

// ShouldWatch reports whether this gateway must watch discovery now: because it is the holder, or because it
// has received no valid update for too long, or because it has left the fleet.
func (f *Follower) ShouldWatch(now time.Duration) bool {
	if !f.isHolder && now-f.updatedAt >= PublicationTimeout {
		f.fallback = true
	}
	return f.isHolder || f.fallback || f.hasLeft
}

// InFallback reports whether this gateway watches discovery directly because it receives no updates of a holder.
func (f *Follower) InFallback() bool { return (f.fallback || f.hasLeft) && !f.isHolder }

// Version returns the version of the list, or 0 if there is none.
func (f *Follower) Version() uint64 { return f.version }
