package endpoints

import (
	"math/rand/v2"
	"testing"
	"time"
)

// publisher is the holder of a list lease. What it knows may be older than what discovery has.
type publisher struct {
	token, version uint64
}

// publication is an update under a token.
type publication struct {
	token  uint64
	update Update
}

// Whatever is lost, and whenever holders change, also to one that knows less: no update of a new holder takes a gateway
// back to an older version, changes are applied only to the version that they are based on, and once updates arrive
// again the gateway is at the holder's version.
func TestFollower(t *testing.T) {
	for seed := range uint64(3000) {
		r := rand.New(rand.NewPCG(seed, 1))
		now, truth := time.Hour, uint64(10)
		f := NewFollower(now)
		o := publisher{token: 1, version: truth}
		receive := func(p publication) Verdict {
			was, from := f.Version(), f.token
			v := f.Receive(now, p.token, p.update)
			if v == Apply && p.token != from && f.Version() < was {
				t.Fatalf("seed %d: holder %d took the list from %d back to %d", seed, p.token, was, f.Version())
			}
			if v == Apply && p.update.Kind == KindChanges && p.update.From != was {
				t.Fatalf("seed %d: changes from %d were applied at %d", seed, p.update.From, was)
			}
			return v
		}
		for range 200 {
			now += time.Duration(r.Int64N(int64(time.Second)))
			lost := r.IntN(4) == 0
			switch r.IntN(5) {
			case 0, 1: // the list changes, and the holder publishes it
				truth++
				p := publication{o.token, Update{KindChanges, o.version, truth}}
				o.version = truth
				if !lost && receive(p) == Outdated {
					receive(publication{o.token, Update{KindFull, 0, o.version}})
				}
			case 2:
				if !lost && receive(publication{o.token, Update{KindHeartbeat, 0, o.version}}) == Outdated && r.IntN(2) == 0 {
					receive(publication{o.token, Update{KindFull, 0, o.version}})
				}
			case 3: // another holder, with an older list perhaps; the former one still publishes
				old := o
				o = publisher{o.token + 1, truth - uint64(r.IntN(3))}
				receive(publication{o.token, Update{KindHeartbeat, 0, o.version}})
				before := f.Version()
				if f.token == o.token && receive(publication{old.token, Update{KindFull, 0, old.version + 5}}) != Ignore {
					t.Fatalf("seed %d: an update of a former holder was not ignored", seed)
				} else if f.Version() != before && f.token == o.token {
					t.Fatalf("seed %d: a former holder changed the list", seed)
				}
			case 4:
				if f.ShouldWatch(now) && !f.ReceiveDirect(truth, r.IntN(2) == 0) && f.Version() < truth {
					t.Fatalf("seed %d: discovery's own version %d was ignored at %d", seed, truth, f.Version())
				}
			}
		}
		o.version = truth
		for range 2 { // a heartbeat shows that something was missed, and the full list is requested
			if receive(publication{o.token, Update{KindHeartbeat, 0, o.version}}) == Outdated {
				receive(publication{o.token, Update{KindFull, 0, o.version}})
			}
		}
		if f.Version() != truth {
			t.Fatalf("seed %d: at %d, the holder at %d", seed, f.Version(), truth)
		}
	}
}

// Without an update for PublicationTimeout a gateway watches discovery itself, until it receives one again; a holder
// always watches. Updates of the same holder count though discovery counts its versions anew.
func TestUnassisted(t *testing.T) {
	f := NewFollower(0)
	if f.ShouldWatch(StartupTimeout - 1) {
		t.Error("it watches before a holder could have published")
	}
	if !f.ShouldWatch(StartupTimeout) || !f.Unassisted() || !f.ReceiveDirect(7, true) {
		t.Error("it does not watch itself")
	}
	if f.Receive(StartupTimeout, 3, Update{KindHeartbeat, 0, 6}) != Ignore || !f.Unassisted() {
		t.Error("a holder with an older list is not ignored")
	}
	if f.Receive(StartupTimeout, 3, Update{KindFull, 0, 8}) != Apply || f.ShouldWatch(StartupTimeout+PublicationTimeout-1) {
		t.Error("it goes on watching though there are updates")
	}
	if f.Receive(StartupTimeout, 3, Update{KindFull, 0, 2}) != Apply || f.Version() != 2 {
		t.Error("discovery counts anew, and the holder is ignored")
	}
	if f.SetHolder(StartupTimeout, true); !f.ShouldWatch(StartupTimeout) || f.Unassisted() || f.Receive(StartupTimeout, 9, Update{KindFull, 0, 20}) != Ignore {
		t.Error("a holder does not watch, or accepts another's updates")
	}
	if f.SetHolder(time.Minute, false); f.ShouldWatch(time.Minute + PublicationTimeout - 1) {
		t.Error("a former holder leaves the next no time")
	}
}
