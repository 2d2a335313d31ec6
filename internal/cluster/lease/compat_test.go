package lease

import (
	"bytes"
	"testing"
	"time"

	"dunemoor/internal/testkit/compat"
)

// What is in the log and in snapshots was written by earlier builds.
func TestCompatFormats(t *testing.T) {
	compat.JSON(t, "command.json", &Command{})
	compat.JSON(t, "result.json", &Result{})
	compat.JSON(t, "view.json", &View{})
	compat.JSON(t, "state.json", &State{})
	compat.Values(t, "ops.txt", Open, Close, Lapse, Assign, Claim, Resign, Move, Write, Keep, Leave, Forget, Drain, Undrain, Spend)
	compat.Values(t, "codes.txt", OK, Held, Stale, NoSession, Taken, Refused, Old, Late)
	compat.Values(t, "parts.txt", Relay, Gateway)
}

// A history of each command leaves the state that earlier builds left, so that a log may be
// replayed by replicas of either.
func TestCompatHistory(t *testing.T) {
	s := NewState(7, Keeper{Replica: 11, Name: "a"}, Keeper{Replica: 12, Name: "b"})
	index := uint64(1)
	var results []any
	do := func(c Command) Result {
		index++
		r := s.Apply(index, &c)
		results = append(results, r)
		return r
	}
	a := do(Command{Op: Open, Open: &Opens{Name: "a", Disk: 11, Opening: 1 << 32, Zone: "z1", Machine: "m1", Address: "127.0.0.1:1", Offers: []string{"list/web", "housekeeping"}}}).Session
	b := do(Command{Op: Open, Open: &Opens{Name: "b", Disk: 12, Opening: 1 << 32, Zone: "z2", Offers: []string{"list/web"}, Part: Relay}}).Session
	c := do(Command{Op: Open, Open: &Opens{Name: "c", Disk: 13, Opening: 1 << 32, Part: Gateway}}).Session
	for _, p := range Place(s) {
		do(p)
	}
	do(Command{Op: Claim, Session: b, Request: 1, Duty: "own/b"})
	do(Command{Op: Claim, Session: a, Request: 1, Duty: "own/b"})
	web := s.Duties["list/web"]
	do(Command{Op: Write, Session: web.Owner, Request: 2, Duty: "list/web", Token: web.Token, Key: "version", Value: "3"})
	do(Command{Op: Write, Session: c, Request: 2, Duty: "list/web", Token: web.Token, Key: "version", Value: "4"})
	do(Command{Op: Move, Duty: "list/web"})
	do(Command{Op: Move, Duty: "list/web", To: "nobody"})
	do(Command{Op: Drain, Session: a, Request: 5, Word: &Word{Pool: "web", Host: "w1", Reason: "disk", Left: time.Hour}})
	do(Command{Op: Drain, Session: a, Request: 6, Word: &Word{Pool: "web", Host: "w2"}})
	do(Command{Op: Undrain, Session: a, Request: 4, Word: &Word{Pool: "web", Host: "w2"}})
	do(Command{Op: Undrain, Session: a, Request: 7, Word: &Word{Pool: "web", Host: "w2"}})
	do(Command{Op: Spend, Word: &Word{Pool: "web", Host: "w1", Since: s.Words["web/w1"].Since, Left: 30 * time.Minute}})
	do(Command{Op: Keep, Name: "b"})
	do(Command{Op: Keep, Name: "c"})
	do(Command{Op: Leave, Name: "a"})
	own := s.Duties["own/b"]
	do(Command{Op: Resign, Session: b, Request: 8, Duty: "own/b", Token: own.Token})
	do(Command{Op: Resign, Session: b, Request: 8, Duty: "own/b", Token: own.Token})
	do(Command{Op: Resign, Session: b, Request: 60, Duty: "own/b", Token: own.Token})
	do(Command{Op: Claim, Session: b, Request: 9, Duty: "own/b"})
	do(Command{Op: Lapse, Session: c})
	house := s.Duties["housekeeping"]
	do(Command{Op: Forget, Session: house.Owner, Duty: "housekeeping", Token: house.Token, Name: "c"})
	do(Command{Op: Forget, Session: house.Owner, Duty: "housekeeping", Token: house.Token, Name: "a"})
	do(Command{Op: Open, Open: &Opens{Name: "a", Disk: 99, Opening: 1}})
	do(Command{Op: "unheard-of", Session: a, Request: 70})
	index++
	s.SetKeepers(index, map[uint64]string{13: "c"}, []uint64{11, 12}, []uint64{13})
	do(Command{Op: Close, Session: b, Request: 61})
	compat.Bytes(t, "state-after-history.json", s.Bytes())
	var texts []any
	for _, r := range results {
		x := r.(Result)
		x.Why = "" // for people
		texts = append(texts, x)
	}
	compat.Values(t, "results-of-history.txt", texts...)

	back := NewState(0)
	if err := back.Read(compat.Read(t, "state-after-history.json")); err != nil {
		t.Fatal(err)
	}
	if again := back.Bytes(); !bytes.Equal(again, s.Bytes()) {
		t.Errorf("read back, it is written as %s", again)
	}
}
