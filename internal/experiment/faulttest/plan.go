package faulttest

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Plan is a sequence of faults.
type Plan struct {
	Seed   uint64  `toml:"seed"` // seed from which DrawPlan drew the faults; 0: the plan was written by hand
	Faults []Fault `toml:"fault"`
}

// Fault is a fault in a Plan.
type Fault struct {
	After    Span      `toml:"after"` // time since the previous fault began, or since the start of the plan
	Kind     FaultKind `toml:"kind"`
	Target   string    `toml:"who"` // a gateway's name, targetLeader or targetHolder
	Duration Span      `toml:"for"` // duration of the fault, for kinds that do not end by themselves
}

// Targets that are resolved when the fault begins.
const (
	targetLeader = "leader"
	targetHolder = "owner" // the holder of the endpoint list's lease
)

// FaultKind is a kind of fault.
type FaultKind string

// Kinds of faults. The values are their names in plan files.
const (
	faultKill           FaultKind = "kill"
	faultPause          FaultKind = "stop"
	faultIsolate        FaultKind = "cut"
	faultBlockSending   FaultKind = "mute"
	faultBlockReceiving FaultKind = "deaf"
	faultSlowLinks      FaultKind = "slow"
	faultTruncate       FaultKind = "tear" // the next read on each link is truncated and its connection closed
	faultWipeDisk       FaultKind = "wipe"
	faultRestoreDisk    FaultKind = "restore" // the disk is replaced by an older copy
	faultTransfer       FaultKind = "move"    // an operator transfers the endpoint list's lease
	faultFlappingLinks  FaultKind = "flap"    // links are blocked and unblocked with the period of a session
	faultBridge         FaultKind = "bridge"  // two halves of the fleet are connected with the target only
	faultKillMost       FaultKind = "most"
	faultDiskFull       FaultKind = "full"
	faultHungSync       FaultKind = "stuck"
)

// FaultKinds lists all kinds of faults. Their order determines which faults a seed draws.
var FaultKinds = []FaultKind{
	faultKill, faultPause, faultIsolate, faultBlockSending, faultBlockReceiving, faultSlowLinks, faultTruncate,
	faultWipeDisk, faultRestoreDisk, faultTransfer, faultFlappingLinks, faultBridge, faultKillMost, faultDiskFull,
	faultHungSync,
}

// endsByItself reports whether faults of the kind need no duration.
func (k FaultKind) endsByItself() bool { return k == faultTruncate || k == faultTransfer }

// losesDisk reports whether faults of the kind lose a replica's disk.
func (k FaultKind) losesDisk() bool { return k == faultWipeDisk || k == faultRestoreDisk }

// Span is a duration that is encoded as text in a file, like "250ms".
type Span time.Duration

// maxSpan is the longest Span that is accepted in a file.
const maxSpan = time.Hour

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil || d < 0 || d > maxSpan {
		return fmt.Errorf("%q is not a duration from 0 to 1h, like \"250ms\"", text)
	}
	*s = Span(d)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// ReadPlan reads a plan from a TOML file. Unknown keys and missing keys of faults are errors.
func ReadPlan(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p := &Plan{}
	meta, err := toml.Decode(string(text), p)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: %s: unknown key", path, unknown[0])
	}
	for i := range p.Faults {
		if err := p.Faults[i].validate(); err != nil {
			return nil, fmt.Errorf("%s: fault %d: %w", path, i+1, err)
		}
	}
	return p, nil
}

func (f *Fault) validate() error {
	switch {
	case !slices.Contains(FaultKinds, f.Kind):
		return fmt.Errorf("kind: unknown kind %q, want one of %s", f.Kind, joinKinds(FaultKinds))
	case f.Target == "":
		return fmt.Errorf("who: missing target, want the name of a gateway, %s or %s", targetLeader, targetHolder)
	case f.Duration == 0 && !f.Kind.endsByItself():
		return fmt.Errorf("for: missing duration of the fault")
	}
	return nil
}

func joinKinds(kinds []FaultKind) string {
	var names []string
	for _, k := range kinds {
		names = append(names, string(k))
	}
	return strings.Join(names, ", ")
}

// Bounds of the random faults of DrawPlan.
const (
	minFaultInterval   = 200 * time.Millisecond
	faultIntervalRange = 2 * time.Second
	minFaultDuration   = 300 * time.Millisecond
	faultDurationRange = 5 * time.Second
	// maxLostDisks is the maximum number of disks that a random plan loses: the loss of a second disk before the first
	// is replaced could be the loss of a majority.
	maxLostDisks = 1
)

// planStream is the second seed of the random generator of DrawPlan.
const planStream = 3

// DrawPlan returns a plan of random faults, the last of which begins when length has passed or later. Its targets are
// the named gateways, the leader and the lease holder.
func DrawPlan(seed uint64, length time.Duration, gateways []string) *Plan {
	random := rand.New(rand.NewPCG(seed, planStream))
	p := &Plan{Seed: seed}
	lostDisks := 0
	for at := time.Duration(0); at < length; {
		f := drawFault(random, gateways)
		if f.Kind.losesDisk() {
			lostDisks++
			if lostDisks > maxLostDisks {
				f.Kind = faultKill
			}
		}
		at += time.Duration(f.After)
		p.Faults = append(p.Faults, f)
	}
	return p
}

// drawFault returns a random fault. The order of the draws must not change, as it determines the faults of a seed.
func drawFault(random *rand.Rand, gateways []string) Fault {
	f := Fault{
		After:  Span(minFaultInterval + time.Duration(random.Int64N(int64(faultIntervalRange)))),
		Kind:   FaultKinds[random.IntN(len(FaultKinds))],
		Target: gateways[random.IntN(len(gateways))],
	}
	switch random.IntN(3) {
	case 0:
		f.Target = targetLeader
	case 1:
		f.Target = targetHolder
	}
	f.Duration = Span(minFaultDuration + time.Duration(random.Int64N(int64(faultDurationRange))))
	return f
}
