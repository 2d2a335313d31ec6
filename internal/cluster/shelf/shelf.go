// Package shelf is the machine over one partition of what gateways hold for others: answers to
// requests with a key, kept so that a repeat at any gateway has one effect, and requests that were
// promised to be delivered later. It does no I/O and knows no clock; commands come in the order of
// a replicated log, and what came of each goes back.
//
// Two times are told apart, as a wrong one is harmless in one way only. How long a thing is kept
// goes by the shelf's own clock, which leaders move on by what they have counted: it never runs
// ahead, so nothing is forgotten early. How long a repeat may yet be sent into the group that drops
// repeats goes by the leader that had the request begun: only it knows when; behind another leader
// the window counts as over.
package shelf

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"dunemoor/internal/cluster/failpoint"
)

// Bounds of a shelf. What is over them is refused, and nothing that was promised makes room.
const (
	EntriesMost = 16384    // 256 shelves of them are four million, 200 bytes each in memory
	BytesMost   = 64 << 20 // what a replica may hold of one shelf
	// TenantShare is the part of either that one tenant may take.
	TenantShare = 4 // a quarter
	KeyBytes    = 255
	AnswerBytes = 64 << 10 // as much as the gateway holds whole of an answer
	BodyBytes   = 64 << 10
	// KeepMost is how long an answer may be kept, LastMost how long a promise may wait.
	KeepMost = 7 * 24 * time.Hour
	LastMost = 24 * time.Hour
	// entryBytes is what an entry takes beside its texts.
	entryBytes = 200
	// fullFor is what who is turned away is told to wait.
	fullFor = 5 * time.Second
)

// Effect is what a request may do more than once.
type Effect string

// The effects.
const (
	Safe   Effect = "safe"
	Keyed  Effect = "keyed"  // repeats are dropped by its group, within its window
	Unsafe Effect = "unsafe" // once at most
)

// Op is a kind of command.
type Op string

// The commands. Those with a Fence hold only for who was given it, as of now.
const (
	Clock  Op = "clock"  // the leader moves the shelf's time on
	Gone   Op = "gone"   // the leader tells of a session that has ended
	Begin  Op = "begin"  // a request with a key has come
	Send   Op = "send"   // it is about to be sent to a group: before the first byte goes
	End    Op = "end"    // it has its answer
	Drop   Op = "drop"   // no attempt of it has run: it is as if it had not come
	Put    Op = "put"    // a request is to be delivered later
	Take   Op = "take"   // the shelf's owner takes it up
	Cancel Op = "cancel" // its client takes it back
)

// Command is what is written in the shelf's log.
type Command struct {
	Op      Op      `json:"op"`
	Session uint64  `json:"s,omitempty"` // of the gateway that asks; for Gone the one that has ended
	Token   uint64  `json:"t,omitempty"` // of the shelf's owner, for Take
	Tenant  string  `json:"tenant,omitempty"`
	Key     string  `json:"key,omitempty"`
	Digest  string  `json:"digest,omitempty"` // of the request
	Effect  Effect  `json:"effect,omitempty"`
	Fence   uint64  `json:"fence,omitempty"`
	Group   string  `json:"group,omitempty"`
	Answer  *Answer `json:"answer,omitempty"`
	Body    []byte  `json:"body,omitempty"`
	// Keep is how long the answer is kept, Last how long a promise may wait.
	Keep time.Duration `json:"keep,omitempty"`
	Last time.Duration `json:"last,omitempty"`
	By   time.Duration `json:"by,omitempty"` // for Clock
	// Left is the leader's word, set as it proposes: for how long the window is open yet that began
	// with the request's first sending, by the leader's own count; 0: it is over, or not known.
	Left  time.Duration `json:"left,omitempty"`
	Worth float64       `json:"worth,omitempty"`
}

// Answer is what a client was told.
type Answer struct {
	Status int    `json:"status"`
	Head   []byte `json:"head,omitempty"`
	Body   []byte `json:"body,omitempty"`
}

// Code says what came of a command.
type Code string

// The codes.
const (
	OK       Code = "ok"
	Run      Code = "run"      // it is for the asker to run, under Fence
	Again    Code = "again"    // to run again, in Group and within the window alone, under Fence
	Running  Code = "running"  // another gateway runs it
	Done     Code = "done"     // it has ended, with Answer
	InDoubt  Code = "in doubt" // it may have run, and is never sent again
	Mismatch Code = "mismatch" // the key is another request's
	Full     Code = "full"     // there is no room; Wait says for how long at least
	Stale    Code = "stale"    // the fence or token is not the entry's any more
	Unknown  Code = "unknown"  // there is no such entry
	Refused  Code = "refused"  // Why says it
)

// Result is what came of a command.
type Result struct {
	Code   Code          `json:"code"`
	Fence  uint64        `json:"fence,omitempty"`
	Group  string        `json:"group,omitempty"`
	Answer *Answer       `json:"answer,omitempty"`
	Wait   time.Duration `json:"wait,omitempty"`
	// Left is until when Again holds: counted from before it was asked for.
	Left time.Duration `json:"left,omitempty"`
	Why  string        `json:"why,omitempty"`
}

// Phase is how far an entry is. From Ended on it is final.
type Phase string

// The phases.
const (
	Waiting   Phase = "waiting" // promised, not begun
	Begun     Phase = "begun"   // a gateway has it, nothing was sent
	Sending   Phase = "sending" // it may have run
	Ended     Phase = "ended"   // with an answer
	Doubt     Phase = "in doubt"
	Cancelled Phase = "cancelled"
	Lapsed    Phase = "lapsed" // its time was over before it was begun
)

// Final says whether nothing more becomes of an entry.
func (p Phase) Final() bool {
	return p == Ended || p == Doubt || p == Cancelled || p == Lapsed
}

// Entry is one request.
type Entry struct {
	Tenant  string  `json:"tenant,omitempty"`
	Key     string  `json:"key"`
	Digest  string  `json:"digest"`
	Effect  Effect  `json:"effect"`
	Phase   Phase   `json:"phase"`
	Session uint64  `json:"session,omitempty"` // of the gateway that has it
	Token   uint64  `json:"token,omitempty"`   // under which it was taken up, where it was promised
	Fence   uint64  `json:"fence"`             // index of the command that gave it to whoever has it
	Group   string  `json:"group,omitempty"`   // into which it was sent; "": nowhere yet
	Sends   int     `json:"sends,omitempty"`   // attempts begun, over all gateways
	Answer  *Answer `json:"answer,omitempty"`
	Body    []byte  `json:"body,omitempty"` // of a promised one, until it is final
	// Promised says that a client was told that it will have a final state.
	Promised bool    `json:"promised,omitempty"`
	Worth    float64 `json:"worth,omitempty"`
	// Until is when it is forgotten once it is final, or lapses while it waits, by the shelf's clock.
	Until time.Duration `json:"until"`
	Keep  time.Duration `json:"keep,omitempty"`
	// Late notes an answer that came behind the final state, which it does not change.
	Late bool `json:"late,omitempty"`
}

// SendsMost is how often a request may be sent, over all gateways.
const SendsMost = 4

// State is a shelf as of an index.
type State struct {
	Index   uint64            `json:"index"`
	Now     time.Duration     `json:"now"` // the shelf's clock
	Token   uint64            `json:"token,omitempty"`
	Entries map[string]*Entry `json:"entries"`
	Held    map[string]Held   `json:"held"` // by tenant
	Bytes   int               `json:"bytes"`
}

// Held is what a tenant takes.
type Held struct {
	Entries int `json:"n"`
	Bytes   int `json:"b"`
}

// New is an empty shelf.
func New() *State { return &State{Entries: map[string]*Entry{}, Held: map[string]Held{}} }

// Save is the state as it is kept.
func (s *State) Save() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // strings, numbers and bytes
	}
	return b
}

// Load takes a state back.
func (s *State) Load(b []byte) error {
	n := New()
	if err := json.Unmarshal(b, n); err != nil {
		return fmt.Errorf("a shelf: %w", err)
	}
	*s = *n
	return nil
}

// ID is the entry of a tenant's key.
func ID(tenant, key string) string { return fmt.Sprintf("%d %s %s", len(tenant), tenant, key) }

// Apply carries a command out.
func (s *State) Apply(index uint64, c *Command) Result {
	s.Index = index
	switch c.Op {
	case Clock:
		return s.clock(c)
	case Gone:
		return s.gone(c)
	}
	if c.Key == "" || len(c.Key) > KeyBytes || len(c.Tenant) > KeyBytes {
		return Result{Code: Refused, Why: fmt.Sprintf("a key and a tenant have %d bytes at most, and a key one at least", KeyBytes)}
	}
	e := s.Entries[ID(c.Tenant, c.Key)]
	switch c.Op {
	case Begin:
		return s.begin(e, c)
	case Put:
		return s.put(e, c)
	}
	if e == nil {
		return Result{Code: Unknown}
	}
	switch c.Op {
	case Send:
		return s.send(e, c)
	case End:
		return s.end(e, c)
	case Drop:
		return s.drop(e, c)
	case Take:
		return s.take(e, c)
	case Cancel:
		return s.cancel(e, c)
	}
	return Result{Code: Refused, Why: fmt.Sprintf("there is no command %q", c.Op)}
}

// clock moves the shelf's time on, and forgets what has been kept for long enough.
func (s *State) clock(c *Command) Result {
	if c.By > 0 {
		s.Now += c.By
	}
	for _, id := range slices.Sorted(maps.Keys(s.Entries)) {
		e := s.Entries[id]
		switch {
		case s.Now < e.Until:
		case e.Phase.Final():
			s.remove(id, e)
		case e.Phase == Waiting:
			s.finish(e, Lapsed, nil)
		}
	}
	return Result{Code: OK}
}

// gone is the end of a gateway's session: what it had and had not sent is free again; what it may
// have sent is taken up by the next that asks, or ends in doubt, as its effect allows.
func (s *State) gone(c *Command) Result {
	for _, id := range slices.Sorted(maps.Keys(s.Entries)) {
		e := s.Entries[id]
		if e.Session != c.Session || e.Phase.Final() || e.Phase == Waiting {
			continue
		}
		e.Session, e.Fence = 0, s.Index
		switch {
		case e.Phase == Begun && e.Promised:
			e.Phase = Waiting
		case e.Phase == Begun:
			s.remove(id, e)
		case e.Effect == Unsafe && !failpoint.Enabled(failpoint.KeepIndeterminateOpen):
			s.finish(e, Doubt, nil)
		}
	}
	return Result{Code: OK}
}

// begin is a request with a key that has come to a gateway.
func (s *State) begin(e *Entry, c *Command) Result {
	if c.Keep <= 0 || c.Keep > KeepMost || !c.Effect.known() {
		return Result{Code: Refused, Why: fmt.Sprintf("an answer is kept up to %v, and a request is safe, keyed or unsafe", KeepMost)}
	}
	if e == nil {
		e = &Entry{Tenant: c.Tenant, Key: c.Key, Digest: c.Digest, Effect: c.Effect, Phase: Begun, Session: c.Session, Fence: s.Index, Keep: c.Keep}
		if r, ok := s.add(e); !ok {
			return r
		}
		return Result{Code: Run, Fence: e.Fence}
	}
	switch {
	case e.Digest != c.Digest && !failpoint.Enabled(failpoint.SkipDigestCheck):
		return Result{Code: Mismatch}
	case e.Phase == Ended:
		return Result{Code: Done, Answer: e.Answer}
	case e.Phase == Doubt:
		return Result{Code: InDoubt}
	case e.Phase.Final():
		return Result{Code: Refused, Why: "the request is " + string(e.Phase)}
	case e.Session != 0 || e.Phase == Waiting || e.Promised:
		return Result{Code: Running}
	}
	return s.again(e, c)
}

// again gives an entry that may have run, and that nobody has, to whoever asks, where its effect
// allows another sending; else it ends in doubt.
func (s *State) again(e *Entry, c *Command) Result {
	free := e.Effect == Safe
	kept := e.Effect == Keyed && (c.Left > 0 || failpoint.Enabled(failpoint.SendAfterWindow))
	if !free && !kept || e.Sends >= SendsMost {
		s.finish(e, Doubt, nil)
		return Result{Code: InDoubt}
	}
	e.Session, e.Token, e.Fence = c.Session, c.Token, s.Index
	if free {
		return Result{Code: Again, Fence: e.Fence}
	}
	return Result{Code: Again, Fence: e.Fence, Group: e.Group, Left: c.Left}
}

// send is the intent before the act: it is here before the first byte goes.
func (s *State) send(e *Entry, c *Command) Result {
	switch {
	case e.Fence != c.Fence && !failpoint.Enabled(failpoint.SkipRequestFence):
		return Result{Code: Stale}
	case e.Phase.Final():
		return Result{Code: Stale}
	case e.Sends >= SendsMost:
		return Result{Code: Refused, Why: fmt.Sprintf("a request is sent %d times at most", SendsMost)}
	case e.Group != "" && e.Group != c.Group && e.Effect != Safe && !failpoint.Enabled(failpoint.SendToOtherScope):
		return Result{Code: Refused, Group: e.Group, Why: "it may have run in another group"}
	}
	e.Phase, e.Group = Sending, c.Group
	e.Sends++
	return Result{Code: OK, Fence: e.Fence}
}

// end is an answer. One that comes behind the final state is noted, and changes nothing.
func (s *State) end(e *Entry, c *Command) Result {
	switch {
	case c.Answer == nil || len(c.Answer.Head)+len(c.Answer.Body) > AnswerBytes:
		return Result{Code: Refused, Why: fmt.Sprintf("an answer that is kept has %d bytes at most", AnswerBytes)}
	case e.Phase.Final():
		if e.Phase == Ended && e.Fence == c.Fence {
			return Result{Code: OK} // it came again
		}
		e.Late = true
		if failpoint.Enabled(failpoint.OverwriteFinalState) {
			s.finish(e, Ended, c.Answer)
		}
		return Result{Code: Stale}
	case e.Fence != c.Fence && !failpoint.Enabled(failpoint.SkipRequestFence):
		e.Late = true
		return Result{Code: Stale}
	}
	s.finish(e, Ended, c.Answer)
	return Result{Code: OK}
}

// drop is the word of who has an entry that no attempt of it has run.
func (s *State) drop(e *Entry, c *Command) Result {
	switch {
	case e.Fence != c.Fence || e.Phase.Final():
		return Result{Code: Stale}
	case e.Promised:
		e.Phase, e.Session, e.Group, e.Fence = Waiting, 0, "", s.Index
		return Result{Code: OK}
	}
	s.remove(ID(e.Tenant, e.Key), e)
	return Result{Code: OK}
}

// put is a promise: once it is here, the entry has one final state for good.
func (s *State) put(e *Entry, c *Command) Result {
	switch {
	case c.Last <= 0 || c.Last > LastMost || c.Keep <= 0 || c.Keep > KeepMost || !c.Effect.known() || len(c.Body) > BodyBytes:
		return Result{Code: Refused, Why: fmt.Sprintf("a promise waits up to %v, is kept up to %v and has %d bytes at most", LastMost, KeepMost, BodyBytes)}
	case e != nil && e.Digest != c.Digest && !failpoint.Enabled(failpoint.SkipDigestCheck):
		return Result{Code: Mismatch}
	case e != nil && !e.Promised:
		return Result{Code: Refused, Why: "the key is of a request that is not deferred"}
	case e != nil:
		return Result{Code: OK, Fence: e.Fence}
	}
	e = &Entry{
		Tenant: c.Tenant, Key: c.Key, Digest: c.Digest, Effect: c.Effect, Phase: Waiting, Fence: s.Index, Promised: true,
		Body: c.Body, Worth: c.Worth, Until: s.Now + c.Last, Keep: c.Keep,
	}
	if r, ok := s.add(e); !ok {
		return r
	}
	return Result{Code: OK, Fence: e.Fence}
}

// take has the shelf's owner take a promised entry up. An owner of before is turned away, and what
// one of before may have sent goes on only as its effect allows.
func (s *State) take(e *Entry, c *Command) Result {
	switch {
	case c.Token < s.Token && !failpoint.Enabled(failpoint.SkipPartitionFence):
		return Result{Code: Stale}
	case !e.Promised:
		return Result{Code: Refused, Why: "it was not promised"}
	case e.Phase.Final():
		return Result{Code: Stale}
	}
	s.Token = max(s.Token, c.Token)
	if e.Phase == Sending {
		if e.Token == c.Token && e.Session == c.Session {
			return Result{Code: Running} // the owner has it out itself
		}
		return s.again(e, c)
	}
	e.Phase, e.Session, e.Token, e.Fence = Begun, c.Session, c.Token, s.Index
	return Result{Code: Run, Fence: e.Fence}
}

// cancel takes a promised entry back that was not begun.
func (s *State) cancel(e *Entry, c *Command) Result {
	switch {
	case !e.Promised:
		return Result{Code: Refused, Why: "it was not promised"}
	case e.Phase == Cancelled:
		return Result{Code: OK}
	case e.Phase.Final():
		return Result{Code: Done, Answer: e.Answer}
	case e.Phase != Waiting:
		return Result{Code: Running}
	}
	s.finish(e, Cancelled, nil)
	return Result{Code: OK}
}

func (e Effect) known() bool { return e == Safe || e == Keyed || e == Unsafe }

// size is what an entry counts for: with room for its answer from the first, so that what was
// begun can always end.
func (e *Entry) size() int {
	n := entryBytes + len(e.Tenant) + 2*len(e.Key) + len(e.Digest) + len(e.Body)
	if e.Answer != nil {
		return n + len(e.Answer.Head) + len(e.Answer.Body)
	}
	if !e.Phase.Final() {
		n += AnswerBytes
	}
	return n
}

// add holds an entry, where there is room for it.
func (s *State) add(e *Entry) (Result, bool) {
	h, n := s.Held[e.Tenant], e.size()
	if len(s.Entries) >= EntriesMost || s.Bytes+n > BytesMost || h.Entries >= EntriesMost/TenantShare || h.Bytes+n > BytesMost/TenantShare {
		return Result{Code: Full, Wait: fullFor}, false
	}
	s.Entries[ID(e.Tenant, e.Key)] = e
	s.count(e.Tenant, 1, n)
	return Result{}, true
}

func (s *State) count(tenant string, entries, bytes int) {
	h := s.Held[tenant]
	h.Entries, h.Bytes = h.Entries+entries, h.Bytes+bytes
	if s.Bytes += bytes; h.Entries == 0 {
		delete(s.Held, tenant)
		return
	}
	s.Held[tenant] = h
}

func (s *State) remove(id string, e *Entry) {
	s.count(e.Tenant, -1, -e.size())
	delete(s.Entries, id)
}

// finish gives an entry its final state, which is kept for its time from now.
func (s *State) finish(e *Entry, p Phase, a *Answer) {
	was := e.size()
	e.Phase, e.Answer, e.Session, e.Body, e.Until = p, a, 0, nil, s.Now+e.Keep
	s.count(e.Tenant, 0, e.size()-was)
}

// Next is the promised entry that the shelf's owner is to take up next: that which is worth most,
// and of those the one that came first; nil: none waits.
func (s *State) Next() (best *Entry) {
	for _, id := range slices.Sorted(maps.Keys(s.Entries)) {
		e := s.Entries[id]
		if e.Phase == Waiting && (best == nil || e.Worth > best.Worth || e.Worth == best.Worth && e.Fence < best.Fence) {
			best = e
		}
	}
	return best
}
