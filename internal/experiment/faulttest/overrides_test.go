package faulttest

import (
	"strings"
	"testing"
	"time"
)

// drainGracePeriod is how long a gateway may still send requests to a host after it has received the drain override.
const drainGracePeriod = 500 * time.Millisecond

// An operator's override of a host is listed by all gateways, and is in effect at a gateway without a replica, also when
// that gateway starts alone. It is kept over a restart of all gateways until it is removed. With the failpoint words-kept
// overrides are not saved, so that the gateway that starts alone has none, which the test must detect.
func TestOverridesApplyAtAllGateways(t *testing.T) {
	for _, failpoint := range []string{"", "words-kept"} {
		t.Run("failpoint "+failpoint, func(t *testing.T) {
			t.Parallel()
			f := newCheckedFleet(t, Options{Program: failpointsBinary, Gateways: 4, Replicas: 3, Hosts: 3, Seed: 10, Env: []string{"DUNEMOOR_FAILPOINT=" + failpoint}})
			o := &overrideTest{T: t, fleet: f, host: f.Hosts.Nodes[0].Name, member: f.Gateways[3]}
			o.checkHostInUse("before the override")
			o.ctl(2, "drain", "nothing/"+o.host)
			o.ctl(1, "drain", "calendar/"+o.host, "--until", "yesterday")
			o.ctl(0, "drain", "calendar/"+o.host, "--reason", "a disk is to be changed", "--until", "1h")
			for _, g := range f.Gateways {
				o.waitUntil(g.Name+" has the override", func() bool {
					s, err := g.Status()
					return err == nil && len(s.Overrides) == 1 && s.Overrides[0].Host == o.host
				})
			}
			if n := o.executionsAtHost(); n > 0 {
				t.Errorf("got %d requests to a draining host, want 0", n)
			}
			o.startMemberAlone()
			if n := o.executionsAtHost(); (n > 0) != (failpoint != "") {
				t.Errorf("failpoint %q: got %d requests to a draining host from a gateway that started alone, want some: %v", failpoint, n, failpoint != "")
			}
			if err := f.Heal(); err != nil {
				t.Fatal(err)
			}
			waitConverged(t, f)
			o.waitUntil("the member has the override again", func() bool { return o.memberHasOverrides(1) })
			o.ctl(0, "undrain", "calendar/"+o.host)
			o.ctl(2, "undrain", "calendar/"+o.host)
			o.waitUntil("the override is removed", func() bool { return o.memberHasOverrides(0) })
			o.checkHostInUse("after the override")
			if n := strings.Count(f.LogText(), "operator overrides changed"); n < 2*len(f.Gateways) {
				t.Errorf("got %d log lines \"operator overrides changed\", want at least %d", n, 2*len(f.Gateways))
			}
		})
	}
}

// overrideTest is a test of an operator's override of a host.
type overrideTest struct {
	*testing.T
	fleet  *Fleet
	host   string
	member *Gateway // the gateway without a replica
}

// ctl runs dunemoorctl at a gateway other than the member, and checks its exit code.
func (o *overrideTest) ctl(code int, args ...string) {
	o.Helper()
	if out, got := runCtl(o.fleet.Gateways[1], args...); got != code {
		o.Fatalf("%q: got exit code %d, want %d: %s", args, got, code, out)
	}
}

func (o *overrideTest) waitUntil(what string, condition func() bool) {
	o.Helper()
	waitUntil(o.T, o.fleet, what, condition)
}

// executionsAtHost sends requests to the member until a hundred are executed, and returns how many of them the host has
// executed.
func (o *overrideTest) executionsAtHost() int {
	o.Helper()
	f := o.fleet
	stop := f.StartLoad(o.member)
	defer func() {
		if _, err := stop(); err != nil {
			o.Error(err)
		}
		f.Seed++ // the next load needs other request IDs, which are derived from the seed
	}()
	time.Sleep(drainGracePeriod)
	before, total := f.Hosts.Ledger.ExecutionsAt(o.host), f.Hosts.Ledger.Count().Executions
	o.waitUntil("a hundred executions", func() bool { return f.Hosts.Ledger.Count().Executions >= total+100 })
	return f.Hosts.Ledger.ExecutionsAt(o.host) - before
}

// checkHostInUse checks that the host receives requests.
func (o *overrideTest) checkHostInUse(when string) {
	o.Helper()
	if o.executionsAtHost() == 0 {
		o.Errorf("%s: the host received no request", when)
	}
}

// startMemberAlone kills all gateways, starts the member, and waits until it responds.
func (o *overrideTest) startMemberAlone() {
	o.Helper()
	for _, g := range o.fleet.Gateways {
		g.Kill()
	}
	if err := o.member.Start(); err != nil {
		o.Fatal(err)
	}
	o.waitUntil("the member responds", func() bool { _, err := o.member.Status(); return err == nil })
}

// memberHasOverrides reports whether the member responds and has count overrides.
func (o *overrideTest) memberHasOverrides(count int) bool {
	s, err := o.member.Status()
	return err == nil && len(s.Overrides) == count
}
