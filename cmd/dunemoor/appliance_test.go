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

// applianceFile returns the text of an appliance's file. The pool first serves all requests except, if second isn't nil,
// those for /api/book, which the pool second serves.
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

// replaceFile replaces a file atomically, as editors do.
func replaceFile(t *testing.T, path, text string) {
	t.Helper()
	writeFile(t, path+".new", text)
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// classesWithLongTimeouts returns the default classes of package fakes with long timeouts, as machines may be busy.
func classesWithLongTimeouts() []fakes.Class {
	classes := fakes.DefaultClasses()
	for i := range classes {
		classes[i].Timeout = 20 * time.Second
	}
	return classes
}

// The program serves load while SIGHUP makes it reload its file repeatedly. An invalid file changes nothing, and after
// SIGTERM every request gets a response.
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
	if got := requestStatus("GET", admin, "/admin/status"); got != 200 {
		t.Errorf("admin status: got %d, want 200", got)
	}
	load := fakes.Load{URL: p.url, Rate: 200, Count: 1200, Classes: classesWithLongTimeouts(), Seed: 9, Retries: 2}
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

// reloadRepeatedly makes a program reload its file repeatedly: with a second pool, with an invalid value, and with one
// pool. It waits for each reload, and leaves the program with both pools.
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
		t.Errorf("got a log without the file name and the invalid value: %s", out)
	}
	mustReload(twoPools)
}

// The process is paused for a short time under load, as a virtual machine may be. Requests that waited in that time get
// a response, and none is rejected afterwards: a pause must not be treated as overload.
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
	// The rate is so low that a busy machine can serve it, so that only the pause delays requests.
	load := fakes.Load{URL: p.url, Rate: 60, Count: 300, Classes: classesWithLongTimeouts(), Seed: 9}
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

// With an invalid file the program exits at startup and writes a line for each error.
func TestInvalidApplianceEndsTheProgram(t *testing.T) {
	path := filepath.Join(t.TempDir(), "box.toml")
	writeFile(t, path, "name = 5\n[[listner]]\n")
	p := startWithFile(t, path, "127.0.0.1:0", "-appliance", path)
	<-p.exited
	if out := p.out.String(); p.ProcessState.ExitCode() != 1 || !strings.Contains(out, path+":1: name: ") || !strings.Contains(out, path+":2: listner") {
		t.Errorf("got exit code %d and %s, want 1 and a line for each error", p.ProcessState.ExitCode(), out)
	}
}
