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
	"strings"
	"testing"
	"time"

	"dunemoor/internal/experiment/fakes"
)

// Paths of binaries that are built once for all tests: the gateway, the gateway with the build tag failpoints, and
// dunemoorctl, the command line tool of operators.
var gatewayBinary, failpointsBinary, dunemoorctl string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "faulttest")
	if err != nil {
		panic(err)
	}
	gatewayBinary = filepath.Join(dir, "dunemoor")
	failpointsBinary = filepath.Join(dir, "dunemoor-failpoints")
	dunemoorctl = filepath.Join(dir, "dunemoorctl")
	for _, args := range [][]string{
		{"-o", gatewayBinary, "dunemoor/cmd/dunemoor"},
		{"-o", failpointsBinary, "-tags", "failpoints", "dunemoor/cmd/dunemoor"},
		{"-o", dunemoorctl, "dunemoor/cmd/dunemoorctl"},
	} {
		if out, err := exec.Command("go", append([]string{"build"}, args...)...).CombinedOutput(); err != nil {
			panic(string(out))
		}
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// convergeTimeout is the timeout for a fleet of processes to converge. It is many times the usual duration, as the machine
// may be busy with other tests.
const convergeTimeout = 60 * time.Second

// newFleet starts a fleet. If the test fails, it logs the status of all gateways and the log of the fleet.
func newFleet(t *testing.T, o Options) *Fleet {
	t.Helper()
	o.Dir = t.TempDir()
	if o.Program == "" {
		o.Program = gatewayBinary
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
			t.Log(f.LogText())
		}
	})
	for _, g := range f.Gateways {
		if err := g.Start(); err != nil {
			t.Fatal(err)
		}
	}
	waitConverged(t, f)
	return f
}

// newCheckedFleet starts a fleet whose history is checked for violations at the end of the test.
func newCheckedFleet(t *testing.T, o Options) *Fleet {
	t.Helper()
	f := newFleet(t, o)
	t.Cleanup(func() {
		for _, violation := range FindViolations(f.History.Events()) {
			t.Errorf("violation: %s", violation)
		}
		if sent, accepted := f.StaleLeaseRequests(); accepted > 0 && !f.Hosts.Nodes[0].IgnoresTokens.Load() {
			t.Errorf("hosts accepted %d requests of earlier lease holders, want 0; they sent %d to hosts and gateways", accepted, sent)
		}
		for _, g := range f.Gateways {
			if g.HasExited() {
				t.Errorf("%s: process exited unexpectedly", g.Name)
			}
		}
	})
	return f
}

// waitConverged waits until the fleet has converged.
func waitConverged(t *testing.T, f *Fleet) {
	t.Helper()
	waitUntil(t, f, "the fleet converges", f.Converged)
}

// waitUntil waits for a condition of a fleet, and fails the test after convergeTimeout.
func waitUntil(t *testing.T, f *Fleet, what string, condition func() bool) {
	t.Helper()
	if err := f.WaitUntil(context.Background(), what, convergeTimeout, condition); err != nil {
		t.Fatal(err)
	}
}

// runCtl runs a fleet command of dunemoorctl at a gateway, and returns its output and its exit code.
func runCtl(g *Gateway, args ...string) (output string, code int) {
	cmd := exec.Command(dunemoorctl, append([]string{"fleet", "--admin", g.admin}, args...)...)
	text, _ := cmd.CombinedOutput() // the error is the exit code
	return string(text), cmd.ProcessState.ExitCode()
}

// startLoad sends client requests to a gateway until the end of the test, and fails the test if StartLoad's stop returns
// an error.
func startLoad(t *testing.T, f *Fleet, g *Gateway) {
	stop := f.StartLoad(g)
	t.Cleanup(func() {
		if _, err := stop(); err != nil {
			t.Error(err)
		}
	})
}

// A lease is transferred for every cause, under load: each token has one holder, tokens increase, and clients of a gateway
// that is not affected get all their responses. The commands of dunemoorctl work meanwhile.
func TestLeaseTransfers(t *testing.T) {
	t.Parallel()
	f := newCheckedFleet(t, Options{Gateways: 5, Replicas: 3, Hosts: 3, Seed: 1})
	spared := f.Gateways[4]
	startLoad(t, f, spared)
	ctl := func(code int, want string, args ...string) {
		t.Helper()
		if out, got := runCtl(f.Gateways[0], args...); got != code || !strings.Contains(out, want) {
			t.Errorf("%q: got exit code %d and %s, want %d and %q", args, got, out, code, want)
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
	f.Replicas++
	waitConverged(t, f)
	ctl(0, "done", "remove", "g4")
	f.Replicas--
	waitConverged(t, f)
	ctl(1, "accepts 2 arg", "move", "list/calendar")
	for _, cause := range TransferCauses {
		gap, err := f.TransferLease(context.Background(), cause, endpointsLease, spared)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: acquired by the next holder after %v", cause, gap.Round(time.Millisecond))
	}
}

// A fleet of nine processes under random faults, with load at a gateway without faults, has no violations and converges.
func TestFleetConvergesAfterDrawnFaults(t *testing.T) {
	t.Parallel()
	f := newCheckedFleet(t, Options{Gateways: 9, Replicas: 5, Hosts: 3, Seed: 5})
	spared := f.Gateways[8]
	startLoad(t, f, spared)
	var names []string
	for _, g := range f.Gateways {
		names = append(names, g.Name)
	}
	plan := DrawPlan(f.Seed, 12*time.Second, names)
	t.Logf("seed %d: %+v", plan.Seed, plan.Faults)
	if err := f.RunPlan(context.Background(), plan, spared); err != nil {
		t.Fatal(err)
	}
}

// A gateway whose disk was wiped, restored from an older copy or corrupted returns as a new replica, which replaces the
// old one: the old replica must not vote again, as its disk may lack entries and votes.
func TestChangedDiskIsAnotherReplica(t *testing.T) {
	t.Parallel()
	f := newCheckedFleet(t, Options{Gateways: 3, Replicas: 3, Hosts: 3, Seed: 2})
	for _, change := range []string{"wiped", "restored", "corrupted"} {
		g := f.Leader()
		if g == nil {
			t.Fatal("the fleet has no leader")
		}
		before, err := g.Status()
		if err != nil {
			t.Fatal(err)
		}
		if change == "restored" {
			if err := g.CopyDisk(); err != nil {
				t.Fatal(err)
			}
		}
		g.Kill()
		switch change {
		case "wiped":
			err = g.WipeDisk()
		case "restored":
			err = g.RestoreDisk()
		case "corrupted":
			err = corruptLog(g)
		}
		if err != nil {
			t.Fatal(err)
		}
		if err := g.Start(); err != nil {
			t.Fatal(err)
		}
		waitConverged(t, f)
		after, err := g.Status()
		if err != nil {
			t.Fatal(err)
		}
		if after.ReplicaID == before.ReplicaID {
			t.Errorf("%s: got the same replica %d of %s again, want a new one", change, after.ReplicaID, g.Name)
		}
		found := false
		for _, r := range after.Replicas {
			if r.ID == before.ReplicaID {
				t.Errorf("%s: got the old replica of %s in %v", change, g.Name, after.Replicas)
			}
			found = found || r.ID == after.ReplicaID
		}
		if !found {
			t.Errorf("%s: got no new replica of %s in %v", change, g.Name, after.Replicas)
		}
	}
}

// A lease holder is paused between the check of its deadline and its publication. When it resumes, another gateway holds
// the lease and has published: gateways must reject the stale publication, and the earlier holder remains a member. With
// the failpoint token-peer they don't reject it, which the test must detect.
func TestPublicationOfEarlierHolderIsRejected(t *testing.T) {
	t.Parallel()
	for _, failpoint := range []string{"", "token-peer"} {
		f := newCheckedFleet(t, Options{Program: failpointsBinary, Gateways: 3, Replicas: 3, Hosts: 3, Seed: 4, Env: []string{"DUNEMOOR_STOP_AT=acting list/calendar", "DUNEMOOR_FAILPOINT=" + failpoint}})
		ctx, cancel := context.WithTimeout(context.Background(), convergeTimeout)
		defer cancel()
		var holder *Gateway
		n := 0
		if err := f.WaitUntil(ctx, "a holder pauses before its publication", convergeTimeout, func() bool {
			if holder = f.LeaseHolder(endpointsLease); holder == nil {
				return false
			}
			n = f.History.Len()
			soon, cancel := context.WithTimeout(ctx, 3*sessionDuration) // a holder publishes every 2 s
			defer cancel()
			return holder.PauseAt(soon, "acting list/calendar") == nil
		}); err != nil {
			t.Fatal(err)
		}
		next, n, err := f.History.Wait(ctx, n, func(e Event) bool {
			return e.Kind == LeaseAcquired && e.Lease == endpointsLease && e.Gateway != holder.Name
		})
		if err != nil {
			t.Fatal(err)
		}
		f.Hosts.SetState(0, fakes.StateGone) // the next holder publishes the changed endpoint list
		for _, g := range f.Gateways {
			if err := f.WaitUntil(ctx, "all gateways have the token of the next holder", convergeTimeout, func() bool {
				s, err := g.Status()
				hasToken := err == nil && s.Token(endpointsLease) >= next.Token
				return g == holder || hasToken
			}); err != nil {
				t.Fatal(err)
			}
		}
		if err := holder.Resume(); err != nil {
			t.Fatal(err)
		}
		waitConverged(t, f)
		rejected := 0
		for _, e := range f.History.Events()[n:] {
			if e.Kind == StalePublicationRejected && e.Token < next.Token && e.From == holder.Name {
				rejected++
			}
		}
		if (rejected > 0) != (failpoint == "") {
			t.Errorf("failpoint %q: got %d rejected publications of the earlier holder, want some: %v", failpoint, rejected, failpoint == "")
		}
		f.Close()
	}
}

// The holder of the health check lease is paused between the check of its deadline and its request. When it resumes,
// another gateway has checked the host: the host must reject the stale request. A host that ignores tokens accepts it,
// which the test must detect. The health checks succeed all the while although the host resets the requests of clients;
// the rules for these requests must still hold.
func TestHealthCheckOfEarlierHolderIsRejected(t *testing.T) {
	t.Parallel()
	const lease = healthCheckLease
	for _, ignoresTokens := range []bool{false, true} {
		f := newCheckedFleet(t, Options{Program: failpointsBinary, Gateways: 3, Replicas: 3, Hosts: 3, Seed: 6, Env: []string{"DUNEMOOR_STOP_AT=acting " + lease}})
		ctx, cancel := context.WithTimeout(context.Background(), convergeTimeout)
		defer cancel()
		host := f.Hosts.Nodes[0]
		host.IgnoresTokens.Store(ignoresTokens)
		if err := f.WaitUntil(ctx, "each of three gateways holds one of three leases", convergeTimeout, func() bool {
			holders := map[*Gateway]bool{}
			for _, name := range []string{lease, housekeepingLease, endpointsLease} {
				holders[f.LeaseHolder(name)] = true
			}
			return len(holders) == 3 && !holders[nil]
		}); err != nil {
			t.Fatal(err)
		}
		holder := f.LeaseHolder(lease)
		loaded := f.next(holder, 1)
		startLoad(t, f, loaded)
		host.Behave(fakes.Behaviour{Work: 2 * time.Millisecond, Cores: 8, Mode: fakes.ResetAt})
		n := f.History.Len()
		if err := holder.PauseAt(ctx, "acting "+lease); err != nil {
			t.Fatal(err)
		}
		next, _, err := f.History.Wait(ctx, n, func(e Event) bool { return e.Kind == LeaseAcquired && e.Lease == lease && e.Gateway != holder.Name })
		if err != nil {
			t.Fatal(err)
		}
		if err := f.WaitUntil(ctx, "the next holder checks the host", convergeTimeout, func() bool {
			highest := f.Hosts.Ledger.LeaseRequests(lease).HighestToken
			return highest >= next.Token
		}); err != nil {
			t.Fatal(err)
		}
		if err := holder.Resume(); err != nil {
			t.Fatal(err)
		}
		if err := f.WaitUntil(ctx, "the earlier holder checks the host", convergeTimeout, func() bool { return f.Hosts.Ledger.LeaseRequests(lease).Stale > 0 }); err != nil {
			t.Error(err)
		}
		if r := f.Hosts.Ledger.LeaseRequests(lease); (r.StaleAccepted > 0) != ignoresTokens {
			t.Errorf("host ignores tokens %v: got %d requests of the earlier holder, %d of them accepted, want some accepted: %v", ignoresTokens, r.Stale, r.StaleAccepted, ignoresTokens)
		}
		if err := f.WaitUntil(ctx, "the loaded gateway receives the result of a health check", convergeTimeout, func() bool {
			m, err := loaded.Metrics()
			return err == nil && m[`dunemoor_fleet_hints_total{pool="calendar"}`] > 0
		}); err != nil {
			t.Error(err)
		}
		waitConverged(t, f)
	}
}

// A host that was down for a while is used again, both with health checks by the lease holder for all gateways and without
// health checks.
func TestHostIsUsedAfterAnOutage(t *testing.T) {
	t.Parallel()
	for _, withoutChecks := range []bool{false, true} {
		f := newCheckedFleet(t, Options{Gateways: 3, Replicas: 3, Hosts: 3, Seed: 7, WithoutHealthChecks: withoutChecks})
		startLoad(t, f, f.Gateways[0])
		host := f.Hosts.Nodes[0]
		host.Crash()
		time.Sleep(hostOutage) // during which the backoff of the gateways grows
		before := f.Hosts.Ledger.ExecutionsAt(host.Name)
		if err := host.Start(); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		if err := f.WaitUntil(context.Background(), "the host is used again", convergeTimeout, func() bool { return f.Hosts.Ledger.ExecutionsAt(host.Name) > before }); err != nil {
			t.Error(err)
		}
		t.Logf("without health checks %v: used again after %v", withoutChecks, time.Since(began).Round(time.Millisecond))
	}
}

// hostOutage is how long a host is down in TestHostIsUsedAfterAnOutage.
const hostOutage = 7 * time.Second

// The fleet converges after combinations of faults, each under load at a gateway without faults. Where a case has a log
// text, the log must contain it, as evidence of the fault.
func TestFleetConvergesAfterFaultCombinations(t *testing.T) {
	t.Parallel()
	f := newCheckedFleet(t, Options{Program: failpointsBinary, Gateways: 9, Replicas: 5, Hosts: 3, Seed: 8})
	spared := f.Gateways[8]
	startLoad(t, f, spared)
	second := Span(time.Second)
	for _, c := range []struct {
		name   string
		log    string
		faults []Fault
	}{
		{"a full disk at the leader", "file too large", []Fault{{Kind: faultDiskFull, Target: targetLeader, Duration: 4 * second}, {After: second / 2, Kind: faultTransfer, Target: "g2"}, {After: second / 2, Kind: faultTransfer, Target: "g3"}}},
		{"an fsync that hangs at the leader", "stuck at fsync", []Fault{{Kind: faultHungSync, Target: targetLeader, Duration: 4 * second}, {After: second / 2, Kind: faultTransfer, Target: "g2"}, {After: second / 2, Kind: faultTransfer, Target: "g3"}}},
		{"two halves connected only through the leader, and the lease holder killed", "", []Fault{{Kind: faultBridge, Target: targetLeader, Duration: 6 * second}, {After: second, Kind: faultKill, Target: targetHolder, Duration: 5 * second}}},
		{"links of the holder that flap with the period of a session", "", []Fault{{Kind: faultFlappingLinks, Target: targetHolder, Duration: 7 * second}}},
		{"seven tenths killed at once", "", []Fault{{Kind: faultKillMost, Target: targetLeader, Duration: 2 * second}}},
	} {
		if f.LeaseHolder(endpointsLease) == spared {
			if _, err := f.TransferLease(context.Background(), OperatorTransfer, endpointsLease, spared); err != nil {
				t.Fatal(err)
			}
		}
		logStart := len(f.LogText())
		began := time.Now()
		if err := f.RunPlan(context.Background(), &Plan{Faults: c.faults}, spared); err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		if !strings.Contains(f.LogText()[logStart:], c.log) {
			t.Errorf("%s: the log does not contain %q", c.name, c.log)
		}
		t.Logf("%s: converged after %v", c.name, time.Since(began).Round(time.Millisecond))
	}
}

// corruptLog flips a bit in the middle of a gateway's write-ahead log.
func corruptLog(g *Gateway) error {
	logs, err := g.logFiles()
	if err != nil {
		return err
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

// Gateways with another key, of another fleet, or with a name that is already in use are rejected.
func TestForeignGatewaysAreRejected(t *testing.T) {
	t.Parallel()
	f := newCheckedFleet(t, Options{Gateways: 3, Replicas: 3, Hosts: 1, Seed: 3})
	g := f.Gateways[2]
	good, err := os.ReadFile(g.file)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name    string
		replace []string
		want    string
	}{
		{"another key", []string{"/key\"", "/other\""}, "the other side does not know the fleet's key"},
		{"the disk of another fleet", []string{`id = "trial"`, `id = "rial"`}, "the disk belongs to another gateway"},
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
		logStart := len(f.LogText())
		if err := g.Start(); err != nil {
			t.Fatal(err)
		}
		if err := f.WaitUntil(context.Background(), c.name+" is rejected", convergeTimeout, func() bool { return strings.Contains(f.LogText()[logStart:], c.want) }); err != nil {
			t.Error(err)
		}
		g.Kill()
	}
	if err := os.WriteFile(g.file, good, 0o600); err != nil {
		t.Fatal(err)
	}
	// Connections with another version of the frame format, and with another protocol, are closed.
	for _, greeting := range []string{"dunemoor\x09\x01", "GET / HTTP/1.1\r\n\r\n"} {
		conn, err := net.Dial("tcp", f.Gateways[0].peers)
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(convergeTimeout))
		// The greeting is padded to the length of the first message of the handshake: magic, version, purpose and nonce.
		fmt.Fprintf(conn, "%-26s", greeting)
		if _, err := io.ReadAll(conn); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%q: the connection is still open after %v", greeting, convergeTimeout)
		}
		conn.Close()
	}
	if err := g.Start(); err != nil {
		t.Fatal(err)
	}
	waitConverged(t, f)
}
