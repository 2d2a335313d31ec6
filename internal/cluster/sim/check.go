package sim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/cluster/node"
)

// Ledger is hosts that can refuse: each remembers the highest token that it was shown of a duty.
type Ledger struct {
	highest      map[string]uint64
	Taken, Tried int // acts, and those of them under an older token than the highest
	refused      int
}

func newLedger() *Ledger { return &Ledger{highest: map[string]uint64{}} }

// act is an act on behalf of a duty at a host.
func (l *Ledger) act(duty string, token uint64) {
	if token < l.highest[duty] {
		l.Tried++
		l.refused++
		return
	}
	l.highest[duty] = token
	l.Taken++
}

// work has a gateway act on behalf of what it holds.
func (n *Node) work(holds []node.Grant) {
	w := n.w
	now := map[string]bool{}
	for _, h := range holds {
		now[h.Lease] = true
		if who, ok := w.tokens[h.Token]; !ok {
			w.tokens[h.Token] = h.Lease + " " + n.name
		} else if who != h.Lease+" "+n.name {
			w.bad("token %d was given to %s and to %s %s", h.Token, who, h.Lease, n.name)
		}
		if h.Releasing {
			// Its work ends, and then it is given back.
			duty, token, life := h.Lease, h.Token, n.life
			delete(n.works, duty)
			w.after(w.between(0, 10*time.Millisecond), func() {
				n.come(func() {
					if n.life == life {
						n.m.ReleaseStopped(n.clock(), duty, token)
						n.drain()
					}
				})
			})
			continue
		}
		if n.works[h.Lease] != h.Token {
			n.works[h.Lease] = h.Token
			n.acting(h.Lease, h.Token, n.life, 0)
		}
	}
	for duty := range n.works {
		if !now[duty] {
			delete(n.works, duty)
		}
	}
}

// acting is an owner's loop: look at the deadline, and then act. What lies between may take any
// time.
func (n *Node) acting(duty string, token uint64, life int, seq uint64) {
	w := n.w
	w.after(w.between(0, 2*w.ActEvery), func() {
		n.come(func() {
			if n.life != life || n.works[duty] != token {
				return
			}
			if n.believes(duty) == token {
				pause := w.between(0, time.Millisecond)
				if n.stopActing > 0 {
					// The process is stopped here, between the look and the act.
					stop := n.stopActing
					n.stopActing = 0
					n.Pause()
					w.after(stop, func() {
						if n.life == life {
							n.Resume()
						}
					})
				}
				w.after(pause, func() {
					n.come(func() {
						if n.life == life {
							n.act(duty, token, seq)
						}
					})
				})
			}
			n.acting(duty, token, life, seq+1)
		})
	})
}

// act is an act on behalf of a duty: at a host, at the other gateways and in the record.
func (n *Node) act(duty string, token, seq uint64) {
	n.w.acts++
	n.w.Hosts.act(duty, token)
	if n.w.Relays == 0 {
		n.m.Publish(n.clock(), "", duty, token, seq+1, []byte("news"))
	} else if !n.w.hush {
		t := told{token, 1}
		if was := n.w.told[duty]; was.token == token {
			t.seq = was.seq + 1
		}
		n.say(duty, t)
	}
	if n.w.rng.IntN(4) == 0 {
		n.m.Propose(n.clock(), lease.Command{Op: lease.OpWrite, Lease: duty, Token: token, Key: "by", Value: fmt.Sprintf("%020d", token)})
	}
	n.drain()
}

// taking checks that an act taken is of no older token than one taken before.
func (w *World) taking(where, duty string, token uint64, highest map[string]uint64) {
	if token < highest[duty] {
		w.bad("%s: an act of %s under token %d was taken after one under %d", where, duty, token, highest[duty])
	}
	highest[duty] = token
}

// digestEvery is how many entries of the record lie between two that are compared as a whole: a
// record that differs stays so. Written out at every fourth it was a quarter of a play's time.
const digestEvery = 32

// look checks what must hold at any time, behind each step of a gateway.
func (w *World) look(n *Node, held bool) {
	st := n.m.State()
	if st.ClusterID != 0 && !n.stale() {
		w.learn(st)
	}
	if st.ClusterID != 0 && n.summed != st.Revision && st.Revision%digestEvery == 0 {
		n.summed = st.Revision
		sum := digest(st.Encode())
		if was, ok := w.digests[st.Revision]; !ok {
			w.digests[st.Revision] = sum
		} else if was != sum {
			w.bad("%s has another record at index %d than a gateway before", n.name, st.Revision)
		}
	}
	// One owner at a time, as each believes by its own clock: leases see to it, and tokens to
	// what leases can't. A belief begins, or is made longer, only where holds have changed.
	if !held {
		return
	}
	for _, h := range n.m.Grants() {
		if count := w.holders(h.Lease); count > 1 {
			w.bad("%d gateways believe at once that they own %s", count, h.Lease)
		}
	}
}

// stale says whether a gateway's record is as it was looked at last.
func (n *Node) stale() bool {
	st := n.m.State()
	if n.looked == st.Revision {
		return true
	}
	n.looked = st.Revision
	return false
}

// learn follows the record from one index to the next: tokens only grow, and no write is taken
// under any but the duty's.
func (w *World) learn(st *lease.State) {
	if st.Revision <= w.latest {
		return
	}
	w.latest = st.Revision
	for _, name := range slices.Sorted(maps.Keys(st.Leases)) {
		d := st.Leases[name]
		was := w.change[name]
		switch {
		case d.Token < was:
			w.bad("the token of %s went from %d to %d", name, was, d.Token)
		case d.Token == was && d.HolderSession != 0 && w.owner[name] != 0 && w.owner[name] != d.HolderSession:
			w.bad("%s went to another owner under the same token %d", name, d.Token)
		}
		w.change[name] = d.Token
		if d.HolderSession != 0 {
			w.owner[name] = d.HolderSession
		}
		if by := d.Values["by"]; by < w.wrote[name] {
			w.bad("the record took a write on %s under token %s after one under %s", name, by, w.wrote[name])
		} else {
			w.wrote[name] = by
		}
		if name[0] != 'd' {
			continue
		}
		since, free := w.Unowned.since[name]
		if d.HolderSession == 0 && !free {
			w.Unowned.since[name] = w.Now
		} else if d.HolderSession != 0 && free {
			w.Unowned.Spans = append(w.Unowned.Spans, w.Now-since)
			delete(w.Unowned.since, name)
		}
	}
	for _, c := range st.Transfers {
		if c.Revision == st.Revision && c.Cause == "lapsed" {
			w.Lapses++
		}
	}
}

// Halted counts the replicas that have stopped by themselves.
func (w *World) Halted() (n int) {
	for _, x := range w.Nodes {
		if x.up && x.m.Halted() != nil {
			n++
		}
	}
	return n
}

// Taken says which guard is out, for reports.
func Taken() (out failpoint.Name) {
	for _, g := range failpoint.Cluster {
		if failpoint.Enabled(g) {
			return g
		}
	}
	return ""
}
