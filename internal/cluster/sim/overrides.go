package sim

import (
	"fmt"
	"slices"
	"time"

	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/cluster/node"
)

// overridePool is the pool whose hosts operators override.
const overridePool = "p"

// overrideCommand is an operator's command to drain or undrain a host.
type overrideCommand struct {
	proposal    uint64
	incarnation int // incarnation of the node that proposed the command
	drain       bool
	applied     bool // whether the outcome was that the command was applied
	ignored     bool // whether the outcome was that the command had no effect
}

// operator sets and removes the override of one host by commands at one node, without waiting for their outcomes.
type operator struct {
	node     *Node
	host     string
	commands []overrideCommand
}

// operatorInterval is the mean time between two commands of an operator. It is short enough that many commands are
// proposed before the outcome of the first is known.
const operatorInterval = 400 * time.Millisecond

// schedule schedules the next proposal after a random delay.
func (o *operator) schedule() {
	w := o.node.world
	w.afterFunc(w.drawDuration(0, 2*operatorInterval), func() {
		if o.node.up {
			o.node.deliver(o.propose)
		}
		o.schedule()
	})
}

func (o *operator) propose() {
	n := o.node
	if !n.up || n.node.Session() == 0 || n.world.operatorsDone {
		return
	}
	x := overrideCommand{incarnation: n.incarnation, drain: n.world.rng.IntN(2) == 0}
	c := lease.Command{Op: lease.OpUndrainHost, Override: &lease.Override{Pool: overridePool, Host: o.host}}
	if x.drain {
		c.Op = lease.OpDrainHost
	}
	if x.proposal = n.node.Propose(n.clock(), c); x.proposal != 0 {
		o.commands = append(o.commands, x)
	}
	n.processOutput()
}

// receive handles the outcome of a command.
func (o *operator) receive(outcome node.Outcome) {
	i := slices.IndexFunc(o.commands, func(x overrideCommand) bool {
		return x.proposal == outcome.ID && x.incarnation == o.node.incarnation
	})
	if i < 0 || !outcome.Known {
		return
	}
	switch outcome.Result.Code {
	case lease.OK, lease.Rejected: // Rejected: there was no override to remove
		o.commands[i].applied = true
	default:
		o.commands[i].ignored = true
	}
}

// Overrides simulates operators that set and remove overrides in quick succession, under random faults. It checks that
// the last acknowledged command stays in effect, and that all nodes have the same overrides in the end.
func Overrides(seed uint64) error {
	const faults = 10 * time.Second
	o := Mixed(seed)
	o.Operators = 3
	w, err := newFormedWorld(o)
	if err != nil {
		return err
	}
	for i, n := range w.Nodes[:o.Operators] {
		n.operator = &operator{node: n, host: fmt.Sprintf("h%d", i)}
		n.operator.schedule()
	}
	if err := w.InjectFaults(faults); err != nil {
		return err
	}
	w.operatorsDone = true
	if !w.Until(RecoveryTimeout, w.Recovered) {
		return w.errorf("not recovered after the last fault")
	}
	if err := w.Run(2 * lease.TTL); err != nil {
		return err
	}
	return w.checkOverrides()
}

// checkOverrides checks that all nodes have the overrides of the coordination state, and that these agree with the
// outcomes that were reported to operators.
func (w *World) checkOverrides() error {
	leader := w.Leader()
	if leader == nil {
		return w.errorf("there is no leader")
	}
	s := leader.State()
	for _, n := range w.Nodes {
		known := n.node.Overrides()
		if known.ModRevision != s.OverridesModRevision || !slices.Equal(known.List, s.ListOverrides()) {
			return w.errorf("%s has the overrides of revision %d, %v, the coordination state has those of revision %d, %v", n.name, known.ModRevision, known.List, s.OverridesModRevision, s.ListOverrides())
		}
		if n.operator == nil {
			continue
		}
		drained := s.Overrides[overridePool+"/"+n.operator.host] != nil
		if last := n.operator.last(); last != nil && last.applied && drained != last.drain {
			return w.errorf("the last command for %s, drain %v, was acknowledged and is not in effect", n.operator.host, last.drain)
		}
	}
	return nil
}

// last returns the last command that was applied or may have been, or nil.
func (o *operator) last() *overrideCommand {
	for i := len(o.commands) - 1; i >= 0; i-- {
		if !o.commands[i].ignored {
			return &o.commands[i]
		}
	}
	return nil
}
