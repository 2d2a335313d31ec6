// Package lease is the machine over the fleet's record: sessions of gateways, and duties with one
// owner each, known by a fencing token that only grows. It does no I/O and knows no clock: time
// is the leader's own, told to a Watch, and only what a Watch proposes comes into the record.
package lease

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"

	"dunemoor/internal/cluster/failpoint"
)

// Bounds of the record. What is over them is refused with a reason.
const (
	// MembersMost bounds the gateways of a fleet with relays: 4,700 are asked for, and a third more
	// for those that have gone and are yet to be forgotten. A full mesh takes meshMost: each holds a
	// connection with each other.
	MembersMost = 6144
	meshMost    = 1024
	DutiesMost  = 4096    // several a pool, with as many pools as a file may have
	valuesMost  = 16      // keys that a duty keeps in the record
	valueBytes  = 4 << 10 // each
	NameMost    = 96      // bytes of the name of a gateway or duty
	offersMost  = 1024    // duties that one gateway offers to hold
	resultsMost = 32      // results kept a session: as many commands may be out without an answer
	changesMost = 256     // changes of hands kept for those who ask
	KeepersMost = 9       // gateways that hold the record: each more costs every commit a message
)

// Op is a kind of command.
type Op string

// The commands.
const (
	Open   Op = "open"   // a gateway begins a session
	Close  Op = "close"  // it ends its session
	Lapse  Op = "lapse"  // the leader ends a session that was not renewed
	Assign Op = "assign" // the leader gives a free duty to a session
	Claim  Op = "claim"  // a session asks for a duty itself
	Resign Op = "resign" // an owner gives a duty back
	Move   Op = "move"   // an owner is asked to give a duty to another gateway
	Write  Op = "write"  // an owner writes on behalf of its duty
	Keep   Op = "keep"   // an operator wants a gateway to hold a replica of the record
	Leave  Op = "leave"  // or not to
	Forget Op = "forget" // the owner of housekeeping removes what has long gone
)

// Command is what is written in the record.
type Command struct {
	Op      Op     `json:"op"`
	Session uint64 `json:"s,omitempty"` // of whoever asks, or whom it is about
	Request uint64 `json:"r,omitempty"` // its number there: one that comes again has one effect
	Open    *Opens `json:"open,omitempty"`
	Duty    string `json:"duty,omitempty"`
	Token   uint64 `json:"token,omitempty"` // as the asker knows it
	To      string `json:"to,omitempty"`    // a gateway
	Key     string `json:"key,omitempty"`
	Value   string `json:"value,omitempty"`
	Name    string `json:"name,omitempty"` // what is forgotten
	Word    *Word  `json:"word,omitempty"`
}

// Opens is who begins a session.
type Opens struct {
	Name    string   `json:"name"`
	Disk    uint64   `json:"disk"` // the identity of its data directory
	Opening uint64   `json:"no"`   // grows with each opening by that disk; the same again is the same session
	Zone    string   `json:"zone,omitempty"`
	Machine string   `json:"machine,omitempty"`
	Address string   `json:"addr,omitempty"`
	Offers  []string `json:"offers,omitempty"` // duties that it can hold
	Part    Part     `json:"part,omitempty"`
}

// Part is what a gateway is in a fleet with relays; "": it has none.
type Part string

// The parts.
const (
	Relay   Part = "relay"   // it holds the streams of others, and may keep the record
	Gateway Part = "gateway" // it holds a stream to a relay
)

// Code says what came of a command.
type Code string

// The codes.
const (
	OK        Code = "ok"
	Held      Code = "held"       // another owns the duty
	Stale     Code = "stale"      // the token is not the duty's any more
	NoSession Code = "no session" // it has lapsed or was never
	Taken     Code = "taken"      // a living gateway of another disk has the name
	Refused   Code = "refused"    // the command can't be carried out; Why says it
	Old       Code = "old"        // the result of so old a request is not kept
	Late      Code = "late"       // a later command of the session went before: nothing was done
)

// Result is what came of a command.
type Result struct {
	Code    Code   `json:"code"`
	Session uint64 `json:"session,omitempty"`
	Token   uint64 `json:"token,omitempty"`
	Owner   string `json:"owner,omitempty"`
	Why     string `json:"why,omitempty"`
}

// Session is a gateway's time with the fleet.
type Session struct {
	ID uint64 `json:"id"`
	Opens
	Since   uint64            `json:"since"` // index
	Results map[uint64]Result `json:"results,omitempty"`
	Last    uint64            `json:"last,omitempty"` // the highest request
}

// Member is a gateway that has a session or had one.
type Member struct {
	Name    string `json:"name"`
	Session uint64 `json:"session"` // 0: it has lapsed or was closed
	Disk    uint64 `json:"disk"`
	Zone    string `json:"zone,omitempty"`
	Machine string `json:"machine,omitempty"`
	Address string `json:"addr,omitempty"`
	Opening uint64 `json:"no"`  // of its last session
	Mod     uint64 `json:"mod"` // index of the last change
	Part    Part   `json:"part,omitempty"`
}

// Duty is named work with one owner at most.
type Duty struct {
	Name   string            `json:"name"`
	Owner  uint64            `json:"owner"` // session; 0: nobody
	Holder string            `json:"holder,omitempty"`
	Token  uint64            `json:"token"` // of the owner, or of the last one
	Since  uint64            `json:"since"` // index
	To     string            `json:"to,omitempty"`
	Avoid  string            `json:"avoid,omitempty"` // who gave it back
	Mod    uint64            `json:"mod"`
	Values map[string]string `json:"values,omitempty"`
}

// Keeper is a gateway that holds a replica of the record.
type Keeper struct {
	Replica uint64 `json:"replica"` // the identity of its disk
	Name    string `json:"name"`
	Learner bool   `json:"learner,omitempty"`
}

// Change is a duty that went from hand to hand.
type Change struct {
	Index uint64 `json:"index"`
	Duty  string `json:"duty"`
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
	Token uint64 `json:"token"`
	Cause string `json:"cause"`
}

// State is the record as of an index.
type State struct {
	Index    uint64              `json:"index"`
	Token    uint64              `json:"token"` // the last given
	NextID   uint64              `json:"next"`  // sessions so far
	Sessions map[uint64]*Session `json:"sessions"`
	Members  map[string]*Member  `json:"members"`
	Duties   map[string]*Duty    `json:"duties"`
	Keepers  map[uint64]Keeper   `json:"keepers"`
	Changes  []Change            `json:"changes,omitempty"`
	// Birth was drawn when the fleet was formed: another is another fleet, whatever its name.
	Birth uint64 `json:"birth"`
	// Want is the gateways that are to hold a replica.
	Want map[string]bool `json:"want"`
	// Cut is the index up to which things were forgotten: a view from before is told whole.
	Cut uint64 `json:"cut,omitempty"`
	// KeepersMod is the index of the last change of Keepers, WordsMod that of Words.
	KeepersMod uint64 `json:"keepers_mod,omitempty"`
	WordsMod   uint64 `json:"words_mod,omitempty"`
	// Words are those of operators, by pool and host.
	Words map[string]*Word `json:"words,omitempty"`

	// Not of the record.
	news     []Change              // since they were last asked for
	touched  []touched             // what has changed, the last last
	lost     uint64                // index up to which touched may not say all
	offering map[string][]*Session // those that offer each duty, by their ids; nil: not asked for yet
	alike    []string              // what the last session offers
	names    []string              // of the members, sorted; nil: not asked for since they changed
}

// touched is a member or duty that changed at an index.
type touched struct {
	index uint64
	name  string
	duty  bool
}

// touchedMost bounds how many changes are kept to tell gateways what is new to them: those that
// renew each second are behind by a few; who is further back costs a look at all.
const touchedMost = 8192

func (s *State) touch(name string, duty bool) {
	if n := len(s.touched); n > 0 && s.touched[n-1] == (touched{s.Index, name, duty}) {
		return
	}
	if len(s.touched) >= touchedMost {
		half := len(s.touched) / 2
		s.lost = s.touched[half-1].index
		s.touched = append(s.touched[:0], s.touched[half:]...)
	}
	s.touched = append(s.touched, touched{s.Index, name, duty})
}

// changedSince is the names of members and duties that changed behind an index, sorted; ok says
// whether that is known.
func (s *State) changedSince(index uint64) (members, duties []string, ok bool) {
	if index < s.lost {
		return nil, nil, false
	}
	from := sort.Search(len(s.touched), func(i int) bool { return s.touched[i].index > index })
	for _, t := range s.touched[from:] {
		if t.duty {
			duties = append(duties, t.name)
		} else {
			members = append(members, t.name)
		}
	}
	slices.Sort(members)
	slices.Sort(duties)
	return slices.Compact(members), slices.Compact(duties), true
}

// share has sessions that offer the same duties, as most do, keep one list of them.
func (s *State) share(x *Session) {
	if slices.Equal(x.Offers, s.alike) {
		x.Offers = s.alike
	}
	s.alike = x.Offers
}

// MemberNames is the names of all members, sorted; it is not to be changed.
func (s *State) MemberNames() []string {
	if s.names == nil {
		s.names = slices.Sorted(maps.Keys(s.Members))
	}
	return s.names
}

// NewState returns the record as it begins, with its first keepers.
func NewState(birth uint64, keepers ...Keeper) *State {
	s := &State{Birth: birth, Sessions: map[uint64]*Session{}, Members: map[string]*Member{}, Duties: map[string]*Duty{}, Keepers: map[uint64]Keeper{}, Want: map[string]bool{}}
	for _, k := range keepers {
		s.Keepers[k.Replica] = k
		s.Want[k.Name] = true
	}
	return s
}

// Bytes is the state as it is kept.
func (s *State) Bytes() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // it is made of strings and numbers
	}
	return b
}

// Read takes a state back.
func (s *State) Read(b []byte) error {
	n := NewState(0)
	if err := json.Unmarshal(b, n); err != nil {
		return fmt.Errorf("the record: %w", err)
	}
	n.news, n.lost = s.news, n.Index
	*s = *n
	for _, id := range slices.Sorted(maps.Keys(s.Sessions)) {
		s.share(s.Sessions[id])
	}
	return nil
}

// News returns the changes of hands since it was last called.
func (s *State) News() []Change {
	n := s.news
	s.news = nil
	return n
}

// Apply carries a command out. An index that was applied before is not again.
func (s *State) Apply(index uint64, c *Command) Result {
	s.Index = index
	switch c.Op {
	case Open:
		return s.open(c)
	case Lapse, Assign:
		// Of the leader, who may be one of before by now: each holds only for what it names.
		if c.Op == Lapse {
			return s.end(c.Session, "lapsed")
		}
		return s.assign(c)
	case Forget:
		return s.forget(c)
	case Spend:
		return s.spend(c)
	case Keep, Leave:
		return s.keep(c)
	}
	x := s.Sessions[c.Session]
	if x == nil {
		if c.Op == Move && c.Session == 0 {
			return s.move(c) // of an operator
		}
		return Result{Code: NoSession}
	}
	if r, ok := x.Results[c.Request]; ok && c.Request > 0 && !failpoint.Enabled(failpoint.ReapplyDuplicates) {
		return r
	}
	if c.Request > 0 && c.Request+resultsMost <= x.Last {
		return Result{Code: Old}
	}
	var r Result
	switch c.Op {
	case Close:
		return s.end(c.Session, "closed")
	case Claim:
		r = s.claim(x, c)
	case Resign:
		r = s.resign(x, c)
	case Move:
		r = s.move(c)
	case Write:
		r = s.write(x, c)
	case Drain, Undrain:
		switch {
		case c.Request < x.Last && !failpoint.Enabled(failpoint.ApplySuperseded):
			// Who asked has given up on it, and may have said otherwise since.
			r = Result{Code: Late, Why: "a later command of this gateway went before it, nothing was done"}
		case c.Op == Drain:
			r = s.drainHost(x, c)
		default:
			r = s.undrain(c)
		}
	default:
		r = Result{Code: Refused, Why: fmt.Sprintf("there is no command %q", c.Op)}
	}
	if c.Request > 0 {
		if x.Results == nil {
			x.Results = map[uint64]Result{}
		}
		x.Results[c.Request] = r
		x.Last = max(x.Last, c.Request)
		for k := range x.Results {
			if k+resultsMost <= x.Last {
				delete(x.Results, k)
			}
		}
	}
	return r
}

func (s *State) open(c *Command) Result {
	o := c.Open
	switch {
	case o == nil || o.Name == "" || len(o.Name) > NameMost:
		return Result{Code: Refused, Why: "it has no name, or one that is too long"}
	case len(o.Offers) > offersMost:
		return Result{Code: Refused, Why: fmt.Sprintf("it offers to hold %d duties, %d at most", len(o.Offers), offersMost)}
	}
	m, most := s.Members[o.Name], meshMost
	if o.Part != "" {
		most = MembersMost
	}
	if m == nil && len(s.Members) >= most {
		return Result{Code: Refused, Why: fmt.Sprintf("the fleet has %d members, %d at most", len(s.Members), most)}
	}
	if m != nil && m.Disk == o.Disk {
		switch {
		case m.Opening == o.Opening && m.Session != 0:
			return Result{Code: OK, Session: m.Session}
		case o.Opening <= m.Opening && !failpoint.Enabled(failpoint.ReapplyDuplicates):
			return Result{Code: Old, Why: "it has come late: the gateway has opened another session since"}
		}
	}
	if m != nil && m.Session != 0 {
		was := s.Sessions[m.Session]
		if was.Disk != o.Disk {
			return Result{Code: Taken, Why: fmt.Sprintf("a living gateway has the name %s, with another disk", o.Name)}
		}
		// The same disk: only one process holds it, so the one of before has ended.
		s.end(was.ID, "restarted")
	}
	s.NextID++
	x := &Session{ID: s.NextID, Opens: *o, Since: s.Index}
	s.share(x)
	s.Sessions[s.NextID] = x
	if m == nil {
		s.names = nil
	}
	s.Members[o.Name] = &Member{o.Name, s.NextID, o.Disk, o.Zone, o.Machine, o.Address, o.Opening, s.Index, o.Part}
	s.touch(o.Name, false)
	if s.offering != nil {
		for _, d := range x.Offers {
			s.offering[d] = append(s.offering[d], x) // its id is the highest
		}
	}
	for _, d := range o.Offers {
		if s.Duties[d] == nil && len(d) <= NameMost && d != "" && len(s.Duties) < DutiesMost {
			s.Duties[d] = &Duty{Name: d, Mod: s.Index}
			s.touch(d, true)
		}
	}
	return Result{Code: OK, Session: s.NextID}
}

// end ends a session; what it owned is free.
func (s *State) end(id uint64, cause string) Result {
	x := s.Sessions[id]
	if x == nil {
		return Result{Code: NoSession}
	}
	delete(s.Sessions, id)
	if m := s.Members[x.Name]; m != nil && m.Session == id {
		m.Session, m.Mod = 0, s.Index
		s.touch(x.Name, false)
	}
	if s.offering != nil {
		for _, d := range x.Offers {
			list := s.offering[d]
			if i, ok := slices.BinarySearchFunc(list, id, func(y *Session, id uint64) int { return cmp.Compare(y.ID, id) }); ok {
				s.offering[d] = slices.Delete(list, i, i+1)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Duties)) {
		if d := s.Duties[name]; d.Owner == id {
			s.free(d, cause)
		}
	}
	return Result{Code: OK}
}

// free takes a duty from its owner.
func (s *State) free(d *Duty, cause string) {
	s.changed(Change{s.Index, d.Name, d.Holder, "", d.Token, cause})
	d.Owner, d.Holder, d.Since, d.Mod = 0, "", s.Index, s.Index
	s.touch(d.Name, true)
}

// grant gives a free duty to a session, under a new token.
func (s *State) grant(d *Duty, x *Session, cause string) Result {
	if !failpoint.Enabled(failpoint.ReuseToken) || d.Token == 0 {
		s.Token++
		d.Token = s.Token
	}
	d.Owner, d.Holder, d.Since, d.Mod, d.To, d.Avoid = x.ID, x.Name, s.Index, s.Index, "", ""
	s.touch(d.Name, true)
	s.changed(Change{s.Index, d.Name, "", x.Name, d.Token, cause})
	return Result{Code: OK, Token: d.Token, Owner: x.Name}
}

func (s *State) changed(c Change) {
	s.Changes = append(s.Changes, c)
	if over := len(s.Changes) - changesMost; over > 0 {
		s.Changes = slices.Delete(s.Changes, 0, over)
	}
	s.news = append(s.news, c)
	if over := len(s.news) - changesMost; over > 0 {
		s.news = slices.Delete(s.news, 0, over)
	}
}

func (s *State) assign(c *Command) Result {
	d, x := s.Duties[c.Duty], s.Sessions[c.Session]
	switch {
	case d == nil || x == nil:
		return Result{Code: NoSession}
	case d.Token != c.Token:
		return Result{Code: Stale, Token: d.Token}
	case d.Owner != 0 && failpoint.Enabled(failpoint.AssignBeforeRelease):
		s.free(d, "taken away")
	case d.Owner != 0:
		return Result{Code: Held, Token: d.Token, Owner: d.Holder}
	}
	return s.grant(d, x, "assigned")
}

func (s *State) claim(x *Session, c *Command) Result {
	d := s.Duties[c.Duty]
	if d == nil {
		if c.Duty == "" || len(c.Duty) > NameMost || len(s.Duties) >= DutiesMost {
			return Result{Code: Refused, Why: "no such duty can be made"}
		}
		d = &Duty{Name: c.Duty}
		s.Duties[c.Duty] = d
	}
	switch {
	case d.Owner == x.ID:
		return Result{Code: OK, Token: d.Token, Owner: x.Name}
	case d.Owner != 0:
		return Result{Code: Held, Token: d.Token, Owner: d.Holder}
	}
	return s.grant(d, x, "claimed")
}

func (s *State) resign(x *Session, c *Command) Result {
	d := s.Duties[c.Duty]
	if d == nil || d.Owner != x.ID || d.Token != c.Token {
		return Result{Code: Stale}
	}
	cause := "resigned"
	if d.To != "" {
		cause = "moved"
	}
	d.Avoid = x.Name
	s.free(d, cause)
	return Result{Code: OK}
}

func (s *State) move(c *Command) Result {
	d, m := s.Duties[c.Duty], s.Members[c.To]
	switch {
	case d == nil:
		return Result{Code: Refused, Why: fmt.Sprintf("there is no duty %s", c.Duty)}
	case c.Token != 0 && c.Token != d.Token:
		return Result{Code: Stale, Token: d.Token}
	case c.To == "": // anybody else
		if d.Owner == 0 {
			return Result{Code: Refused, Why: fmt.Sprintf("nobody holds %s", c.Duty)}
		}
		d.To, d.Mod = anybody, s.Index
		s.touch(d.Name, true)
		return Result{Code: OK, Owner: d.Holder, Token: d.Token}
	case m == nil || m.Session == 0:
		return Result{Code: Refused, Why: fmt.Sprintf("%s is no living member", c.To)}
	case !slices.Contains(s.Sessions[m.Session].Offers, c.Duty):
		return Result{Code: Refused, Why: fmt.Sprintf("%s does not offer to hold %s", c.To, c.Duty)}
	case d.Owner == m.Session:
		return Result{Code: OK, Owner: d.Holder, Token: d.Token}
	}
	d.To, d.Mod = c.To, s.Index
	s.touch(d.Name, true)
	return Result{Code: OK, Owner: d.Holder, Token: d.Token}
}

// anybody stands for the target of a move that names none.
const anybody = "*"

// write is the fence at the record: whoever writes on behalf of a duty has to be its owner, by
// its token, now.
func (s *State) write(x *Session, c *Command) Result {
	d := s.Duties[c.Duty]
	if d == nil || (d.Owner != x.ID || d.Token != c.Token) && !failpoint.Enabled(failpoint.SkipWriteFence) {
		r := Result{Code: Stale}
		if d != nil {
			r.Token, r.Owner = d.Token, d.Holder
		}
		return r
	}
	if len(c.Key) > NameMost || len(c.Value) > valueBytes {
		return Result{Code: Refused, Why: fmt.Sprintf("a key has %d bytes at most, a value %d", NameMost, valueBytes)}
	}
	if _, there := d.Values[c.Key]; !there && len(d.Values) >= valuesMost {
		return Result{Code: Refused, Why: fmt.Sprintf("a duty keeps %d values", valuesMost)}
	}
	if d.Values == nil {
		d.Values = map[string]string{}
	}
	d.Values[c.Key], d.Mod = c.Value, s.Index
	s.touch(d.Name, true)
	return Result{Code: OK, Token: d.Token}
}

// forget removes a member that has no session, or a duty that nobody offers to hold.
func (s *State) forget(c *Command) Result {
	h := s.Duties[c.Duty]
	if h == nil || h.Token != c.Token || h.Owner != c.Session {
		return Result{Code: Stale}
	}
	if m := s.Members[c.Name]; m != nil && m.Session == 0 && !s.keeps(m.Disk) {
		delete(s.Members, c.Name)
		s.names = nil
		s.Cut = s.Index
		return Result{Code: OK}
	}
	if d := s.Duties[c.Name]; d != nil && d.Owner == 0 && !s.offered(c.Name) {
		delete(s.Duties, c.Name)
		s.Cut = s.Index
		return Result{Code: OK}
	}
	return Result{Code: Refused, Why: "it is in use"}
}

// keep has a gateway hold a replica from now on, or not any more.
func (s *State) keep(c *Command) Result {
	m := s.Members[c.Name]
	switch want := c.Op == Keep; {
	case want && (m == nil || m.Session == 0):
		return Result{Code: Refused, Why: fmt.Sprintf("%s is no living member", c.Name)}
	case want && m.Part == Gateway:
		return Result{Code: Refused, Why: fmt.Sprintf("%s is no relay: only those are connected with one another, and keep the record", c.Name)}
	case want && !s.Want[c.Name] && len(s.Want) >= KeepersMost:
		return Result{Code: Refused, Why: fmt.Sprintf("%d gateways hold the record, %d at most", len(s.Want), KeepersMost)}
	case want:
		s.Want[c.Name] = true
	case !s.Want[c.Name]:
		return Result{Code: Refused, Why: fmt.Sprintf("%s does not hold the record", c.Name)}
	case len(s.Want) == 1:
		return Result{Code: Refused, Why: fmt.Sprintf("%s is the last that holds the record", c.Name)}
	default:
		delete(s.Want, c.Name)
	}
	return Result{Code: OK}
}

func (s *State) keeps(disk uint64) bool {
	_, ok := s.Keepers[disk]
	return ok
}

func (s *State) offered(duty string) bool {
	for _, x := range s.Sessions {
		if slices.Contains(x.Offers, duty) {
			return true
		}
	}
	return false
}

// SetKeepers takes over who holds a replica.
func (s *State) SetKeepers(index uint64, name map[uint64]string, voters, learners []uint64) {
	s.Index, s.KeepersMod = index, index
	was := s.Keepers
	s.Keepers = map[uint64]Keeper{}
	add := func(ids []uint64, learner bool) {
		for _, id := range ids {
			k := Keeper{id, was[id].Name, learner}
			if n := name[id]; n != "" {
				k.Name = n
			}
			s.Keepers[id] = k
		}
	}
	add(voters, false)
	add(learners, true)
}

// Owns is the duties of a session, by name.
func (s *State) Owns(session uint64) (list []*Duty) {
	for _, name := range slices.Sorted(maps.Keys(s.Duties)) {
		if d := s.Duties[name]; d.Owner == session {
			list = append(list, d)
		}
	}
	return list
}

// Holding is a duty as a gateway knows it.
type Holding struct {
	Name   string `json:"name"`
	Owner  uint64 `json:"owner"`
	Holder string `json:"holder,omitempty"`
	Token  uint64 `json:"token"`
	To     string `json:"to,omitempty"`
}

// View is what has changed in the record behind an index.
type View struct {
	Index   uint64    `json:"index"`
	Whole   bool      `json:"whole,omitempty"`
	Members []Member  `json:"members,omitempty"`
	Duties  []Holding `json:"duties,omitempty"`
	Keepers []Keeper  `json:"keepers,omitempty"` // nil: as before
	// Count is how many members have a session, in place of Members, where one is told no others;
	// 0: as before.
	Count int `json:"count,omitempty"`
	// WordsMod is the index of the last change of Words, which are all there are of the fleet that
	// was formed with Birth; 0: as before.
	Birth    uint64 `json:"birth,omitempty"`
	WordsMod uint64 `json:"words_mod,omitempty"`
	Words    []Word `json:"words,omitempty"`
}

// Since tells what changed behind an index, or the whole. It costs what has changed.
func (s *State) Since(index uint64) View { return s.since(index, "") }

// SinceLean is Since without members, but for the one that is named and how many there are.
func (s *State) SinceLean(index uint64, name string) View { return s.since(index, name) }

func (s *State) since(index uint64, only string) View {
	v := View{Index: s.Index, Whole: index < s.Cut || index == 0}
	var members, duties []string
	switch {
	case v.Whole || index < s.lost:
		if duties = slices.Sorted(maps.Keys(s.Duties)); only == "" {
			members = s.MemberNames()
		} else {
			v.Count = len(s.Sessions)
		}
	case only != "":
		// Of all that has changed a look at each is what it costs: thousands come at once, and each
		// of them is told of the others' coming by a number.
		from := sort.Search(len(s.touched), func(i int) bool { return s.touched[i].index > index })
		for _, t := range s.touched[from:] {
			if t.duty {
				duties = append(duties, t.name)
			} else {
				v.Count = len(s.Sessions)
			}
		}
		slices.Sort(duties)
		duties = slices.Compact(duties)
	default:
		members, duties, _ = s.changedSince(index)
	}
	if only != "" {
		members = []string{only}
	}
	for _, name := range members {
		if m := s.Members[name]; m != nil && (v.Whole || m.Mod > index) {
			v.Members = append(v.Members, *m)
		}
	}
	for _, name := range duties {
		if d := s.Duties[name]; d != nil && (v.Whole || d.Mod > index) {
			v.Duties = append(v.Duties, Holding{d.Name, d.Owner, d.Holder, d.Token, d.To})
		}
	}
	if v.Whole || s.KeepersMod > index {
		for _, id := range slices.Sorted(maps.Keys(s.Keepers)) {
			v.Keepers = append(v.Keepers, s.Keepers[id])
		}
	}
	if v.Whole || s.WordsMod > index {
		v.Birth, v.WordsMod, v.Words = s.Birth, s.WordsMod, s.ListWords()
	}
	return v
}
