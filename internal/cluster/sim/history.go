package sim

import (
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/cluster/node"
)

// lockHistory is the history of the clients' lock operations and their results.
type lockHistory struct{ operations []lockOperation }

// lockOperation is the acquisition or release of a lock.
type lockOperation struct {
	client  int
	lock    string
	acquire bool
	token   uint64 // token of the grant to release
	began   time.Duration
	ended   time.Duration // 0: the outcome is unknown
	ok      bool
	held    bool   // rejected because another client has the lock
	granted uint64 // token of the grant
}

// lockClient acquires and releases locks, one command at a time.
type lockClient struct {
	node        *Node
	incarnation int
	pending     *lockOperation    // operation without an outcome; nil: none
	proposal    uint64            // proposal ID of the pending operation's command
	tokens      map[string]uint64 // tokens of the locks that the client holds, by lock
}

// clientInterval is the mean delay between two attempts of a client to propose a command.
const clientInterval = 150 * time.Millisecond

// start resets the client and starts its loop, when the node's process starts.
func (c *lockClient) start() {
	c.incarnation, c.tokens, c.pending, c.proposal = c.node.incarnation, map[string]uint64{}, nil, 0
	c.schedule()
}

// schedule schedules the next proposal after a random delay.
func (c *lockClient) schedule() {
	w := c.node.world
	incarnation := c.incarnation
	w.afterFunc(w.drawDuration(0, 2*clientInterval), func() {
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

// propose proposes an operation on a random lock: its release if the client holds it, else its acquisition.
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
		return // the command may have been applied, or may be applied later
	case outcome.Result.Code == lease.NoSession || outcome.Result.Code == lease.ResultExpired:
		h.operations = slices.Delete(h.operations, i, i+1) // the command had no effect
		return
	}
	x := &h.operations[i]
	x.ended, x.ok, x.held, x.granted = c.node.world.Now, outcome.Result.Code == lease.OK, outcome.Result.Code == lease.LeaseHeld, outcome.Result.Token
	if x.acquire && x.ok {
		c.tokens[x.lock] = x.granted
	}
}

// reset drops the pending operation when the node's process ends; its outcome stays unknown.
func (c *lockClient) reset() { c.pending = nil }

// lockState is the state of a lock in lockModel.
type lockState struct {
	token  uint64
	client int
}

// unknownClient is the holder in lockState when the holder's acquisition has had no reply.
const unknownClient = -1

// lockModel is the sequential specification of a lock. An acquisition of a free lock succeeds and returns a
// higher token than before; a release with that token frees the lock. The expiry of a session also frees it, at
// any time and without an operation in the history, so a grant is valid whenever its token is new. A token must
// never be granted twice, and tokens must never decrease.
var lockModel = porcupine.Model{
	Init: func() any { return lockState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(lockState), input.(lockOperation), output.(lockOperation)
		switch {
		case out.ended == 0:
			return true, s // unknown outcome: treated as not applied; a later operation reveals a grant by its token
		case in.acquire && out.ok:
			// If the client's release had no reply, it may still hold the lock: an acquisition then returns
			// the current token again.
			again := out.granted == s.token && (in.client == s.client || s.client == unknownClient)
			return out.granted > s.token || again, lockState{out.granted, in.client}
		case in.acquire && out.held:
			if out.granted > s.token {
				return true, lockState{out.granted, unknownClient} // granted to a client that has had no reply so far
			}
			return out.granted == s.token, s
		case in.acquire:
			return true, s
		case out.ok:
			return in.token == s.token, s
		}
		return true, s // a rejected release: the lock was no longer held under its token
	},
}

// CheckLinearizable checks that the clients' history is linearizable: for each lock there is an order of all
// operations, each taking effect between its proposal and its reply, for which lockModel gives the same results.
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
			return fmt.Errorf("seed %d: the history of %d commands for %s is not linearizable", w.Seed, len(operations), lock)
		}
	}
	return nil
}

// Commands returns the number of client commands whose outcome is known.
func (w *World) Commands() (count int) {
	for _, o := range w.history.operations {
		if o.ended != 0 {
			count++
		}
	}
	return count
}
