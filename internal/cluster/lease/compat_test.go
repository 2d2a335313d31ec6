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
	compat.Values(t, "ops.txt", OpOpenSession, OpCloseSession, OpExpireSession, OpAssign, OpAcquire, OpRelease, OpTransfer, OpWrite, OpAddReplica, OpRemoveReplica, OpCollectGarbage, OpDrainHost, OpUndrainHost, OpExpireOverride)
	compat.Values(t, "codes.txt", OK, LeaseHeld, StaleToken, NoSession, NameTaken, Rejected, ResultExpired, Superseded)
	compat.Values(t, "parts.txt", RoleRelay, RoleGateway)
}

// A history of each command leaves the state that earlier builds left, so that a log may be
// replayed by replicas of either.
func TestCompatHistory(t *testing.T) {
	s := NewState(7, Replica{ID: 11, Name: "a"}, Replica{ID: 12, Name: "b"})
	index := uint64(1)
	var results []any
	do := func(c Command) Result {
		index++
		r := s.Apply(index, &c)
		results = append(results, r)
		return r
	}
	a := do(Command{Op: OpOpenSession, Open: &OpenRequest{Name: "a", DiskID: 11, OpenSequence: 1 << 32, Zone: "z1", Machine: "m1", Address: "127.0.0.1:1", CandidateLeases: []string{"list/web", "housekeeping"}}}).Session
	b := do(Command{Op: OpOpenSession, Open: &OpenRequest{Name: "b", DiskID: 12, OpenSequence: 1 << 32, Zone: "z2", CandidateLeases: []string{"list/web"}, Role: RoleRelay}}).Session
	c := do(Command{Op: OpOpenSession, Open: &OpenRequest{Name: "c", DiskID: 13, OpenSequence: 1 << 32, Role: RoleGateway}}).Session
	for _, p := range AssignFree(s) {
		do(p)
	}
	do(Command{Op: OpAcquire, Session: b, Request: 1, Lease: "own/b"})
	do(Command{Op: OpAcquire, Session: a, Request: 1, Lease: "own/b"})
	web := s.Leases["list/web"]
	do(Command{Op: OpWrite, Session: web.HolderSession, Request: 2, Lease: "list/web", Token: web.Token, Key: "version", Value: "3"})
	do(Command{Op: OpWrite, Session: c, Request: 2, Lease: "list/web", Token: web.Token, Key: "version", Value: "4"})
	do(Command{Op: OpTransfer, Lease: "list/web"})
	do(Command{Op: OpTransfer, Lease: "list/web", Target: "nobody"})
	do(Command{Op: OpDrainHost, Session: a, Request: 5, Override: &Override{Pool: "web", Host: "w1", Reason: "disk", Remaining: time.Hour}})
	do(Command{Op: OpDrainHost, Session: a, Request: 6, Override: &Override{Pool: "web", Host: "w2"}})
	do(Command{Op: OpUndrainHost, Session: a, Request: 4, Override: &Override{Pool: "web", Host: "w2"}})
	do(Command{Op: OpUndrainHost, Session: a, Request: 7, Override: &Override{Pool: "web", Host: "w2"}})
	do(Command{Op: OpExpireOverride, Override: &Override{Pool: "web", Host: "w1", CreatedRevision: s.Overrides["web/w1"].CreatedRevision, Remaining: 30 * time.Minute}})
	do(Command{Op: OpAddReplica, Name: "b"})
	do(Command{Op: OpAddReplica, Name: "c"})
	do(Command{Op: OpRemoveReplica, Name: "a"})
	own := s.Leases["own/b"]
	do(Command{Op: OpRelease, Session: b, Request: 8, Lease: "own/b", Token: own.Token})
	do(Command{Op: OpRelease, Session: b, Request: 8, Lease: "own/b", Token: own.Token})
	do(Command{Op: OpRelease, Session: b, Request: 60, Lease: "own/b", Token: own.Token})
	do(Command{Op: OpAcquire, Session: b, Request: 9, Lease: "own/b"})
	do(Command{Op: OpExpireSession, Session: c})
	house := s.Leases["housekeeping"]
	do(Command{Op: OpCollectGarbage, Session: house.HolderSession, Lease: "housekeeping", Token: house.Token, Name: "c"})
	do(Command{Op: OpCollectGarbage, Session: house.HolderSession, Lease: "housekeeping", Token: house.Token, Name: "a"})
	do(Command{Op: OpOpenSession, Open: &OpenRequest{Name: "a", DiskID: 99, OpenSequence: 1}})
	do(Command{Op: "unheard-of", Session: a, Request: 70})
	index++
	s.SetReplicas(index, map[uint64]string{13: "c"}, []uint64{11, 12}, []uint64{13})
	do(Command{Op: OpCloseSession, Session: b, Request: 61})
	compat.Bytes(t, "state-after-history.json", s.Encode())
	var texts []any
	for _, r := range results {
		x := r.(Result)
		x.Reason = "" // for people
		texts = append(texts, x)
	}
	compat.Values(t, "results-of-history.txt", texts...)

	back := NewState(0)
	if err := back.Decode(compat.Read(t, "state-after-history.json")); err != nil {
		t.Fatal(err)
	}
	if again := back.Encode(); !bytes.Equal(again, s.Encode()) {
		t.Errorf("read back, it is written as %s", again)
	}
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
