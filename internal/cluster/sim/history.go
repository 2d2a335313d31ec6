package sim

import (
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/cluster/node"
)

// history is what clients asked of locks and were told.
type history struct{ ops []op }

// op is a claim of a lock or its return.
type op struct {
	client  int
	lock    string
	claim   bool
	token   uint64 // given back
	began   time.Duration
	ended   time.Duration // 0: nobody knows
	ok      bool
	held    bool
	granted uint64
}

// client claims locks and gives them back, one command at a time.
type client struct {
	n    *Node
	out  *op
	id   uint64
	has  map[string]uint64
	life int
}

// clientEvery is the mean time between two commands of a client.
const clientEvery = 150 * time.Millisecond

func (c *client) start(life int) {
	c.life, c.has, c.out, c.id = life, map[string]uint64{}, nil, 0
	c.next()
}

func (c *client) next() {
	w := c.n.w
	life := c.life
	w.after(w.between(0, 2*clientEvery), func() {
		c.n.come(func() {
			if c.n.life != life || c.life != life || w.Locks == 0 {
				return
			}
			if c.out == nil && c.n.m.Session() != 0 {
				c.ask()
			}
			c.next()
		})
	})
}

func (c *client) ask() {
	w := c.n.w
	lock := fmt.Sprintf("lock%d", w.rng.IntN(w.Locks))
	o := &op{client: c.n.i, lock: lock, claim: c.has[lock] == 0, token: c.has[lock], began: w.Now}
	cmd := lease.Command{Op: lease.OpAcquire, Lease: lock}
	if !o.claim {
		cmd = lease.Command{Op: lease.OpRelease, Lease: lock, Token: o.token}
		delete(c.has, lock)
	}
	c.out = o
	if c.id = c.n.m.Propose(c.n.clock(), cmd); c.id == 0 {
		c.out = nil
		return
	}
	w.ops.ops = append(w.ops.ops, *o)
	c.n.drain()
}

// done is the answer to a command.
func (c *client) done(d node.Outcome) {
	if c.out == nil || d.ID != c.id {
		return
	}
	o := c.out
	c.out = nil
	h := c.n.w.ops
	i := slices.IndexFunc(h.ops, func(x op) bool { return x.client == o.client && x.began == o.began && x.ended == 0 })
	switch {
	case !d.Known:
		return // it may have had its effect, or may yet
	case d.Result.Code == lease.NoSession || d.Result.Code == lease.ResultExpired:
		h.ops = slices.Delete(h.ops, i, i+1) // it had none
		return
	}
	x := &h.ops[i]
	x.ended, x.ok, x.held, x.granted = c.n.w.Now, d.Result.Code == lease.OK, d.Result.Code == lease.LeaseHeld, d.Result.Token
	if x.claim && x.ok {
		c.has[x.lock] = x.granted
	}
}

// lost is the end of a client's process: what was out is not known.
func (c *client) lost() { c.out = nil }

// lockState is a lock as the model has it.
type lockState struct {
	token  uint64
	client int
}

// nobody stands for a client that is not known.
const nobody = -1

// model is a lock: a claim gets it where it is free, under a higher token than before; its return
// under that token frees it. That a session lapses frees it as well, at any time: a lock that is
// found free may have been so by that, so a grant is right as long as its token is new. What must
// never be is a token twice or a lower one.
var model = porcupine.Model{
	Init: func() any { return lockState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(lockState), input.(op), output.(op)
		switch {
		case out.ended == 0:
			return true, s // unknown: taken as if it had not been; a grant shows by its token
		case in.claim && out.ok:
			// Whoever has it and does not know, as its return was not answered, is told so again.
			return out.granted > s.token || out.granted == s.token && (in.client == s.client || s.client == nobody), lockState{out.granted, in.client}
		case in.claim && out.held:
			if out.granted > s.token {
				return true, lockState{out.granted, nobody} // by one whose answer was not seen yet
			}
			return out.granted == s.token, s
		case in.claim:
			return true, s
		case out.ok:
			return in.token == s.token, s
		}
		return true, s // given back too late
	},
}

// Linear checks the clients' history: for each lock there is one order of all commands, each
// between its asking and its answer, that a single lock would have answered so.
func (w *World) Linear() error {
	byLock := map[string][]porcupine.Operation{}
	for _, o := range w.ops.ops {
		end := o.ended
		if end == 0 {
			continue
		}
		byLock[o.lock] = append(byLock[o.lock], porcupine.Operation{ClientId: o.client, Input: o, Call: int64(o.began), Output: o, Return: int64(end)})
	}
	for lock, ops := range byLock {
		if !porcupine.CheckOperations(model, ops) {
			return fmt.Errorf("seed %d: no order of the %d commands for %s explains their answers", w.Seed, len(ops), lock)
		}
	}
	return nil
}

// Commands is how many commands of clients were answered.
func (w *World) Commands() (n int) {
	for _, o := range w.ops.ops {
		if o.ended != 0 {
			n++
		}
	}
	return n
}
