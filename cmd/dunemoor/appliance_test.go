package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dunemoor/internal/experiment/fakes"
)

// applianceFile returns an appliance's file with the pool first, and with the pool second for a path where that isn't
// nil.
func applianceFile(listen string, first, second *fakes.Fleet) string {
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

// replaceFile replaces a file in one step, as an operator's editor does.
func replaceFile(t *testing.T, path, text string) {
	t.Helper()
	writeFile(t, path+".new", text)
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// patientClasses returns the fakes' classes with long timeouts, as machines may be busy.
func patientClasses() []fakes.Class {
	classes := fakes.DefaultClasses()
	for i := range classes {
		classes[i].Timeout = 20 * time.Second
	}
	return classes
}

// The program serves by a file. SIGHUP reloads it under load, again and again; an invalid file changes nothing, and after
// SIGTERM no request is left without a response.
func TestApplianceReloadsUnderLoad(t *testing.T) {
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
	listen, admin := freeAddress(t), freeAddress(t)
	path := filepath.Join(t.TempDir(), "box.toml")
	writeFile(t, path, "admin = \""+admin+"\"\n"+applianceFile(listen, fleets[0], nil))
	p := startWithFile(t, path, listen, "-appliance", path)
	p.waitReady(t)
	if got := call("GET", admin, "/admin/status"); got != 200 {
		t.Errorf("admin status: got %d, want 200", got)
	}
	load := fakes.Load{URL: p.url, Rate: 200, Count: 1200, Classes: patientClasses(), Seed: 9, Retries: 2}
	var wait sync.WaitGroup
	wait.Go(func() {
		if err := load.Run(context.Background(), ledger); err != nil {
			t.Error(err)
		}
	})
	reloadRepeatedly(t, p, listen, fleets)
	wait.Wait()
	p.Process.Signal(syscall.SIGTERM)
	p.mustExitCleanly(t)
	c := ledger.Count()
	if violations := c.Violations(); violations != "" {
		t.Errorf("got violations %s, want none: ran twice %v, rejected after execution %v", violations, c.RanTwice, c.RejectedAfterExecution)
	}
	if c.Outcomes[fakes.Served]*100 < 98*c.Requests {
		t.Errorf("got outcomes %v of %d requests, want nearly all served", c.Outcomes, c.Requests)
	}
}

// reloadRepeatedly reloads the file of a program, in turn with a second pool, invalid, and with one pool. It waits for each
// reload, and leaves the program with both pools.
func reloadRepeatedly(t *testing.T, p *program, listen string, fleets [2]*fakes.Fleet) {
	t.Helper()
	reloaded, failed := 0, 0
	reload := func(text string) {
		t.Helper()
		replaceFile(t, p.config, text)
		p.Process.Signal(syscall.SIGHUP)
	}
	mustReload := func(text string) {
		t.Helper()
		reload(text)
		reloaded++
		p.waitForLog(t, "configuration reloaded", reloaded)
	}
	mustFailToReload := func(text string) {
		t.Helper()
		reload(text)
		failed++
		p.waitForLog(t, "configuration reload failed", failed)
	}
	onePool := applianceFile(listen, fleets[0], nil)
	twoPools := applianceFile(listen, fleets[0], fleets[1])
	for range 4 {
		mustReload(twoPools)
		mustFailToReload(strings.Replace(onePool, "unsafe", "unsave", 1))
		mustReload(onePool)
	}
	if out := p.out.String(); !strings.Contains(out, "box.toml:") || !strings.Contains(out, "unsave") {
		t.Errorf("got a log without the invalid value: %s", out)
	}
	mustReload(twoPools)
}

// The process is paused for a while under load, as a virtual machine may be. Requests that waited meanwhile have a
// response, and none is rejected afterwards: a pause must not count as overload.
func TestPausedProcessRejectsNothing(t *testing.T) {
	ledger := fakes.NewLedger()
	fleet, err := fakes.StartService("f", 4, 3, fakes.Behaviour{Work: 2 * time.Millisecond, Cores: 8}, ledger)
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	listen, path := freeAddress(t), filepath.Join(t.TempDir(), "box.toml")
	writeFile(t, path, applianceFile(listen, fleet, nil))
	p := startWithFile(t, path, listen, "-appliance", path)
	p.waitReady(t)
	// So few requests that a busy machine keeps up: only the pause counts.
	load := fakes.Load{URL: p.url, Rate: 60, Count: 300, Classes: patientClasses(), Seed: 9}
	done := make(chan error, 1)
	go func() { done <- load.Run(context.Background(), ledger) }()
	for range 3 {
		waitUntil(t, "requests served", func() bool { c := ledger.Count(); return c.Outcomes[fakes.Served] > 50 })
		if err := p.Process.Signal(syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(300 * time.Millisecond) // the pause
		if err := p.Process.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
		served := ledger.Count().Outcomes[fakes.Served]
		waitUntil(t, "requests served after the pause", func() bool { return ledger.Count().Outcomes[fakes.Served] > served+50 || len(done) > 0 })
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	c := ledger.Count()
	if violations := c.Violations(); violations != "" || c.Outcomes[fakes.Served] != c.Requests {
		t.Errorf("got outcomes %v of %d requests, violations %q; want all served and no violation", c.Outcomes, c.Requests, violations)
	}
}

// An invalid file ends the program at the start, with a line for each error.
func TestInvalidApplianceEndsTheProgram(t *testing.T) {
	path := filepath.Join(t.TempDir(), "box.toml")
	writeFile(t, path, "name = 5\n[[listner]]\n")
	p := startWithFile(t, path, "127.0.0.1:0", "-appliance", path)
	<-p.exited
	if out := p.out.String(); p.ProcessState.ExitCode() != 1 || !strings.Contains(out, path+":1: name: ") || !strings.Contains(out, path+":2: listner") {
		t.Errorf("got exit code %d and %s, want 1 and a line for each error", p.ProcessState.ExitCode(), out)
	}
}
