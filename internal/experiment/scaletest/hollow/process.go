package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"time"
)

// maxOutputLineBytes is the longest line that is read from a process's output.
const maxOutputLineBytes = 64 << 20

// errProcessEnded is returned for a request to a hollow host that has ended, or whose output is malformed.
var errProcessEnded = errors.New("the hollow host has ended, or its output is malformed")

// Process is a process of the fleet: a hollow host, or a relay or gateway of the program. Start and Kill must not be
// called concurrently with other methods.
type Process struct {
	Names []string // names of its members

	fleet  *Fleet
	first  int // index of its first member
	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has ended; nil if it was not started or was killed

	requesting sync.Mutex // held from a request to its reply
	stdin      io.WriteCloser
	replies    chan *reply // replies of a hollow host; closed when its output ends
}

// IsReal reports whether the process is one of the program itself, rather than a hollow host.
func (p *Process) IsReal() bool { return p.first < p.fleet.Options.RealMembers }

// IsRunning reports whether the process was started and has not been killed.
func (p *Process) IsRunning() bool { return p.exited != nil }

// Start starts the process and waits until its hollow gateways have started. The process is killed when ctx ends, or
// when the process that called Start ends.
func (p *Process) Start(ctx context.Context) error {
	output, err := p.launch(ctx)
	if err != nil {
		return fmt.Errorf("start process of %v: %w", p.Names, err)
	}
	p.exited = make(chan struct{})
	p.replies = make(chan *reply, 1)
	go p.supervise(p.cmd, output, p.replies, p.exited)
	if p.IsReal() {
		return nil
	}
	var files []string
	for i := range p.Names {
		files = append(files, p.fleet.layout.file(p.first+i))
	}
	_, err = p.request(&request{Start: files})
	return err
}

// launch starts the command and returns the output to read: the log of the program, or the replies and events of a
// hollow host.
func (p *Process) launch(ctx context.Context) (output *os.File, err error) {
	f := p.fleet
	if p.IsReal() {
		p.cmd = exec.CommandContext(ctx, f.Program, "--appliance", f.layout.file(p.first))
	} else {
		p.cmd = exec.CommandContext(ctx, f.HostCommand[0], f.HostCommand[1:]...)
	}
	// The child must not outlive this process even if this process is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if p.stdin, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	output, writeEnd, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	if p.IsReal() {
		p.cmd.Stdout, p.cmd.Stderr = f.log, writeEnd
	} else {
		p.cmd.Stdout, p.cmd.Stderr = writeEnd, f.log
	}
	err = p.cmd.Start()
	writeEnd.Close()
	if err != nil {
		output.Close()
		return nil, err
	}
	return output, nil
}

// supervise reads the output of a started command until the output ends, and waits for the command.
func (p *Process) supervise(cmd *exec.Cmd, output *os.File, replies chan<- *reply, exited chan<- struct{}) {
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, maxOutputLineBytes)
	if p.IsReal() {
		p.readLog(lines)
	} else {
		p.readReplies(lines, replies)
	}
	output.Close()
	close(replies)
	cmd.Wait()
	close(exited)
}

// readLog copies the program's log to the fleet's log and adds the events in it.
func (p *Process) readLog(lines *bufio.Scanner) {
	for lines.Scan() {
		fmt.Fprintln(p.fleet.log, lines.Text())
		message, at, ok := parseLogLine(lines.Text())
		if ok && slices.Contains(eventMessages, message) {
			p.fleet.events.add(Event{Message: message, Member: p.Names[0], Time: at})
		}
	}
}

// readReplies reads a hollow host's replies and events until the output ends or a line is malformed.
func (p *Process) readReplies(lines *bufio.Scanner, replies chan<- *reply) {
	for lines.Scan() {
		r := &reply{}
		if err := json.Unmarshal(lines.Bytes(), r); err != nil {
			fmt.Fprintf(p.fleet.log, "read reply of %v: %v: %s\n", p.Names, err, lines.Text())
			return
		}
		if r.Event == "" {
			replies <- r
			continue
		}
		if r.Gateway == "" && len(p.Names) == 1 {
			r.Gateway = p.Names[0]
		}
		p.fleet.events.add(Event{Message: r.Event, Member: r.Gateway, Time: time.Unix(0, r.UnixNano)})
	}
}

// request sends a request to a hollow host and returns its reply, or the error that the reply contains.
func (p *Process) request(r *request) (*reply, error) {
	p.requesting.Lock()
	defer p.requesting.Unlock()
	line, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	if _, err := p.stdin.Write(append(line, '\n')); err != nil {
		return nil, err
	}
	answer, ok := <-p.replies
	if !ok {
		return nil, errProcessEnded
	}
	if answer.Error != "" {
		return nil, errors.New(answer.Error)
	}
	return answer, nil
}

// Kill ends the process with SIGKILL if it is running, and waits for its end. Replies that have not been received are
// discarded.
func (p *Process) Kill() {
	if p.exited == nil {
		return
	}
	p.cmd.Process.Kill()
	for range p.replies {
	}
	<-p.exited
	p.exited = nil
}

// Pause stops the process with SIGSTOP until Resume. Its connections stay open, so it appears to other processes like
// one on a failed machine.
func (p *Process) Pause() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues the process after Pause.
func (p *Process) Resume() error { return p.cmd.Process.Signal(syscall.SIGCONT) }
