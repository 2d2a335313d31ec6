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

// Which joins are accepted: not an earlier stream of the same disk, not another disk while the first is connected,
// not the name of a relay, and not too many a second.
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
		t.Error("an epoch is accepted twice:", a)
	}
	if a := join("g", 7, 4); a.Accepted || !a.Outdated {
		t.Error("an earlier epoch is accepted:", a)
	}
	if a := join("g", 8, 1); a.Accepted || a.Outdated {
		t.Error("another disk gets the name of one that is connected:", a)
	}
	if a := join("r2", 8, 1); a.Accepted {
		t.Error("a gateway has the name of a relay")
	}
	if a := join("g", 7, 6); !a.Accepted || len(r.TakeOutput().Closed) != 1 || len(r.Streams()) != 1 {
		t.Error("a gateway that returns is not accepted, or keeps its old stream:", a)
	}
	r.StreamEnded(at, "g", 5) // of the previous stream
	if len(r.Streams()) != 1 {
		t.Error("the end of an old stream ends the new one")
	}
	r.StreamEnded(at, "g", 6)
	if a := join("g", 8, 1); !a.Accepted {
		t.Error("another disk does not get the name after the end of the first:", a)
	}
	if a := join("g", 7, 6); a.Accepted {
		t.Error("the former disk is accepted with an old epoch:", a)
	}
	rejected := 0
	for i := range 2 * MaxJoinRate {
		if a := r.Join(at, JoinRequest{Name: fmt.Sprint("g", i), ReplicaID: uint64(100 + i), Epoch: 1, Force: true}); !a.Accepted {
			if rejected++; a.RetryAfter <= 0 {
				t.Fatal("rejected without a time to retry:", a)
			}
		}
	}
	if rejected < MaxJoinRate {
		t.Errorf("%d of %d simultaneous joins were rejected", rejected, 2*MaxJoinRate)
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

// A silent stream is closed; a stream without records has heartbeats of the relay.
func TestSilent(t *testing.T) {
	r := pair()
	at := time.Hour
	for _, name := range []string{"quiet", "there"} {
		r.Join(at, JoinRequest{Name: name, ReplicaID: 1, Epoch: 1})
	}
	heartbeats, closed := 0, ""
	for end := at + 5*time.Second; at < end; at += TickInterval {
		r.FromStream(at, "there", 1, KindIdle, nil)
		r.Tick(at)
		o := r.TakeOutput()
		for _, f := range o.ToStream {
			if f.Name == "there" && f.Kind == KindHeartbeat {
				heartbeats++
			}
		}
		for _, c := range o.Closed {
			closed += c.Name
		}
	}
	if closed != "quiet" || heartbeats < 8 || heartbeats > 10 {
		t.Errorf("closed %q, %d heartbeats in 5 s", closed, heartbeats)
	}
}

// A relay that was paused drops what arrived meanwhile: its streams are closed, and records that other relays sent
// before they replied to it are not accepted.
func TestPaused(t *testing.T) {
	r := pair()
	at := time.Hour
	record := func(seq uint64) []byte {
		return AppendRecord(nil, &Record{To: "r1", From: "r2", ReplicaID: 2, Epoch: 1, Seq: seq, Kind: node.KindMessage, Body: []byte("x")})
	}
	r.Up(at, "r2")
	r.Join(at, JoinRequest{Name: "g", ReplicaID: 1, Epoch: 1})
	r.FromRelay(at, "r2", KindRecord, record(1))
	if o := r.TakeOutput(); len(o.ToNode) != 1 {
		t.Fatal("a record does not arrive:", o)
	}
	at += pauseThreshold
	r.FromRelay(at, "r2", KindRecord, record(2))
	r.FromStream(at, "g", 1, KindRecord, AppendRecord(nil, &Record{To: "r1", Kind: node.KindMessage, Body: []byte("x")}))
	o := r.TakeOutput()
	if len(o.ToNode) != 0 || len(o.Closed) != 1 {
		t.Fatalf("what arrived meanwhile is accepted, or a stream is kept: %+v", o)
	}
	// The other relay replies, and from then on its records count.
	other := NewRouter(at, Config{Name: "r2", ReplicaID: 2, Boots: 1}, []Relay{{"r1", "z", "r"}, {"r2", "z", "r"}})
	for _, f := range o.ToRelay {
		other.FromRelay(at, "r1", f.Kind, f.Body)
	}
	for _, f := range other.TakeOutput().ToRelay {
		r.FromRelay(at, "r2", f.Kind, f.Body)
	}
	r.FromRelay(at, "r2", KindRecord, record(3))
	if o := r.TakeOutput(); len(o.ToNode) != 1 {
		t.Fatal("after its reply another relay's record does not arrive:", o)
	}
}

// A relay that learns of a later stream elsewhere closes its own, and accepts nothing of it any more.
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
		t.Errorf("an earlier stream's record is accepted, or one in a relay's name: %+v", o)
	}
}

// A relay whose stream ended before it was announced accepts nothing of an earlier one: the relay that has the
// earlier stream is notified, and closes it.
func TestStreamEndedUnannounced(t *testing.T) {
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
		t.Errorf("a stream is kept of which another relay accepts nothing: %+v", o)
	}
	if g := r.routes.known["g"]; g.relay != "" || r.links["r2"].checksum != 0 {
		t.Errorf("a stream that has ended is known as connected: %+v", g)
	}
}

// A gateway leaves a relay that is silent for relayTimeout, and one through which no renewal has a reply within
// minReplyTimeout. That timeout doubles while there is none, and the gateway does not return to a relay at once.
func TestLeaveRelay(t *testing.T) {
	relays := []Relay{{"r1", "z", "r"}, {"r2", "z", "r"}, {"r3", "z", "r"}, {"r4", "z", "r"}}
	at := time.Hour
	c := NewClient(at, Config{Name: "g", ReplicaID: 1, Boots: 1, Seed: 1}, relays)
	connect := func() string {
		t.Helper()
		for end := at + 30*time.Second; at < end; at += TickInterval {
			c.Tick(at)
			if o := c.TakeOutput(); len(o.Dial) > 0 {
				c.Joined(at, o.Dial[0].Join.Epoch, JoinReply{Accepted: true})
				if o := c.TakeOutput(); !o.Reconnected {
					t.Fatal("the node is not notified")
				}
				return o.Dial[0].Relay
			}
			if epoch, ok := c.Current(); ok && c.unansweredSince != 0 {
				c.Receive(at, epoch, KindHeartbeat, nil)
			}
		}
		t.Fatal("no relay is dialed")
		return ""
	}
	used := []string{connect()}
	began := at
	used = append(used, connect())
	if d := at - began; d < relayTimeout || d > relayTimeout+TickInterval {
		t.Errorf("a silent relay is left after %v", d)
	}
	timeout := time.Duration(0)
	for range 4 {
		began = at
		c.RenewalSent(at)
		used = append(used, connect())
		d := at - began
		if d < minReplyTimeout || d < timeout*3/2 && timeout < maxReplyTimeout/2 {
			t.Errorf("a relay that forwards nothing is left after %v, the one before after %v", d, timeout)
		}
		timeout = d
	}
	seen := map[string]bool{}
	for _, name := range used[1:4] {
		seen[name] = true
	}
	if len(seen) < 3 {
		t.Errorf("the gateway returns to a relay though there are others: %v", used)
	}
	c.LeaderResponded(at)
	began = at
	c.RenewalSent(at)
	if connect(); at-began > minReplyTimeout+2*TickInterval {
		t.Errorf("after a reply the timeout is still %v", at-began)
	}
}
