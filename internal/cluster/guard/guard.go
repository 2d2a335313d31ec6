// Package guard names the guards of the cluster's packages that can be taken out, one at a time,
// in a build with the tag planted: so that it is seen that a checker finds each. In any other
// build none is, at no cost.
package guard

// Name is a guard.
type Name string

// The guards. Each says what is taken out.
const (
	PreVote     Name = "pre-vote"      // a replica that comes back from a cut asks for votes at once
	CheckQuorum Name = "check-quorum"  // a leader that hears no quorum goes on leading
	Fsync       Name = "fsync"         // what is written is told as lasting before it is
	Identity    Name = "disk-identity" // an emptied disk comes back as the replica that it was
	OldCopy     Name = "old-copy"      // an older copy of a disk is taken for the disk
	TokenRecord Name = "token-record"  // the record takes a write whatever its token
	TokenPeer   Name = "token-peer"    // a gateway takes news whatever their token
	TokenGrows  Name = "token-grows"   // a duty's token stays as it changes hands
	Deadline    Name = "deadline"      // an owner believes itself without looking at its deadline
	SentAt      Name = "sent-at"       // the deadline is counted from the answer to a renewal
	Confirm     Name = "confirm"       // a leader answers renewals without asking a quorum
	Extension   Name = "extension"     // a new leader gives sessions no time to come to it
	Stopped     Name = "stopped"       // a duty that is handed over is assigned before its owner has stopped
	Repeat      Name = "repeat"        // a command that is asked for again is carried out again
	Given       Name = "given"         // a duty is taken up again though its return may yet be carried out
	LeaderSeen  Name = "leader-seen"   // what a leader had is not held against its disk
	LateWord    Name = "late-word"     // a word on a disk counts only if it comes before a leader's messages
	LateCommand Name = "late-command"  // a word that comes behind a later one of the same gateway counts
	// Of relays.
	RelayEpoch   Name = "relay-epoch"   // what comes by a stream of before counts, and what has come already
	RelayBoth    Name = "relay-both"    // a gateway keeps the stream to the relay that it has left, and that keeps it
	RelayHeld    Name = "relay-held"    // what was held while a process stood still counts
	RelayCarries Name = "relay-carries" // a relay that is there and carries nothing on is stayed with
	RelayBatch   Name = "relay-batch"   // a record that is refused takes those behind it along
	RelayFanout  Name = "relay-fanout"  // who has moved does not ask for what it may have missed
	RelayLeader  Name = "relay-leader"  // a relay answers renewals itself
	// Of shelves; found by their own histories.
	ShelfFence  Name = "shelf-fence"  // whoever had a request before may send or end it
	ShelfGroup  Name = "shelf-group"  // a request that may have run goes into another group
	ShelfWindow Name = "shelf-window" // it is sent again behind its window
	ShelfDoubt  Name = "shelf-doubt"  // an unsafe one whose gateway has gone is not ended
	ShelfDigest Name = "shelf-digest" // another request under one key is taken for it
	ShelfFinal  Name = "shelf-final"  // an answer that comes late takes the final state's place
	ShelfToken  Name = "shelf-token"  // an owner of before takes promises up
	// Of where copies lie.
	CopyMachine  Name = "copy-machine"  // two copies lie on one machine
	CopyMajority Name = "copy-majority" // a shelf changes that has no majority of living copies
	CopyFirst    Name = "copy-first"    // a copy is taken out before the one in its place has its vote
	// WallClock is found among processes alone: the simulation has no clock on the wall.
	WallClock Name = "wall-clock" // deadlines are counted on a clock that people set
	// WordsKept too: the file is the program's.
	WordsKept Name = "words-kept" // operators' words are not read at a start
)

// All is every guard that the simulation finds.
var All = []Name{PreVote, CheckQuorum, Fsync, Identity, OldCopy, TokenRecord, TokenPeer, TokenGrows, Deadline, SentAt, Confirm, Extension, Stopped, Repeat, Given, LeaderSeen, LateWord, LateCommand}

// Relays is every guard of relays.
var Relays = []Name{RelayEpoch, RelayBoth, RelayHeld, RelayCarries, RelayBatch, RelayFanout, RelayLeader}

// Shelf is every guard of shelves.
var Shelf = []Name{ShelfFence, ShelfGroup, ShelfWindow, ShelfDoubt, ShelfDigest, ShelfFinal, ShelfToken}

// Copies is every guard of where copies lie.
var Copies = []Name{CopyMachine, CopyMajority, CopyFirst}
