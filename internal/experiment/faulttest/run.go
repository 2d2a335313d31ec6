package faulttest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Fault is one that is put in at its time, and ended after a while.
type Fault struct {
	After Span   // since the one before
	Kind  string // one of Faults
	Who   string // a gateway's name, "leader" or "owner" (of list/calendar) as of then
	For   Span   // how long it lasts, where it lasts
}

// Span is a time as it stands in a file, like "250ms".
type Span time.Duration

// UnmarshalText reads a Span.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil || d < 0 || d > time.Hour {
		return fmt.Errorf("%q is no time like \"250ms\", up to an hour", text)
	}
	*s = Span(d)
	return nil
}

// MarshalText writes a Span as it is read.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// Plan is a list of faults.
type Plan struct {
	Seed  uint64 // it was drawn by; 0: it was written
	Fault []Fault
}

// Faults are the kinds of faults.
var Faults = []string{"kill", "stop", "cut", "mute", "deaf", "slow", "tear", "wipe", "restore", "move", "flap", "bridge", "most", "full", "stuck"}

// lasting are the kinds that end after a while.
var lasting = []string{"kill", "stop", "cut", "mute", "deaf", "slow", "wipe", "restore", "flap", "bridge", "most", "full", "stuck"}

// mostOf is the part of the gateways that "most" kills at once, in tenths.
const mostOf = 7

// ReadPlan reads a list of faults; what is unknown or missing is an error with its line.
func ReadPlan(path string) (*Plan, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p := &Plan{}
	meta, err := toml.Decode(string(b), p)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if odd := meta.Undecoded(); len(odd) > 0 {
		return nil, fmt.Errorf("%s: %s: there is no such setting", path, odd[0])
	}
	for i, f := range p.Fault {
		switch {
		case !slices.Contains(Faults, f.Kind):
			return nil, fmt.Errorf("%s: fault %d: kind: %q is none of %s", path, i+1, f.Kind, strings.Join(Faults, ", "))
		case f.Who == "":
			return nil, fmt.Errorf("%s: fault %d: who: is missing: a gateway, leader or owner", path, i+1)
		case f.For == 0 && slices.Contains(lasting, f.Kind):
			return nil, fmt.Errorf("%s: fault %d: for: is missing: how long it lasts", path, i+1)
		}
	}
	return p, nil
}

// Draw draws a list of faults for so long. A disk is lost at most once in it, as a second one
// before the first is replaced could be a lost majority.
func Draw(seed uint64, d time.Duration, gateways []string) *Plan {
	r := rand.New(rand.NewPCG(seed, 3))
	p := &Plan{Seed: seed}
	disks := 0
	for at := time.Duration(0); at < d; {
		f := Fault{After: Span(200*time.Millisecond + time.Duration(r.Int64N(int64(2*time.Second)))), Kind: Faults[r.IntN(len(Faults))]}
		if f.Kind == "wipe" || f.Kind == "restore" {
			if disks++; disks > 1 {
				f.Kind = "kill"
			}
		}
		switch f.Who = gateways[r.IntN(len(gateways))]; r.IntN(3) {
		case 0:
			f.Who = "leader"
		case 1:
			f.Who = "owner"
		}
		f.For = Span(300*time.Millisecond + time.Duration(r.Int64N(int64(5*time.Second))))
		at += time.Duration(f.After)
		p.Fault = append(p.Fault, f)
	}
	return p
}

// Play puts a list of faults in, ends them all, and waits until the fleet is whole. The gateway to
// spare is left alone.
func (f *Fleet) Play(ctx context.Context, p *Plan, spare *Gateway) error {
	type end struct {
		at time.Time
		do func() error
	}
	var ends []end
	wait := func(until time.Time) error {
		for {
			slices.SortStableFunc(ends, func(a, b end) int { return a.at.Compare(b.at) })
			next := until
			if len(ends) > 0 && ends[0].at.Before(until) {
				next = ends[0].at
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(time.Until(next)):
			}
			if next == until {
				return nil
			}
			e := ends[0]
			ends = ends[1:]
			if err := e.do(); err != nil {
				return err
			}
		}
	}
	at := time.Now()
	for i, x := range p.Fault {
		at = at.Add(time.Duration(x.After))
		if err := wait(at); err != nil {
			return err
		}
		g := f.who(x.Who)
		if g == nil || g == spare {
			continue
		}
		undo, err := f.put(x.Kind, g, spare)
		if err != nil {
			return fmt.Errorf("fault %d, %s of %s: %w", i+1, x.Kind, g.Name, err)
		}
		if undo != nil {
			ends = append(ends, end{time.Now().Add(time.Duration(x.For)), undo})
		}
	}
	for len(ends) > 0 {
		if err := wait(ends[len(ends)-1].at.Add(time.Millisecond)); err != nil {
			return err
		}
	}
	if err := f.Heal(); err != nil {
		return err
	}
	return f.Until(ctx, "the fleet is whole after all faults", handsMost, f.Whole)
}

func (f *Fleet) who(name string) *Gateway {
	switch name {
	case "leader":
		return f.Leader()
	case "owner":
		return f.Owner("list/calendar")
	}
	return f.named(name)
}

// start starts a gateway that is down.
func (g *Gateway) startAgain() error {
	if g.Down() {
		return g.Start()
	}
	return nil
}

// Down says whether a gateway has no process.
func (g *Gateway) Down() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.process == nil
}

// put puts a fault in and returns what ends it; nil where it ends by itself.
func (f *Fleet) put(kind string, g, spare *Gateway) (undo func() error, err error) {
	apart := func(out, in bool) func() error {
		f.Alone(g, out, in)
		return func() error {
			for _, o := range f.Gateways {
				if o != g {
					f.Cut(g, o, false)
					f.Cut(o, g, false)
				}
			}
			return nil
		}
	}
	switch kind {
	case "kill":
		g.Kill()
		return g.startAgain, nil
	case "stop":
		return g.Continue, g.Stop()
	case "cut":
		return apart(true, true), nil
	case "mute":
		return apart(true, false), nil
	case "deaf":
		return apart(false, true), nil
	case "slow":
		for _, o := range f.Gateways {
			if l := f.Link(g, o); l != nil {
				l.Delay(50 * time.Millisecond)
			}
		}
		return func() error {
			for _, o := range f.Gateways {
				if l := f.Link(g, o); l != nil {
					l.Delay(0)
				}
			}
			return nil
		}, nil
	case "tear":
		for _, o := range f.Gateways {
			if l := f.Link(g, o); l != nil {
				l.Tear()
			}
		}
		return nil, nil
	case "flap": // at the lease's own period
		stop := make(chan struct{})
		done := make(chan struct{})
		go func() {
			defer close(done)
			for on := true; ; on = !on {
				for _, o := range f.Gateways {
					if o != g {
						f.Cut(g, o, on)
					}
				}
				select {
				case <-stop:
					for _, o := range f.Gateways {
						if o != g {
							f.Cut(g, o, false)
						}
					}
					return
				case <-time.After(sessionTime / 2):
				}
			}
		}()
		return func() error { close(stop); <-done; return nil }, nil
	case "bridge": // two halves that both see the gateway
		var cuts [][2]*Gateway
		for i, a := range f.Gateways {
			for k, b := range f.Gateways {
				if a != g && b != g && i%2 != k%2 {
					f.Cut(a, b, true)
					cuts = append(cuts, [2]*Gateway{a, b})
				}
			}
		}
		return func() error {
			for _, c := range cuts {
				f.Cut(c[0], c[1], false)
			}
			return nil
		}, nil
	case "most":
		var down []*Gateway
		for i := range f.Gateways {
			x := f.Gateways[(slices.Index(f.Gateways, g)+i)%len(f.Gateways)]
			if x != spare && 10*len(down) < mostOf*len(f.Gateways) {
				x.Kill()
				down = append(down, x)
			}
		}
		return func() error {
			for _, x := range down {
				if err := x.startAgain(); err != nil {
					return err
				}
			}
			return nil
		}, nil
	case "full":
		return func() error { return g.Full(false) }, g.Full(true)
	case "stuck":
		f.History.fault("stuck", g.Name)
		return func() error { return os.Remove(g.stuck()) }, os.WriteFile(g.stuck(), nil, 0o600)
	case "wipe", "restore":
		if !f.Whole() {
			return nil, nil // with another replica away it could be a lost majority
		}
		if kind == "restore" {
			if err := g.Copy(); err != nil {
				return nil, err
			}
		}
		g.Kill()
		if kind == "wipe" {
			err = g.Wipe()
		} else {
			err = g.Restore()
		}
		return g.startAgain, err
	case "move":
		i := slices.Index(f.Gateways, g)
		if g.Runs() { // whatever the answer: with a fault on, it may not be carried out
			g.Call("move", url.Values{"duty": {"list/calendar"}, "to": {f.Gateways[(i+1)%len(f.Gateways)].Name}})
		}
		return nil, nil
	}
	return nil, fmt.Errorf("there is no fault %q", kind)
}
