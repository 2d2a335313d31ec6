package sim

import (
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/cluster/node"
)

// lockHistory is what clients asked of locks, with the replies.
type lockHistory struct{ operations []lockOperation }

// lockOperation is the acquisition or release of a lock.
type lockOperation struct {
	client  int
	lock    string
	acquire bool
	token   uint64 // that is released
	began   time.Duration
	ended   time.Duration // 0: the outcome is unknown
	ok      bool
	held    bool   // another client has the lock
	granted uint64 // the token of the grant
}

// lockClient acquires and releases locks, one command at a time.
type lockClient struct {
	node        *Node
	incarnation int
	pending     *lockOperation // nil: no command is under way
	proposal    uint64         // of the pending command
	tokens      map[string]uint64
}

// clientInterval is the mean time between two commands of a client.
const clientInterval = 150 * time.Millisecond

// start begins anew with the node's process.
func (c *lockClient) start() {
	c.incarnation, c.tokens, c.pending, c.proposal = c.node.incarnation, map[string]uint64{}, nil, 0
	c.schedule()
}

// schedule has the next command proposed after a while.
func (c *lockClient) schedule() {
	w := c.node.world
	incarnation := c.incarnation
	w.after(w.between(0, 2*clientInterval), func() {
		c.node.deliver(func() {
			if c.node.incarnation != incarnation || c.incarnation != incarnation || w.Locks == 0 {
				return
			}
			if c.pending == nil && c.node.node.Session() != 0 {
				c.propose()
			}
			c.schedule()
		})
	})
}

// propose releases a lock that the client has, or acquires one that it has not.
func (c *lockClient) propose() {
	w := c.node.world
	lock := lockName(w.rng.IntN(w.Locks))
	o := &lockOperation{client: c.node.index, lock: lock, acquire: c.tokens[lock] == 0, token: c.tokens[lock], began: w.Now}
	command := lease.Command{Op: lease.OpAcquire, Lease: lock}
	if !o.acquire {
		command = lease.Command{Op: lease.OpRelease, Lease: lock, Token: o.token}
		delete(c.tokens, lock)
	}
	c.pending = o
	if c.proposal = c.node.node.Propose(c.node.clock(), command); c.proposal == 0 {
		c.pending = nil
		return
	}
	w.history.operations = append(w.history.operations, *o)
	c.node.processOutput()
}

// receive handles the outcome of a command.
func (c *lockClient) receive(outcome node.Outcome) {
	if c.pending == nil || outcome.ID != c.proposal {
		return
	}
	o := c.pending
	c.pending = nil
	h := c.node.world.history
	i := slices.IndexFunc(h.operations, func(x lockOperation) bool { return x.client == o.client && x.began == o.began && x.ended == 0 })
	switch {
	case !outcome.Known:
		return // it may have had its effect, or may still have it
	case outcome.Result.Code == lease.NoSession || outcome.Result.Code == lease.ResultExpired:
		h.operations = slices.Delete(h.operations, i, i+1) // it had none
		return
	}
	x := &h.operations[i]
	x.ended, x.ok, x.held, x.granted = c.node.world.Now, outcome.Result.Code == lease.OK, outcome.Result.Code == lease.LeaseHeld, outcome.Result.Token
	if x.acquire && x.ok {
		c.tokens[x.lock] = x.granted
	}
}

// reset ends with the node's process: the outcome of a pending command is unknown.
func (c *lockClient) reset() { c.pending = nil }

// lockState is a lock as the model has it.
type lockState struct {
	token  uint64
	client int
}

// unknownClient stands for a client whose acquisition has had no reply.
const unknownClient = -1

// lockModel is the sequential specification of a lock. An acquisition gets the lock where it is free, with
// a higher token than before; the release with that token frees it. An expired session frees it too, at
// any time: a lock that is found free may have been freed so, and a grant is right as long as its token is
// new. What must never happen is a token twice, or a lower one.
var lockModel = porcupine.Model{
	Init: func() any { return lockState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(lockState), input.(lockOperation), output.(lockOperation)
		switch {
		case out.ended == 0:
			return true, s // unknown: treated as if it had not happened; a grant shows by its token
		case in.acquire && out.ok:
			// A client that has the lock and does not know, as its release had no reply, is told so again.
			again := out.granted == s.token && (in.client == s.client || s.client == unknownClient)
			return out.granted > s.token || again, lockState{out.granted, in.client}
		case in.acquire && out.held:
			if out.granted > s.token {
				return true, lockState{out.granted, unknownClient} // by a client whose reply was not seen yet
			}
			return out.granted == s.token, s
		case in.acquire:
			return true, s
		case out.ok:
			return in.token == s.token, s
		}
		return true, s // released too late
	},
}

// CheckLinearizable checks the history of the clients: for each lock there is an order of all commands,
// each between its proposal and its reply, in which a single lock would have replied the same.
func (w *World) CheckLinearizable() error {
	byLock := map[string][]porcupine.Operation{}
	for _, o := range w.history.operations {
		if o.ended == 0 {
			continue
		}
		byLock[o.lock] = append(byLock[o.lock], porcupine.Operation{ClientId: o.client, Input: o, Call: int64(o.began), Output: o, Return: int64(o.ended)})
	}
	for lock, operations := range byLock {
		if !porcupine.CheckOperations(lockModel, operations) {
			return fmt.Errorf("seed %d: no order of the %d commands for %s explains their replies", w.Seed, len(operations), lock)
		}
	}
	return nil
}

// Commands returns how many commands of clients have had a reply.
func (w *World) Commands() (count int) {
	for _, o := range w.history.operations {
		if o.ended != 0 {
			count++
		}
	}
	return count
}
