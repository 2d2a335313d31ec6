package endpoints

import (
	"math/rand/v2"
	"testing"
	"time"
)

// owner is who tells a list; what it knows may be behind what discovery has.
type owner struct {
	token, version uint64
}

type sent struct {
	token uint64
	word  Update
}

// Whatever is lost, and whenever owners change, also to one that knows less: no word of a new
// owner takes a gateway back behind what it knew, changes are taken only where they fit, and once
// words come again the gateway is at the owner's version.
func TestFollower(t *testing.T) {
	for seed := range uint64(3000) {
		r := rand.New(rand.NewPCG(seed, 1))
		now, truth := time.Hour, uint64(10)
		f := NewFollower(now)
		o := owner{token: 1, version: truth}
		hear := func(s sent) Verdict {
			was, from := f.Version(), f.token
			v := f.Receive(now, s.token, s.word)
			if v == Apply && s.token != from && f.Version() < was {
				t.Fatalf("seed %d: owner %d took the list from %d back to %d", seed, s.token, was, f.Version())
			}
			if v == Apply && s.word.Kind == KindChanges && s.word.From != was {
				t.Fatalf("seed %d: changes from %d were taken at %d", seed, s.word.From, was)
			}
			return v
		}
		for range 200 {
			now += time.Duration(r.Int64N(int64(time.Second)))
			lost := r.IntN(4) == 0
			switch r.IntN(5) {
			case 0, 1: // discovery changes, and its owner tells
				truth++
				s := sent{o.token, Update{KindChanges, o.version, truth}}
				o.version = truth
				if !lost && hear(s) == Outdated {
					hear(sent{o.token, Update{KindFull, 0, o.version}})
				}
			case 2:
				if !lost && hear(sent{o.token, Update{KindHeartbeat, 0, o.version}}) == Outdated && r.IntN(2) == 0 {
					hear(sent{o.token, Update{KindFull, 0, o.version}})
				}
			case 3: // another owner, that may be behind; the one of before still says something
				old := o
				o = owner{o.token + 1, truth - uint64(r.IntN(3))}
				hear(sent{o.token, Update{KindHeartbeat, 0, o.version}})
				before := f.Version()
				if f.token == o.token && hear(sent{old.token, Update{KindFull, 0, old.version + 5}}) != Ignore {
					t.Fatalf("seed %d: an owner of before was listened to", seed)
				} else if f.Version() != before && f.token == o.token {
					t.Fatalf("seed %d: an owner of before changed the list", seed)
				}
			case 4:
				if f.ShouldWatch(now) && !f.ReceiveDirect(truth, r.IntN(2) == 0) && f.Version() < truth {
					t.Fatalf("seed %d: discovery's own word on %d did not count at %d", seed, truth, f.Version())
				}
			}
		}
		o.version = truth
		for range 2 { // a beat tells that something was missed, and the whole is asked for
			if hear(sent{o.token, Update{KindHeartbeat, 0, o.version}}) == Outdated {
				hear(sent{o.token, Update{KindFull, 0, o.version}})
			}
		}
		if f.Version() != truth {
			t.Fatalf("seed %d: at %d, the owner at %d", seed, f.Version(), truth)
		}
	}
}

// Without a good word for Quiet a gateway watches by itself, until it hears one again; an owner
// watches always. The same owner's word counts though discovery counts anew.
func TestAlone(t *testing.T) {
	f := NewFollower(0)
	if f.ShouldWatch(StartupTimeout - 1) {
		t.Error("it watches before an owner could have spoken")
	}
	if !f.ShouldWatch(StartupTimeout) || !f.Unassisted() || !f.ReceiveDirect(7, true) {
		t.Error("it does not watch by itself")
	}
	if f.Receive(StartupTimeout, 3, Update{KindHeartbeat, 0, 6}) != Ignore || !f.Unassisted() {
		t.Error("an owner that knows less is listened to")
	}
	if f.Receive(StartupTimeout, 3, Update{KindFull, 0, 8}) != Apply || f.ShouldWatch(StartupTimeout+PublicationTimeout-1) {
		t.Error("it goes on by itself though it was told")
	}
	if f.Receive(StartupTimeout, 3, Update{KindFull, 0, 2}) != Apply || f.Version() != 2 {
		t.Error("discovery counts anew, and its owner is not believed")
	}
	if f.SetHolder(StartupTimeout, true); !f.ShouldWatch(StartupTimeout) || f.Unassisted() || f.Receive(StartupTimeout, 9, Update{KindFull, 0, 20}) != Ignore {
		t.Error("an owner does not watch, or listens to another")
	}
	if f.SetHolder(time.Minute, false); f.ShouldWatch(time.Minute + PublicationTimeout - 1) {
		t.Error("who was the owner leaves the next no time")
	}
}
