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

// Plan is a list of faults.
type Plan struct {
	Seed   uint64  `toml:"seed"` // that it was drawn by; 0: it was written by hand
	Faults []Fault `toml:"fault"`
}

// Fault is a fault that begins at its time and ends after a while.
type Fault struct {
	After    Span      `toml:"after"` // the one before
	Kind     FaultKind `toml:"kind"`
	Target   string    `toml:"who"` // a gateway's name, targetLeader or targetHolder at that time
	Duration Span      `toml:"for"` // of kinds that end
}

// Targets that are resolved when the fault begins.
const (
	targetLeader = "leader"
	targetHolder = "owner" // of the lease of the endpoint list
)

// FaultKind is a kind of fault.
type FaultKind string

// Kinds of fault, by their names in files.
const (
	faultKill           FaultKind = "kill"
	faultPause          FaultKind = "stop"
	faultIsolate        FaultKind = "cut"
	faultBlockSending   FaultKind = "mute"
	faultBlockReceiving FaultKind = "deaf"
	faultSlowLinks      FaultKind = "slow"
	faultTruncate       FaultKind = "tear" // the next frame on each link ends early
	faultWipeDisk       FaultKind = "wipe"
	faultRestoreDisk    FaultKind = "restore" // an older copy of the disk
	faultTransfer       FaultKind = "move"    // an operator transfers the endpoint list's lease
	faultFlappingLinks  FaultKind = "flap"    // links are blocked and unblocked at the period of a session
	faultBridge         FaultKind = "bridge"  // two halves of the fleet see the target, and not each other
	faultKillMost       FaultKind = "most"
	faultDiskFull       FaultKind = "full"
	faultHungSync       FaultKind = "stuck"
)

// FaultKinds lists all kinds. The order decides what a seed draws.
var FaultKinds = []FaultKind{
	faultKill, faultPause, faultIsolate, faultBlockSending, faultBlockReceiving, faultSlowLinks, faultTruncate,
	faultWipeDisk, faultRestoreDisk, faultTransfer, faultFlappingLinks, faultBridge, faultKillMost, faultDiskFull,
	faultHungSync,
}

// endsByItself reports whether a kind needs no duration.
func (k FaultKind) endsByItself() bool { return k == faultTruncate || k == faultTransfer }

// losesDisk reports whether a kind takes a replica's disk away.
func (k FaultKind) losesDisk() bool { return k == faultWipeDisk || k == faultRestoreDisk }

// Span is a duration as it is in a file, like "250ms".
type Span time.Duration

// maxSpan is the longest Span in a file.
const maxSpan = time.Hour

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil || d < 0 || d > maxSpan {
		return fmt.Errorf("%q is no time like \"250ms\", up to an hour", text)
	}
	*s = Span(d)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// ReadPlan reads a plan from a TOML file. Unknown and missing keys are errors.
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
		return nil, fmt.Errorf("%s: %s: there is no such setting", path, unknown[0])
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
		return fmt.Errorf("kind: %q is none of %s", f.Kind, joinKinds(FaultKinds))
	case f.Target == "":
		return fmt.Errorf("who: is missing: a gateway, %s or %s", targetLeader, targetHolder)
	case f.Duration == 0 && !f.Kind.endsByItself():
		return fmt.Errorf("for: is missing: how long it lasts")
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

// Bounds of drawn faults.
const (
	minFaultInterval  = 200 * time.Millisecond
	faultIntervalSpan = 2 * time.Second
	minFaultDuration  = 300 * time.Millisecond
	faultDurationSpan = 5 * time.Second
	// maxLostDisks is the number of disks that a drawn plan loses: another one before the first is replaced could
	// be the loss of a majority.
	maxLostDisks = 1
)

// planStream is the second seed of the random numbers of plans.
const planStream = 3

// DrawPlan draws faults for a time.
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

// drawFault draws a fault. The order of the draws decides what a seed gives.
func drawFault(random *rand.Rand, gateways []string) Fault {
	f := Fault{
		After:  Span(minFaultInterval + time.Duration(random.Int64N(int64(faultIntervalSpan)))),
		Kind:   FaultKinds[random.IntN(len(FaultKinds))],
		Target: gateways[random.IntN(len(gateways))],
	}
	switch random.IntN(3) {
	case 0:
		f.Target = targetLeader
	case 1:
		f.Target = targetHolder
	}
	f.Duration = Span(minFaultDuration + time.Duration(random.Int64N(int64(faultDurationSpan))))
	return f
}
