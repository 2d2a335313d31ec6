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
	MaxMembers         = 6144
	maxMeshMembers     = 1024
	MaxLeases          = 4096    // several a pool, with as many pools as a file may have
	maxValues          = 16      // keys that a duty keeps in the record
	maxValueBytes      = 4 << 10 // each
	MaxNameBytes       = 96      // bytes of the name of a gateway or duty
	maxCandidateLeases = 1024    // duties that one gateway offers to hold
	maxSessionResults  = 32      // results kept a session: as many commands may be out without an answer
	maxTransfers       = 256     // changes of hands kept for those who ask
	MaxReplicas        = 9       // gateways that hold the record: each more costs every commit a message
)

// Op is a kind of command.
type Op string

// The commands.
const (
	OpOpenSession    Op = "open"   // a gateway begins a session
	OpCloseSession   Op = "close"  // it ends its session
	OpExpireSession  Op = "lapse"  // the leader ends a session that was not renewed
	OpAssign         Op = "assign" // the leader gives a free duty to a session
	OpAcquire        Op = "claim"  // a session asks for a duty itself
	OpRelease        Op = "resign" // an owner gives a duty back
	OpTransfer       Op = "move"   // an owner is asked to give a duty to another gateway
	OpWrite          Op = "write"  // an owner writes on behalf of its duty
	OpAddReplica     Op = "keep"   // an operator wants a gateway to hold a replica of the record
	OpRemoveReplica  Op = "leave"  // or not to
	OpCollectGarbage Op = "forget" // the owner of housekeeping removes what has long gone
)

// Command is what is written in the record.
type Command struct {
	Op       Op           `json:"op"`
	Session  uint64       `json:"s,omitempty"` // of whoever asks, or whom it is about
	Request  uint64       `json:"r,omitempty"` // its number there: one that comes again has one effect
	Open     *OpenRequest `json:"open,omitempty"`
	Lease    string       `json:"duty,omitempty"`
	Token    uint64       `json:"token,omitempty"` // as the asker knows it
	Target   string       `json:"to,omitempty"`    // a gateway
	Key      string       `json:"key,omitempty"`
	Value    string       `json:"value,omitempty"`
	Name     string       `json:"name,omitempty"` // what is forgotten
	Override *Override    `json:"word,omitempty"`
}

// Opens is who begins a session.
type OpenRequest struct {
	Name            string   `json:"name"`
	DiskID          uint64   `json:"disk"` // the identity of its data directory
	OpenSequence    uint64   `json:"no"`   // grows with each opening by that disk; the same again is the same session
	Zone            string   `json:"zone,omitempty"`
	Machine         string   `json:"machine,omitempty"`
	Address         string   `json:"addr,omitempty"`
	CandidateLeases []string `json:"offers,omitempty"` // duties that it can hold
	Role            Role     `json:"part,omitempty"`
}

// Part is what a gateway is in a fleet with relays; "": it has none.
type Role string

// The parts.
const (
	RoleRelay   Role = "relay"   // it holds the streams of others, and may keep the record
	RoleGateway Role = "gateway" // it holds a stream to a relay
)

// Code says what came of a command.
type Code string

// The codes.
const (
	OK            Code = "ok"
	LeaseHeld     Code = "held"       // another owns the duty
	StaleToken    Code = "stale"      // the token is not the duty's any more
	NoSession     Code = "no session" // it has lapsed or was never
	NameTaken     Code = "taken"      // a living gateway of another disk has the name
	Rejected      Code = "refused"    // the command can't be carried out; Why says it
	ResultExpired Code = "old"        // the result of so old a request is not kept
	Superseded    Code = "late"       // a later command of the session went before: nothing was done
)

// Result is what came of a command.
type Result struct {
	Code    Code   `json:"code"`
	Session uint64 `json:"session,omitempty"`
	Token   uint64 `json:"token,omitempty"`
	Holder  string `json:"owner,omitempty"`
	Reason  string `json:"why,omitempty"`
}

// Session is a gateway's time with the fleet.
type Session struct {
	ID uint64 `json:"id"`
	OpenRequest
	OpenedRevision uint64            `json:"since"` // index
	Results        map[uint64]Result `json:"results,omitempty"`
	LastRequest    uint64            `json:"last,omitempty"` // the highest request
}

// Member is a gateway that has a session or had one.
type Member struct {
	Name         string `json:"name"`
	Session      uint64 `json:"session"` // 0: it has lapsed or was closed
	DiskID       uint64 `json:"disk"`
	Zone         string `json:"zone,omitempty"`
	Machine      string `json:"machine,omitempty"`
	Address      string `json:"addr,omitempty"`
	OpenSequence uint64 `json:"no"`  // of its last session
	ModRevision  uint64 `json:"mod"` // index of the last change
	Role         Role   `json:"part,omitempty"`
}

// Duty is named work with one owner at most.
type Lease struct {
	Name          string            `json:"name"`
	HolderSession uint64            `json:"owner"` // session; 0: nobody
	Holder        string            `json:"holder,omitempty"`
	Token         uint64            `json:"token"` // of the owner, or of the last one
	SinceRevision uint64            `json:"since"` // index
	TransferTo    string            `json:"to,omitempty"`
	ReleasedBy    string            `json:"avoid,omitempty"` // who gave it back
	ModRevision   uint64            `json:"mod"`
	Values        map[string]string `json:"values,omitempty"`
}

// Keeper is a gateway that holds a replica of the record.
type Replica struct {
	ID      uint64 `json:"replica"` // the identity of its disk
	Name    string `json:"name"`
	Learner bool   `json:"learner,omitempty"`
}

// Change is a duty that went from hand to hand.
type LeaseTransfer struct {
	Revision uint64 `json:"index"`
	Lease    string `json:"duty"`
	From     string `json:"from,omitempty"`
	To       string `json:"to,omitempty"`
	Token    uint64 `json:"token"`
	Cause    string `json:"cause"`
}

// State is the record as of an index.
type State struct {
	Revision      uint64              `json:"index"`
	LastToken     uint64              `json:"token"` // the last given
	LastSessionID uint64              `json:"next"`  // sessions so far
	Sessions      map[uint64]*Session `json:"sessions"`
	Members       map[string]*Member  `json:"members"`
	Leases        map[string]*Lease   `json:"duties"`
	Replicas      map[uint64]Replica  `json:"keepers"`
	Transfers     []LeaseTransfer     `json:"changes,omitempty"`
	// Birth was drawn when the fleet was formed: another is another fleet, whatever its name.
	ClusterID uint64 `json:"birth"`
	// Want is the gateways that are to hold a replica.
	DesiredReplicas map[string]bool `json:"want"`
	// Cut is the index up to which things were forgotten: a view from before is told whole.
	CompactedRevision uint64 `json:"cut,omitempty"`
	// KeepersMod is the index of the last change of Keepers, WordsMod that of Words.
	ReplicasModRevision  uint64 `json:"keepers_mod,omitempty"`
	OverridesModRevision uint64 `json:"words_mod,omitempty"`
	// Words are those of operators, by pool and host.
	Overrides map[string]*Override `json:"words,omitempty"`

	// Not of the record.
	pendingTransfers []LeaseTransfer       // since they were last asked for
	changeLog        []change              // what has changed, the last last
	changeLogStart   uint64                // index up to which touched may not say all
	candidates       map[string][]*Session // those that offer each duty, by their ids; nil: not asked for yet
	lastCandidates   []string              // what the last session offers
	memberNames      []string              // of the members, sorted; nil: not asked for since they changed
}

// touched is a member or duty that changed at an index.
type change struct {
	revision uint64
	name     string
	isLease  bool
}

// touchedMost bounds how many changes are kept to tell gateways what is new to them: those that
// renew each second are behind by a few; who is further back costs a look at all.
const maxChangeLog = 8192

func (s *State) recordChange(name string, duty bool) {
	if n := len(s.changeLog); n > 0 && s.changeLog[n-1] == (change{s.Revision, name, duty}) {
		return
	}
	if len(s.changeLog) >= maxChangeLog {
		half := len(s.changeLog) / 2
		s.changeLogStart = s.changeLog[half-1].revision
		s.changeLog = append(s.changeLog[:0], s.changeLog[half:]...)
	}
	s.changeLog = append(s.changeLog, change{s.Revision, name, duty})
}

// changedSince is the names of members and duties that changed behind an index, sorted; ok says
// whether that is known.
func (s *State) changedSince(index uint64) (members, duties []string, ok bool) {
	if index < s.changeLogStart {
		return nil, nil, false
	}
	from := sort.Search(len(s.changeLog), func(i int) bool { return s.changeLog[i].revision > index })
	for _, t := range s.changeLog[from:] {
		if t.isLease {
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
func (s *State) shareCandidates(x *Session) {
	if slices.Equal(x.CandidateLeases, s.lastCandidates) {
		x.CandidateLeases = s.lastCandidates
	}
	s.lastCandidates = x.CandidateLeases
}

// MemberNames is the names of all members, sorted; it is not to be changed.
func (s *State) MemberNames() []string {
	if s.memberNames == nil {
		s.memberNames = slices.Sorted(maps.Keys(s.Members))
	}
	return s.memberNames
}

// NewState returns the record as it begins, with its first keepers.
func NewState(birth uint64, keepers ...Replica) *State {
	s := &State{ClusterID: birth, Sessions: map[uint64]*Session{}, Members: map[string]*Member{}, Leases: map[string]*Lease{}, Replicas: map[uint64]Replica{}, DesiredReplicas: map[string]bool{}}
	for _, k := range keepers {
		s.Replicas[k.ID] = k
		s.DesiredReplicas[k.Name] = true
	}
	return s
}

// Bytes is the state as it is kept.
func (s *State) Encode() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // it is made of strings and numbers
	}
	return b
}

// Read takes a state back.
func (s *State) Decode(b []byte) error {
	n := NewState(0)
	if err := json.Unmarshal(b, n); err != nil {
		return fmt.Errorf("the record: %w", err)
	}
	n.pendingTransfers, n.changeLogStart = s.pendingTransfers, n.Revision
	*s = *n
	for _, id := range slices.Sorted(maps.Keys(s.Sessions)) {
		s.shareCandidates(s.Sessions[id])
	}
	return nil
}

// News returns the changes of hands since it was last called.
func (s *State) TakeTransfers() []LeaseTransfer {
	n := s.pendingTransfers
	s.pendingTransfers = nil
	return n
}

// Apply carries a command out. An index that was applied before is not again.
func (s *State) Apply(index uint64, c *Command) Result {
	s.Revision = index
	switch c.Op {
	case OpOpenSession:
		return s.openSession(c)
	case OpExpireSession, OpAssign:
		// Of the leader, who may be one of before by now: each holds only for what it names.
		if c.Op == OpExpireSession {
			return s.endSession(c.Session, "lapsed")
		}
		return s.assign(c)
	case OpCollectGarbage:
		return s.collectGarbage(c)
	case OpExpireOverride:
		return s.expireOverride(c)
	case OpAddReplica, OpRemoveReplica:
		return s.setDesiredReplica(c)
	}
	x := s.Sessions[c.Session]
	if x == nil {
		if c.Op == OpTransfer && c.Session == 0 {
			return s.transfer(c) // of an operator
		}
		return Result{Code: NoSession}
	}
	if r, ok := x.Results[c.Request]; ok && c.Request > 0 && !failpoint.Enabled(failpoint.ReapplyDuplicates) {
		return r
	}
	if c.Request > 0 && c.Request+maxSessionResults <= x.LastRequest {
		return Result{Code: ResultExpired}
	}
	var r Result
	switch c.Op {
	case OpCloseSession:
		return s.endSession(c.Session, "closed")
	case OpAcquire:
		r = s.acquire(x, c)
	case OpRelease:
		r = s.release(x, c)
	case OpTransfer:
		r = s.transfer(c)
	case OpWrite:
		r = s.writeValue(x, c)
	case OpDrainHost, OpUndrainHost:
		switch {
		case c.Request < x.LastRequest && !failpoint.Enabled(failpoint.ApplySuperseded):
			// Who asked has given up on it, and may have said otherwise since.
			r = Result{Code: Superseded, Reason: "a later command of this gateway went before it, nothing was done"}
		case c.Op == OpDrainHost:
			r = s.drainHost(x, c)
		default:
			r = s.undrainHost(c)
		}
	default:
		r = Result{Code: Rejected, Reason: fmt.Sprintf("there is no command %q", c.Op)}
	}
	if c.Request > 0 {
		if x.Results == nil {
			x.Results = map[uint64]Result{}
		}
		x.Results[c.Request] = r
		x.LastRequest = max(x.LastRequest, c.Request)
		for k := range x.Results {
			if k+maxSessionResults <= x.LastRequest {
				delete(x.Results, k)
			}
		}
	}
	return r
}

func (s *State) openSession(c *Command) Result {
	o := c.Open
	switch {
	case o == nil || o.Name == "" || len(o.Name) > MaxNameBytes:
		return Result{Code: Rejected, Reason: "it has no name, or one that is too long"}
	case len(o.CandidateLeases) > maxCandidateLeases:
		return Result{Code: Rejected, Reason: fmt.Sprintf("it offers to hold %d duties, %d at most", len(o.CandidateLeases), maxCandidateLeases)}
	}
	m, most := s.Members[o.Name], maxMeshMembers
	if o.Role != "" {
		most = MaxMembers
	}
	if m == nil && len(s.Members) >= most {
		return Result{Code: Rejected, Reason: fmt.Sprintf("the fleet has %d members, %d at most", len(s.Members), most)}
	}
	if m != nil && m.DiskID == o.DiskID {
		switch {
		case m.OpenSequence == o.OpenSequence && m.Session != 0:
			return Result{Code: OK, Session: m.Session}
		case o.OpenSequence <= m.OpenSequence && !failpoint.Enabled(failpoint.ReapplyDuplicates):
			return Result{Code: ResultExpired, Reason: "it has come late: the gateway has opened another session since"}
		}
	}
	if m != nil && m.Session != 0 {
		was := s.Sessions[m.Session]
		if was.DiskID != o.DiskID {
			return Result{Code: NameTaken, Reason: fmt.Sprintf("a living gateway has the name %s, with another disk", o.Name)}
		}
		// The same disk: only one process holds it, so the one of before has ended.
		s.endSession(was.ID, "restarted")
	}
	s.LastSessionID++
	x := &Session{ID: s.LastSessionID, OpenRequest: *o, OpenedRevision: s.Revision}
	s.shareCandidates(x)
	s.Sessions[s.LastSessionID] = x
	if m == nil {
		s.memberNames = nil
	}
	s.Members[o.Name] = &Member{o.Name, s.LastSessionID, o.DiskID, o.Zone, o.Machine, o.Address, o.OpenSequence, s.Revision, o.Role}
	s.recordChange(o.Name, false)
	if s.candidates != nil {
		for _, d := range x.CandidateLeases {
			s.candidates[d] = append(s.candidates[d], x) // its id is the highest
		}
	}
	for _, d := range o.CandidateLeases {
		if s.Leases[d] == nil && len(d) <= MaxNameBytes && d != "" && len(s.Leases) < MaxLeases {
			s.Leases[d] = &Lease{Name: d, ModRevision: s.Revision}
			s.recordChange(d, true)
		}
	}
	return Result{Code: OK, Session: s.LastSessionID}
}

// end ends a session; what it owned is free.
func (s *State) endSession(id uint64, cause string) Result {
	x := s.Sessions[id]
	if x == nil {
		return Result{Code: NoSession}
	}
	delete(s.Sessions, id)
	if m := s.Members[x.Name]; m != nil && m.Session == id {
		m.Session, m.ModRevision = 0, s.Revision
		s.recordChange(x.Name, false)
	}
	if s.candidates != nil {
		for _, d := range x.CandidateLeases {
			list := s.candidates[d]
			if i, ok := slices.BinarySearchFunc(list, id, func(y *Session, id uint64) int { return cmp.Compare(y.ID, id) }); ok {
				s.candidates[d] = slices.Delete(list, i, i+1)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Leases)) {
		if d := s.Leases[name]; d.HolderSession == id {
			s.freeLease(d, cause)
		}
	}
	return Result{Code: OK}
}

// free takes a duty from its owner.
func (s *State) freeLease(d *Lease, cause string) {
	s.recordTransfer(LeaseTransfer{s.Revision, d.Name, d.Holder, "", d.Token, cause})
	d.HolderSession, d.Holder, d.SinceRevision, d.ModRevision = 0, "", s.Revision, s.Revision
	s.recordChange(d.Name, true)
}

// grant gives a free duty to a session, under a new token.
func (s *State) grantLease(d *Lease, x *Session, cause string) Result {
	if !failpoint.Enabled(failpoint.ReuseToken) || d.Token == 0 {
		s.LastToken++
		d.Token = s.LastToken
	}
	d.HolderSession, d.Holder, d.SinceRevision, d.ModRevision, d.TransferTo, d.ReleasedBy = x.ID, x.Name, s.Revision, s.Revision, "", ""
	s.recordChange(d.Name, true)
	s.recordTransfer(LeaseTransfer{s.Revision, d.Name, "", x.Name, d.Token, cause})
	return Result{Code: OK, Token: d.Token, Holder: x.Name}
}

func (s *State) recordTransfer(c LeaseTransfer) {
	s.Transfers = append(s.Transfers, c)
	if over := len(s.Transfers) - maxTransfers; over > 0 {
		s.Transfers = slices.Delete(s.Transfers, 0, over)
	}
	s.pendingTransfers = append(s.pendingTransfers, c)
	if over := len(s.pendingTransfers) - maxTransfers; over > 0 {
		s.pendingTransfers = slices.Delete(s.pendingTransfers, 0, over)
	}
}

func (s *State) assign(c *Command) Result {
	d, x := s.Leases[c.Lease], s.Sessions[c.Session]
	switch {
	case d == nil || x == nil:
		return Result{Code: NoSession}
	case d.Token != c.Token:
		return Result{Code: StaleToken, Token: d.Token}
	case d.HolderSession != 0 && failpoint.Enabled(failpoint.AssignBeforeRelease):
		s.freeLease(d, "taken away")
	case d.HolderSession != 0:
		return Result{Code: LeaseHeld, Token: d.Token, Holder: d.Holder}
	}
	return s.grantLease(d, x, "assigned")
}

func (s *State) acquire(x *Session, c *Command) Result {
	d := s.Leases[c.Lease]
	if d == nil {
		if c.Lease == "" || len(c.Lease) > MaxNameBytes || len(s.Leases) >= MaxLeases {
			return Result{Code: Rejected, Reason: "no such duty can be made"}
		}
		d = &Lease{Name: c.Lease}
		s.Leases[c.Lease] = d
	}
	switch {
	case d.HolderSession == x.ID:
		return Result{Code: OK, Token: d.Token, Holder: x.Name}
	case d.HolderSession != 0:
		return Result{Code: LeaseHeld, Token: d.Token, Holder: d.Holder}
	}
	return s.grantLease(d, x, "claimed")
}

func (s *State) release(x *Session, c *Command) Result {
	d := s.Leases[c.Lease]
	if d == nil || d.HolderSession != x.ID || d.Token != c.Token {
		return Result{Code: StaleToken}
	}
	cause := "resigned"
	if d.TransferTo != "" {
		cause = "moved"
	}
	d.ReleasedBy = x.Name
	s.freeLease(d, cause)
	return Result{Code: OK}
}

func (s *State) transfer(c *Command) Result {
	d, m := s.Leases[c.Lease], s.Members[c.Target]
	switch {
	case d == nil:
		return Result{Code: Rejected, Reason: fmt.Sprintf("there is no duty %s", c.Lease)}
	case c.Token != 0 && c.Token != d.Token:
		return Result{Code: StaleToken, Token: d.Token}
	case c.Target == "": // anybody else
		if d.HolderSession == 0 {
			return Result{Code: Rejected, Reason: fmt.Sprintf("nobody holds %s", c.Lease)}
		}
		d.TransferTo, d.ModRevision = anyMember, s.Revision
		s.recordChange(d.Name, true)
		return Result{Code: OK, Holder: d.Holder, Token: d.Token}
	case m == nil || m.Session == 0:
		return Result{Code: Rejected, Reason: fmt.Sprintf("%s is no living member", c.Target)}
	case !slices.Contains(s.Sessions[m.Session].CandidateLeases, c.Lease):
		return Result{Code: Rejected, Reason: fmt.Sprintf("%s does not offer to hold %s", c.Target, c.Lease)}
	case d.HolderSession == m.Session:
		return Result{Code: OK, Holder: d.Holder, Token: d.Token}
	}
	d.TransferTo, d.ModRevision = c.Target, s.Revision
	s.recordChange(d.Name, true)
	return Result{Code: OK, Holder: d.Holder, Token: d.Token}
}

// anybody stands for the target of a move that names none.
const anyMember = "*"

// write is the fence at the record: whoever writes on behalf of a duty has to be its owner, by
// its token, now.
func (s *State) writeValue(x *Session, c *Command) Result {
	d := s.Leases[c.Lease]
	if d == nil || (d.HolderSession != x.ID || d.Token != c.Token) && !failpoint.Enabled(failpoint.SkipWriteFence) {
		r := Result{Code: StaleToken}
		if d != nil {
			r.Token, r.Holder = d.Token, d.Holder
		}
		return r
	}
	if len(c.Key) > MaxNameBytes || len(c.Value) > maxValueBytes {
		return Result{Code: Rejected, Reason: fmt.Sprintf("a key has %d bytes at most, a value %d", MaxNameBytes, maxValueBytes)}
	}
	if _, there := d.Values[c.Key]; !there && len(d.Values) >= maxValues {
		return Result{Code: Rejected, Reason: fmt.Sprintf("a duty keeps %d values", maxValues)}
	}
	if d.Values == nil {
		d.Values = map[string]string{}
	}
	d.Values[c.Key], d.ModRevision = c.Value, s.Revision
	s.recordChange(d.Name, true)
	return Result{Code: OK, Token: d.Token}
}

// forget removes a member that has no session, or a duty that nobody offers to hold.
func (s *State) collectGarbage(c *Command) Result {
	h := s.Leases[c.Lease]
	if h == nil || h.Token != c.Token || h.HolderSession != c.Session {
		return Result{Code: StaleToken}
	}
	if m := s.Members[c.Name]; m != nil && m.Session == 0 && !s.isReplica(m.DiskID) {
		delete(s.Members, c.Name)
		s.memberNames = nil
		s.CompactedRevision = s.Revision
		return Result{Code: OK}
	}
	if d := s.Leases[c.Name]; d != nil && d.HolderSession == 0 && !s.hasCandidate(c.Name) {
		delete(s.Leases, c.Name)
		s.CompactedRevision = s.Revision
		return Result{Code: OK}
	}
	return Result{Code: Rejected, Reason: "it is in use"}
}

// keep has a gateway hold a replica from now on, or not any more.
func (s *State) setDesiredReplica(c *Command) Result {
	m := s.Members[c.Name]
	switch want := c.Op == OpAddReplica; {
	case want && (m == nil || m.Session == 0):
		return Result{Code: Rejected, Reason: fmt.Sprintf("%s is no living member", c.Name)}
	case want && m.Role == RoleGateway:
		return Result{Code: Rejected, Reason: fmt.Sprintf("%s is no relay: only those are connected with one another, and keep the record", c.Name)}
	case want && !s.DesiredReplicas[c.Name] && len(s.DesiredReplicas) >= MaxReplicas:
		return Result{Code: Rejected, Reason: fmt.Sprintf("%d gateways hold the record, %d at most", len(s.DesiredReplicas), MaxReplicas)}
	case want:
		s.DesiredReplicas[c.Name] = true
	case !s.DesiredReplicas[c.Name]:
		return Result{Code: Rejected, Reason: fmt.Sprintf("%s does not hold the record", c.Name)}
	case len(s.DesiredReplicas) == 1:
		return Result{Code: Rejected, Reason: fmt.Sprintf("%s is the last that holds the record", c.Name)}
	default:
		delete(s.DesiredReplicas, c.Name)
	}
	return Result{Code: OK}
}

func (s *State) isReplica(disk uint64) bool {
	_, ok := s.Replicas[disk]
	return ok
}

func (s *State) hasCandidate(duty string) bool {
	for _, x := range s.Sessions {
		if slices.Contains(x.CandidateLeases, duty) {
			return true
		}
	}
	return false
}

// SetKeepers takes over who holds a replica.
func (s *State) SetReplicas(index uint64, name map[uint64]string, voters, learners []uint64) {
	s.Revision, s.ReplicasModRevision = index, index
	was := s.Replicas
	s.Replicas = map[uint64]Replica{}
	add := func(ids []uint64, learner bool) {
		for _, id := range ids {
			k := Replica{id, was[id].Name, learner}
			if n := name[id]; n != "" {
				k.Name = n
			}
			s.Replicas[id] = k
		}
	}
	add(voters, false)
	add(learners, true)
}

// Owns is the duties of a session, by name.
func (s *State) LeasesOf(session uint64) (list []*Lease) {
	for _, name := range slices.Sorted(maps.Keys(s.Leases)) {
		if d := s.Leases[name]; d.HolderSession == session {
			list = append(list, d)
		}
	}
	return list
}

// Holding is a duty as a gateway knows it.
type LeaseView struct {
	Name          string `json:"name"`
	HolderSession uint64 `json:"owner"`
	Holder        string `json:"holder,omitempty"`
	Token         uint64 `json:"token"`
	TransferTo    string `json:"to,omitempty"`
}

// View is what has changed in the record behind an index.
type StateDelta struct {
	Revision uint64      `json:"index"`
	Full     bool        `json:"whole,omitempty"`
	Members  []Member    `json:"members,omitempty"`
	Leases   []LeaseView `json:"duties,omitempty"`
	Replicas []Replica   `json:"keepers,omitempty"` // nil: as before
	// Count is how many members have a session, in place of Members, where one is told no others;
	// 0: as before.
	SessionCount int `json:"count,omitempty"`
	// WordsMod is the index of the last change of Words, which are all there are of the fleet that
	// was formed with Birth; 0: as before.
	ClusterID            uint64     `json:"birth,omitempty"`
	OverridesModRevision uint64     `json:"words_mod,omitempty"`
	Overrides            []Override `json:"words,omitempty"`
}

// Since tells what changed behind an index, or the whole. It costs what has changed.
func (s *State) DeltaSince(index uint64) StateDelta { return s.deltaSince(index, "") }

// SinceLean is Since without members, but for the one that is named and how many there are.
func (s *State) CompactDeltaSince(index uint64, name string) StateDelta {
	return s.deltaSince(index, name)
}

func (s *State) deltaSince(index uint64, only string) StateDelta {
	v := StateDelta{Revision: s.Revision, Full: index < s.CompactedRevision || index == 0}
	var members, duties []string
	switch {
	case v.Full || index < s.changeLogStart:
		if duties = slices.Sorted(maps.Keys(s.Leases)); only == "" {
			members = s.MemberNames()
		} else {
			v.SessionCount = len(s.Sessions)
		}
	case only != "":
		// Of all that has changed a look at each is what it costs: thousands come at once, and each
		// of them is told of the others' coming by a number.
		from := sort.Search(len(s.changeLog), func(i int) bool { return s.changeLog[i].revision > index })
		for _, t := range s.changeLog[from:] {
			if t.isLease {
				duties = append(duties, t.name)
			} else {
				v.SessionCount = len(s.Sessions)
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
		if m := s.Members[name]; m != nil && (v.Full || m.ModRevision > index) {
			v.Members = append(v.Members, *m)
		}
	}
	for _, name := range duties {
		if d := s.Leases[name]; d != nil && (v.Full || d.ModRevision > index) {
			v.Leases = append(v.Leases, LeaseView{d.Name, d.HolderSession, d.Holder, d.Token, d.TransferTo})
		}
	}
	if v.Full || s.ReplicasModRevision > index {
		for _, id := range slices.Sorted(maps.Keys(s.Replicas)) {
			v.Replicas = append(v.Replicas, s.Replicas[id])
		}
	}
	if v.Full || s.OverridesModRevision > index {
		v.ClusterID, v.OverridesModRevision, v.Overrides = s.ClusterID, s.OverridesModRevision, s.ListOverrides()
	}
	return v
}
