// Command simhost runs many balancers for the simulator. It reads batches of events on standard input and
// replies to each on standard output with the balancers' actions; nothing else is written there. If the input
// is malformed, it exits with status 1 and one line on standard error.
package main

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"dunemoor/balancer"
	"dunemoor/internal/protocol"
	"dunemoor/internal/simwire"
)

// gcPercent makes garbage collection rare, which costs little memory because the heap is small.
const gcPercent = 800

func main() {
	debug.SetGCPercent(gcPercent)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "simhost: %v\n", err)
		os.Exit(1)
	}
}

// run serves batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	s := server{balancers: map[uint32]*balancer.Balancer{}, out: simwire.NewWriter(out)}
	r := simwire.NewReader(in)
	for number := 1; ; number++ {
		err := s.serveBatch(r)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("batch %d: %w", number, err)
		}
	}
}

// server runs the balancers, which share no state.
type server struct {
	balancers map[uint32]*balancer.Balancer // by instance number
	out       *simwire.Writer
	actions   []balancer.Action // buffer for TakeActions, reused for each event
}

// serveBatch reads a batch and replies to it. It returns io.EOF if there is no further batch.
func (s *server) serveBatch(r *simwire.Reader) error {
	now, err := r.Batch()
	if err != nil {
		return err
	}
	for {
		var e simwire.Event
		more, err := r.Next(&e)
		if err != nil {
			return err
		}
		if !more {
			break
		}
		s.handle(now, &e)
	}
	if err := s.out.Flush(); err != nil {
		return fmt.Errorf("reply: %w", err)
	}
	return nil
}

// handle passes one event to its balancer and adds the actions to the reply. An instance that panics is reported as
// crashed and removed; the other instances continue.
func (s *server) handle(now balancer.Time, e *simwire.Event) {
	defer func() {
		if p := recover(); p != nil {
			delete(s.balancers, e.Instance)
			s.out.Crash(e.Instance, fmt.Sprintf("%v\n%s", p, debug.Stack()))
		}
	}()
	switch e.Code {
	case simwire.Start:
		s.start(now, e)
	case simwire.Stop:
		delete(s.balancers, e.Instance)
	}
	b := s.balancers[e.Instance]
	if b == nil {
		return
	}
	dispatch(b, now, e)
	s.actions = b.TakeActions(s.actions[:0])
	for i := range s.actions {
		s.out.Action(e.Instance, &s.actions[i])
	}
}

// dispatch passes an event to a balancer. Events that package balancer doesn't use are ignored.
func dispatch(b *balancer.Balancer, now balancer.Time, e *simwire.Event) {
	switch e.Code {
	case simwire.EndpointList:
		b.UpdateEndpoints(now, e.List, e.Hosts)
	case simwire.Request:
		b.Request(now, e.Request)
	case simwire.ResponseStarted:
		b.ResponseStarted(now, e.Request.ID, e.Attempt)
	case simwire.AttemptEnd:
		b.AttemptEnded(now, e.Outcome)
	case simwire.ClientGone:
		b.ClientGone(now, e.Request.ID)
	case simwire.Timer:
		b.Timer(now, e.Token)
	}
}

// start creates the balancer of an instance and replaces an earlier one. Invalid settings are reported as a crash.
func (s *server) start(now balancer.Time, e *simwire.Event) {
	delete(s.balancers, e.Instance)
	settings, err := protocol.ParseSettings(e.Settings)
	if err != nil {
		s.out.Crash(e.Instance, err.Error())
		return
	}
	b, err := balancer.New(settings, e.Seed)
	if err != nil {
		s.out.Crash(e.Instance, err.Error())
		return
	}
	b.Start(now)
	s.balancers[e.Instance] = b
}
