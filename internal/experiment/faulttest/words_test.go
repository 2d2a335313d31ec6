package faulttest

import (
	"context"
	"os/exec"
	"strings"
	"testing"
	"time"
)

// told is how long after it was told that a host drains a gateway may yet send to it (rule 3).
const told = 500 * time.Millisecond

// An operator's word on a host holds at every gateway, over a start of all of them, and at one that
// does not keep the record and starts while nobody else is there; taken back, it is over. Without
// the file in which each keeps the words the one that starts alone forgets them, which is seen here.
func TestWords(t *testing.T) {
	for _, guard := range []string{"", "words-kept"} {
		t.Run("out "+guard, func(t *testing.T) {
			t.Parallel()
			f := start(t, Options{Bin: planted, Gateways: 4, Keepers: 3, Nodes: 3, Seed: 10, Env: []string{"DUNEMOOR_FAILPOINT=" + guard}})
			host, member := f.Hosts.Nodes[0].Name, f.Gateways[3]
			ctl := func(code int, args ...string) {
				t.Helper()
				cmd := exec.Command(operators, append([]string{"fleet", "--admin", f.Gateways[1].admin}, args...)...)
				if out, _ := cmd.CombinedOutput(); cmd.ProcessState.ExitCode() != code {
					t.Fatalf("%q ends with %d: %s", args, cmd.ProcessState.ExitCode(), out)
				}
			}
			until := func(what string, ok func() bool) {
				t.Helper()
				if err := f.Until(context.Background(), what, formTime, ok); err != nil {
					t.Fatal(err)
				}
			}
			// used is how many of the next requests by clients of the member run at the host.
			used := func() int {
				stop := f.Load(member)
				defer func() {
					if _, err := stop(); err != nil {
						t.Error(err)
					}
					f.Seed++
				}()
				time.Sleep(told)
				at, all := f.Hosts.Ledger.ExecutionsAt(host), f.Hosts.Ledger.Count().Executions
				until("a hundred requests run", func() bool { return f.Hosts.Ledger.Count().Executions >= all+100 })
				return f.Hosts.Ledger.ExecutionsAt(host) - at
			}
			if used() == 0 {
				t.Error("the host is not used before")
			}
			ctl(2, "drain", "nothing/"+host)
			ctl(1, "drain", "calendar/"+host, "--until", "yesterday")
			ctl(0, "drain", "calendar/"+host, "--reason", "a disk is to be changed", "--until", "1h")
			for _, g := range f.Gateways {
				until(g.Name+" knows of it", func() bool { s, err := g.Status(); return err == nil && len(s.Words) == 1 && s.Words[0].Host == host })
			}
			if n := used(); n > 0 {
				t.Errorf("%d requests ran at a host that drains", n)
			}
			for _, g := range f.Gateways {
				g.Kill()
			}
			if err := member.Start(); err != nil {
				t.Fatal(err)
			}
			until("the member serves", func() bool { _, err := member.Status(); return err == nil })
			if n := used(); (n > 0) != (guard != "") {
				t.Errorf("guard %q out: %d requests ran at a host that drains, at a gateway that started alone", guard, n)
			}
			if err := f.Heal(); err != nil {
				t.Fatal(err)
			}
			whole(t, f)
			until("the file has the word again", func() bool { s, err := member.Status(); return err == nil && len(s.Words) == 1 })
			ctl(0, "undrain", "calendar/"+host)
			ctl(2, "undrain", "calendar/"+host)
			until("it is taken back", func() bool { s, err := member.Status(); return err == nil && len(s.Words) == 0 })
			if used() == 0 {
				t.Error("the host is not used again")
			}
			if n := strings.Count(f.Log(), "operator overrides changed"); n < 2*len(f.Gateways) {
				t.Errorf("the overrides are logged %d times", n)
			}
		})
	}
}
