package sim

import (
	"slices"
	"time"

	"dunemoor/internal/cluster/lease"
)

// RecoveryTimeout is how long after the last fault each lease has a holder again, all nodes a session and
// the coordination state as many voters as before: an election (1 s) with some that tie, a session's TTL
// (3 s), the opening of sessions, and a replica that is built up anew, where one was lost.
const RecoveryTimeout = 20 * time.Second

// Mixed returns a fleet by the seed: three or five replicas, and in one of three fleets more gateways.
func Mixed(seed uint64) Options {
	i := seed % 3
	return Options{Seed: seed, Nodes: []int{3, 5, 9}[i], Replicas: []int{3, 5, 5}[i], Leases: 6, Locks: 2, Clients: 3}
}

// Play forms a fleet, injects faults, ends them, and checks that the fleet recovers in time.
func Play(o Options, faults time.Duration) (*World, error) {
	w, err := formed(o)
	if err != nil {
		return w, err
	}
	if err := w.InjectFaults(faults); err != nil {
		return w, err
	}
	return w, w.recover()
}

// recover checks that a fleet recovers from its last fault and stays so, and then the history of clients.
func (w *World) recover() error {
	if !w.Until(RecoveryTimeout, w.Recovered) {
		return w.failed("not recovered %v after the last fault", RecoveryTimeout)
	}
	if err := w.Run(2 * lease.TTL); err != nil {
		return err
	}
	return w.CheckLinearizable()
}

// sessions returns the sessions of all nodes.
func (w *World) sessions() map[*Node]uint64 {
	list := map[*Node]uint64{}
	for _, n := range w.Nodes {
		list[n] = n.node.Session()
	}
	return list
}

// changedSessions returns the nodes, except one, whose session has changed.
func (w *World) changedSessions(before map[*Node]uint64, except *Node) (list []*Node) {
	for _, n := range w.Nodes {
		if n != except && n.node.Session() != before[n] {
			list = append(list, n)
		}
	}
	return list
}

// Calm plays what must not disturb a fleet: a follower that returns from a partition deposes no leader, a
// leader that is cut off does not go on leading, and the death of a leader ends no session but its own.
func Calm(seed uint64) error {
	w, err := formed(Options{Seed: seed, Nodes: 9, Replicas: 5, Leases: 9})
	if err != nil {
		return err
	}
	for _, step := range []func() error{w.followerReturns, w.leaderCutOff, w.leaderDies} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (w *World) followerReturns() error {
	const cutFor, settleTime = 5 * time.Second, 5 * time.Second
	leader := w.Leader()
	follower := w.Nodes[0]
	if follower == leader {
		follower = w.Nodes[1]
	}
	w.isolate(follower)
	if err := w.Run(cutFor); err != nil {
		return err
	}
	w.healCuts()
	term := leader.node.Status(leader.clock()).Term
	if err := w.Run(settleTime); err != nil {
		return err
	}
	if w.Leader() != leader || leader.node.Status(leader.clock()).Term != term {
		return w.failed("%s came back from a partition and deposed %s", follower.name, leader.name)
	}
	if !w.Until(RecoveryTimeout, w.Recovered) {
		return w.failed("not recovered after a follower came back")
	}
	return nil
}

func (w *World) leaderCutOff() error {
	leader := w.Leader()
	w.isolate(leader)
	if err := w.Run(lease.TTL); err != nil {
		return err
	}
	if leader.node.IsLeader() {
		return w.failed("%s still leads, cut off for %v", leader.name, lease.TTL)
	}
	w.healCuts()
	if !w.Until(RecoveryTimeout, w.Recovered) {
		return w.failed("not recovered after a leader came back")
	}
	return nil
}

func (w *World) leaderDies() error {
	leader := w.Leader()
	before := w.sessions()
	leader.Kill()
	if err := w.Run(3 * lease.TTL); err != nil {
		return err
	}
	if changed := w.changedSessions(before, leader); len(changed) > 0 {
		return w.failed("the session of %s expired though only the leader died", changed[0].name)
	}
	return nil
}

// Flicker plays a coordination group without a quorum for about as long as the outcome of a command is
// waited for, several times, and then leaders that are cut off as soon as they lead: commands whose outcome
// was reported as unknown are carried out late.
func Flicker(seed uint64) error {
	const rounds, elections = 5, 3
	w, err := formed(Options{Seed: seed, Nodes: 5, Replicas: 3, Locks: 2, Clients: 5})
	if err != nil {
		return err
	}
	replicas := w.Nodes[:w.Replicas]
	for range rounds {
		if err := w.Run(w.between(0, time.Second)); err != nil {
			return err
		}
		for i := range replicas {
			w.Partition(replicas[i:i+1], replicas[i+1:])
		}
		if err := w.Run(w.between(7*time.Second, 10*time.Second)); err != nil {
			return err
		}
		for range elections {
			if err := w.cutOffNextLeader(replicas); err != nil {
				return err
			}
		}
		w.HealAll()
	}
	if !w.Until(RecoveryTimeout, w.Recovered) {
		return w.failed("not recovered in the end")
	}
	return w.CheckLinearizable()
}

// cutOffNextLeader waits for a leader and cuts it off from the other replicas: it accepts commands and
// can't commit them.
func (w *World) cutOffNextLeader(replicas []*Node) error {
	w.healCuts()
	w.Until(2*time.Second, func() bool { return w.Leader() != nil })
	if leader := w.Leader(); leader != nil {
		w.Partition([]*Node{leader}, slices.DeleteFunc(slices.Clone(replicas), func(n *Node) bool { return n == leader }))
	}
	return w.Run(w.between(0, time.Second))
}

// PutBack plays disks that are restored in place from a backup, so that only other replicas can know. Whoever
// objects first, and whatever arrives before that, the node finds out and returns as a new replica.
func PutBack(seed uint64) error {
	const rounds = 4
	w := New(Options{Seed: seed, Nodes: 3, Replicas: 3, Leases: 3, Locks: 2, Clients: 3})
	w.startAll()
	for range rounds {
		if !w.Until(RecoveryTimeout, w.Recovered) {
			return w.failed("not recovered before a disk is restored")
		}
		if err := w.restoreDisk(w.Nodes[w.rng.IntN(len(w.Nodes))]); err != nil {
			return err
		}
	}
	return w.CheckLinearizable()
}

func (w *World) restoreDisk(n *Node) error {
	n.Backup()
	if err := w.Run(w.between(time.Second, 3*time.Second)); err != nil {
		return err
	}
	before := n.log.Identity().ReplicaID
	n.Crash()
	n.Restore(true)
	if err := w.Run(w.between(0, time.Second)); err != nil {
		return err
	}
	n.Start()
	if !w.Until(RecoveryTimeout, w.Recovered) {
		return w.failed("not recovered after a disk was restored")
	}
	if n.log.Identity().ReplicaID == before {
		return w.failed("a restored disk is accepted as what it was")
	}
	return nil
}

// maxLateness is how late messages arrive in Late.
const maxLateness = time.Minute

// Late plays messages that arrive up to a minute late, twice and out of order, while leases change hands and
// leaders and holders are killed: nobody accepts what was sent a minute ago.
func Late(seed uint64) error {
	w, err := formed(Options{Seed: seed, Nodes: 5, Replicas: 3, Leases: 4, Locks: 2, Clients: 3})
	if err != nil {
		return err
	}
	for end := w.Now + maxLateness; w.Now < end; {
		if err := w.disturbLate(); err != nil {
			return err
		}
	}
	w.HealAll()
	if !w.Until(RecoveryTimeout, w.Recovered) {
		return w.failed("not recovered after the last fault")
	}
	if err := w.Run(maxLateness); err != nil { // until the last of them has arrived
		return err
	}
	if !w.Recovered() {
		return w.failed("not recovered after the last late message")
	}
	return w.CheckLinearizable()
}

func (w *World) disturbLate() error {
	const share = 0.05
	w.faults = NetworkFaults{Delayed: share, Duplicated: share, MaxDelay: maxLateness}
	n := w.Nodes[w.rng.IntN(len(w.Nodes))]
	if leader := w.Leader(); leader != nil && w.rng.IntN(2) == 0 {
		n = leader
		leader.transfer(leaseName(w.rng.IntN(w.Leases)), "")
	}
	if w.rng.IntN(3) == 0 {
		n.Kill()
		w.after(w.between(0, lease.TTL), n.Start)
	}
	return w.Run(w.between(time.Second, 4*time.Second))
}
