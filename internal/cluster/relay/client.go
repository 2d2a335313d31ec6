package relay

import (
	"math/rand/v2"
	"slices"
	"time"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/cluster/node"
)

const (
	// roundLeast and roundMost lie between two rounds by all relays, where none has taken the
	// stream: the wait doubles, with as much again by chance.
	roundLeast = 100 * time.Millisecond
	roundMost  = 2 * time.Second
	// avoidLeast and avoidMost are how long a relay is asked last that was left as renewals went
	// unanswered by it: twice as long each time.
	avoidLeast = 30 * time.Second
	// overShare is how many gateways of a relay that holds more than its share look for another,
	// one in so many at each look: within minutes it holds its share, and few have moved in vain.
	overShare = 4
	avoidMost = 10 * time.Minute
)

// Client is a gateway's part. It is used as a Router is.
type Client struct {
	cfg    Config
	fleet  fleet
	order  []int // of relays, as we would have them
	rng    *rand.Rand
	now    time.Duration
	drawn  uint64 // epochs so far
	cur    *way
	trial  *way // that is being opened
	tried  map[int]bool
	rounds int           // without a stream taken
	dialAt time.Duration // when the next is dialled; 0: none is to be
	next   int           // the relay that is dialled next, whatever the order; -1: by that
	must   bool
	lookAt time.Duration
	beat   []byte
	marks  marks

	asked    time.Duration // since when renewals go unanswered; 0: they do not
	patience time.Duration
	avoid    map[int]shunned
	old      []uint64 // of a planted bug: streams that were not closed
	out      ClientOut
	moves    uint64
	ends     map[string]uint64
}

// way is a stream.
type way struct {
	relay       int
	epoch       uint64
	since       time.Duration
	heard, sent time.Duration
	better      bool // it was dialled for its relay's sake: nothing follows if it is not taken
}

type shunned struct {
	until, last time.Duration
}

// NewClient returns the part of a gateway; its first Drain has a Dial.
func NewClient(now time.Duration, cfg Config, relays []Relay) *Client {
	c := &Client{
		cfg: cfg, fleet: newFleet(relays), rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Replica)), now: now, next: -1,
		tried: map[int]bool{}, marks: marks{}, patience: answerMost, avoid: map[int]shunned{}, ends: map[string]uint64{},
	}
	c.order = c.fleet.order(cfg.Name, cfg.Zone, cfg.Region)
	c.dial()
	return c
}

func (c *Client) chance(most time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(most) + 1))
}

// touch brings the time: after a stop, what comes by the stream is from before.
func (c *Client) touch(now time.Duration) {
	stood := now - c.now
	c.now = now
	if stood < stoodMost || failpoint.Enabled(failpoint.DeliverAfterPause) {
		return
	}
	if c.trial != nil {
		c.out.Close = append(c.out.Close, c.trial.epoch)
		c.trial = nil
	}
	if c.cur != nil {
		c.out.Close = append(c.out.Close, c.cur.epoch)
		c.lost("stood still")
	}
	clear(c.tried)
	c.asked = 0
	c.soon(redialMost)
}

// soon has the next relay dialled within so long, by chance.
func (c *Client) soon(most time.Duration) {
	if c.trial == nil {
		c.dialAt = c.now + c.chance(most) + 1
	}
}

// lost is the end of the stream that there was.
func (c *Client) lost(why string) {
	c.ends[why]++
	c.out.Lines = append(c.out.Lines, node.LogEntry{Warn: true, Message: "the stream to a relay of the fleet has ended", Args: []any{"relay", c.fleet.relays[c.cur.relay].Name, "why", why}})
	c.cur = nil
}

// pick is the relay to be dialled next: the first by our order that was not tried in this round,
// those that are avoided behind all others; -1 where all were.
func (c *Client) pick() int {
	for _, shunned := range []bool{false, true} {
		for _, i := range c.order {
			if !c.tried[i] && (c.now < c.avoid[i].until) == shunned {
				return i
			}
		}
	}
	return -1
}

// dial opens the next stream.
func (c *Client) dial() {
	c.dialAt = 0
	i := c.next
	if c.next = -1; i < 0 {
		i = c.pick()
	}
	if i < 0 {
		// All were tried.
		clear(c.tried)
		c.must = false
		if c.cur != nil && c.now < c.cur.heard+heardMost {
			return // the one that there is is as good as any
		}
		wait := min(roundMost, roundLeast<<min(c.rounds, 10))
		c.rounds++
		c.dialAt = c.now + wait + c.chance(wait)
		return
	}
	c.open(i, false)
}

func (c *Client) open(i int, better bool) {
	c.drawn++
	c.tried[i] = true
	c.trial = &way{relay: i, epoch: c.cfg.Boots<<32 | c.drawn, since: c.now, better: better}
	c.out.Dial = append(c.out.Dial, Dial{c.fleet.relays[i].Name, Join{Name: c.cfg.Name, Replica: c.cfg.Replica, Epoch: c.trial.epoch, Zone: c.cfg.Zone, Region: c.cfg.Region, Must: c.must}})
	c.must = false
}

// move looks for another relay; the stream that there is goes on until one has taken us.
func (c *Client) move(why string) {
	if c.trial != nil || c.dialAt != 0 {
		return // it is under way
	}
	c.ends[why]++
	clear(c.tried)
	c.tried[c.cur.relay] = true
	c.dial()
}

// Joined brings a relay's answer on a stream that Drain had dialled.
func (c *Client) Joined(now time.Duration, epoch uint64, a Answer) {
	c.touch(now)
	w := c.trial
	if w == nil || w.epoch != epoch {
		if a.Taken && (c.cur == nil || c.cur.epoch != epoch) {
			c.out.Close = append(c.out.Close, epoch) // it comes too late
		}
		return
	}
	c.trial = nil
	if a.Taken {
		c.taken(w)
		return
	}
	c.out.Close = append(c.out.Close, epoch)
	c.ends["refused"]++
	if a.Older {
		c.out.Older = true
	}
	try := c.fleet.find(a.Try)
	switch {
	case w.better && c.cur != nil:
	case a.Older:
		c.dialAt = now + max(a.In, roundLeast)
	case try >= 0 && !c.tried[try]:
		c.next = try
		c.soon(0)
	case a.Why == noRoom && c.pick() >= 0:
		c.soon(0) // what that one knows of the others may be old
	case a.Why == noRoom:
		// None has room by what each knows: the emptiest has to.
		if c.next, c.must = try, true; try < 0 {
			c.next = w.relay
		}
		c.rounds++
		clear(c.tried)
		c.dialAt = now + a.In
	default: // too many joins, or another has our name
		clear(c.tried)
		c.next = w.relay
		c.dialAt = now + a.In
	}
}

// taken has a new stream take the place of the one before.
func (c *Client) taken(w *way) {
	if c.cur != nil {
		if failpoint.Enabled(failpoint.KeepBothStreams) {
			c.old = append(c.old, c.cur.epoch)
		} else {
			c.out.Close = append(c.out.Close, c.cur.epoch)
		}
	}
	w.since, w.heard, w.sent = c.now, c.now, c.now
	c.cur = w
	c.moves++
	c.rounds, c.dialAt, c.next, c.must, c.beat = 0, 0, -1, false, nil
	clear(c.tried)
	c.asked = 0
	c.lookAt = c.now + betterLeast + c.chance(betterMost-betterLeast)
	if !failpoint.Enabled(failpoint.SkipResync) {
		c.out.Moved = true
	}
	c.out.Lines = append(c.out.Lines, node.LogEntry{Message: "a relay of the fleet has taken our stream", Args: []any{"relay", c.fleet.relays[w.relay].Name, "epoch", w.epoch}})
}

// Ended tells that a stream has ended, or could not be opened within DialMost.
func (c *Client) Ended(now time.Duration, epoch uint64) {
	c.touch(now)
	switch {
	case c.trial != nil && c.trial.epoch == epoch:
		better := c.trial.better
		c.trial = nil
		c.ends["not reached"]++
		if !better || c.cur == nil {
			c.soon(redialMost)
		}
	case c.cur != nil && c.cur.epoch == epoch:
		if c.trial == nil && c.dialAt == 0 {
			clear(c.tried)
		}
		c.tried[c.cur.relay] = true
		c.lost("ended")
		if c.dialAt == 0 {
			c.soon(redialMost)
		}
	}
}

// Heard takes a frame of a stream, behind its Answer.
func (c *Client) Heard(now time.Duration, epoch uint64, kind node.Kind, body []byte) {
	c.touch(now)
	switch {
	case c.cur != nil && c.cur.epoch == epoch:
		c.cur.heard = now
	case slices.Contains(c.old, epoch):
	default:
		return
	}
	switch kind {
	case KindBeat:
		c.beat = body
	case KindRecord:
		ReadRecords(body, func(r *Record) {
			if r.From != "" && c.marks.take(r) {
				c.out.ToMember = append(c.out.ToMember, *r)
			}
		})
	}
}

// Send takes what our member sends; where there is no stream it is lost, and asked again.
func (c *Client) Send(now time.Duration, s node.Frame) {
	c.touch(now)
	if c.cur == nil || s.Kind != node.KindMessage {
		return
	}
	c.cur.sent = now
	x := Record{To: s.To, Kind: s.Kind, Body: s.Body}
	if n := len(c.out.ToStream) - 1; n >= 0 && c.out.ToStream[n].Epoch == c.cur.epoch && c.out.ToStream[n].Kind == KindRecord && len(c.out.ToStream[n].Body) < batchMost {
		c.out.ToStream[n].Body = AppendRecord(c.out.ToStream[n].Body, &x)
		return
	}
	c.out.ToStream = append(c.out.ToStream, Frame{Epoch: c.cur.epoch, Kind: KindRecord, Body: AppendRecord(nil, &x)})
}

// Asked tells that our member has asked for its session to go on (member.Out.Asked), Answered that a
// leader's word came (member.Out.Answered).
func (c *Client) Asked(now time.Duration) {
	c.touch(now)
	if c.asked == 0 && c.cur != nil {
		c.asked = now
	}
}

// Answered is described at Asked.
func (c *Client) Answered(now time.Duration) {
	c.touch(now)
	c.asked, c.patience = 0, answerMost
}

// Tick is to be called every TickEvery.
func (c *Client) Tick(now time.Duration) {
	c.touch(now)
	if c.trial != nil && now >= c.trial.since+2*DialMost {
		c.out.Close = append(c.out.Close, c.trial.epoch)
		c.Ended(now, c.trial.epoch)
	}
	if c.dialAt != 0 && now >= c.dialAt && c.trial == nil {
		c.dial()
	}
	if c.cur == nil {
		return
	}
	switch {
	case now >= c.cur.heard+heardMost:
		c.move("silent")
	case c.asked != 0 && now >= c.asked+c.patience && !failpoint.Enabled(failpoint.StayWithMuteRelay):
		// It is there, and nothing comes of what it is given.
		a := c.avoid[c.cur.relay]
		a.last = min(avoidMost, max(avoidLeast, 2*a.last))
		a.until = now + a.last
		c.avoid[c.cur.relay] = a
		c.patience = min(answerLongest, 2*c.patience)
		c.patience += c.chance(c.patience / 8)
		c.asked = 0
		c.move("unanswered")
	case now >= c.lookAt:
		c.lookAt = now + betterLeast + c.chance(betterMost-betterLeast)
		c.look()
	}
	if c.cur != nil && now >= c.cur.sent+idleEvery {
		c.cur.sent = now
		c.out.ToStream = append(c.out.ToStream, Frame{Epoch: c.cur.epoch, Kind: KindIdle})
	}
}

// look goes to a relay that we would rather have, where that is said to be up and have room; and to
// one that we would rather not, by chance, where ours holds more than its share.
func (c *Client) look() {
	if c.trial != nil || c.dialAt != 0 || c.beat == nil {
		return
	}
	over := !c.fleet.room(c.beat, c.cur.relay) && c.rng.IntN(overShare) == 0
	for _, i := range c.order {
		if i == c.cur.relay {
			if over {
				continue
			}
			return
		}
		if c.now >= c.avoid[i].until && c.fleet.room(c.beat, i) {
			clear(c.tried)
			c.open(i, true)
			return
		}
	}
}

// Drain takes what is to be done.
func (c *Client) Drain() ClientOut {
	out := c.out
	c.out = ClientOut{}
	return out
}

// Current is the stream that there is.
func (c *Client) Current() (epoch uint64, ok bool) {
	if c.cur == nil {
		return 0, false
	}
	return c.cur.epoch, true
}

// Status tells how the gateway stands.
func (c *Client) Status() ClientStatus {
	s := ClientStatus{First: c.fleet.relays[c.order[0]].Name, Moves: c.moves, Ends: map[string]uint64{}}
	if c.cur != nil {
		s.Relay, s.Epoch, s.Since = c.fleet.relays[c.cur.relay].Name, c.cur.epoch, c.cur.since
	}
	for why, n := range c.ends {
		s.Ends[why] = n
	}
	return s
}
