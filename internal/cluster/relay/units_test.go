package relay

import (
	"fmt"
	"testing"
	"time"

	"dunemoor/internal/cluster/node"
)

func pair() *Router {
	return NewRouter(time.Hour, Config{Name: "r1", ReplicaID: 1, Boots: 1}, []Relay{{"r1", "z", "r"}, {"r2", "z", "r"}})
}

// Who may join: not by an earlier stream of the same disk, not with another disk while the first
// lives, not under the name of a relay, and not too many a second.
func TestJoin(t *testing.T) {
	at := time.Hour
	r := pair()
	join := func(name string, replica, epoch uint64) JoinReply {
		return r.Join(at, JoinRequest{Name: name, ReplicaID: replica, Epoch: epoch})
	}
	if a := join("g", 7, 5); !a.Accepted {
		t.Fatal(a)
	}
	if a := join("g", 7, 5); a.Accepted || !a.Outdated {
		t.Error("an epoch is taken twice:", a)
	}
	if a := join("g", 7, 4); a.Accepted || !a.Outdated {
		t.Error("an earlier epoch is taken:", a)
	}
	if a := join("g", 8, 1); a.Accepted || a.Outdated {
		t.Error("another disk takes the name of one that lives:", a)
	}
	if a := join("r2", 8, 1); a.Accepted {
		t.Error("a gateway has the name of a relay")
	}
	if a := join("g", 7, 6); !a.Accepted || len(r.TakeOutput().Closed) != 1 || len(r.Streams()) != 1 {
		t.Error("a gateway that comes back is not taken, or keeps its old stream:", a)
	}
	r.StreamEnded(at, "g", 5) // of the one before
	if len(r.Streams()) != 1 {
		t.Error("the end of an old stream ends the new")
	}
	r.StreamEnded(at, "g", 6)
	if a := join("g", 8, 1); !a.Accepted {
		t.Error("another disk does not get the name behind the end of the first:", a)
	}
	if a := join("g", 7, 6); a.Accepted {
		t.Error("the disk of before is taken by an old epoch:", a)
	}
	refused := 0
	for i := range 2 * MaxJoinRate {
		if a := r.Join(at, JoinRequest{Name: fmt.Sprint("g", i), ReplicaID: uint64(100 + i), Epoch: 1, Force: true}); !a.Accepted {
			if refused++; a.RetryAfter <= 0 {
				t.Fatal("refused without a time to come back:", a)
			}
		}
	}
	if refused < MaxJoinRate {
		t.Errorf("%d of %d joins of one moment were refused", refused, 2*MaxJoinRate)
	}
	for i := range 2 * MaxStreams {
		at += 10 * time.Millisecond
		r.Tick(at)
		r.Join(at, JoinRequest{Name: fmt.Sprint("h", i), ReplicaID: uint64(100 + i), Epoch: 1, Force: true})
	}
	if n := len(r.Streams()); n > MaxStreams {
		t.Errorf("%d streams, %d at most", n, MaxStreams)
	}
}

// A stream that says nothing is cut; one that has nothing to hear is told that the relay is there.
func TestSilent(t *testing.T) {
	r := pair()
	at := time.Hour
	for _, name := range []string{"quiet", "there"} {
		r.Join(at, JoinRequest{Name: name, ReplicaID: 1, Epoch: 1})
	}
	beats, cut := 0, ""
	for end := at + 5*time.Second; at < end; at += TickInterval {
		r.FromStream(at, "there", 1, KindIdle, nil)
		r.Tick(at)
		o := r.TakeOutput()
		for _, f := range o.ToStream {
			if f.Name == "there" && f.Kind == KindHeartbeat {
				beats++
			}
		}
		for _, c := range o.Closed {
			cut += c.Name
		}
	}
	if cut != "quiet" || beats < 8 || beats > 10 {
		t.Errorf("cut %q, %d beats in 5 s", cut, beats)
	}
}

// What a relay held while it stood still is no more: its streams are cut, and what other relays
// had said before it asked them is not taken.
func TestStoodStill(t *testing.T) {
	r := pair()
	at := time.Hour
	word := func(seq uint64) []byte {
		return AppendRecord(nil, &Record{To: "r1", From: "r2", ReplicaID: 2, Epoch: 1, Seq: seq, Kind: node.KindMessage, Body: []byte("x")})
	}
	r.Up(at, "r2")
	r.Join(at, JoinRequest{Name: "g", ReplicaID: 1, Epoch: 1})
	r.FromRelay(at, "r2", KindRecord, word(1))
	if o := r.TakeOutput(); len(o.ToNode) != 1 {
		t.Fatal("a word does not come:", o)
	}
	at += pauseThreshold
	r.FromRelay(at, "r2", KindRecord, word(2))
	r.FromStream(at, "g", 1, KindRecord, AppendRecord(nil, &Record{To: "r1", Kind: node.KindMessage, Body: []byte("x")}))
	o := r.TakeOutput()
	if len(o.ToNode) != 0 || len(o.Closed) != 1 {
		t.Fatalf("what was held is taken, or a stream is kept: %+v", o)
	}
	// The other answers, and behind that its words count.
	other := NewRouter(at, Config{Name: "r2", ReplicaID: 2, Boots: 1}, []Relay{{"r1", "z", "r"}, {"r2", "z", "r"}})
	for _, f := range o.ToRelay {
		other.FromRelay(at, "r1", f.Kind, f.Body)
	}
	for _, f := range other.TakeOutput().ToRelay {
		r.FromRelay(at, "r2", f.Kind, f.Body)
	}
	r.FromRelay(at, "r2", KindRecord, word(3))
	if o := r.TakeOutput(); len(o.ToNode) != 1 {
		t.Fatal("behind its answer another relay's word does not come:", o)
	}
}

// A relay that learns of a later stream elsewhere cuts its own, and takes nothing of it any more.
func TestLaterStream(t *testing.T) {
	r := pair()
	at := time.Hour
	r.Join(at, JoinRequest{Name: "g", ReplicaID: 1, Epoch: 1})
	r.FromRelay(at, "r2", KindRecord, AppendRecord(nil, &Record{To: "r1", From: "g", ReplicaID: 1, Epoch: 2, Seq: 1, Kind: node.KindMessage, Body: []byte("x")}))
	r.FromStream(at, "g", 1, KindRecord, AppendRecord(nil, &Record{To: "r1", Kind: node.KindMessage, Body: []byte("x")}))
	if o := r.TakeOutput(); len(o.ToNode) != 1 || len(o.Closed) != 1 {
		t.Errorf("%+v", o)
	}
	r.FromRelay(at, "r2", KindRecord, AppendRecord(nil, &Record{To: "r1", From: "g", ReplicaID: 1, Epoch: 1, Seq: 9, Kind: node.KindMessage, Body: []byte("x")}))
	r.FromRelay(at, "r2", KindRecord, AppendRecord(nil, &Record{To: "r1", From: "r1", ReplicaID: 1, Epoch: 3, Seq: 9, Kind: node.KindMessage, Body: []byte("x")}))
	if o := r.TakeOutput(); len(o.ToNode) != 0 {
		t.Errorf("an earlier stream's word is taken, or one in a relay's name: %+v", o)
	}
}

// A relay that took a stream which ended before it told of it takes nothing of an earlier one: who
// holds that is told, and cuts it.
func TestComeAndGone(t *testing.T) {
	at := time.Hour
	relays := []Relay{{"r1", "z", "r"}, {"r2", "z", "r"}}
	r := pair()
	other := NewRouter(at, Config{Name: "r2", ReplicaID: 2, Boots: 1}, relays)
	r.Up(at, "r2")
	r.Join(at, JoinRequest{Name: "g", ReplicaID: 1, Epoch: 1})
	other.Join(at, JoinRequest{Name: "g", ReplicaID: 1, Epoch: 2})
	other.StreamEnded(at, "g", 2)
	other.Tick(at)
	for _, f := range other.TakeOutput().ToRelay {
		r.FromRelay(at, "r2", f.Kind, f.Body)
	}
	if o := r.TakeOutput(); len(o.Closed) != 1 || len(r.Streams()) != 0 {
		t.Errorf("a stream is kept of which another relay takes nothing: %+v", o)
	}
	if g := r.routes.known["g"]; g.relay != "" || r.links["r2"].checksum != 0 {
		t.Errorf("a stream that has ended is known as connected: %+v", g)
	}
}

// A gateway leaves a relay that says nothing within heardMost, and one by which no renewal is
// answered within answerMost; that patience doubles as long as none is, and no relay is gone back
// to at once.
func TestLeaves(t *testing.T) {
	relays := []Relay{{"r1", "z", "r"}, {"r2", "z", "r"}, {"r3", "z", "r"}, {"r4", "z", "r"}}
	at := time.Hour
	c := NewClient(at, Config{Name: "g", ReplicaID: 1, Boots: 1, Seed: 1}, relays)
	take := func() string {
		t.Helper()
		for end := at + 30*time.Second; at < end; at += TickInterval {
			c.Tick(at)
			if o := c.TakeOutput(); len(o.Dial) > 0 {
				c.Joined(at, o.Dial[0].Join.Epoch, JoinReply{Accepted: true})
				if o := c.TakeOutput(); !o.Reconnected {
					t.Fatal("the member is not told")
				}
				return o.Dial[0].Relay
			}
			if epoch, ok := c.Current(); ok && c.unansweredSince != 0 {
				c.Receive(at, epoch, KindHeartbeat, nil)
			}
		}
		t.Fatal("nobody is dialled")
		return ""
	}
	was := []string{take()}
	began := at
	was = append(was, take())
	if d := at - began; d < relayTimeout || d > relayTimeout+TickInterval {
		t.Errorf("a silent relay is left after %v", d)
	}
	patience := time.Duration(0)
	for range 4 {
		began = at
		c.RenewalSent(at)
		was = append(was, take())
		d := at - began
		if d < minReplyTimeout || d < patience*3/2 && patience < maxReplyTimeout/2 {
			t.Errorf("a relay that carries nothing is left after %v, the one before after %v", d, patience)
		}
		patience = d
	}
	seen := map[string]bool{}
	for _, name := range was[1:4] {
		seen[name] = true
	}
	if len(seen) < 3 {
		t.Errorf("a relay is gone back to though others are there: %v", was)
	}
	c.LeaderResponded(at)
	began = at
	c.RenewalSent(at)
	if take(); at-began > minReplyTimeout+2*TickInterval {
		t.Errorf("behind an answer the patience is still %v", at-began)
	}
}
