package sim

import (
	"fmt"
	"slices"
	"time"

	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/cluster/node"
)

// said is an operator's word on a host, asked at one gateway.
type said struct {
	id     uint64
	life   int
	drain  bool
	done   bool // it was answered ok
	before bool // it was answered that nothing was done
}

// operator says now this, now that of one host at one gateway, and does not wait for long.
type operator struct {
	n    *Node
	host string
	list []said
}

// operatorEvery is the mean time between two words of an operator: many come before the answer to
// the one before.
const operatorEvery = 400 * time.Millisecond

func (o *operator) next() {
	w := o.n.w
	w.after(w.between(0, 2*operatorEvery), func() {
		if o.n.up {
			o.n.come(o.say)
		}
		o.next()
	})
}

func (o *operator) say() {
	n := o.n
	if !n.up || n.m.Session() == 0 || n.w.calmed {
		return
	}
	x := said{life: n.life, drain: n.w.rng.IntN(2) == 0}
	c := lease.Command{Op: lease.OpUndrainHost, Override: &lease.Override{Pool: "p", Host: o.host}}
	if x.drain {
		c.Op = lease.OpDrainHost
	}
	if x.id = n.m.Propose(n.clock(), c); x.id != 0 {
		o.list = append(o.list, x)
	}
	n.drain()
}

func (o *operator) done(d node.Outcome) {
	i := slices.IndexFunc(o.list, func(x said) bool { return x.id == d.ID && x.life == o.n.life })
	if i < 0 || !d.Known {
		return
	}
	switch d.Result.Code {
	case lease.OK, lease.Rejected: // refused: there was no word to take back
		o.list[i].done = true
	default:
		o.list[i].before = true
	}
}

// Words plays operators who say many things quickly under whatever faults the seed draws: where
// the last that was said was answered, that is how it stays, and in the end all gateways know the
// same words as the record.
func Words(seed uint64) error {
	o := Mixed(seed)
	o.Operators = 3
	w := New(o)
	for _, n := range w.Nodes {
		n.Start()
	}
	if !w.Until(Bound, w.Whole) {
		return w.failed("the fleet did not form")
	}
	for i, n := range w.Nodes[:o.Operators] {
		n.operator = &operator{n: n, host: fmt.Sprintf("h%d", i)}
		n.operator.next()
	}
	if err := w.Nemesis(10 * time.Second); err != nil {
		return err
	}
	w.calmed = true
	if !w.Until(Bound, w.Whole) {
		return w.failed("not whole after the last fault")
	}
	if err := w.Run(2 * lease.TTL); err != nil {
		return err
	}
	lead := w.Leader()
	if lead == nil {
		return w.failed("nobody leads")
	}
	st := lead.State()
	for _, n := range w.Nodes {
		if words := n.m.Overrides(); words.ModRevision != st.OverridesModRevision || !slices.Equal(words.List, st.ListOverrides()) {
			return w.failed(fmt.Sprintf("%s knows the words of %d, %v, the record has those of %d, %v", n.name, words.ModRevision, words.List, st.OverridesModRevision, st.ListOverrides()))
		}
		if n.operator == nil {
			continue
		}
		list := slices.DeleteFunc(n.operator.list, func(x said) bool { return x.before })
		if len(list) == 0 || !list[len(list)-1].done {
			continue
		}
		if last := list[len(list)-1]; (st.Overrides["p/"+n.operator.host] != nil) != last.drain {
			return w.failed(fmt.Sprintf("the last word on %s was drain %v, answered, and is not so", n.operator.host, last.drain))
		}
	}
	return nil
}
