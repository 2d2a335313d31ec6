// Package node implements the participation of one gateway in a fleet: its replica of the coordination
// state, its session and the leases that it holds, and the leader's tasks while it is the leader.
//
// A [Node] does no I/O and reads no clock. Events are passed in by method calls with the current time;
// [Node.TakeOutput] returns the data to write and send and the events to report. A node consists of the
// replica, the leader (only while this gateway leads), the session, the proposals without a reply, the
// view of the state as received from the leader, and the publications of lease holders.
package node

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/cluster/multiraft"
	"dunemoor/internal/cluster/wal"
)

// CoordinationGroup is the Raft group that replicates the coordination state.
const CoordinationGroup multiraft.Group = 0

const (
	// TickInterval is the time between two ticks. Heartbeats are sent every 100 ms, and an election begins
	// 0.5 to 1 s after the last one. A round trip within a data center takes a hundredth of that; the
	// timeout has to outlast a stalled disk or a busy core.
	TickInterval = 50 * time.Millisecond
	// retryInterval is the minimum time after which a request without a reply is sent again, to another
	// gateway. A random delay of up to the same length is added, so that the gateways of a fleet, up to
	// 4,700, do not retry at the same time.
	retryInterval = 300 * time.Millisecond
	// pauseThreshold is the gap between two ticks from which the process is considered to have been paused.
	pauseThreshold = 10 * TickInterval
)

// Broadcast is the receiver of a frame to all other gateways in a fleet with relays.
const Broadcast = "*"

// Config describes a gateway and its fleet.
type Config struct {
	Fleet, Name, Zone, Machine, Address string

	BootstrapReplicas []string // the initial replicas; the first of them bootstraps the fleet
	Peers             []string // the other gateways to which this one connects
	CandidateLeases   []string // leases that this gateway can hold
	Seed              uint64
	Disk              wal.Identity
	Stored            map[multiraft.Group]multiraft.PersistedGroup
	Overrides         OverrideSet // the last set of overrides that this gateway stored

	// UsesRelays is set in a fleet with relays. The relays are BootstrapReplicas and, at a relay, Peers.
	// A frame to any other gateway is addressed by its name, and a frame to all gateways is sent once to
	// Broadcast.
	UsesRelays bool
}

// Frame is a frame to be sent to another gateway.
type Frame struct {
	To   string
	Kind Kind
	Body []byte
	// SnapshotTo is the replica for which the frame contains a snapshot, or 0 if it contains none. A
	// snapshot is sent separately from the other frames, and its outcome is reported to SnapshotSent.
	SnapshotTo uint64
}

// Grant is a lease that this gateway holds according to its view, until Deadline on its own clock.
type Grant struct {
	Lease     string
	Token     uint64
	Deadline  time.Duration
	Releasing bool // the work under the lease must be stopped and the lease released
}

// Outcome is the outcome of a command that this gateway proposed. Known is false if it is unknown
// whether the command was applied.
type Outcome struct {
	ID     uint64
	Known  bool
	Result lease.Result
}

// LogEntry is an entry to be written to the process log.
type LogEntry struct {
	Warn    bool
	Message string
	Args    []any // keys and values, as for slog
}

// Output is the set of actions that a Node requests from its caller, to be carried out in the order of the
// fields.
type Output struct {
	Write          *multiraft.Batch
	ClusterID      uint64 // cluster ID to be stored on the disk, or 0
	Frames         []Frame
	Outcomes       []Outcome
	Grants         []Grant // all current grants, if GrantsChanged is set
	GrantsChanged  bool
	Publications   []Publication
	ResyncRequests []ReceivedResync
	Overrides      *OverrideSet // nil if unchanged
	// StalePublications counts the publications of former lease holders that were rejected.
	StalePublications int
	Log               []LogEntry
	// RenewalSent reports that a renewal or a request to open a session was sent, LeaderResponded that
	// a leader's reply was received.
	RenewalSent, LeaderResponded bool
	// Reconnected reports that versioned data must be requested again: see Node.Reconnected.
	Reconnected bool
}

// OverrideSet is the set of operators' overrides known to a gateway. ModRevision increases with each change.
type OverrideSet struct {
	ClusterID   uint64           `json:"birth"`
	ModRevision uint64           `json:"mod"`
	List        []lease.Override `json:"list"`
}

// ReceivedResync is a ResyncRequest that was received from another gateway.
type ReceivedResync struct {
	From, Lease string
	Body        []byte
}

// Node is one gateway's participation in a fleet. It is not safe for concurrent use.
type Node struct {
	cfg Config
	rng *rand.Rand
	now time.Duration
	out Output

	tickedAt     time.Duration
	replica      *replica
	leader       *leader // nil while this gateway does not lead
	session      *session
	proposals    *proposals
	view         *view
	publications *publications
}

// New returns a node that starts at now from the state that is stored on its disk.
func New(now time.Duration, cfg Config) (*Node, error) {
	n := &Node{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Disk.ReplicaID)), now: now, tickedAt: now}
	n.replica = newReplica(n)
	if err := n.replica.load(); err != nil {
		return nil, err
	}
	n.session = newSession(n)
	n.proposals = newProposals(n)
	n.view = newView(n)
	n.publications = newPublications(n)
	n.replica.checkCleared()
	return n, nil
}

// isGateway reports whether this is a gateway of a fleet with relays, as opposed to a relay. Such a
// gateway has no peers.
func (n *Node) isGateway() bool {
	return n.cfg.UsesRelays && len(n.cfg.Peers) == 0 && !slices.Contains(n.cfg.BootstrapReplicas, n.cfg.Name)
}

// role returns the role with which this gateway opens a session.
func (n *Node) role() lease.Role {
	switch {
	case !n.cfg.UsesRelays:
		return ""
	case n.isGateway():
		return lease.RoleGateway
	}
	return lease.RoleRelay
}

// Receive handles a frame from another gateway. A malformed frame returns an error and is dropped; of a
// frame of KindRaft the messages before the malformed one are still handled.
func (n *Node) Receive(now time.Duration, from string, kind Kind, body []byte) error {
	n.now = now
	switch kind {
	case KindRaft:
		return DecodeRaftFrame(body, func(g multiraft.Group, m *raftpb.Message) { n.replica.receive(from, g, m) })
	case KindMessage:
		m, err := DecodeMessage(body)
		if err != nil {
			return err
		}
		n.receiveMessage(from, m)
		return nil
	}
	return fmt.Errorf("%w: unknown kind %d", ErrMalformedFrame, kind)
}

// receiveMessage handles a message from another gateway, or from this one.
func (n *Node) receiveMessage(from string, m *Message) {
	switch {
	case m.Hello != nil:
		n.replica.receiveRepeatedHello(from, m.Hello)
	case m.HelloReply != nil:
		n.replica.receiveHelloReply(from, m.HelloReply)
	case m.Renew != nil:
		n.receiveRenew(from, m.Renew)
	case m.Proposal != nil:
		n.receiveProposal(from, m.Proposal)
	case m.RenewReply != nil:
		n.session.receiveReply(from, m.RenewReply)
	case m.ProposalReply != nil:
		n.proposals.receiveReply(from, m.ProposalReply)
	case m.Publication != nil:
		n.publications.receive(from, m.Publication)
	case m.ResyncRequest != nil:
		n.publications.receiveResyncRequest(from, m.ResyncRequest)
	}
}

// send sends a message to another gateway, or delivers it to this one.
func (n *Node) send(to string, m *Message) {
	if to == n.cfg.Name {
		n.receiveMessage(to, m)
		return
	}
	n.out.Frames = append(n.out.Frames, Frame{To: to, Kind: KindMessage, Body: encodeMessage(m)})
}

func (n *Node) logInfo(message string, args ...any) {
	n.out.Log = append(n.out.Log, LogEntry{false, message, args})
}

func (n *Node) logWarn(message string, args ...any) {
	n.out.Log = append(n.out.Log, LogEntry{true, message, args})
}

// retryDelay returns a random delay after which a request without a reply is sent again.
func (n *Node) retryDelay() time.Duration {
	return retryInterval + time.Duration(n.rng.Int64N(int64(retryInterval)))
}

// Tick advances the node's timers. It must be called every TickInterval.
func (n *Node) Tick(now time.Duration) {
	n.now = now
	// The ticks missed during a pause are not made up for. Other gateways went on during the pause, and
	// their renewals may have been missed, so a leader resets the expiry of all sessions.
	if n.leader != nil && now-n.tickedAt >= pauseThreshold {
		n.leader.expiry.Reset(now)
	}
	if now-n.tickedAt >= TickInterval {
		n.tickedAt = now
		n.replica.tick()
	}
	n.replica.repeatHello()
	n.replica.adoptClusterID()
	if n.leader != nil {
		n.leader.runTasks()
	} else {
		n.replica.state.TakeTransfers() // discarded, as only the leader logs transfers
	}
	n.runSession()
}

// runSession retries proposals, and opens or renews the session.
func (n *Node) runSession() {
	n.proposals.retry()
	if n.session.id == 0 {
		n.session.requestOpen()
		return
	}
	if n.now >= n.session.renewedAt+n.session.renewDelay {
		n.session.renew()
		n.view.repeatReleasing()
	}
}

// TakeOutput processes the output of the Raft groups, which includes running the leader's tasks after a
// change of the state, ends expired grants, and returns and clears the pending output.
func (n *Node) TakeOutput() Output {
	for n.processRaft() {
	}
	if n.replica.raft.Halted() != nil && n.leader != nil {
		n.leaderChanged(multiraft.LeaderChange{Group: CoordinationGroup})
	}
	n.replica.flushFrames()
	n.view.dropExpired()
	if n.out.GrantsChanged {
		n.out.Grants = append(n.out.Grants, n.Grants()...)
	}
	out := n.out
	n.out = Output{}
	return out
}

// processRaft processes the output of the Raft groups, and reports whether there may be more.
func (n *Node) processRaft() (more bool) {
	o := n.replica.raft.TakeOutput()
	more = len(o.Results)+len(o.ReadIndexes)+len(o.LeaderChanges)+len(o.Messages) > 0 || o.Write != nil
	if o.Write != nil {
		n.out.Write = o.Write
	}
	for _, change := range o.LeaderChanges {
		n.leaderChanged(change)
	}
	for i := range o.Messages {
		n.replica.queueMessage(&o.Messages[i])
	}
	for i := range o.Results {
		n.commandApplied(&o.Results[i])
	}
	for _, r := range o.ReadIndexes {
		if n.leader != nil {
			n.leader.readIndexConfirmed(r)
		}
	}
	if n.leader != nil {
		n.leader.replyToConfirmed()
		if n.replica.state.Revision != n.leader.seenRevision {
			n.leader.runTasks()
			more = true
		}
	}
	return more
}

// Reconnected reports that the gateway has a new connection to the fleet. Messages on the previous
// connection may be lost, so the session is renewed and pending proposals are sent again immediately.
// Output.Reconnected passes the event on to other components, which send their requests again.
func (n *Node) Reconnected(now time.Duration) {
	n.now = now
	n.out.Reconnected = true
	n.session.target.reconnected(n.view.leader)
	n.session.renewDelay = 0
	n.proposals.retryNow()
	n.runSession()
}

// DiskOutdated reports that other gateways have seen later writes than this disk contains. The disk is an
// older copy, and the replica stops.
func (n *Node) DiskOutdated(now time.Duration, reason string) {
	n.now = now
	n.replica.markOutdated(fmt.Errorf("%w: %s", wal.ErrCopied, reason))
}

// WriteFailed reports that a write to the disk has failed. The replica stops.
func (n *Node) WriteFailed(now time.Duration, err error) {
	n.now = now
	n.replica.halt(err)
}

// Persisted reports that a batch is durable.
func (n *Node) Persisted(now time.Duration, batch uint64) {
	n.now = now
	n.replica.raft.Persisted(batch)
}

// Unreachable reports that frames can't be sent to a gateway.
func (n *Node) Unreachable(now time.Duration, name string) {
	n.now = now
	n.replica.unreachable(name)
}

// SnapshotSent reports the outcome of sending a snapshot to a replica.
func (n *Node) SnapshotSent(now time.Duration, replica uint64, ok bool) {
	n.now = now
	n.replica.raft.SnapshotSent(replica, ok)
}
