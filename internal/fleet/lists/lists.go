// Package lists decides which word on a pool's hosts a gateway takes: that of the owner of the
// fleet's duty, who watches discovery for all, or that of discovery itself. It does no I/O and
// reads no clock.
//
// An older list must never take the place of a newer one, as it would make a host ready again
// that drains or is gone. An owner is known by its token; who has a lower one than was heard of is
// an owner of before, and not listened to (the member's fence). A new owner may know less than the
// one before, as discovery tells it late: its lists count only from the version on that is known
// here. The same owner's word counts in the order in which it was said, whatever the version:
// discovery itself may begin to count anew.
package lists

import "time"

// Times.
const (
	// BeatEvery is how often an owner says that its list still stands.
	BeatEvery = 2 * time.Second
	// Quiet is how long a gateway goes by the owner's last word: three beats are lost by then. It
	// is as long as a watch of discovery may say nothing.
	Quiet = 6 * time.Second
	// First is how long a gateway that has just begun waits for an owner's word before it watches
	// by itself: what else it waits for at a start takes as long.
	First = time.Second
)

// Kind is what an owner says.
type Kind string

// The kinds.
const (
	Beat    Kind = "beat"    // the list of Version still stands
	Whole   Kind = "whole"   // all hosts, as of Version
	Changes Kind = "changes" // what changed from From to Version
)

// Word is what an owner says of a list.
type Word struct {
	Kind    Kind   `json:"kind"`
	From    uint64 `json:"from,omitempty"`
	Version uint64 `json:"version"`
}

// Verdict is what to do with a word.
type Verdict int

// The verdicts.
const (
	Ignore Verdict = iota
	Take           // give it to the pool
	Heard          // it says nothing new
	Behind         // something was missed: ask the owner for all
)

// Follower is one gateway's part, for one pool.
type Follower struct {
	version uint64
	known   bool   // a list is
	token   uint64 // of the owner whose word was taken last
	heard   time.Duration
	owner   bool
	alone   bool
}

// New begins at now.
func New(now time.Duration) *Follower {
	return &Follower{heard: now - Quiet + First}
}

// Own tells whether this gateway is the owner.
func (f *Follower) Own(now time.Duration, owner bool) {
	if f.owner && !owner {
		f.heard = now // the next has its time to say something
	}
	f.owner = owner
}

// Hear takes an owner's word.
func (f *Follower) Hear(now time.Duration, token uint64, w Word) Verdict {
	v := f.judge(token, w)
	if v == Take {
		f.version, f.known = w.Version, true
	}
	if v == Take || v == Heard {
		f.token, f.heard, f.alone = token, now, false
	}
	return v
}

func (f *Follower) judge(token uint64, w Word) Verdict {
	same := token == f.token
	switch {
	case f.owner || token < f.token:
		return Ignore // it is ours to say, or an owner's of before
	case !same && f.known && w.Version < f.version:
		return Ignore // a new owner that knows less than we
	}
	switch w.Kind {
	case Whole:
		return Take
	case Changes:
		switch {
		case !f.known || w.From > f.version:
			return Behind
		case w.Version <= f.version && w.From < f.version:
			return Heard // it came with the whole list
		case w.From == f.version:
			return Take
		}
		return Behind
	case Beat:
		if !f.known || w.Version != f.version {
			return Behind
		}
		return Heard
	}
	return Ignore
}

// Direct takes what discovery itself has told, and says whether it counts: changes that are no
// newer than what an owner has said meanwhile do not.
func (f *Follower) Direct(version uint64, whole bool) bool {
	if !whole && f.known && version <= f.version {
		return false
	}
	f.version, f.known = version, true
	return true
}

// Watch says whether discovery is to be watched from here now: by the owner, and by a gateway that
// has not heard a good word for too long.
func (f *Follower) Watch(now time.Duration) bool {
	if !f.owner && now-f.heard >= Quiet {
		f.alone = true
	}
	return f.owner || f.alone
}

// Alone says whether the gateway goes by itself for want of an owner's word.
func (f *Follower) Alone() bool { return f.alone && !f.owner }

// Version is that of the list as it is known.
func (f *Follower) Version() uint64 { return f.version }
