package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dunemoor/internal/cluster/node"
)

// testStart is the time at which the tests of a single router or client begin.
const testStart = time.Hour

// newTestRouter returns the router of the relay r1 in a fleet of r1 and r2.
func newTestRouter() *Router { return newRouterOf("r1", 1) }

func newRouterOf(name string, replica uint64) *Router {
	relays := []Relay{{"r1", "z", "r"}, {"r2", "z", "r"}}
	return NewRouter(testStart, Config{Name: name, ReplicaID: replica, Boots: 1}, relays)
}

// messageToR1 returns an encoded message to r1. A message on a gateway's stream has no sender: the relay sets
// it.
func messageToR1(sender string, replica, epoch, seq uint64) []byte {
	return AppendRecord(nil, &Record{To: "r1", From: sender, ReplicaID: replica, Epoch: epoch, Seq: seq, Kind: node.KindMessage, Body: []byte("x")})
}

// A join is rejected if a stream of the same disk with the same or a later epoch is known, if another disk with
// the same name is connected, if it has the name of a relay, or if there are too many joins per second or
// streams.
func TestRouterJoinRejectsOutdatedForeignAndExcessJoins(t *testing.T) {
	now := testStart
	r := newTestRouter()
	join := func(name string, replica, epoch uint64) JoinReply {
		return r.Join(now, JoinRequest{Name: name, ReplicaID: replica, Epoch: epoch})
	}
	if got := join("g", 7, 5); !got.Accepted {
		t.Fatalf("first join: got %+v, want it accepted", got)
	}
	if got := join("g", 7, 5); got.Accepted || !got.Outdated {
		t.Errorf("join with the same epoch: got %+v, want it outdated", got)
	}
	if got := join("g", 7, 4); got.Accepted || !got.Outdated {
		t.Errorf("join with an earlier epoch: got %+v, want it outdated", got)
	}
	if got := join("g", 8, 1); got.Accepted || got.Outdated {
		t.Errorf("join of another disk while the first is connected: got %+v, want it rejected and not outdated", got)
	}
	if got := join("r2", 8, 1); got.Accepted {
		t.Errorf("join with the name of a relay: got %+v, want it rejected", got)
	}
	got := join("g", 7, 6)
	if closed := len(r.TakeOutput().Closed); !got.Accepted || closed != 1 || len(r.Streams()) != 1 {
		t.Errorf("join with a later epoch: got %+v, %d streams closed, %d open, want it accepted, 1 and 1", got, closed, len(r.Streams()))
	}
	r.StreamEnded(now, "g", 5) // end of the previous stream
	if got := len(r.Streams()); got != 1 {
		t.Errorf("streams after the end of the previous one: got %d, want 1", got)
	}
	r.StreamEnded(now, "g", 6)
	if got := join("g", 8, 1); !got.Accepted {
		t.Errorf("join of another disk after the end of the first: got %+v, want it accepted", got)
	}
	if got := join("g", 7, 6); got.Accepted {
		t.Errorf("join of the former disk with an old epoch: got %+v, want it rejected", got)
	}

	rejected := 0
	for i := range 2 * MaxJoinRate {
		got := r.Join(now, JoinRequest{Name: fmt.Sprint("g", i), ReplicaID: uint64(100 + i), Epoch: 1, Force: true})
		if got.Accepted {
			continue
		}
		rejected++
		if got.RetryAfter <= 0 {
			t.Fatalf("rejected join: got %+v, want RetryAfter above 0", got)
		}
	}
	if rejected < MaxJoinRate {
		t.Errorf("simultaneous joins rejected: got %d of %d, want %d at least", rejected, 2*MaxJoinRate, MaxJoinRate)
	}
	for i := range 2 * MaxStreams {
		now += 10 * time.Millisecond
		r.Tick(now)
		r.Join(now, JoinRequest{Name: fmt.Sprint("h", i), ReplicaID: uint64(100 + i), Epoch: 1, Force: true})
	}
	if got := len(r.Streams()); got > MaxStreams {
		t.Errorf("streams: got %d, want %d at most", got, MaxStreams)
	}
}

// A stream on which no frame arrives is closed. On a stream without records the relay sends heartbeats.
func TestRouterClosesSilentStreamAndSendsHeartbeats(t *testing.T) {
	r := newTestRouter()
	now := testStart
	for _, name := range []string{"silent", "active"} {
		r.Join(now, JoinRequest{Name: name, ReplicaID: 1, Epoch: 1})
	}
	heartbeats := 0
	var closed []string
	for end := now + 5*time.Second; now < end; now += TickInterval {
		r.ReceiveFromStream(now, "active", 1, KindIdle, nil)
		r.Tick(now)
		output := r.TakeOutput()
		for _, f := range output.ToStream {
			if f.Name == "active" && f.Kind == KindHeartbeat {
				heartbeats++
			}
		}
		for _, s := range output.Closed {
			closed = append(closed, s.Name)
		}
	}
	if want := []string{"silent"}; !slices.Equal(closed, want) {
		t.Errorf("closed streams: got %q, want %q", closed, want)
	}
	if heartbeats < 8 || heartbeats > 10 {
		t.Errorf("heartbeats in 5 s: got %d, want 8 to 10", heartbeats)
	}
}

// A relay that was paused drops what arrived during the pause: its streams are closed, and records of other
// relays are not accepted until they have replied to it.
func TestRouterDropsRecordsAfterPause(t *testing.T) {
	r := newTestRouter()
	now := testStart
	r.RelayUp(now, "r2")
	r.Join(now, JoinRequest{Name: "g", ReplicaID: 1, Epoch: 1})
	r.ReceiveFromRelay(now, "r2", KindRecord, messageToR1("r2", 2, 1, 1))
	if got := r.TakeOutput(); len(got.ToNode) != 1 {
		t.Fatalf("before the pause: got %+v, want 1 record for the node", got)
	}
	now += pauseThreshold
	r.ReceiveFromRelay(now, "r2", KindRecord, messageToR1("r2", 2, 1, 2))
	r.ReceiveFromStream(now, "g", 1, KindRecord, messageToR1("", 0, 0, 0))
	afterPause := r.TakeOutput()
	if len(afterPause.ToNode) != 0 || len(afterPause.Closed) != 1 {
		t.Fatalf("after the pause: got %+v, want no record for the node and 1 stream closed", afterPause)
	}
	// The other relay replies, and its later records are accepted.
	other := NewRouter(now, Config{Name: "r2", ReplicaID: 2, Boots: 1}, []Relay{{"r1", "z", "r"}, {"r2", "z", "r"}})
	for _, f := range afterPause.ToRelay {
		other.ReceiveFromRelay(now, "r1", f.Kind, f.Body)
	}
	for _, f := range other.TakeOutput().ToRelay {
		r.ReceiveFromRelay(now, "r2", f.Kind, f.Body)
	}
	r.ReceiveFromRelay(now, "r2", KindRecord, messageToR1("r2", 2, 1, 3))
	if got := r.TakeOutput(); len(got.ToNode) != 1 {
		t.Fatalf("after the other relay's reply: got %+v, want 1 record for the node", got)
	}
}

// A relay that learns of a later stream at another relay closes its own stream, and accepts no more records of
// it.
func TestRouterClosesStreamWhenLaterOneIsKnown(t *testing.T) {
	r := newTestRouter()
	now := testStart
	r.Join(now, JoinRequest{Name: "g", ReplicaID: 1, Epoch: 1})
	r.ReceiveFromRelay(now, "r2", KindRecord, messageToR1("g", 1, 2, 1))
	r.ReceiveFromStream(now, "g", 1, KindRecord, messageToR1("", 0, 0, 0))
	if got := r.TakeOutput(); len(got.ToNode) != 1 || len(got.Closed) != 1 {
		t.Errorf("with a later stream: got %+v, want 1 record for the node and 1 stream closed", got)
	}
	r.ReceiveFromRelay(now, "r2", KindRecord, messageToR1("g", 1, 1, 9))  // a record from the earlier stream
	r.ReceiveFromRelay(now, "r2", KindRecord, messageToR1("r1", 1, 3, 9)) // a record with a relay's name as the sender
	if got := r.TakeOutput(); len(got.ToNode) != 0 {
		t.Errorf("records of an earlier stream and in a relay's name: got %+v, want no record for the node", got)
	}
}

// A stream that begins and ends between two route updates is announced only as ended. The relay that has an
// earlier stream of the same gateway must close it, because records of it are no longer accepted.
func TestRouterClosesStreamWhenLaterOneEndedUnannounced(t *testing.T) {
	now := testStart
	r, other := newTestRouter(), newRouterOf("r2", 2)
	r.RelayUp(now, "r2")
	r.Join(now, JoinRequest{Name: "g", ReplicaID: 1, Epoch: 1})
	other.Join(now, JoinRequest{Name: "g", ReplicaID: 1, Epoch: 2})
	other.StreamEnded(now, "g", 2)
	other.Tick(now)
	for _, f := range other.TakeOutput().ToRelay {
		r.ReceiveFromRelay(now, "r2", f.Kind, f.Body)
	}
	if got := r.TakeOutput(); len(got.Closed) != 1 || len(r.Streams()) != 0 {
		t.Errorf("got %+v and %d streams open, want 1 closed and 0 open", got, len(r.Streams()))
	}
	if got := r.routes.known["g"]; got.relay != "" || r.links["r2"].checksum != 0 {
		t.Errorf("got route %+v and checksum %x of r2, want no relay and checksum 0", got, r.links["r2"].checksum)
	}
}
