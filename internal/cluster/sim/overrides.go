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

// overrideCommand is a command of an operator, at one node.
type overrideCommand struct {
	proposal    uint64
	incarnation int
	drain       bool
	applied     bool // the outcome was that it was applied
	ignored     bool // the outcome was that nothing was done
}

// operator sets and removes the override of one host at one node, without waiting for outcomes.
type operator struct {
	node     *Node
	host     string
	commands []overrideCommand
}

// operatorInterval is the mean time between two commands of an operator: many follow before the outcome
// of the first is known.
const operatorInterval = 400 * time.Millisecond

// schedule has the next command proposed after a while.
func (o *operator) schedule() {
	w := o.node.world
	w.after(w.between(0, 2*operatorInterval), func() {
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
	case lease.OK, lease.Rejected: // rejected: there was no override to remove
		o.commands[i].applied = true
	default:
		o.commands[i].ignored = true
	}
}

// Overrides plays operators who set and remove overrides quickly, under faults that the seed draws. The last
// command that was acknowledged stays in force, and in the end all nodes know the same overrides.
func Overrides(seed uint64) error {
	const faults = 10 * time.Second
	o := Mixed(seed)
	o.Operators = 3
	w, err := formed(o)
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
		return w.failed("not recovered after the last fault")
	}
	if err := w.Run(2 * lease.TTL); err != nil {
		return err
	}
	return w.checkOverrides()
}

// checkOverrides checks that all nodes know the overrides of the coordination state, and that these agree
// with the outcomes that operators were told.
func (w *World) checkOverrides() error {
	leader := w.Leader()
	if leader == nil {
		return w.failed("there is no leader")
	}
	s := leader.State()
	for _, n := range w.Nodes {
		known := n.node.Overrides()
		if known.ModRevision != s.OverridesModRevision || !slices.Equal(known.List, s.ListOverrides()) {
			return w.failed("%s knows the overrides of revision %d, %v, the state has those of %d, %v", n.name, known.ModRevision, known.List, s.OverridesModRevision, s.ListOverrides())
		}
		if n.operator == nil {
			continue
		}
		drained := s.Overrides[overridePool+"/"+n.operator.host] != nil
		if last := n.operator.last(); last != nil && last.applied && drained != last.drain {
			return w.failed("the last command for %s was drain %v, acknowledged, and is not in force", n.operator.host, last.drain)
		}
	}
	return nil
}

// last returns the last command that may have been applied, or nil.
func (o *operator) last() *overrideCommand {
	for i := len(o.commands) - 1; i >= 0; i-- {
		if !o.commands[i].ignored {
			return &o.commands[i]
		}
	}
	return nil
}
