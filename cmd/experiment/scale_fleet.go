package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/cluster/sim"
	"dunemoor/internal/experiment/fakes"
	"dunemoor/internal/experiment/scaletest"
	"dunemoor/internal/experiment/scaletest/hollow"
)

// What is asked of a gateway's control at the size to design for.
const (
	gatewaysAsked = 4700
	bytesAsked    = 3000 // a second, both directions, with headers
	cpuAsked      = 11   // ms a second
	memoryAsked   = 64   // MB
)

// Of the fleets that are measured.
const (
	fleetKeepers = 5
	fleetAlone   = 8 // the keepers, and three members: each alone in its process
	fleetPacks   = 8 // processes of the others
	// Of a fleet with relays: as many as are set aside, and more processes of gateways, of which there
	// are more.
	fleetRelays     = 16
	fleetRelayPacks = 48
	wholeMost       = 90 * time.Second
)

func init() {
	registerScale(&scalePart{
		Name: "mesh", By: "gateway", Sizes: []int{8, 12, 24, 48, 80}, Small: []int{4, 6}, Takes: "1 min",
		About: "a fleet at rest, hollow gateways: bytes and packets by the kernel, CPU, memory, connections, by role",
		Run: func(ctx context.Context, e *scaleEnv, sizes []int) (*scaletest.Report, error) {
			return atRest(ctx, e, sizes, "", 0)
		},
	})
	registerScale(&scalePart{
		Name: "mesh-real", By: "gateway", Sizes: []int{8, 12, 24, 48, 80}, Small: []int{4, 5}, Takes: "1 min",
		About: "the same with processes of the program: how far hollow ones stand for them",
		Run: func(ctx context.Context, e *scaleEnv, sizes []int) (*scaletest.Report, error) {
			bin, err := e.Program(ctx)
			if err != nil {
				return nil, err
			}
			return atRest(ctx, e, sizes, bin, 1)
		},
	})
	registerScale(&scalePart{
		Name: "duties", By: "pool", Sizes: []int{10, 25, 50, 100, 200}, Small: []int{2, 4}, Takes: "1 min",
		About: "twelve hollow gateways at rest, by the number of pools: each has its list of hosts told by an owner",
		Run:   dutiesPart,
	})
	registerScale(&scalePart{
		Name: "joins", By: "gateway", Sizes: []int{8, 12, 24, 48, 80}, Small: []int{4, 6}, Takes: "1 min",
		About: "a gateway that comes back, and all of them at once: bytes and time until they have sessions",
		Run:   joinsPart,
	})
	registerScale(&scalePart{
		Name: "fleet-changes", By: "change", Sizes: []int{1, 3, 10, 30, 100}, Small: []int{4, 16}, Takes: "1 min",
		About: "24 hollow gateways, by the changes a second (operators' words) written in the record",
		Run:   changesPart,
	})
	registerScale(&scalePart{
		Name: "lost", By: "gateway", Sizes: []int{8, 12, 24, 48, 80}, Small: []int{5}, Takes: "2 min",
		About: "the leader is killed, and a tenth of the gateways at once, which come back: times, the busiest second",
		Run:   lostPart,
	})
	registerScale(&scalePart{
		Name: "record", By: "gateway", Sizes: []int{100, 300, 1000, 3000, 4700}, Small: []int{10, 30}, Takes: "10 s",
		About: "what a leader computes over a record of 500 duties: an answer to a renewal, a tick, what is shown",
		Run:   recordPart,
	})
	registerScale(&scalePart{
		Name: "sim", By: "gateway", Sizes: []int{25, 50, 100, 175, 250}, Small: []int{4, 6}, Takes: "1 min",
		About: "the time that `experiment fleet cost` takes itself to play a fleet of 500 duties",
		Run:   simPart,
	})
}

// hollowHost is the command of a process of hollow gateways.
func hollowHost() *cobra.Command {
	return &cobra.Command{
		Use: "hollow-host", Hidden: true, Args: cobra.NoArgs, Short: "Run hollow gateways as standard input says, until that ends",
		RunE: func(*cobra.Command, []string) error { return hollow.Serve(os.Stdin, os.Stdout) },
	}
}

// fleetOf lays out a fleet and starts it; it is whole when it returns. Whoever asks closes it by what
// is returned.
func fleetOf(ctx context.Context, e *scaleEnv, o hollow.Options) (*hollow.Fleet, func(), error) {
	var err error
	if o.Dir, err = e.Sub("fleet"); err != nil {
		return nil, nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, nil, err
	}
	d := fakes.StartDiscovery(fakes.Member{ID: "h1", Addr: "127.0.0.1:9", State: "ready", Kind: "a", Weight: 1})
	o.Host, o.Discovery = []string{self, "scale", "hollow-host"}, d.Addr()
	if o.Keepers = fleetKeepers; o.Gateways < fleetAlone {
		o.Keepers = min(3, o.Gateways)
	}
	o.Alone = o.Relays + fleetAlone
	packs := fleetPacks
	if o.Relays > 0 {
		packs = fleetRelayPacks
	}
	o.Packed = max(1, (o.Gateways-fleetAlone+packs-1)/packs)
	f, err := hollow.New(o)
	if err != nil {
		d.Close()
		return nil, nil, err
	}
	end := func() {
		f.Close()
		d.Close()
		os.RemoveAll(o.Dir)
	}
	if err = f.Start(ctx); err == nil {
		err = f.UntilWhole(ctx, wholeMost)
	}
	if err != nil {
		text, _ := os.ReadFile(o.Dir + "/log")
		end()
		return nil, nil, fmt.Errorf("%d gateways: %w; the last of the log:\n%s", o.Gateways, err, text[max(0, len(text)-2000):])
	}
	return f, end, nil
}

// fleetSpan is how long a fleet is let settle, and then counted.
func fleetSpan(e *scaleEnv) (settle, count time.Duration) {
	if e.Small {
		return 500 * time.Millisecond, time.Second
	}
	return 3 * time.Second, 6 * time.Second
}

// seriesBy collects series by name, in the order in which they come.
type seriesBy struct {
	by    string
	asked float64
	list  []scaletest.Series
}

func (s *seriesBy) add(name, unit string, resolution float64, size int, value float64) {
	i := slices.IndexFunc(s.list, func(x scaletest.Series) bool { return x.Name == name && x.Unit == unit })
	if i < 0 {
		i = len(s.list)
		s.list = append(s.list, scaletest.Series{Name: name, Unit: unit, By: s.by, Resolution: resolution, TargetSize: s.asked})
	}
	s.list[i].Points = append(s.list[i].Points, scaletest.Point{Size: float64(size), Value: value})
}

// passes is where the line of a series passes what is allowed.
func (s *seriesBy) passes(name, unit string, most float64, where string) (list []scaletest.Break) {
	for i := range s.list {
		x := &s.list[i]
		if x.Name != name || x.Unit != unit {
			continue
		}
		if f, err := x.Fit(); err == nil && f.Shape == scaletest.Line && f.Slope > 0 {
			at := max(0, (most-f.Intercept)/f.Slope)
			what := fmt.Sprintf("by the line, a %s passes the %v %s allowed", name, most, unit)
			if at == 0 {
				what = fmt.Sprintf("a %s takes more than the %v %s allowed at any size", name, most, unit)
			}
			list = append(list, scaletest.Break{By: s.by, Size: float64(int(at)), Where: where, What: what})
		}
	}
	return list
}

const mb = 1 << 20

// counted is a fleet's account over a span at rest.
type counted struct {
	of           map[*hollow.Process]hollow.Rates
	last         *hollow.Accounts
	ends, device uint64
	span         time.Duration
}

func countRest(ctx context.Context, f *hollow.Fleet, count time.Duration) (*counted, error) {
	if _, err := f.Account(true); err != nil { // who is asked twice pays the same each time
		return nil, err
	}
	first, err := f.Account(true)
	if err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(count):
	}
	// The kernel's account is taken before they are asked for theirs, which costs something.
	last, err := f.Account(false)
	if err != nil {
		return nil, err
	}
	own, err := f.Account(true)
	if err != nil {
		return nil, err
	}
	c := &counted{of: map[*hollow.Process]hollow.Rates{}, last: last, span: count}
	for p, x := range last.Of {
		o := own.Of[p]
		x.Heap, x.Goroutines = o.Heap, o.Goroutines
		r, late := x.Since(first.Of[p]), o.Since(first.Of[p])
		r.Syncs, r.Counted, r.Frames = late.Syncs, late.Counted, late.Frames
		c.of[p] = r
	}
	c.ends, c.device = last.Sent(first)
	return c, nil
}

// roles are the processes of one gateway by its role: what owns no duty, where there is one.
func roles(f *hollow.Fleet) map[string][]*hollow.Process {
	owns, lead := f.Owns(), f.Leader()
	all := map[string][]*hollow.Process{}
	for i, p := range f.Processes {
		switch {
		case p == lead:
			all["leader"] = append(all["leader"], p)
		case i < f.Keepers:
			all["keeper"] = append(all["keeper"], p)
		case len(p.Names) == 1:
			all["member"] = append(all["member"], p)
		}
	}
	for role, list := range all {
		if idle := slices.DeleteFunc(slices.Clone(list), func(p *hollow.Process) bool { return owns[p.Names[0]] > 0 }); len(idle) > 0 {
			all[role] = idle
		}
	}
	return all
}

var rolesShown = []string{"leader", "keeper", "member"}

func median(list []float64) float64 {
	slices.Sort(list)
	if len(list) == 0 {
		return 0
	}
	return (list[(len(list)-1)/2] + list[len(list)/2]) / 2
}

// restOf adds what gateways of each role use at rest.
func (s *seriesBy) restOf(f *hollow.Fleet, c *counted, size int) {
	for role, list := range roles(f) {
		if !slices.Contains(rolesShown, role) {
			continue
		}
		of := func(x func(*hollow.Process) float64) float64 {
			var all []float64
			for _, p := range list {
				all = append(all, x(p))
			}
			return median(all)
		}
		secs := c.span.Seconds()
		s.add(role, "bytes/s", 20, size, of(func(p *hollow.Process) float64 { return c.of[p].PerSecond(c.of[p].Bytes()) }))
		s.add(role, "packets/s", 0.5, size, of(func(p *hollow.Process) float64 { return c.of[p].PerSecond(c.of[p].Packets()) }))
		s.add(role, "bytes/s by the carrier's counter, out", 5, size, of(func(p *hollow.Process) float64 { return c.of[p].Counted }))
		s.add(role, "bytes/s carried, out", 5, size, of(func(p *hollow.Process) float64 { return c.of[p].PerSecond(c.of[p].BytesOut) }))
		s.add(role, "CPU ms/s", 0.5, size, of(func(p *hollow.Process) float64 { return c.of[p].CPU }))
		s.add(role, "MB resident", 1, size, of(func(p *hollow.Process) float64 { return float64(c.last.Of[p].Resident) / mb }))
		if !list[0].Real() {
			s.add(role, "MB heap and stacks", 0.5, size, of(func(p *hollow.Process) float64 { return float64(c.last.Of[p].Heap) / mb }))
			s.add(role, "goroutines", 1, size, of(func(p *hollow.Process) float64 { return float64(c.last.Of[p].Goroutines) }))
		}
		s.add(role, "connections", 0.5, size, of(func(p *hollow.Process) float64 { return float64(c.last.Of[p].Conns) }))
		s.add(role, "fsyncs/s", 1/secs, size, of(func(p *hollow.Process) float64 { return c.of[p].Syncs }))
	}
}

// sorted has the roles come in the order of rolesShown.
func (s *seriesBy) sorted() []scaletest.Series {
	slices.SortStableFunc(s.list, func(a, b scaletest.Series) int {
		return cmp.Compare(slices.Index(rolesShown, a.Name), slices.Index(rolesShown, b.Name))
	})
	return s.list
}

// atRest measures fleets at rest by their size, hollow or of the program.
func atRest(ctx context.Context, e *scaleEnv, sizes []int, bin string, real int) (*scaletest.Report, error) {
	s := &seriesBy{by: "gateway", asked: gatewaysAsked}
	r := &scaletest.Report{}
	settle, count := fleetSpan(e)
	for _, n := range sizes {
		err := func() error {
			f, end, err := fleetOf(ctx, e, hollow.Options{Bin: bin, Real: real * n, Gateways: n, Pools: 1})
			if err != nil {
				return err
			}
			defer end()
			time.Sleep(settle)
			c, err := countRest(ctx, f, count)
			if err != nil {
				return err
			}
			s.restOf(f, c, n)
			packed, cpu := 0, 0.0
			for p, x := range c.of {
				if len(p.Names) > 1 {
					packed += len(p.Names)
					cpu += x.CPU
				}
			}
			note := fmt.Sprintf("%d gateways: all ends of connections sent %d bytes/s with headers, the loopback device carried %d", n, int(float64(c.ends)/c.span.Seconds()), int(float64(c.device)/c.span.Seconds()))
			if packed > 0 {
				note += fmt.Sprintf("; %d packed into %d processes: %.1f ms/s of CPU each", packed, len(f.Processes)-fleetAlone, cpu/float64(packed))
			}
			r.Notes = append(r.Notes, note)
			return nil
		}()
		if err != nil {
			return nil, err
		}
	}
	r.Series = s.sorted()
	r.Breaks = append(r.Breaks, s.passes("member", "bytes/s", bytesAsked, "internal/cluster/peer: Carrier.hold, an idle frame a second on each link and its acknowledgement")...)
	r.Breaks = append(r.Breaks, s.passes("leader", "bytes/s", bytesAsked, "internal/cluster/member: ackRenewal, and Carrier.hold")...)
	r.Breaks = append(r.Breaks, s.passes("member", "CPU ms/s", cpuAsked, "internal/cluster/peer: Carrier.hold and serve, two goroutines and a timer a link")...)
	r.Breaks = append(r.Breaks, s.passes("member", "MB resident", memoryAsked, "internal/cluster/peer: Carrier.serve, a reader of 64 KiB a connection")...)
	r.Breaks = append(r.Breaks,
		scaletest.Break{By: "gateway", Size: lease.MaxMembers, What: "the record refuses the next member", Where: "internal/cluster/lease: MembersMost, State.open"},
		scaletest.Break{By: "gateway", Size: 1024, What: "a file with more peers is refused", Where: "internal/config: maxPeers"},
		scaletest.Break{By: "gateway", Size: 2201, What: "further connections that come in are closed at once; from 1,101 on where all come back at once, as each has two while one replaces the other", Where: "internal/cluster/peer: connsMost"},
		scaletest.Break{By: "gateway", Size: 4096, What: "a leader drops renewals and commands that come while as many wait for a quorum; they come again 0.3 to 0.6 s later", Where: "internal/cluster/member: renewsMost in hearRenew, hearAsk"},
	)
	r.Notes = append(r.Notes, "bytes are of both directions, counted by the kernel (TCP_INFO) with 52 bytes of IP and TCP a segment; packets too")
	return r, nil
}

// dutiesFleet is the size of the fleet by which duties are measured.
const dutiesFleet = 12

func dutiesPart(ctx context.Context, e *scaleEnv, sizes []int) (*scaletest.Report, error) {
	s := &seriesBy{by: "pool"}
	r := &scaletest.Report{}
	settle, count := fleetSpan(e)
	n := dutiesFleet
	if e.Small {
		n = 4
	}
	for _, pools := range sizes {
		err := func() error {
			f, end, err := fleetOf(ctx, e, hollow.Options{Gateways: n, Pools: pools})
			if err != nil {
				return err
			}
			defer end()
			if !e.Small {
				if err := even(ctx, f); err != nil {
					return err
				}
			}
			time.Sleep(settle)
			c, err := countRest(ctx, f, count)
			if err != nil {
				return err
			}
			owns := f.Owns()
			most, all := 0, 0
			for _, k := range owns {
				most, all = max(most, k), all+k
			}
			s.add("the record", "duties", 1, pools, float64(all))
			var bytes, packets, cpu []float64
			for p, x := range c.of {
				if p != f.Leader() {
					bytes = append(bytes, x.PerSecond(x.Bytes()))
					packets, cpu = append(packets, x.PerSecond(x.Packets())), append(cpu, x.CPU)
				}
			}
			s.add("gateway (median)", "bytes/s", 20, pools, median(bytes))
			s.add("gateway (median)", "packets/s", 0.5, pools, median(packets))
			s.add("gateway (median)", "CPU ms/s", 0.5, pools, median(cpu))
			lead := f.Leader()
			s.add("leader", "CPU ms/s", 0.5, pools, c.of[lead].CPU)
			s.add("leader", "bytes/s", 20, pools, c.of[lead].PerSecond(c.of[lead].Bytes()))
			r.Notes = append(r.Notes, fmt.Sprintf("%d lists of hosts told on %d gateways, %d duties with the one that owns most", pools, n, most))
			return nil
		}()
		if err != nil {
			return nil, err
		}
	}
	r.Series = s.list
	r.Breaks = append(r.Breaks, s.passes("gateway (median)", "bytes/s", bytesAsked, "internal/fleet: listening.look, a beat of each list to each gateway every 2 s (lists.BeatEvery)")...)
	r.Breaks = append(r.Breaks, scaletest.Break{By: "pool", Size: lease.MaxLeases, What: "the record takes no further duty", Where: "internal/cluster/lease: DutiesMost"})
	return r, nil
}

// even waits until no gateway owns far more duties than another.
func even(ctx context.Context, f *hollow.Fleet) error {
	for end := time.Now().Add(wholeMost); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		owns := f.Owns()
		most, least := 0, 1<<30
		for _, name := range f.Names() {
			most, least = max(most, owns[name]), min(least, owns[name])
		}
		if most-least <= 2 {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return errors.New("the duties are not spread")
}

// busiest watches the loopback device until it is ended, and says what it carried in its busiest
// second, in bytes.
func busiest() (end func() float64) {
	done, result := make(chan struct{}), make(chan float64)
	go func() {
		type look struct {
			at    time.Time
			bytes uint64
		}
		var looks []look
		most := 0.0
		tick := time.NewTicker(50 * time.Millisecond)
		defer tick.Stop()
		for {
			if b, _, err := hollow.Loopback(); err == nil {
				now := time.Now()
				looks = append(looks, look{now, b})
				for len(looks) > 1 && now.Sub(looks[0].at) > time.Second {
					looks = looks[1:]
				}
				most = max(most, float64(b-looks[0].bytes))
			}
			select {
			case <-done:
				result <- most
				return
			case <-tick.C:
			}
		}
	}()
	return func() float64 {
		close(done)
		return <-result
	}
}

func joinsPart(ctx context.Context, e *scaleEnv, sizes []int) (*scaletest.Report, error) {
	s := &seriesBy{by: "gateway", asked: gatewaysAsked}
	r := &scaletest.Report{}
	settle, _ := fleetSpan(e)
	for _, n := range sizes {
		err := func() error {
			f, end, err := fleetOf(ctx, e, hollow.Options{Gateways: n, Pools: 1})
			if err != nil {
				return err
			}
			defer end()
			time.Sleep(settle)
			// One that comes back: the last that is alone in its process.
			p := f.Processes[min(n, fleetAlone)-1]
			p.Kill()
			time.Sleep(settle)
			began := time.Now()
			if err := p.Start(ctx); err != nil {
				return err
			}
			at, err := f.Wait(ctx, "session opened", began, 1, wholeMost)
			if err != nil {
				return err
			}
			// The first view follows its session, and the last of its connections may.
			var x *hollow.Account
			for end := time.Now().Add(wholeMost); x == nil || x.Conns < 2*(n-1) && time.Now().Before(end); {
				time.Sleep(300 * time.Millisecond)
				a, err := f.Account(false)
				if err != nil {
					return err
				}
				x = a.Of[p]
			}
			s.add("one that comes back", "bytes until it has all connections and a view", 100, n, float64(x.Traffic.Bytes()))
			s.add("one that comes back", "packets until it has all connections and a view", 1, n, float64(x.Traffic.Packets()))
			s.add("one that comes back", "s until its session", 0.02, n, at.Sub(began).Seconds())
			s.add("one that comes back", "CPU ms until it has all connections and a view", 5, n, float64(x.CPU.Milliseconds()))
			if err := f.UntilWhole(ctx, wholeMost); err != nil {
				return err
			}
			// All at once.
			for _, p := range f.Processes {
				p.Kill()
			}
			was, _, err := hollow.Loopback()
			if err != nil {
				return err
			}
			stop := busiest()
			began = time.Now()
			if err := f.Start(ctx); err != nil {
				return err
			}
			started := time.Since(began)
			at, err = f.Wait(ctx, "session opened", began, n, wholeMost)
			if err != nil {
				return err
			}
			time.Sleep(300 * time.Millisecond)
			now, _, err := hollow.Loopback()
			if err != nil {
				return err
			}
			most := stop()
			cpu := 0.0
			a, err := f.Account(false)
			if err != nil {
				return err
			}
			for _, x := range a.Of {
				cpu += x.CPU.Seconds()
			}
			s.add("all at once", "s until all have sessions", 0.05, n, at.Sub(began).Seconds())
			s.add("all at once", "KB on the loopback, a gateway", 1, n, float64(now-was)/float64(n)/1000)
			s.add("all at once", "KB in the busiest second, a gateway", 1, n, most/float64(n)/1000)
			s.add("all at once", "CPU s of all", 0.05, n, cpu)
			r.Notes = append(r.Notes, fmt.Sprintf("%d gateways: processes started in %.2f s", n, started.Seconds()))
			return nil
		}()
		if err != nil {
			return nil, err
		}
	}
	r.Series = s.list
	return r, nil
}

// changesFleet is the size of the fleet by which changes are measured.
const changesFleet = 24

func changesPart(ctx context.Context, e *scaleEnv, sizes []int) (*scaletest.Report, error) {
	s := &seriesBy{by: "change"}
	r := &scaletest.Report{}
	settle, count := fleetSpan(e)
	n := changesFleet
	if e.Small {
		n = 6
	}
	f, end, err := fleetOf(ctx, e, hollow.Options{Gateways: n, Pools: 1})
	if err != nil {
		return nil, err
	}
	defer end()
	time.Sleep(settle)
	for _, rate := range sizes {
		p := f.Processes[len(f.Processes)-1]
		type outcome struct {
			done, failed int
			err          error
		}
		said := make(chan outcome, 1)
		go func() {
			done, failed, err := p.Change(float64(rate), count+2*time.Second)
			said <- outcome{done, failed, err}
		}()
		time.Sleep(time.Second)
		first, err := f.AccountBut(p)
		if err != nil {
			return nil, err
		}
		time.Sleep(count)
		last, err := f.AccountBut(p)
		if err != nil {
			return nil, err
		}
		o := <-said
		if o.err != nil {
			return nil, o.err
		}
		c := &counted{of: map[*hollow.Process]hollow.Rates{}, last: last, span: count}
		for p, x := range last.Of {
			if was := first.Of[p]; was != nil {
				c.of[p] = x.Since(was)
			}
		}
		for _, role := range rolesShown {
			var cpu, bytes, packets, syncs []float64
			for _, q := range roles(f)[role] {
				if x, ok := c.of[q]; ok && q != p {
					cpu, bytes = append(cpu, x.CPU), append(bytes, x.PerSecond(x.Bytes()))
					packets, syncs = append(packets, x.PerSecond(x.Packets())), append(syncs, x.Syncs)
				}
			}
			if len(cpu) == 0 {
				continue
			}
			s.add(role, "CPU ms/s", 0.5, rate, median(cpu))
			s.add(role, "bytes/s", 20, rate, median(bytes))
			s.add(role, "packets/s", 0.5, rate, median(packets))
			s.add(role, "fsyncs/s", 1/count.Seconds(), rate, median(syncs))
		}
		r.Notes = append(r.Notes, fmt.Sprintf("%d a second asked for: %d carried out, %d not or not known, in %v", rate, o.done, o.failed, count+2*time.Second))
	}
	r.Series = s.sorted()
	return r, nil
}

func lostPart(ctx context.Context, e *scaleEnv, sizes []int) (*scaletest.Report, error) {
	s := &seriesBy{by: "gateway", asked: gatewaysAsked}
	r := &scaletest.Report{}
	settle, _ := fleetSpan(e)
	for _, n := range sizes {
		err := func() error {
			f, end, err := fleetOf(ctx, e, hollow.Options{Gateways: n, Pools: 1})
			if err != nil {
				return err
			}
			defer end()
			time.Sleep(settle)
			// The leader.
			lead := f.Leader()
			if lead == nil {
				return errors.New("nobody leads")
			}
			stop := busiest()
			began := time.Now()
			lead.Kill()
			at, err := f.Wait(ctx, "became leader", began, 1, wholeMost)
			if err != nil {
				return err
			}
			if err := f.UntilWhole(ctx, wholeMost); err != nil {
				return err
			}
			whole := time.Since(began)
			most := stop()
			s.add("leader killed", "s until another leads", 0.1, n, at.Sub(began).Seconds())
			s.add("leader killed", "s until its session has lapsed everywhere", 0.1, n, whole.Seconds())
			s.add("leader killed", "KB in the busiest second, a gateway", 0.5, n, most/float64(n)/1000)
			lapsed := len(f.Events("session expired", began))
			if err := lead.Start(ctx); err != nil {
				return err
			}
			if err := f.UntilWhole(ctx, wholeMost); err != nil {
				return err
			}
			time.Sleep(settle)
			// A tenth of them, none a keeper.
			gone := 0
			var list []*hollow.Process
			for i := len(f.Processes) - 1; i >= f.Keepers && gone < max(1, n/10); i-- {
				list = append(list, f.Processes[i])
				gone += len(f.Processes[i].Names)
			}
			if gone == 0 {
				list, gone = f.Processes[len(f.Processes)-1:], 1
			}
			stop = busiest()
			began = time.Now()
			for _, p := range list {
				p.Kill()
			}
			if err := f.UntilWhole(ctx, wholeMost); err != nil {
				return err
			}
			s.add("a tenth killed", "s until their sessions have lapsed everywhere", 0.1, n, time.Since(began).Seconds())
			lapsedTenth := len(f.Events("session expired", began))
			began = time.Now()
			for _, p := range list {
				if err := p.Start(ctx); err != nil {
					return err
				}
			}
			if at, err = f.Wait(ctx, "session opened", began, gone, wholeMost); err != nil {
				return err
			}
			s.add("a tenth killed", "s until they have sessions again", 0.05, n, at.Sub(began).Seconds())
			s.add("a tenth killed", "KB in the busiest second, a gateway", 0.5, n, stop()/float64(n)/1000)
			r.Notes = append(r.Notes, fmt.Sprintf("%d gateways: %d sessions of living ones lapsed as the leader died, %d as %d others did", n, lapsed, lapsedTenth, gone))
			return nil
		}()
		if err != nil {
			return nil, err
		}
	}
	r.Series = s.list
	return r, nil
}

// simDuties are those of `experiment fleet cost`.
const simDuties = 500

func simPart(ctx context.Context, e *scaleEnv, sizes []int) (*scaletest.Report, error) {
	s := &seriesBy{by: "gateway", asked: gatewaysAsked}
	duties := simDuties
	if e.Small {
		duties = 20
	}
	for _, n := range sizes {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		began := time.Now()
		if _, err := sim.Measure(sim.Options{Seed: 1, Nodes: n, Replicas: min(fleetKeepers, n), Leases: duties}); err != nil {
			return nil, err
		}
		s.add("a fleet played", "s", 0.02, n, time.Since(began).Seconds())
	}
	return &scaletest.Report{Series: s.list}, nil
}

// recordPart times what a leader does over its record: for each renewal, each tick and each look at
// how things stand. It is one goroutine that does all of it (internal/cluster, Fleet.loop).
func recordPart(ctx context.Context, e *scaleEnv, sizes []int) (*scaletest.Report, error) {
	s := &seriesBy{by: "gateway", asked: gatewaysAsked}
	r := &scaletest.Report{}
	for _, n := range sizes {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		st := recordOf(n, min(simDuties, 10*n))
		w := lease.NewExpiryTracker(0)
		for id := range st.Sessions {
			w.Renew(id, time.Hour)
		}
		ack := timed(e, func() { st.DeltaSince(st.Revision) })
		s.add("an answer to a renewal, nothing new", "us", 0.1, n, ack)
		s.add("all gateways' answers of a second", "ms/s", 0.1, n, ack*float64(n)/1000)
		s.add("sessions that have lapsed, none", "us", 0.1, n, timed(e, func() { w.Expired(time.Hour, st) }))
		s.add("duties to be given, none", "us", 0.1, n, timed(e, func() { lease.AssignFree(st) }))
		s.add("duties to be evened out, none", "us", 0.1, n, timed(e, func() { lease.Rebalance(st) }))
		s.add("a whole view", "KB of JSON", 0.1, n, float64(len(whole(st)))/1000)
		s.add("a snapshot", "us", 0.1, n, timed(e, func() { st.Encode() }))
	}
	r.Series = s.list
	for i := range s.list {
		if x := &s.list[i]; x.Name == "all gateways' answers of a second" {
			slices.SortFunc(x.Points, func(a, b scaletest.Point) int { return cmp.Compare(a.Size, b.Size) })
			for _, p := range x.Points {
				if p.Value > 1000 {
					r.Breaks = append(r.Breaks, scaletest.Break{By: "gateway", Size: p.Size, What: "the first size at which answers to renewals alone take more than the one core that the loop has", Where: "internal/cluster/lease: State.Since"})
					break
				}
			}
		}
	}
	return r, nil
}

// recordOf is a record of n gateways that all offer all duties, each of which has an owner.
func recordOf(n, duties int) *lease.State {
	st := lease.NewState(1)
	var offers []string
	for k := range duties {
		offers = append(offers, fmt.Sprintf("list/p%d", k))
	}
	for i := range n {
		id, name := uint64(i+1), fmt.Sprintf("g%d", i+1)
		st.Sessions[id] = &lease.Session{ID: id, OpenRequest: lease.OpenRequest{Name: name, DiskID: id, OpenSequence: 1, Zone: "z1", Address: "10.0.0.1:7400", CandidateLeases: offers}, OpenedRevision: 1}
		st.Members[name] = &lease.Member{Name: name, Session: id, DiskID: id, Zone: "z1", Address: "10.0.0.1:7400", OpenSequence: 1, ModRevision: 1}
	}
	for k, name := range offers {
		owner := uint64(k%n + 1)
		st.Leases[name] = &lease.Lease{Name: name, HolderSession: owner, Holder: fmt.Sprintf("g%d", owner), Token: uint64(k + 1), SinceRevision: 1, ModRevision: 1}
	}
	st.Revision, st.LastSessionID, st.LastToken = 2, uint64(n), uint64(duties)
	return st
}

func whole(st *lease.State) []byte {
	b, err := json.Marshal(st.DeltaSince(0))
	if err != nil {
		panic(err) // strings and numbers
	}
	return b
}

// timed is how long something takes, in microseconds: the best of five rounds of a tenth of a second.
func timed(e *scaleEnv, do func()) float64 {
	round := 100 * time.Millisecond
	if e.Small {
		round = time.Millisecond
	}
	best := 0.0
	for range 5 {
		n, began := 0, time.Now()
		for ; n == 0 || time.Since(began) < round; n++ {
			do()
		}
		if us := float64(time.Since(began).Nanoseconds()) / 1000 / float64(n); best == 0 || us < best {
			best = us
		}
	}
	return best
}
