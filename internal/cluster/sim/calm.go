package sim

import (
	"fmt"
	"slices"
	"time"

	"dunemoor/internal/cluster/lease"
)

// Calm plays what must disturb nobody: a follower that is cut off and comes back deposes no
// leader, a leader that is cut off does not go on as one, and when a leader dies no session but
// its own is lost.
func Calm(seed uint64) error {
	w := New(Options{Seed: seed, Nodes: 9, Keepers: 5, Duties: 9})
	for _, n := range w.Nodes {
		n.Start()
	}
	if !w.Until(Bound, w.Whole) {
		return w.failed("the fleet did not form")
	}
	lead := w.Leader()
	follower := w.Nodes[0]
	if follower == lead {
		follower = w.Nodes[1]
	}
	for _, o := range w.Nodes {
		if o != follower {
			w.Cut(follower, o)
			w.Cut(o, follower)
		}
	}
	if err := w.Run(5 * time.Second); err != nil {
		return err
	}
	clear(w.cut)
	term := lead.m.Status(lead.clock()).Term
	if err := w.Run(5 * time.Second); err != nil {
		return err
	}
	if now := w.Leader(); now != lead || lead.m.Status(lead.clock()).Term != term {
		return w.failed(fmt.Sprintf("%s came back from a cut and deposed %s", follower.name, lead.name))
	}
	if !w.Until(Bound, w.Whole) {
		return w.failed("not whole after a follower came back")
	}

	// A leader alone is none for long, whoever asks it.
	for _, o := range w.Nodes {
		if o != lead {
			w.Cut(lead, o)
			w.Cut(o, lead)
		}
	}
	if err := w.Run(lease.TTL); err != nil {
		return err
	}
	if lead.m.IsLeader() {
		return w.failed(fmt.Sprintf("%s leads still, cut off for %v", lead.name, lease.TTL))
	}
	clear(w.cut)
	if !w.Until(Bound, w.Whole) {
		return w.failed("not whole after a leader came back")
	}

	lead = w.Leader()
	before := map[*Node]uint64{}
	for _, n := range w.Nodes {
		before[n] = n.m.Session()
	}
	lead.Kill()
	if err := w.Run(3 * lease.TTL); err != nil {
		return err
	}
	for _, n := range w.Nodes {
		if n != lead && n.m.Session() != before[n] {
			return w.failed(fmt.Sprintf("the session of %s lapsed though only the leader died", n.name))
		}
	}
	return nil
}

// Flicker plays a record that no quorum keeps for about as long as a command's answer is waited
// for, several times, and then leaders that are cut off as soon as they lead: what was given up on as
// unknown is carried out late.
func Flicker(seed uint64) error {
	w := New(Options{Seed: seed, Nodes: 5, Keepers: 3, Locks: 2, Clients: 5})
	for _, n := range w.Nodes {
		n.Start()
	}
	if !w.Until(Bound, w.Whole) {
		return w.failed("the fleet did not form")
	}
	for range 5 {
		if err := w.Run(w.between(0, time.Second)); err != nil {
			return err
		}
		keepers := w.Nodes[:3]
		for i := range keepers {
			w.Part(keepers[i:i+1], keepers[i+1:])
		}
		if err := w.Run(w.between(7*time.Second, 10*time.Second)); err != nil {
			return err
		}
		for range 3 {
			clear(w.cut)
			w.Until(2*time.Second, func() bool { return w.Leader() != nil })
			if lead := w.Leader(); lead != nil { // it takes commands, and can't have them kept
				w.Part([]*Node{lead}, slices.DeleteFunc(slices.Clone(keepers), func(n *Node) bool { return n == lead }))
			}
			if err := w.Run(w.between(0, time.Second)); err != nil {
				return err
			}
		}
		w.HealAll()
	}
	if !w.Until(Bound, w.Whole) {
		return w.failed("not whole in the end")
	}
	return w.Linear()
}

// PutBack plays disks that are put back from an older copy, below the file system, so that only
// others can know: whichever of them says so first, and whatever comes before that word, the
// gateway finds out by itself and comes back as another replica.
func PutBack(seed uint64) error {
	w := New(Options{Seed: seed, Nodes: 3, Keepers: 3, Duties: 3, Locks: 2, Clients: 3})
	for _, n := range w.Nodes {
		n.Start()
	}
	for range 4 {
		if !w.Until(Bound, w.Whole) {
			return w.failed("not whole before a disk is put back")
		}
		n := w.Nodes[w.rng.IntN(len(w.Nodes))]
		n.Copy()
		if err := w.Run(w.between(time.Second, 3*time.Second)); err != nil {
			return err
		}
		was := n.d.Identity().ReplicaID
		n.Crash()
		n.Restore(true)
		if err := w.Run(w.between(0, time.Second)); err != nil {
			return err
		}
		n.Start()
		if !w.Until(Bound, w.Whole) {
			return w.failed("not whole after a disk was put back")
		}
		if n.d.Identity().ReplicaID == was {
			return w.failed("a disk that was put back is taken for what it was")
		}
	}
	return w.Linear()
}

// lateMost is how late messages come in Late.
const lateMost = time.Minute

// Late plays messages that come up to a minute late, twice and out of order, all the while that
// duties change hands and leaders and owners are killed: what was said a minute ago is taken by nobody.
func Late(seed uint64) error {
	w := New(Options{Seed: seed, Nodes: 5, Keepers: 3, Duties: 4, Locks: 2, Clients: 3})
	for _, n := range w.Nodes {
		n.Start()
	}
	if !w.Until(Bound, w.Whole) {
		return w.failed("the fleet did not form")
	}
	for end := w.Now + lateMost; w.Now < end; {
		w.faults = Faults{Late: 0.05, Doubled: 0.05, LateBy: lateMost}
		n := w.Nodes[w.rng.IntN(len(w.Nodes))]
		if lead := w.Leader(); lead != nil && w.rng.IntN(2) == 0 {
			n = lead
			lead.m.Propose(lead.clock(), lease.Command{Op: lease.OpTransfer, Lease: fmt.Sprintf("d%d", w.rng.IntN(w.Duties))})
			lead.drain()
		}
		if w.rng.IntN(3) == 0 {
			n.Kill()
			w.after(w.between(0, lease.TTL), n.Start)
		}
		if err := w.Run(w.between(time.Second, 4*time.Second)); err != nil {
			return err
		}
	}
	w.HealAll()
	if !w.Until(Bound, w.Whole) {
		return w.failed("not whole after the last fault")
	}
	if err := w.Run(lateMost); err != nil { // the last of them come
		return err
	}
	if !w.Whole() {
		return w.failed("not whole after the last late message")
	}
	return w.Linear()
}

func (w *World) failed(what string) error {
	if w.Bad != nil {
		return w.Bad
	}
	return fmt.Errorf("seed %d at %v: %s: %s", w.Seed, w.Now, what, w.describe())
}
