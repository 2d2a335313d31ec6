// Package kit2 has what the cases of the second review share: a record of what happened, the processes of a case, and
// small stand-ins for clients, hosts and discovery that follow the protocol page.
package kit2

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"
)

// Verdict is the exit code of a case.
type Verdict int

// Verdicts.
const (
	Held     Verdict = 0 // the rule was kept
	Broken   Verdict = 1 // the rule was broken
	NotRun   Verdict = 2 // the case could not run
	maxRun           = 115 * time.Second
	startMax         = 20 * time.Second
)

// Case is a running case.
type Case struct {
	Trouble bool   // whether the disruption is played
	Dir     string // temporary folder

	root  string
	run   string // command that starts a gateway, of the deploy file
	net   string // first three bytes of the loopback addresses of this case
	start time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*Process
	lastIP int
}

// Main runs a case and exits with its verdict. The first argument is the folder of the case.
func Main(play func(c *Case) (Verdict, error)) {
	c, err := newCase()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(NotRun))
	}
	result := make(chan Verdict, 1)
	go func() {
		v, err := play(c)
		if err != nil {
			c.Logf("could not run: %v", err)
			v = NotRun
		}
		result <- v
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	v := NotRun
	select {
	case v = <-result:
	case <-time.After(maxRun):
		c.Logf("could not run: not over after %v", maxRun)
	case <-signals:
	}
	c.end(v)
	os.Exit(int(v))
}

func newCase() (*Case, error) {
	if len(os.Args) != 2 {
		return nil, errors.New("usage: caseN FOLDER")
	}
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	var deploy struct{ Run string }
	if _, err := toml.DecodeFile(filepath.Join(root, "deploy", "balancer.toml"), &deploy); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		return nil, err
	}
	c := &Case{
		Trouble: os.Getenv("TROUBLE") != "0", Dir: dir, root: root, run: deploy.Run, start: time.Now(), record: record,
		net: fmt.Sprintf("127.%d.%d.", 64+rand.N(128), 1+rand.N(250)),
	}
	c.Logf("trouble: %v", c.Trouble)
	return c, nil
}

func (c *Case) end(v Verdict) {
	c.mu.Lock()
	procs := c.procs
	c.mu.Unlock()
	for _, p := range procs {
		p.Kill()
	}
	text := map[Verdict]string{Held: "held", Broken: "broken", NotRun: "could not run"}[v]
	c.Logf("verdict: %s", text)
	fmt.Println(text)
	os.RemoveAll(c.Dir)
}

// Since returns the time since the case began.
func (c *Case) Since() time.Duration { return time.Since(c.start) }

// At returns an instant as the time since the case began.
func (c *Case) At(t time.Time) time.Duration { return t.Sub(c.start).Round(time.Millisecond) }

// Logf writes a line to the record, with the time since the case began.
func (c *Case) Logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%9.3f %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
}

// Address returns a loopback address of its own, with a port.
func (c *Case) Address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastIP++
	return fmt.Sprintf("%s%d:9000", c.net, c.lastIP)
}

// Write writes a file into the temporary folder, and returns its path.
func (c *Case) Write(name, text string) (string, error) {
	path := filepath.Join(c.Dir, name)
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// Process is a process that the case has started.
type Process struct {
	Name string
	c    *Case
	cmd  *exec.Cmd
	done chan struct{}
}

// Start starts a gateway with the command of the deploy file and an appliance's file.
func (c *Case) Start(name, file string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(c.Dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", c.run+" -appliance "+file)
	cmd.Dir = c.root
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{Name: name, c: c, cmd: cmd, done: make(chan struct{})}
	c.mu.Lock()
	c.procs = append(c.procs, p)
	c.mu.Unlock()
	c.Logf("%s: started, process %d", name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		c.Logf("%s: ended: %v", name, err)
		log.Close()
		close(p.done)
	}()
	return p, nil
}

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) {
	p.c.Logf("%s: %v", p.Name, s)
	p.cmd.Process.Signal(s)
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	select {
	case <-p.done:
		return
	default:
	}
	p.cmd.Process.Kill()
	<-p.done
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Wait waits for the end of the process, and reports whether it came in time.
func (p *Process) Wait(most time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(most):
		return false
	}
}

// Log returns the lines of the process's log that contain a text.
func (p *Process) Log(text string) (lines []string) {
	b, _ := os.ReadFile(filepath.Join(p.c.Dir, p.Name+".log"))
	for line := range strings.Lines(string(b)) {
		if strings.Contains(line, text) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}

// Await waits until a condition holds.
func (c *Case) Await(what string, holds func() bool) error {
	return c.AwaitFor(what, startMax, holds)
}

// AwaitFor is Await with a limit.
func (c *Case) AwaitFor(what string, most time.Duration, holds func() bool) error {
	until := time.Now().Add(most)
	for !holds() {
		if time.Now().After(until) {
			return fmt.Errorf("%s: not seen within %v", what, most)
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.Logf("%s", what)
	return nil
}

// Listen listens on an address of the case.
func (c *Case) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
