// Package node is one gateway's part in a fleet: its replica of the coordination state, its session
// with the leases that it holds by that, and the leader's work where it is the leader.
//
// A [Node] does no I/O and reads no clock. Events come in as method calls with the time; what has to
// be written, sent and reported comes out of [Node.TakeOutput]. Its parts are types of their own:
// the replica, the leader, which exists only while this gateway leads, the session, the proposals
// that wait for a reply, the view of the state as the leader has sent it, and the publications of
// lease holders.
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
	// TickInterval is the time of one tick. Heartbeats are sent every 100 ms, and an election begins
	// 0.5 to 1 s after the last one: a round trip in one data center takes a hundredth of that, and
	// what has to be outlasted is a stalled disk or a busy core.
	TickInterval = 50 * time.Millisecond
	// retryInterval is when a request without a reply is sent again, to another gateway; plus up to as
	// much again by chance, so that 300 gateways do not retry together.
	retryInterval = 300 * time.Millisecond
	// pauseThreshold is a gap between two ticks after which the process must have been paused.
	pauseThreshold = 10 * TickInterval
)

// Broadcast addresses all other gateways, in a fleet with relays.
const Broadcast = "*"

// Config describes a gateway and its fleet.
type Config struct {
	Fleet, Name, Zone, Machine, Address string

	BootstrapReplicas []string // the replicas at first; the first of them bootstraps the fleet
	Peers             []string // the other gateways
	CandidateLeases   []string // leases that it can hold
	Seed              uint64
	Disk              wal.Identity
	Stored            map[multiraft.Group]multiraft.PersistedGroup
	Overrides         OverrideSet // as last known here

	// UsesRelays is set in a fleet with relays. The relays are BootstrapReplicas and, at a relay, Peers;
	// a frame for any other gateway goes by its name, and one for all is sent once to Broadcast.
	UsesRelays bool
}

// Frame is to be sent to another gateway.
type Frame struct {
	To   string
	Kind Kind
	Body []byte
	// SnapshotTo, where not 0, is the replica that the frame's snapshot is for. It is sent beside the
	// other frames, and its outcome is reported by SnapshotSent.
	SnapshotTo uint64
}

// Grant is a lease that this gateway holds as far as it knows, until Deadline on its own clock.
type Grant struct {
	Lease     string
	Token     uint64
	Deadline  time.Duration
	Releasing bool // the work is to be stopped and the lease released
}

// Outcome is the outcome of a command that this gateway proposed. Known is false where it can't be
// told whether the command was carried out.
type Outcome struct {
	ID     uint64
	Known  bool
	Result lease.Result
}

// LogEntry is an entry for the log.
type LogEntry struct {
	Warn    bool
	Message string
	Args    []any // keys and values, as for slog
}

// Output is what a Node wants done, in this order.
type Output struct {
	Write          *multiraft.Batch
	ClusterID      uint64 // to be stored on the disk; 0: nothing
	Frames         []Frame
	Outcomes       []Outcome
	Grants         []Grant // all that are held now, where GrantsChanged
	GrantsChanged  bool
	Publications   []Publication
	ResyncRequests []ResyncCall
	Overrides      *OverrideSet // where they have changed
	// StalePublications counts the publications of former lease holders that were rejected.
	StalePublications int
	Log               []LogEntry
	// RenewalSent reports that a renewal or a request to open a session was sent, LeaderResponded that
	// a leader's reply was received.
	RenewalSent, LeaderResponded bool
	// Reconnected reports that what is known by version has to be requested again: see
	// Node.Reconnected.
	Reconnected bool
}

// OverrideSet is the operators' overrides as a gateway knows them. ModRevision grows with each change.
type OverrideSet struct {
	ClusterID   uint64           `json:"birth"`
	ModRevision uint64           `json:"mod"`
	List        []lease.Override `json:"list"`
}

// ResyncCall is another gateway's request for all that the holder of a lease has published.
type ResyncCall struct {
	From, Lease string
	Body        []byte
}

// Node is one gateway's part in a fleet. It is used by one goroutine.
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

// New returns the node of a gateway as its disk has it at now.
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

// isGateway reports whether this is a gateway of a fleet with relays, which has no peers.
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

// Receive takes a frame of another gateway. A frame that can't be decoded is an error and has no
// other effect.
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

// receiveMessage takes a message of another gateway, or of this one.
func (n *Node) receiveMessage(from string, m *Message) {
	switch {
	case m.Hello != nil:
		n.replica.receiveHelloAgain(from, m.Hello)
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

// retryDelay returns a random delay before a request is sent again.
func (n *Node) retryDelay() time.Duration {
	return retryInterval + time.Duration(n.rng.Int64N(int64(retryInterval)))
}

// Tick is to be called every TickInterval.
func (n *Node) Tick(now time.Duration) {
	n.now = now
	// After a pause the missed ticks are not made up for: the time was lost, and others had it. A
	// leader can't tell who has renewed meanwhile.
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
		n.leader.runDuties()
	} else {
		n.replica.state.TakeTransfers() // they are the leader's to log
	}
	n.runSession()
}

// runSession keeps the session alive and retries proposals.
func (n *Node) runSession() {
	n.proposals.retry()
	if n.session.id == 0 {
		n.session.requestOpen()
		return
	}
	if n.now >= n.session.renewedAt+n.session.renewDelay {
		n.session.renew()
		n.view.remindReleasing()
	}
}

// TakeOutput returns what is to be done.
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

// processRaft takes what the Raft groups have to say, and reports whether there may be more.
func (n *Node) processRaft() (more bool) {
	o := n.replica.raft.TakeOutput()
	more = len(o.Results)+len(o.ReadIndexes)+len(o.LeaderChanges)+len(o.Messages) > 0 || o.Write != nil
	if o.Write != nil {
		n.out.Write = o.Write
	}
	for _, t := range o.LeaderChanges {
		n.leaderChanged(t)
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
		n.leader.answerConfirmed()
		if n.replica.state.Revision != n.leader.seenRevision {
			n.leader.runDuties()
			more = true
		}
	}
	return more
}

// Reconnected reports that the connection to the fleet is a new one: what was sent on the previous
// one may be lost. The session is renewed and pending proposals are sent again at once;
// Output.Reconnected lets others do the same.
func (n *Node) Reconnected(now time.Duration) {
	n.now = now
	n.out.Reconnected = true
	n.session.target.reconnected(n.view.leader)
	n.session.renewDelay = 0
	n.proposals.retryNow()
	n.runSession()
}

// DiskOutdated reports that others know of later writes than this disk has: it is an older copy, and
// the replica stops.
func (n *Node) DiskOutdated(now time.Duration, reason string) {
	n.now = now
	n.replica.markOutdated(fmt.Errorf("%w: %s", wal.ErrCopied, reason))
}

// WriteFailed reports that a write has failed: the replica stops.
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
