// Package faulttest starts several processes of the program, puts faults in between them and checks
// what they did. It knows the program by its files, its addresses and its log alone.
package faulttest

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Process is one process of the program, started and ended by us.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	code int
}

// StartProcess starts a program. Its log goes to out, and each line of it to heard.
func StartProcess(name, bin string, args, env []string, out io.Writer, heard func(line string)) (*Process, error) {
	p := &Process{Name: name, cmd: exec.Command(bin, args...), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	p.cmd.Stdout, p.cmd.Stderr = w, w
	// It does not outlive us, however we end. The kernel looks at the thread that started it, and
	// no thread of ours ends before the process does.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		r.Close()
		w.Close()
		return nil, err
	}
	w.Close()
	read := make(chan struct{})
	go func() {
		defer close(read)
		defer r.Close()
		in := bufio.NewScanner(r)
		in.Buffer(nil, 1<<20)
		for in.Scan() {
			fmt.Fprintf(out, "%s %s %s\n", time.Now().Format("15:04:05.000"), name, in.Text())
			if heard != nil {
				heard(in.Text())
			}
		}
	}()
	go func() {
		<-read // all that it wrote, before it counts as ended
		p.cmd.Wait()
		p.code = p.cmd.ProcessState.ExitCode()
		close(p.done)
	}()
	return p, nil
}

// Kill ends the process at once.
func (p *Process) Kill() {
	p.cmd.Process.Kill()
	<-p.done
}

// Stop stops the process where it is, Continue has it go on.
func (p *Process) Stop() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Continue has a stopped process go on.
func (p *Process) Continue() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate asks the process to end in order.
func (p *Process) Terminate() error { return p.cmd.Process.Signal(syscall.SIGTERM) }

// FileMost bounds the size of what the process can write to a file from now on; -1: nothing does.
// A disk that is full looks like that to it.
func (p *Process) FileMost(bytes int64) error {
	return unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: uint64(bytes), Max: unix.RLIM_INFINITY}, nil)
}

// Pid is its number, for those who look at what the kernel says of it.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Ended is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.done }

// Code is its exit code, once it has ended.
func (p *Process) Code() int { return p.code }
