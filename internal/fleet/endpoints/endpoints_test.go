package endpoints

import (
	"math/rand/v2"
	"testing"
	"time"
)

// publisher is the holder of a list lease. Its version may be older than that of discovery.
type publisher struct {
	token, version uint64
}

// publication is an update under a token.
type publication struct {
	token  uint64
	update Update
}

// Updates are lost at random, and the holder changes, also to one with an older list. No update of a new holder
// may take a gateway back to an older version, changes may be applied only to the version that they are based
// on, and once updates arrive again the gateway must have the holder's version.
func TestFollowerKeepsNewerListAndReachesHolder(t *testing.T) {
	for seed := range uint64(3000) {
		r := rand.New(rand.NewPCG(seed, 1))
		now, truth := time.Hour, uint64(10)
		f := NewFollower(now)
		o := publisher{token: 1, version: truth}
		receive := func(p publication) Verdict {
			was, from := f.Version(), f.token
			v := f.Receive(now, p.token, p.update)
			if v == Apply && p.token != from && f.Version() < was {
				t.Fatalf("seed %d: update with token %d took the list from version %d back to %d", seed, p.token, was, f.Version())
			}
			if v == Apply && p.update.Kind == KindChanges && p.update.From != was {
				t.Fatalf("seed %d: changes from version %d were applied to version %d", seed, p.update.From, was)
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
			case 3: // a new holder, possibly with an older list; the former one still publishes
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
					t.Fatalf("seed %d: version %d from discovery was ignored at version %d", seed, truth, f.Version())
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
			t.Fatalf("seed %d: got version %d, want the holder's version %d", seed, f.Version(), truth)
		}
	}
}

// A gateway that receives no update for PublicationTimeout watches discovery directly until it receives one. A
// holder always watches discovery. Updates of the same holder are applied even if discovery restarts its
// versions.
func TestFollowerFallsBackToDiscovery(t *testing.T) {
	f := NewFollower(0)
	if f.ShouldWatch(StartupTimeout - 1) {
		t.Error("discovery is watched before a holder could have published")
	}
	if !f.ShouldWatch(StartupTimeout) || !f.InFallback() || !f.ReceiveDirect(7, true) {
		t.Error("discovery is not watched directly after StartupTimeout")
	}
	if f.Receive(StartupTimeout, 3, Update{KindHeartbeat, 0, 6}) != Ignore || !f.InFallback() {
		t.Error("update of a holder with an older list is not ignored")
	}
	if f.Receive(StartupTimeout, 3, Update{KindFull, 0, 8}) != Apply || f.ShouldWatch(StartupTimeout+PublicationTimeout-1) {
		t.Error("discovery is still watched directly although there are updates")
	}
	if f.Receive(StartupTimeout, 3, Update{KindFull, 0, 2}) != Apply || f.Version() != 2 {
		t.Error("update of the same holder with a lower version is not applied")
	}
	if f.SetHolder(StartupTimeout, true); !f.ShouldWatch(StartupTimeout) || f.InFallback() || f.Receive(StartupTimeout, 9, Update{KindFull, 0, 20}) != Ignore {
		t.Error("holder does not watch discovery, or applies an update of another one")
	}
	if f.SetHolder(time.Minute, false); f.ShouldWatch(time.Minute + PublicationTimeout - 1) {
		t.Error("former holder gives the next one no time to publish")
	}
}
