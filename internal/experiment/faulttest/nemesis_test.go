package faulttest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"dunemoor/internal/experiment/fakes"
)

// built is the program, built once for all tests here; planted is it with the tag failpoints,
// in which failpoints can be enabled and a process told where to stop; operators is their program.
var built, planted, operators string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "nemesis")
	if err != nil {
		panic(err)
	}
	built, planted = filepath.Join(dir, "dunemoor"), filepath.Join(dir, "planted")
	operators = filepath.Join(dir, "dunemoorctl")
	for _, args := range [][]string{{"-o", built, "dunemoor/cmd/dunemoor"}, {"-o", planted, "-tags", "failpoints", "dunemoor/cmd/dunemoor"}, {"-o", operators, "dunemoor/cmd/dunemoorctl"}} {
		if out, err := exec.Command("go", append([]string{"build"}, args...)...).CombinedOutput(); err != nil {
			panic(string(out))
		}
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// formTime is how long a fleet of processes has to form or to be whole again: many times what it
// takes, as the machine may be busy with other tests.
const formTime = 60 * time.Second

// form starts a fleet; what it logged is shown where the test fails.
func form(t *testing.T, o Options) *Fleet {
	t.Helper()
	o.Dir = t.TempDir()
	if o.Bin == "" {
		o.Bin = built
	}
	f, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			for _, g := range f.Gateways {
				s, err := g.Status()
				t.Logf("%s: %+v, %v", g.Name, s, err)
			}
		}
		f.Close()
		if t.Failed() {
			t.Log(f.Log())
		}
	})
	for _, g := range f.Gateways {
		if err := g.Start(); err != nil {
			t.Fatal(err)
		}
	}
	whole(t, f)
	return f
}

// start starts a fleet of which nothing must be seen that must never be.
func start(t *testing.T, o Options) *Fleet {
	t.Helper()
	f := form(t, o)
	t.Cleanup(func() {
		for _, bad := range Check(f.History.Events()) {
			t.Error(bad)
		}
		if tried, taken := f.Acts(); taken > 0 && !f.Hosts.Nodes[0].IgnoresTokens.Load() {
			t.Errorf("%d acts of owners of before, %d of them taken", tried, taken)
		}
		for _, g := range f.Gateways {
			if g.Crashed() {
				t.Errorf("%s has ended by itself", g.Name)
			}
		}
	})
	return f
}

func whole(t *testing.T, f *Fleet) {
	t.Helper()
	if err := f.Until(context.Background(), "the fleet is whole", formTime, f.Whole); err != nil {
		t.Fatal(err)
	}
}

// load has clients ask at a gateway until the test's end, and then checks the rules.
func load(t *testing.T, f *Fleet, g *Gateway) {
	stop := f.Load(g)
	t.Cleanup(func() {
		if _, err := stop(); err != nil {
			t.Error(err)
		}
	})
}

// A duty changes hands for every cause, under load: one owner a token, tokens that only grow, and
// nothing of it is felt by the clients of a gateway that is not hit itself.
func TestHands(t *testing.T) {
	t.Parallel()
	f := start(t, Options{Gateways: 5, Keepers: 3, Nodes: 3, Seed: 1})
	spare := f.Gateways[4]
	load(t, f, spare)
	ctl := func(code int, want string, args ...string) {
		t.Helper()
		cmd := exec.Command(operators, append([]string{"fleet", "--admin", f.Gateways[0].admin}, args...)...)
		out, _ := cmd.CombinedOutput()
		if cmd.ProcessState.ExitCode() != code || !strings.Contains(string(out), want) {
			t.Errorf("%q ends with %d: %s", args, cmd.ProcessState.ExitCode(), out)
		}
	}
	ctl(0, "g1 of fleet trial: ", "status")
	ctl(0, `"duties": [`, "status", "--json")
	ctl(0, "list/calendar", "duties")
	ctl(0, "GATEWAY", "members")
	ctl(2, "refused: there is no duty nothing", "move", "nothing", "g2")
	ctl(2, "refused: g9 is no living member", "move", "list/calendar", "g9")
	ctl(2, "refused: g4 is not a replica", "remove", "g4")
	ctl(0, "done", "add", "g4")
	f.Keepers++
	whole(t, f)
	ctl(0, "done", "remove", "g4")
	f.Keepers--
	whole(t, f)
	ctl(1, "accepts 2 arg", "move", "list/calendar")
	for _, cause := range Causes {
		gap, err := f.Hands(context.Background(), cause, "list/calendar", spare)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: %v without an owner", cause, gap.Round(time.Millisecond))
	}
}

// Nine processes under whatever faults a seed draws, with load at one that is spared: nothing that
// must never be, and whole in the end.
func TestDrawn(t *testing.T) {
	t.Parallel()
	f := start(t, Options{Gateways: 9, Keepers: 5, Nodes: 3, Seed: 5})
	spare := f.Gateways[8]
	load(t, f, spare)
	var names []string
	for _, g := range f.Gateways {
		names = append(names, g.Name)
	}
	plan := Draw(f.Seed, 12*time.Second, names)
	t.Logf("seed %d: %+v", plan.Seed, plan.Fault)
	if err := f.Play(context.Background(), plan, spare); err != nil {
		t.Fatal(err)
	}
}

// A gateway whose disk was emptied, or put back from an older copy, is another replica: it does
// not vote as the one it was, and takes that one's place in the end.
func TestDisks(t *testing.T) {
	t.Parallel()
	f := start(t, Options{Gateways: 3, Keepers: 3, Nodes: 3, Seed: 2})
	for _, what := range []string{"wiped", "put back", "flipped"} {
		g := f.Leader()
		if g == nil {
			t.Fatal("nobody leads")
		}
		before, err := g.Status()
		if err != nil {
			t.Fatal(err)
		}
		if what == "put back" {
			if err := g.Copy(); err != nil {
				t.Fatal(err)
			}
		}
		g.Kill()
		switch what {
		case "wiped":
			err = g.Wipe()
		case "put back":
			err = g.Restore()
		case "flipped":
			err = flip(g)
		}
		if err != nil {
			t.Fatal(err)
		}
		if err := g.Start(); err != nil {
			t.Fatal(err)
		}
		whole(t, f)
		after, err := g.Status()
		if err != nil {
			t.Fatal(err)
		}
		if after.Disk == before.Disk {
			t.Errorf("%s: %s came back as the replica that it was", what, g.Name)
		}
		found := false
		for _, k := range after.Keepers {
			if k.Replica == before.Disk {
				t.Errorf("%s: the old replica of %s is still one of %v", what, g.Name, after.Keepers)
			}
			found = found || k.Replica == after.Disk
		}
		if !found {
			t.Errorf("%s: the new replica of %s is not one of %v", what, g.Name, after.Keepers)
		}
	}
}

// An owner is stopped between its look at its deadline and its act. Another has the duty and has
// acted when it wakes; what it does then is taken by nobody, and it goes on as a member. Without
// the token's fence at gateways its word is not turned away: that is seen here.
func TestOldOwner(t *testing.T) {
	t.Parallel()
	for _, guard := range []string{"", "token-peer"} {
		f := start(t, Options{Bin: planted, Gateways: 3, Keepers: 3, Nodes: 3, Seed: 4, Env: []string{"DUNEMOOR_STOP_AT=acting list/calendar", "DUNEMOOR_FAILPOINT=" + guard}})
		ctx, cancel := context.WithTimeout(context.Background(), formTime)
		defer cancel()
		var owner *Gateway
		n := 0
		if err := f.Until(ctx, "an owner stops between its look and its act", formTime, func() bool {
			if owner = f.Owner("list/calendar"); owner == nil {
				return false
			}
			n = f.History.Len()
			soon, cancel := context.WithTimeout(ctx, 3*sessionTime) // it acts every 2 s, if it is the owner still
			defer cancel()
			return owner.StopAt(soon, "acting list/calendar") == nil
		}); err != nil {
			t.Fatal(err)
		}
		next, n, err := f.History.Wait(ctx, n, func(e Event) bool { return e.Kind == TakenUp && e.Duty == "list/calendar" && e.Gateway != owner.Name })
		if err != nil {
			t.Fatal(err)
		}
		f.Hosts.SetState(0, fakes.StateGone) // the next owner tells it
		for _, g := range f.Gateways {
			if err := f.Until(ctx, "the next owner is known", formTime, func() bool {
				s, err := g.Status()
				return g == owner || err == nil && s.Token("list/calendar") >= next.Token
			}); err != nil {
				t.Fatal(err)
			}
		}
		if err := owner.Continue(); err != nil {
			t.Fatal(err)
		}
		whole(t, f)
		fenced := 0
		for _, e := range f.History.Events()[n:] {
			if e.Kind == Fenced && e.Token < next.Token && e.From == owner.Name {
				fenced++
			}
		}
		if (fenced > 0) != (guard == "") {
			t.Errorf("guard %q out: the old owner's word was turned away %d times", guard, fenced)
		}
		f.Close()
	}
}

// The owner that tries hosts for all is stopped between its look and its request. Another has
// tried the host when it wakes: the host turns the old one away, and one that does not heed tokens
// takes it, which is seen here. All the while the checker is wrong: the host answers it, and resets
// what clients send; the rules hold.
func TestOldChecker(t *testing.T) {
	t.Parallel()
	const duty = "check/calendar"
	for _, heedless := range []bool{false, true} {
		f := start(t, Options{Bin: planted, Gateways: 3, Keepers: 3, Nodes: 3, Seed: 6, Env: []string{"DUNEMOOR_STOP_AT=acting " + duty}})
		ctx, cancel := context.WithTimeout(context.Background(), formTime)
		defer cancel()
		host := f.Hosts.Nodes[0]
		host.IgnoresTokens.Store(heedless)
		if err := f.Until(ctx, "each of three owns one of three duties, and none is moved any more", formTime, func() bool {
			owners := map[*Gateway]bool{}
			for _, name := range []string{duty, "housekeeping", "list/calendar"} {
				owners[f.Owner(name)] = true
			}
			return len(owners) == 3 && !owners[nil]
		}); err != nil {
			t.Fatal(err)
		}
		owner := f.Owner(duty)
		asked := f.Gateways[(slices.Index(f.Gateways, owner)+1)%3]
		load(t, f, asked)
		host.Behave(fakes.Behaviour{Work: 2 * time.Millisecond, Cores: 8, Mode: fakes.ResetAt})
		n := f.History.Len()
		if err := owner.StopAt(ctx, "acting "+duty); err != nil {
			t.Fatal(err)
		}
		next, _, err := f.History.Wait(ctx, n, func(e Event) bool { return e.Kind == TakenUp && e.Duty == duty && e.Gateway != owner.Name })
		if err != nil {
			t.Fatal(err)
		}
		if err := f.Until(ctx, "the next owner tries the host", formTime, func() bool {
			highest := f.Hosts.Ledger.LeaseRequests(duty).HighestToken
			return highest >= next.Token
		}); err != nil {
			t.Fatal(err)
		}
		if err := owner.Continue(); err != nil {
			t.Fatal(err)
		}
		if err := f.Until(ctx, "the old owner acts", formTime, func() bool { return f.Hosts.Ledger.LeaseRequests(duty).Stale > 0 }); err != nil {
			t.Error(err)
		}
		if r := f.Hosts.Ledger.LeaseRequests(duty); (r.StaleAccepted > 0) != heedless {
			t.Errorf("heedless %v: %d acts of an owner of before, %d taken", heedless, r.Stale, r.StaleAccepted)
		}
		if err := f.Until(ctx, "the host is hinted at", formTime, func() bool {
			m, err := asked.Metrics()
			return err == nil && m[`dunemoor_fleet_hints_total{pool="calendar"}`] > 0
		}); err != nil {
			t.Error(err)
		}
		whole(t, f)
	}
}

// A host that was down for a while is used again, where one gateway tries it for all and where
// each finds out by itself.
func TestHostComesBack(t *testing.T) {
	t.Parallel()
	for _, alone := range []bool{false, true} {
		f := start(t, Options{Gateways: 3, Keepers: 3, Nodes: 3, Seed: 7, NoCheck: alone})
		load(t, f, f.Gateways[0])
		host := f.Hosts.Nodes[0]
		host.Crash()
		time.Sleep(down) // its back-off grows meanwhile
		ran := f.Hosts.Ledger.ExecutionsAt(host.Name)
		if err := host.Start(); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		if err := f.Until(context.Background(), "the host is used again", formTime, func() bool { return f.Hosts.Ledger.ExecutionsAt(host.Name) > ran }); err != nil {
			t.Error(err)
		}
		t.Logf("alone %v: used again after %v", alone, time.Since(began).Round(time.Millisecond))
	}
}

// down is how long a host is down in TestHostComesBack.
const down = 7 * time.Second

// Hard cases by name, each under load at a gateway that is spared. What must have been there to see
// is looked for in the log: a fault that did nothing is none.
func TestHardCases(t *testing.T) {
	t.Parallel()
	f := start(t, Options{Bin: planted, Gateways: 9, Keepers: 5, Nodes: 3, Seed: 8})
	spare := f.Gateways[8]
	load(t, f, spare)
	second := Span(time.Second)
	for _, c := range []struct {
		what   string
		seen   string
		faults []Fault
	}{
		{"a full disk at the leader", "file too large", []Fault{{Kind: "full", Who: "leader", For: 4 * second}, {After: second / 2, Kind: "move", Who: "g2"}, {After: second / 2, Kind: "move", Who: "g3"}}},
		{"an fsync that is stuck at the leader", "stuck at fsync", []Fault{{Kind: "stuck", Who: "leader", For: 4 * second}, {After: second / 2, Kind: "move", Who: "g2"}, {After: second / 2, Kind: "move", Who: "g3"}}},
		{"two halves that both see the leader, and the owner killed", "", []Fault{{Kind: "bridge", Who: "leader", For: 6 * second}, {After: second, Kind: "kill", Who: "owner", For: 5 * second}}},
		{"a link of the owner that flaps at the lease's period", "", []Fault{{Kind: "flap", Who: "owner", For: 7 * second}}},
		{"seven in ten killed at once", "", []Fault{{Kind: "most", Who: "leader", For: 2 * second}}},
	} {
		if f.Owner("list/calendar") == spare {
			if _, err := f.Hands(context.Background(), Planned, "list/calendar", spare); err != nil {
				t.Fatal(err)
			}
		}
		said := len(f.Log())
		began := time.Now()
		if err := f.Play(context.Background(), &Plan{Fault: c.faults}, spare); err != nil {
			t.Fatalf("%s: %v", c.what, err)
		}
		if !strings.Contains(f.Log()[said:], c.seen) {
			t.Errorf("%s: nothing is seen of it", c.what)
		}
		t.Logf("%s: whole again after %v", c.what, time.Since(began).Round(time.Millisecond))
	}
}

// flip changes a bit in the midst of a gateway's log.
func flip(g *Gateway) error {
	logs, err := filepath.Glob(filepath.Join(g.dir, "log-*"))
	if err != nil || len(logs) == 0 {
		return fmt.Errorf("no log in %s: %v", g.dir, err)
	}
	b, err := os.ReadFile(logs[0])
	if err != nil {
		return err
	}
	f, err := os.OpenFile(logs[0], os.O_RDWR, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = f.WriteAt([]byte{b[len(b)/2] ^ 0x10}, int64(len(b)/2))
	return err
}

// Others are not let in: by another key, of another fleet, under a name that is taken.
func TestStrangers(t *testing.T) {
	t.Parallel()
	f := start(t, Options{Gateways: 3, Keepers: 3, Nodes: 1, Seed: 3})
	g := f.Gateways[2]
	good, err := os.ReadFile(g.file)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		what    string
		replace []string
		want    string
	}{
		{"another key", []string{"/key\"", "/other\""}, "the other side does not know the fleet's key"},
		{"another's disk", []string{`id = "trial"`, `id = "rial"`}, "the disk belongs to another gateway"},
		{"another fleet", []string{`id = "trial"`, `id = "rial"`, "/g3\"", "/g3-other\""}, `refused by it: its fleet is`},
		{"a taken name", []string{"name = \"g3\"\nadmin", "name = \"g1\"\nadmin", "peer]]\nname = \"g1\"", "peer]]\nname = \"g3\"", "/g3\"", "/g3-second\""},
			"another gateway with the name g1 is connected"},
	} {
		g.Kill()
		if err := os.WriteFile(filepath.Join(f.Dir, "other"), []byte("this is not the key of that fleet"), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(g.file, []byte(strings.NewReplacer(c.replace...).Replace(string(good))), 0o600); err != nil {
			t.Fatal(err)
		}
		said := len(f.Log())
		if err := g.Start(); err != nil {
			t.Fatal(err)
		}
		if err := f.Until(context.Background(), c.what+" is refused", formTime, func() bool { return strings.Contains(f.Log()[said:], c.want) }); err != nil {
			t.Error(err)
		}
		g.Kill()
	}
	if err := os.WriteFile(g.file, good, 0o600); err != nil {
		t.Fatal(err)
	}
	// A build that speaks another format of frames, and one that speaks none.
	for _, word := range []string{"dunemoor\x09\x01", "GET / HTTP/1.1\r\n\r\n"} {
		conn, err := net.Dial("tcp", f.Gateways[0].fleet)
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(formTime))
		fmt.Fprintf(conn, "%-26s", word)
		if _, err := io.ReadAll(conn); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%q: the connection is held", word)
		}
		conn.Close()
	}
	if err := g.Start(); err != nil {
		t.Fatal(err)
	}
	whole(t, f)
}
