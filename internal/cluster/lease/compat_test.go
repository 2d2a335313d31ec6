package lease

import (
	"bytes"
	"testing"
	"time"

	"dunemoor/internal/testutil/compat"
)

// What is in the log and in snapshots was written by earlier builds.
func TestCompatFormats(t *testing.T) {
	compat.JSON(t, "command.json", &Command{})
	compat.JSON(t, "result.json", &Result{})
	compat.JSON(t, "view.json", &StateDelta{})
	compat.JSON(t, "state.json", &State{})
	compat.Values(t, "ops.txt", OpOpenSession, OpCloseSession, OpExpireSession, OpAssign, OpAcquire, OpRelease, OpTransfer, OpWrite, OpAddReplica, OpRemoveReplica, OpCollectGarbage, OpDrainHost, OpUndrainHost, OpUpdateOverride)
	compat.Values(t, "codes.txt", OK, LeaseHeld, StaleToken, NoSession, NameTaken, Rejected, ResultExpired, Superseded)
	compat.Values(t, "parts.txt", RoleRelay, RoleGateway)
}

// A history of each command leaves the state that earlier builds left, so that a log may be
// replayed by replicas of either.
func TestCompatHistory(t *testing.T) {
	h := &compatHistory{state: NewState(7, Replica{ID: 11, Name: "a"}, Replica{ID: 12, Name: "b"}), index: 1}
	a, b, c := h.openSessions()
	h.write(c)
	h.override(a)
	h.changeReplicas()
	h.releaseTwice(b)
	h.endSessions(a, b, c)
	compat.Bytes(t, "state-after-history.json", h.state.Encode())
	compat.Values(t, "results-of-history.txt", h.results...)

	decoded := NewState(0)
	if err := decoded.Decode(compat.Read(t, "state-after-history.json")); err != nil {
		t.Fatal(err)
	}
	if again := decoded.Encode(); !bytes.Equal(again, h.state.Encode()) {
		t.Errorf("read back, it is written as %s", again)
	}
}

// compatHistory is a state and the results of the commands that were applied to it.
type compatHistory struct {
	state   *State
	index   uint64 // of the last command
	results []any  // without their Reason, which is for people
}

func (h *compatHistory) do(c Command) Result {
	h.index++
	result := h.state.Apply(h.index, &c)
	withoutReason := result
	withoutReason.Reason = ""
	h.results = append(h.results, withoutReason)
	return result
}

// openSessions opens the sessions of three gateways and grants the leases for which they are candidates, and one that
// b and a acquire.
func (h *compatHistory) openSessions() (a, b, c uint64) {
	a = h.do(Command{Op: OpOpenSession, Open: &OpenRequest{Name: "a", DiskID: 11, OpenSequence: 1 << 32, Zone: "z1", Machine: "m1", Address: "127.0.0.1:1", CandidateLeases: []string{"list/web", "housekeeping"}}}).Session
	b = h.do(Command{Op: OpOpenSession, Open: &OpenRequest{Name: "b", DiskID: 12, OpenSequence: 1 << 32, Zone: "z2", CandidateLeases: []string{"list/web"}, Role: RoleRelay}}).Session
	c = h.do(Command{Op: OpOpenSession, Open: &OpenRequest{Name: "c", DiskID: 13, OpenSequence: 1 << 32, Role: RoleGateway}}).Session
	for _, assignment := range AssignFree(h.state) {
		h.do(assignment)
	}
	h.do(Command{Op: OpAcquire, Session: b, Request: 1, Lease: "own/b"})
	h.do(Command{Op: OpAcquire, Session: a, Request: 1, Lease: "own/b"})
	return a, b, c
}

// write writes under a lease, by its holder and by another, and transfers it.
func (h *compatHistory) write(other uint64) {
	web := h.state.Leases["list/web"]
	h.do(Command{Op: OpWrite, Session: web.HolderSession, Request: 2, Lease: "list/web", Token: web.Token, Key: "version", Value: "3"})
	h.do(Command{Op: OpWrite, Session: other, Request: 2, Lease: "list/web", Token: web.Token, Key: "version", Value: "4"})
	h.do(Command{Op: OpTransfer, Lease: "list/web"})
	h.do(Command{Op: OpTransfer, Lease: "list/web", Target: "nobody"})
}

// override drains and undrains hosts, with one command that comes late and one that expires an override.
func (h *compatHistory) override(a uint64) {
	h.do(Command{Op: OpDrainHost, Session: a, Request: 5, Override: &Override{Pool: "web", Host: "w1", Reason: "disk", Remaining: time.Hour}})
	h.do(Command{Op: OpDrainHost, Session: a, Request: 6, Override: &Override{Pool: "web", Host: "w2"}})
	h.do(Command{Op: OpUndrainHost, Session: a, Request: 4, Override: &Override{Pool: "web", Host: "w2"}})
	h.do(Command{Op: OpUndrainHost, Session: a, Request: 7, Override: &Override{Pool: "web", Host: "w2"}})
	h.do(Command{Op: OpUpdateOverride, Override: &Override{Pool: "web", Host: "w1", CreatedRevision: h.state.Overrides["web/w1"].CreatedRevision, Remaining: 30 * time.Minute}})
}

func (h *compatHistory) changeReplicas() {
	h.do(Command{Op: OpAddReplica, Name: "b"})
	h.do(Command{Op: OpAddReplica, Name: "c"})
	h.do(Command{Op: OpRemoveReplica, Name: "a"})
}

// releaseTwice releases a lease, repeats the request and sends it again under a new number, and acquires the lease again.
func (h *compatHistory) releaseTwice(b uint64) {
	own := h.state.Leases["own/b"]
	h.do(Command{Op: OpRelease, Session: b, Request: 8, Lease: "own/b", Token: own.Token})
	h.do(Command{Op: OpRelease, Session: b, Request: 8, Lease: "own/b", Token: own.Token})
	h.do(Command{Op: OpRelease, Session: b, Request: 60, Lease: "own/b", Token: own.Token})
	h.do(Command{Op: OpAcquire, Session: b, Request: 9, Lease: "own/b"})
}

// endSessions expires the session of c, collects garbage, and closes the session of b. In between come a session of an
// older OpenSequence, an unknown command, and a change of replicas.
func (h *compatHistory) endSessions(a, b, c uint64) {
	h.do(Command{Op: OpExpireSession, Session: c})
	house := h.state.Leases["housekeeping"]
	h.do(Command{Op: OpCollectGarbage, Session: house.HolderSession, Lease: "housekeeping", Token: house.Token, Name: "c"})
	h.do(Command{Op: OpCollectGarbage, Session: house.HolderSession, Lease: "housekeeping", Token: house.Token, Name: "a"})
	h.do(Command{Op: OpOpenSession, Open: &OpenRequest{Name: "a", DiskID: 99, OpenSequence: 1}})
	h.do(Command{Op: "unheard-of", Session: a, Request: 70})
	h.index++
	h.state.SetReplicas(h.index, map[uint64]string{13: "c"}, []uint64{11, 12}, []uint64{13})
	h.do(Command{Op: OpCloseSession, Session: b, Request: 61})
}

// Causes of transfers and reasons of rejections are stored in snapshots and in the results that a session keeps, so
// replicas of different builds have to write the same ones. The texts here are those of the first build that stored them.
func TestCompatStoredTexts(t *testing.T) {
	for _, text := range []struct{ name, got, want string }{
		{"causeExpired", causeExpired, "lapsed"},
		{"causeClosed", causeClosed, "closed"},
		{"causeRestarted", causeRestarted, "restarted"},
		{"causeAssigned", causeAssigned, "assigned"},
		{"causeAcquired", causeAcquired, "claimed"},
		{"causeReleased", causeReleased, "resigned"},
		{"causeTransferred", causeTransferred, "moved"},
		{"causeTakenAway", causeTakenAway, "taken away"},
		{"reasonLeaseNotCreated", reasonLeaseNotCreated, "no such duty can be made"},
		{"reasonUnknownLease", reasonUnknownLease, "there is no duty %s"},
		{"reasonNoHolder", reasonNoHolder, "nobody holds %s"},
		{"reasonNotLive", reasonNotLive, "%s is no living member"},
		{"reasonNoCandidate", reasonNoCandidate, "%s does not offer to hold %s"},
		{"reasonValueTooLong", reasonValueTooLong, "a key has %d bytes at most, a value %d"},
		{"reasonTooManyValues", reasonTooManyValues, "a duty keeps %d values"},
		{"reasonBadOverride", reasonBadOverride, "a word names a pool and a host, neither of them too long"},
		{"reasonLongReason", reasonLongReason, "a reason has %d bytes at most"},
		{"reasonLongOverride", reasonLongOverride, "a word that ends by itself lasts %v at most"},
		{"reasonTooManyOverrides", reasonTooManyOverrides, "the fleet keeps %d words at most"},
		{"reasonNoOverride", reasonNoOverride, "there is no word on that host"},
		{"reasonSuperseded", reasonSuperseded, "a later command of this gateway went before it, nothing was done"},
		{"reasonUnknownOp", reasonUnknownOp, "there is no command %q"},
	} {
		if text.got != text.want {
			t.Errorf("%s is %q, stored by earlier builds as %q", text.name, text.got, text.want)
		}
	}
}
