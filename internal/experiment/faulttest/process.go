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

// maxLogLine is the maximum length of a log line, in bytes. A longer line ends the reading of the output.
const maxLogLine = 1 << 20

// Process is a running program that StartProcess started.
type Process struct {
	Name     string
	cmd      *exec.Cmd
	done     chan struct{}
	exitCode int // set before done is closed
}

// StartProcess starts a program. Each line of its output is written to log with the time and the name, and passed to
// onLogLine, which may be nil.
func StartProcess(name, program string, args, env []string, log io.Writer, onLogLine func(line string)) (*Process, error) {
	p := &Process{Name: name, cmd: exec.Command(program, args...), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	p.cmd.Stdout = w
	p.cmd.Stderr = w
	// The kernel kills the child when this process ends, for whatever reason. It sends the signal when the thread that
	// started the child ends; threads of this process end only with the process.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err = p.cmd.Start()
	w.Close()
	if err != nil {
		r.Close()
		return nil, err
	}
	go func() {
		p.readLog(r, log, onLogLine) // all output is read before done is closed
		p.cmd.Wait()
		p.exitCode = p.cmd.ProcessState.ExitCode()
		close(p.done)
	}()
	return p, nil
}

// readLog reads the output until it ends or a line is longer than maxLogLine.
func (p *Process) readLog(r io.ReadCloser, log io.Writer, onLogLine func(line string)) {
	defer r.Close()
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLogLine)
	for in.Scan() {
		fmt.Fprintf(log, "%s %s %s\n", time.Now().Format("15:04:05.000"), p.Name, in.Text())
		if onLogLine != nil {
			onLogLine(in.Text())
		}
	}
}

// Kill kills the process with SIGKILL, and waits until it has ended.
func (p *Process) Kill() {
	p.cmd.Process.Kill()
	<-p.done
}

// Pause stops the process with SIGSTOP.
func (p *Process) Pause() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT.
func (p *Process) Resume() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM, which requests a graceful shutdown.
func (p *Process) Terminate() error { return p.cmd.Process.Signal(syscall.SIGTERM) }

// LimitFileSize limits the size of files that the process writes, in bytes; -1 removes the limit. Writes beyond it fail,
// as on a full disk.
func (p *Process) LimitFileSize(size int64) error {
	limit := &unix.Rlimit{Cur: uint64(size), Max: unix.RLIM_INFINITY}
	return unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, limit, nil)
}

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// ExitCode returns the exit code of a process that has ended.
func (p *Process) ExitCode() int { return p.exitCode }
