package relay

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/cluster/node"
)

const (
	// minRoundDelay and maxRoundDelay bound the delay between two rounds of dials to all relays, when none has
	// accepted the stream. The delay doubles with each round, and a random delay of up to the same length is
	// added.
	minRoundDelay = 100 * time.Millisecond
	maxRoundDelay = 2 * time.Second
	maxRoundShift = 10 // maximum left shift of minRoundDelay, which then exceeds maxRoundDelay
	// minAvoidTime and maxAvoidTime bound how long a relay is dialled only after all others, because renewals
	// through it got no reply. The time doubles each time that this happens with the same relay.
	minAvoidTime = 30 * time.Second
	maxAvoidTime = 10 * time.Minute
	// overloadMoveShare limits moves away from a relay with more than its share of streams: at each
	// reselection, one in overloadMoveShare of its gateways moves. The relay has its share within minutes, and
	// few gateways move unnecessarily.
	overloadMoveShare = 4
	// noRelay is the index that stands for no relay.
	noRelay = -1
)

// Causes counted in ClientStatus.Ends: why a stream has ended, why an attempt to open one has failed, or why the
// gateway looks for another relay (causeSilent, causeUnresponsive).
const (
	causePaused       = "stood still"
	causeEnded        = "ended"
	causeRejected     = "refused"
	causeNotReached   = "not reached"
	causeSilent       = "silent"
	causeUnresponsive = "unanswered"
)

// Client selects the relay of a gateway and manages the stream to it. It is used by one goroutine. Each call
// passes the current time, on a clock that does not go back and that keeps running while the process is paused.
type Client struct {
	cfg        Config
	topology   topology
	preference []int // indexes of the relays, most preferred first
	rng        *rand.Rand
	now        time.Duration
	out        ClientOutput
	lastEpoch  uint64 // number of the last stream of this process, the low 32 bits of its epoch
	current    *clientStream
	attempt    *clientStream // stream that is being opened; nil if there is none
	selection  selection
	filter     sequenceFilter
	// heartbeat is the body of the relay's last heartbeat; nil if none has arrived.
	heartbeat []byte
	// reselectAt is when the client next looks for a more preferred relay.
	reselectAt time.Duration

	// The fields below are about renewals without a reply.
	unansweredSince time.Duration // 0 if there is none
	replyTimeout    time.Duration
	avoided         map[int]avoidance // by index of the relay

	keptStreams []uint64 // epochs of replaced streams that the failpoint KeepBothStreams has kept open
	moves       uint64
	ends        map[string]uint64
}

// selection is the state of the choice of the relay to dial next.
type selection struct {
	tried  map[int]bool  // relays that were tried in this round
	rounds int           // number of rounds since a stream was accepted
	dialAt time.Duration // 0 if no dial is scheduled
	next   int           // relay to dial regardless of the preference; noRelay to dial by preference
	force  bool          // see JoinRequest.Force
}

// clientStream is a stream to a relay, either open or being opened.
type clientStream struct {
	relay              int
	epoch              uint64
	openedAt           time.Duration
	receivedAt, sentAt time.Duration
	// fromReselect means that reselect has dialled it: if the attempt fails while the current stream is open, no other
	// relay is dialled.
	fromReselect bool
}

// avoidance is until when a relay is avoided, and for how long it was last avoided.
type avoidance struct{ until, last time.Duration }

// NewClient returns the Client of a gateway. Its first output has a Dial.
func NewClient(now time.Duration, cfg Config, relays []Relay) *Client {
	c := &Client{
		cfg: cfg, topology: newTopology(relays), rng: rand.New(rand.NewPCG(cfg.Seed, cfg.ReplicaID)), now: now,
		selection: selection{tried: map[int]bool{}, next: noRelay}, filter: sequenceFilter{}, replyTimeout: minReplyTimeout,
		avoided: map[int]avoidance{}, ends: map[string]uint64{},
	}
	c.preference = c.topology.preference(cfg.Name, cfg.Zone, cfg.Region)
	c.dial()
	return c
}

func (c *Client) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(limit) + 1))
}

// advance sets the current time. If the process was paused, data that arrives on its streams may have been sent
// before or during the pause, so the streams are closed.
func (c *Client) advance(now time.Duration) {
	gap := now - c.now
	c.now = now
	if gap < pauseThreshold || failpoint.Enabled(failpoint.DeliverAfterPause) {
		return
	}
	if c.attempt != nil {
		c.out.Close = append(c.out.Close, c.attempt.epoch)
		c.attempt = nil
	}
	if c.current != nil {
		c.out.Close = append(c.out.Close, c.current.epoch)
		c.endCurrent(causePaused)
	}
	clear(c.selection.tried)
	c.unansweredSince = 0
	c.dialWithin(maxRedialDelay)
}

func (c *Client) log(warn bool, message string, args ...any) {
	c.out.Log = append(c.out.Log, node.LogEntry{Warn: warn, Message: message, Args: args})
}

// endCurrent records the end of the current stream.
func (c *Client) endCurrent(cause string) {
	c.ends[cause]++
	c.log(true, "stream to relay ended", "relay", c.topology.relays[c.current.relay].Name, "why", cause)
	c.current = nil
}

// ReceiveJoinReply handles a relay's reply to the join request of a stream.
func (c *Client) ReceiveJoinReply(now time.Duration, epoch uint64, r JoinReply) {
	c.advance(now)
	s := c.attempt
	if s == nil || s.epoch != epoch {
		if r.Accepted && (c.current == nil || c.current.epoch != epoch) {
			c.out.Close = append(c.out.Close, epoch) // too late: the client has abandoned the attempt
		}
		return
	}
	c.attempt = nil
	if r.Accepted {
		c.useStream(s)
		return
	}
	c.out.Close = append(c.out.Close, epoch)
	c.ends[causeRejected]++
	c.handleRejection(s, &r)
}

// handleRejection decides which relay to dial next after a rejection, and when.
func (c *Client) handleRejection(s *clientStream, r *JoinReply) {
	if r.Outdated {
		c.out.Outdated = true
	}
	x, alternative := &c.selection, c.topology.find(r.Alternative)
	switch {
	case s.fromReselect && c.current != nil:
	case r.Outdated:
		x.dialAt = c.now + max(r.RetryAfter, minRoundDelay)
	case alternative != noRelay && !x.tried[alternative]:
		x.next = alternative
		c.dialWithin(0)
	case r.Reason == reasonNoCapacity && c.pick() != noRelay:
		c.dialWithin(0) // that relay's information about the others may be outdated
	case r.Reason == reasonNoCapacity:
		// All relays report that they have no capacity. The one with the fewest streams is dialled with Force.
		x.next, x.force = alternative, true
		if alternative == noRelay {
			x.next = s.relay
		}
		x.rounds++
		clear(x.tried)
		x.dialAt = c.now + r.RetryAfter
	default: // too many joins, an invalid request, or a name that is in use
		clear(x.tried)
		x.next = s.relay
		x.dialAt = c.now + r.RetryAfter
	}
}

// useStream makes an accepted stream the current one and closes the previous one.
func (c *Client) useStream(s *clientStream) {
	if c.current != nil {
		if failpoint.Enabled(failpoint.KeepBothStreams) {
			c.keptStreams = append(c.keptStreams, c.current.epoch)
		} else {
			c.out.Close = append(c.out.Close, c.current.epoch)
		}
	}
	s.openedAt, s.receivedAt, s.sentAt = c.now, c.now, c.now
	c.current = s
	c.moves++
	clear(c.selection.tried)
	c.selection = selection{tried: c.selection.tried, next: noRelay}
	c.heartbeat = nil
	c.unansweredSince = 0
	c.scheduleReselect()
	if !failpoint.Enabled(failpoint.SkipResync) {
		c.out.Reconnected = true
	}
	c.log(false, "stream to relay opened", "relay", c.topology.relays[s.relay].Name, "epoch", s.epoch)
}

// StreamEnded reports that a stream has ended, or could not be opened within DialTimeout.
func (c *Client) StreamEnded(now time.Duration, epoch uint64) {
	c.advance(now)
	switch {
	case c.attempt != nil && c.attempt.epoch == epoch:
		fromReselect := c.attempt.fromReselect
		c.attempt = nil
		c.ends[causeNotReached]++
		if !fromReselect || c.current == nil {
			c.dialWithin(maxRedialDelay)
		}
	case c.current != nil && c.current.epoch == epoch:
		if c.attempt == nil && c.selection.dialAt == 0 {
			clear(c.selection.tried)
		}
		c.selection.tried[c.current.relay] = true
		c.endCurrent(causeEnded)
		if c.selection.dialAt == 0 {
			c.dialWithin(maxRedialDelay)
		}
	}
}

// Receive handles a frame of a stream that follows the JoinReply.
func (c *Client) Receive(now time.Duration, epoch uint64, kind node.Kind, body []byte) {
	c.advance(now)
	switch {
	case c.current != nil && c.current.epoch == epoch:
		c.current.receivedAt = now
	case slices.Contains(c.keptStreams, epoch):
	default:
		return
	}
	switch kind {
	case KindHeartbeat:
		c.heartbeat = body
	case KindRecord:
		ReadRecords(body, func(r *Record) {
			if r.From != "" && c.filter.accept(r) {
				c.out.ToNode = append(c.out.ToNode, *r)
			}
		})
	}
}

// Send sends a frame of this gateway's node. Without a stream the frame is dropped, and the node retries.
func (c *Client) Send(now time.Duration, f node.Frame) {
	c.advance(now)
	if c.current == nil || f.Kind != node.KindMessage {
		return
	}
	c.current.sentAt = now
	r := Record{To: f.To, Kind: f.Kind, Body: f.Body}
	if n := len(c.out.ToStream); n > 0 {
		last := &c.out.ToStream[n-1]
		if last.Epoch == c.current.epoch && last.Kind == KindRecord && len(last.Body) < maxBatchBytes {
			last.Body = AppendRecord(last.Body, &r)
			return
		}
	}
	c.out.ToStream = append(c.out.ToStream, Frame{Epoch: c.current.epoch, Kind: KindRecord, Body: AppendRecord(nil, &r)})
}

// RenewalSent reports that the node has sent a renewal (node.Output.RenewalSent).
func (c *Client) RenewalSent(now time.Duration) {
	c.advance(now)
	if c.unansweredSince == 0 && c.current != nil {
		c.unansweredSince = now
	}
}

// LeaderResponded reports that a leader's reply has arrived (node.Output.LeaderResponded).
func (c *Client) LeaderResponded(now time.Duration) {
	c.advance(now)
	c.unansweredSince, c.replyTimeout = 0, minReplyTimeout
}

// Tick checks timeouts and sends keepalives. It must be called every TickInterval.
func (c *Client) Tick(now time.Duration) {
	c.advance(now)
	// The code that dials should have reported the end of the attempt after DialTimeout.
	if c.attempt != nil && now >= c.attempt.openedAt+2*DialTimeout {
		c.out.Close = append(c.out.Close, c.attempt.epoch)
		c.StreamEnded(now, c.attempt.epoch)
	}
	if c.selection.dialAt != 0 && now >= c.selection.dialAt && c.attempt == nil {
		c.dial()
	}
	if c.current == nil {
		return
	}
	switch {
	case now >= c.current.receivedAt+relayTimeout:
		c.move(causeSilent)
	case c.unansweredSince != 0 && now >= c.unansweredSince+c.replyTimeout && !failpoint.Enabled(failpoint.StayWithUnresponsiveRelay):
		c.avoidCurrent()
		c.move(causeUnresponsive)
	case now >= c.reselectAt:
		c.scheduleReselect()
		c.reselect()
	}
	if c.current != nil && now >= c.current.sentAt+keepaliveInterval {
		c.current.sentAt = now
		c.out.ToStream = append(c.out.ToStream, Frame{Epoch: c.current.epoch, Kind: KindIdle})
	}
}

// TakeOutput returns the output since the last call.
func (c *Client) TakeOutput() ClientOutput {
	out := c.out
	c.out = ClientOutput{}
	return out
}

// Current returns the epoch of the current stream. ok is false if there is none.
func (c *Client) Current() (epoch uint64, ok bool) {
	if c.current == nil {
		return 0, false
	}
	return c.current.epoch, true
}

// Status returns the status of the connection to the relay.
func (c *Client) Status() ClientStatus {
	s := ClientStatus{Preferred: c.topology.relays[c.preference[0]].Name, Moves: c.moves, Ends: maps.Clone(c.ends)}
	if c.current != nil {
		s.Relay, s.Epoch, s.Since = c.topology.relays[c.current.relay].Name, c.current.epoch, c.current.openedAt
	}
	return s
}
