package faulttest

import (
	"context"
	"os/exec"
	"strings"
	"testing"
	"time"
)

// drainGracePeriod is how long a gateway may send to a host after it learned that the host drains.
const drainGracePeriod = 500 * time.Millisecond

// An operator's override of a host holds at every gateway, over a restart of all of them, and at one without a replica
// that starts alone; it ends when it is removed. With the failpoint words-kept, which doesn't save overrides, the gateway
// that starts alone has none, which the test notices.
func TestOverridesHoldAtAllGateways(t *testing.T) {
	for _, failpoint := range []string{"", "words-kept"} {
		t.Run("failpoint "+failpoint, func(t *testing.T) {
			t.Parallel()
			f := newCheckedFleet(t, Options{Program: builtWithFailpoints, Gateways: 4, Replicas: 3, Hosts: 3, Seed: 10, Env: []string{"DUNEMOOR_FAILPOINT=" + failpoint}})
			host, member := f.Hosts.Nodes[0].Name, f.Gateways[3]
			ctl := func(code int, args ...string) {
				t.Helper()
				cmd := exec.Command(dunemoorctl, append([]string{"fleet", "--admin", f.Gateways[1].admin}, args...)...)
				if out, _ := cmd.CombinedOutput(); cmd.ProcessState.ExitCode() != code {
					t.Fatalf("%q: got exit code %d, want %d: %s", args, cmd.ProcessState.ExitCode(), code, out)
				}
			}
			waitUntil := func(what string, condition func() bool) {
				t.Helper()
				if err := f.WaitUntil(context.Background(), what, convergeTimeout, condition); err != nil {
					t.Fatal(err)
				}
			}
			// executionsAtHost returns how many of the next requests of the member's clients are executed at the host.
			executionsAtHost := func() int {
				stop := f.StartLoad(member)
				defer func() {
					if _, err := stop(); err != nil {
						t.Error(err)
					}
					f.Seed++
				}()
				time.Sleep(drainGracePeriod)
				before, total := f.Hosts.Ledger.ExecutionsAt(host), f.Hosts.Ledger.Count().Executions
				waitUntil("a hundred executions", func() bool { return f.Hosts.Ledger.Count().Executions >= total+100 })
				return f.Hosts.Ledger.ExecutionsAt(host) - before
			}
			if executionsAtHost() == 0 {
				t.Error("before the override: got no request at the host")
			}
			ctl(2, "drain", "nothing/"+host)
			ctl(1, "drain", "calendar/"+host, "--until", "yesterday")
			ctl(0, "drain", "calendar/"+host, "--reason", "a disk is to be changed", "--until", "1h")
			for _, g := range f.Gateways {
				waitUntil(g.Name+" has the override", func() bool {
					s, err := g.Status()
					return err == nil && len(s.Overrides) == 1 && s.Overrides[0].Host == host
				})
			}
			if n := executionsAtHost(); n > 0 {
				t.Errorf("got %d requests at a draining host, want 0", n)
			}
			for _, g := range f.Gateways {
				g.Kill()
			}
			if err := member.Start(); err != nil {
				t.Fatal(err)
			}
			waitUntil("the member responds", func() bool { _, err := member.Status(); return err == nil })
			if n := executionsAtHost(); (n > 0) != (failpoint != "") {
				t.Errorf("failpoint %q: got %d requests at a draining host, from a gateway that started alone", failpoint, n)
			}
			if err := f.Heal(); err != nil {
				t.Fatal(err)
			}
			waitConverged(t, f)
			waitUntil("the member has the override again", func() bool { s, err := member.Status(); return err == nil && len(s.Overrides) == 1 })
			ctl(0, "undrain", "calendar/"+host)
			ctl(2, "undrain", "calendar/"+host)
			waitUntil("the override is removed", func() bool { s, err := member.Status(); return err == nil && len(s.Overrides) == 0 })
			if executionsAtHost() == 0 {
				t.Error("after the override: got no request at the host")
			}
			if n := strings.Count(f.LogText(), "operator overrides changed"); n < 2*len(f.Gateways) {
				t.Errorf("got %d log lines of changed overrides, want at least %d", n, 2*len(f.Gateways))
			}
		})
	}
}
