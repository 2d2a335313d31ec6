package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dunemoor/internal/experiment/fakes"
)

// box is an appliance's file for a fleet, with or without a second pool for a path of its own.
func box(listen string, first, second *fakes.Fleet) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = \"box\"\n[[listener]]\naddress = %q\n", listen)
	for _, c := range []string{"lookup|safe|", "book|unsafe|", "report|keyed|window = \"2500ms\"\ngroup = \"cell\""} {
		f := strings.Split(c, "|")
		fmt.Fprintf(&b, "[[class]]\nname = %q\neffect = %q\naim = \"5s\"\ndeadline = \"20s\"\nworth = 1\n%s\n", f[0], f[1], f[2])
	}
	pool := func(name string, f *fakes.Fleet) {
		fmt.Fprintf(&b, "[[pool]]\nname = %q\nmembers = [\n", name)
		for i, n := range f.Nodes {
			fmt.Fprintf(&b, "  { id = %q, address = %q, cell = %d },\n", n.Name, n.Addr(), i/3)
		}
		b.WriteString("]\n")
	}
	pool("first", first)
	b.WriteString("[[route]]\nname = \"all\"\npool = \"first\"\n")
	if second != nil {
		pool("second", second)
		b.WriteString("[[route]]\nname = \"books\"\npath = \"/api/book\"\npool = \"second\"\n")
	}
	return b.String()
}

// The program serves by a file; SIGHUP reads it anew under load, time and again, one that is in
// error changes nothing, and SIGTERM ends it with nothing unanswered.
func TestAppliance(t *testing.T) {
	ledger := fakes.NewLedger()
	behaviour := fakes.Behaviour{Work: 2 * time.Millisecond, Cores: 8}
	var fleets [2]*fakes.Fleet
	for i := range fleets {
		var err error
		if fleets[i], err = fakes.StartService(fmt.Sprint("f", i), 4, 3, behaviour, ledger); err != nil {
			t.Fatal(err)
		}
		defer fleets[i].Close()
	}
	listen := freeAddr(t)
	path := filepath.Join(t.TempDir(), "box.toml")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	calls := freeAddr(t)
	write("admin = \"" + calls + "\"\n" + box(listen, fleets[0], nil))
	p := startAs(t, path, listen, "-appliance", path)
	p.ready(t)
	resp, err := http.Get("http://" + calls + "/admin/status")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != 200 {
		t.Errorf("status: %d", resp.StatusCode)
	}
	classes := fakes.DefaultClasses()
	for i := range classes {
		classes[i].Timeout = 20 * time.Second
	}
	load := fakes.Load{URL: p.url, Rate: 200, Count: 1200, Classes: classes, Seed: 9, Retries: 2}
	var wait sync.WaitGroup
	wait.Go(func() {
		if err := load.Run(context.Background(), ledger); err != nil {
			t.Error(err)
		}
	})
	said := func(text string, times int) {
		t.Helper()
		until(t, text, func() bool { return strings.Count(p.out.String(), text) >= times })
	}
	for round := 1; round <= 4; round++ {
		write(box(listen, fleets[0], fleets[1]))
		p.Process.Signal(syscall.SIGHUP)
		said("configuration reloaded", 2*round-1)
		write(strings.Replace(box(listen, fleets[0], nil), "unsafe", "unsave", 1))
		p.Process.Signal(syscall.SIGHUP)
		said("configuration not reloaded", round)
		write(box(listen, fleets[0], nil))
		p.Process.Signal(syscall.SIGHUP)
		said("configuration reloaded", 2*round)
	}
	if !strings.Contains(p.out.String(), "box.toml:") || !strings.Contains(p.out.String(), "unsave") {
		t.Errorf("the log does not name the mistake: %s", p.out.String())
	}
	write(box(listen, fleets[0], fleets[1]))
	p.Process.Signal(syscall.SIGHUP)
	said("configuration reloaded", 9)
	wait.Wait()
	p.Process.Signal(syscall.SIGTERM)
	<-p.exited
	if code := p.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d: %s", code, p.out.String())
	}
	c := ledger.Count()
	if broken := c.Violations(); broken != "" {
		t.Errorf("rules broken: %s; twice %v, harm %v", broken, c.RanTwice, c.RejectedAfterExecution)
	}
	if c.Outcomes[fakes.Served]*100 < 98*c.Requests {
		t.Errorf("of %d asked: %v", c.Requests, c.Outcomes)
	}
}

// The process is stopped for a while under load, as on a host that pauses its machines: what
// waited meanwhile is answered, and nothing is turned away for it once it goes on. It guards
// against taking a pause for overload.
func TestPauseShedsNothing(t *testing.T) {
	ledger := fakes.NewLedger()
	fleet, err := fakes.StartService("f", 4, 3, fakes.Behaviour{Work: 2 * time.Millisecond, Cores: 8}, ledger)
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	listen, path := freeAddr(t), filepath.Join(t.TempDir(), "box.toml")
	if err := os.WriteFile(path, []byte(box(listen, fleet, nil)), 0o600); err != nil {
		t.Fatal(err)
	}
	p := startAs(t, path, listen, "-appliance", path)
	p.ready(t)
	classes := fakes.DefaultClasses()
	for i := range classes {
		classes[i].Timeout = 20 * time.Second
	}
	// So few that a machine with little time to spare is not made busy: only the pause counts.
	load := fakes.Load{URL: p.url, Rate: 60, Count: 300, Classes: classes, Seed: 9}
	done := make(chan error, 1)
	go func() { done <- load.Run(context.Background(), ledger) }()
	for range 3 {
		until(t, "it serves", func() bool { c := ledger.Count(); return c.Outcomes[fakes.Served] > 50 })
		if err := p.Process.Signal(syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(300 * time.Millisecond) // the pause itself
		if err := p.Process.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
		served := ledger.Count().Outcomes[fakes.Served]
		until(t, "it serves again", func() bool { return ledger.Count().Outcomes[fakes.Served] > served+50 || len(done) > 0 })
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	c := ledger.Count()
	if broken := c.Violations(); broken != "" || c.Outcomes[fakes.Served] != c.Requests {
		t.Errorf("of %d asked %v; rules broken: %s", c.Requests, c.Outcomes, broken)
	}
}

// A file in error is refused at the start, with each mistake on a line.
func TestApplianceInError(t *testing.T) {
	path := filepath.Join(t.TempDir(), "box.toml")
	if err := os.WriteFile(path, []byte("name = 5\n[[listner]]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	p := startAs(t, path, "127.0.0.1:0", "-appliance", path)
	<-p.exited
	if out := p.out.String(); p.ProcessState.ExitCode() != 1 || !strings.Contains(out, path+":1: name: ") || !strings.Contains(out, path+":2: listner") {
		t.Errorf("exit code %d: %s", p.ProcessState.ExitCode(), out)
	}
}
