package sim

import (
	"slices"
	"time"

	"dunemoor/internal/cluster/lease"
)

// RecoveryTimeout is the time after the last fault within which each lease must have a holder, each node a session,
// and the coordination state as many voters as before. It covers an election (1 s) with some split votes, the TTL of a
// session (3 s), the opening of new sessions, and the replacement of a lost replica.
const RecoveryTimeout = 20 * time.Second

// Mixed returns the options of a fleet whose size depends on the seed: three or five replicas, and in a third of the
// fleets also gateways without a replica.
func Mixed(seed uint64) Options {
	i := seed % 3
	return Options{Seed: seed, Nodes: []int{3, 5, 9}[i], Replicas: []int{3, 5, 5}[i], Leases: 6, Locks: 2, Clients: 3}
}

// Run starts a fleet, injects random faults for a duration, ends them, and checks that the fleet recovers in time.
func Run(o Options, faults time.Duration) (*World, error) {
	w, err := newFormedWorld(o)
	if err != nil {
		return w, err
	}
	if err := w.InjectFaults(faults); err != nil {
		return w, err
	}
	return w, w.checkRecovery()
}

// checkRecovery checks that the fleet recovers within RecoveryTimeout, runs for two more TTLs without a violation, and
// that the history of its clients is linearizable.
func (w *World) checkRecovery() error {
	if !w.Until(RecoveryTimeout, w.Recovered) {
		return w.errorf("not recovered %v after the last fault", RecoveryTimeout)
	}
	if err := w.Run(2 * lease.TTL); err != nil {
		return err
	}
	return w.CheckLinearizable()
}

// sessions returns the current session of each node.
func (w *World) sessions() map[*Node]uint64 {
	list := map[*Node]uint64{}
	for _, n := range w.Nodes {
		list[n] = n.node.Session()
	}
	return list
}

// changedSessions returns the nodes, except one, whose session differs from that in before.
func (w *World) changedSessions(before map[*Node]uint64, except *Node) (list []*Node) {
	for _, n := range w.Nodes {
		if n != except && n.node.Session() != before[n] {
			list = append(list, n)
		}
	}
	return list
}

// ToleratedFaults simulates faults that a fleet must tolerate: a follower that returns from a partition does not depose
// the leader, an isolated leader steps down, and the failure of a leader ends no session but its own.
func ToleratedFaults(seed uint64) error {
	w, err := newFormedWorld(Options{Seed: seed, Nodes: 9, Replicas: 5, Leases: 9})
	if err != nil {
		return err
	}
	for _, step := range []func() error{w.isolateFollower, w.isolateLeader, w.killLeader} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (w *World) isolateFollower() error {
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
		return w.errorf("%s returned from a partition and deposed %s", follower.name, leader.name)
	}
	if !w.Until(RecoveryTimeout, w.Recovered) {
		return w.errorf("not recovered after the partition of a follower was healed")
	}
	return nil
}

func (w *World) isolateLeader() error {
	leader := w.Leader()
	w.isolate(leader)
	if err := w.Run(lease.TTL); err != nil {
		return err
	}
	if leader.node.IsLeader() {
		return w.errorf("%s is still the leader after it was isolated for %v", leader.name, lease.TTL)
	}
	w.healCuts()
	if !w.Until(RecoveryTimeout, w.Recovered) {
		return w.errorf("not recovered after the partition of a leader was healed")
	}
	return nil
}

func (w *World) killLeader() error {
	leader := w.Leader()
	before := w.sessions()
	leader.Kill()
	if err := w.Run(3 * lease.TTL); err != nil {
		return err
	}
	if changed := w.changedSessions(before, leader); len(changed) > 0 {
		return w.errorf("the session of %s expired though only the leader was killed", changed[0].name)
	}
	return nil
}

// QuorumLoss takes the quorum away from the coordination group, several times, for about as long as the outcome of a
// command is awaited, and then cuts off each new leader from the other replicas. Commands whose outcome was reported as
// unknown are then applied late; the history must still be linearizable.
func QuorumLoss(seed uint64) error {
	const rounds, elections = 5, 3
	w, err := newFormedWorld(Options{Seed: seed, Nodes: 5, Replicas: 3, Locks: 2, Clients: 5})
	if err != nil {
		return err
	}
	replicas := w.Nodes[:w.Replicas]
	for range rounds {
		if err := w.Run(w.drawDuration(0, time.Second)); err != nil {
			return err
		}
		for i := range replicas {
			w.Partition(replicas[i:i+1], replicas[i+1:])
		}
		if err := w.Run(w.drawDuration(7*time.Second, 10*time.Second)); err != nil {
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
		return w.errorf("not recovered after the last partition")
	}
	return w.CheckLinearizable()
}

// cutOffNextLeader waits for a leader and partitions it from the other replicas, so that it accepts commands
// but can't commit them.
func (w *World) cutOffNextLeader(replicas []*Node) error {
	w.healCuts()
	w.Until(2*time.Second, func() bool { return w.Leader() != nil })
	if leader := w.Leader(); leader != nil {
		w.Partition([]*Node{leader}, slices.DeleteFunc(slices.Clone(replicas), func(n *Node) bool { return n == leader }))
	}
	return w.Run(w.drawDuration(0, time.Second))
}

// RestoredDisks simulates disks that are restored in place from a backup, which only the other replicas can detect.
// Whichever of them rejects the node first, and whatever frames it receives before that, the node must detect the
// restore and rejoin as a new replica.
func RestoredDisks(seed uint64) error {
	const rounds = 4
	w := New(Options{Seed: seed, Nodes: 3, Replicas: 3, Leases: 3, Locks: 2, Clients: 3})
	w.startAll()
	for range rounds {
		if !w.Until(RecoveryTimeout, w.Recovered) {
			return w.errorf("not recovered before a disk is restored")
		}
		if err := w.restoreDisk(w.Nodes[w.rng.IntN(len(w.Nodes))]); err != nil {
			return err
		}
	}
	return w.CheckLinearizable()
}

func (w *World) restoreDisk(n *Node) error {
	n.Backup()
	if err := w.Run(w.drawDuration(time.Second, 3*time.Second)); err != nil {
		return err
	}
	before := n.log.Identity().ReplicaID
	n.Crash()
	n.Restore(true)
	if err := w.Run(w.drawDuration(0, time.Second)); err != nil {
		return err
	}
	n.Start()
	if !w.Until(RecoveryTimeout, w.Recovered) {
		return w.errorf("not recovered after a disk was restored")
	}
	if n.log.Identity().ReplicaID == before {
		return w.errorf("the replica of a restored disk was accepted again")
	}
	return nil
}

// maxMessageDelay is the longest delay of messages in Late.
const maxMessageDelay = time.Minute

// DelayedMessages simulates messages that are delayed by up to a minute, duplicated and reordered, while leases are
// transferred and leaders and other nodes are killed. No node may accept such stale messages.
func DelayedMessages(seed uint64) error {
	w, err := newFormedWorld(Options{Seed: seed, Nodes: 5, Replicas: 3, Leases: 4, Locks: 2, Clients: 3})
	if err != nil {
		return err
	}
	for end := w.Now + maxMessageDelay; w.Now < end; {
		if err := w.injectLateFaults(); err != nil {
			return err
		}
	}
	w.HealAll()
	if !w.Until(RecoveryTimeout, w.Recovered) {
		return w.errorf("not recovered after the last fault")
	}
	if err := w.Run(maxMessageDelay); err != nil { // the last delayed message arrives in this time
		return err
	}
	if !w.Recovered() {
		return w.errorf("not recovered after the last late message")
	}
	return w.CheckLinearizable()
}

func (w *World) injectLateFaults() error {
	const share = 0.05
	w.faults = NetworkFaults{Delayed: share, Duplicated: share, MaxDelay: maxMessageDelay}
	n := w.Nodes[w.rng.IntN(len(w.Nodes))]
	if leader := w.Leader(); leader != nil && w.rng.IntN(2) == 0 {
		n = leader
		leader.transfer(leaseName(w.rng.IntN(w.Leases)), "")
	}
	if w.rng.IntN(3) == 0 {
		n.Kill()
		w.afterFunc(w.drawDuration(0, lease.TTL), n.Start)
	}
	return w.Run(w.drawDuration(time.Second, 4*time.Second))
}
