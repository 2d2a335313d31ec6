package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"dunemoor/internal/experiment/scaletest"
	"dunemoor/internal/experiment/scaletest/hollow"
)

func init() {
	registerScale(&scalePart{
		Name: "relays", By: "gateway", Sizes: []int{300, 1000, 2000, 3000}, Small: []int{6}, Takes: "3 min",
		About: "16 relays of the program and hollow gateways at rest, and an operator's word until all have it",
		Run:   relaysRest,
	})
	registerScale(&scalePart{
		Name: "relays-lost", By: "gateway", Sizes: []int{300, 1000, 2000, 3000}, Small: []int{6}, Takes: "5 min",
		About: "the same: a relay is killed, one stands still, half are killed, all restarted; until their gateways are with others",
		Run:   relaysLost,
	})
}

// relayFleet starts a fleet with relays, which are processes of the program.
func relayFleet(ctx context.Context, e *scaleEnv, n int) (*hollow.Fleet, func(), error) {
	bin, err := e.Program(ctx)
	if err != nil {
		return nil, nil, err
	}
	relays := fleetRelays
	if e.Small {
		relays = 3
	}
	return fleetOf(ctx, e, hollow.Options{Program: bin, RealMembers: relays, Relays: relays, Gateways: n, Pools: 1})
}

// relayRoles are the processes of one relay or gateway by its role.
func relayRoles(f *hollow.Fleet) map[string][]*hollow.Process {
	all := map[string][]*hollow.Process{}
	owns, lead := f.LeaseCounts(), f.Leader()
	for i, p := range f.Processes {
		switch {
		case p == lead:
			all["leader"] = append(all["leader"], p)
		case i < f.BootstrapReplicas:
			all["keeper"] = append(all["keeper"], p)
		case i < f.Relays:
			all["relay"] = append(all["relay"], p)
		case len(p.Names) == 1 && owns[p.Names[0]] == 0:
			all["gateway"] = append(all["gateway"], p)
		}
	}
	return all
}

// part is the value that a share of a list is not above.
func part(list []float64, share float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(len(list)-1, int(share*float64(len(list))))]
}

func relaysRest(ctx context.Context, e *scaleEnv, sizes []int) (*scaletest.Report, error) {
	s := &seriesBy{by: "gateway", asked: gatewaysAsked}
	r := &scaletest.Report{}
	settle, count := fleetSpan(e)
	for _, n := range sizes {
		err := func() error {
			began := time.Now()
			f, end, err := relayFleet(ctx, e, n)
			if err != nil {
				return err
			}
			defer end()
			formed := time.Since(began)
			time.Sleep(settle)
			c, err := countRest(ctx, f, count)
			if err != nil {
				return err
			}
			all := relayRoles(f)
			for _, role := range []string{"leader", "keeper", "relay", "gateway"} {
				list := all[role]
				if len(list) == 0 {
					continue
				}
				of := func(x func(*hollow.Process) float64) float64 {
					var values []float64
					for _, p := range list {
						values = append(values, x(p))
					}
					return median(values)
				}
				s.add(role, "bytes/s", 20, n, of(func(p *hollow.Process) float64 { return c.of[p].PerSecond(c.of[p].Bytes()) }))
				s.add(role, "packets/s", 0.5, n, of(func(p *hollow.Process) float64 { return c.of[p].PerSecond(c.of[p].Packets()) }))
				s.add(role, "CPU ms/s", 0.5, n, of(func(p *hollow.Process) float64 { return c.of[p].CPU }))
				s.add(role, "MB resident", 1, n, of(func(p *hollow.Process) float64 { return float64(c.last.ByProcess[p].Resident) / mb }))
				s.add(role, "connections", 0.5, n, of(func(p *hollow.Process) float64 { return float64(c.last.ByProcess[p].Conns) }))
			}
			// Those that are packed are many, and show the mean.
			var packed, bytes, packets, cpu, resident float64
			for p, x := range c.of {
				if k := float64(len(p.Names)); k > 1 {
					packed += k
					bytes, packets = bytes+x.PerSecond(x.Bytes()), packets+x.PerSecond(x.Packets())
					cpu, resident = cpu+x.CPU, resident+float64(c.last.ByProcess[p].Resident)/mb
				}
			}
			if packed > 0 {
				s.add("gateway, mean of the packed", "bytes/s", 20, n, bytes/packed)
				s.add("gateway, mean of the packed", "packets/s", 0.5, n, packets/packed)
				s.add("gateway, mean of the packed", "CPU ms/s", 0.1, n, cpu/packed)
				s.add("gateway, mean of the packed", "MB resident", 0.1, n, resident/packed)
			}
			r.Notes = append(r.Notes, fmt.Sprintf("%d gateways: whole %.1f s after the start, processes' start with it; all ends of connections sent %d bytes/s with headers, the loopback device carried %d; streams %s",
				n, formed.Seconds(), int(float64(c.ends)/c.span.Seconds()), int(float64(c.device)/c.span.Seconds()), spread(f)))
			return word(ctx, f, s, n)
		}()
		if err != nil {
			return nil, err
		}
	}
	r.Series = s.list
	r.Notes = append(r.Notes, "bytes are of both directions, counted by the kernel (TCP_INFO) with 52 bytes of IP and TCP a segment; packets too")
	return r, nil
}

// word says an operator's word at a gateway and measures until the others go by it.
func word(ctx context.Context, f *hollow.Fleet, s *seriesBy, n int) error {
	by := f.Processes[f.Relays]
	began := time.Now()
	if err := by.SetDrained(by.Names[0], "h1", true); err != nil {
		return err
	}
	if _, err := f.WaitEvents(ctx, hollow.OverrideEvent, began, n, wholeMost); err != nil {
		return err
	}
	var after []float64
	for _, x := range f.Events(hollow.OverrideEvent, began) {
		after = append(after, x.Time.Sub(began).Seconds())
	}
	s.add("an operator's word", "s until half of the gateways go by it", 0.005, n, part(after, 0.5))
	s.add("an operator's word", "s until 99.9 in 100", 0.005, n, part(after, 0.999))
	s.add("an operator's word", "s until the last", 0.005, n, part(after, 1))
	return nil
}

// spread says how many streams the relays hold, the least and the most.
func spread(f *hollow.Fleet) string {
	least, most, all := 1<<30, 0, 0
	for _, p := range f.Processes[:f.Relays] {
		if !p.IsRunning() {
			continue
		}
		st, err := p.Status(false)
		if err != nil || st[p.Names[0]].Streams == nil {
			return "not known"
		}
		k := st[p.Names[0]].Streams.Streams
		least, most, all = min(least, k), max(most, k), all+k
	}
	return fmt.Sprintf("%d to %d a relay, %d in all", least, most, all)
}

// joined are when gateways came to the relays that they have, after a time.
func joined(f *hollow.Fleet, after time.Time) (list []float64, without int, err error) {
	for _, p := range f.Processes[f.Relays:] {
		st, err := p.Status(false)
		if err != nil {
			return nil, 0, err
		}
		for _, g := range st {
			if g.Relay == nil || g.JoinedUnixNano == 0 {
				without++
			} else if at := time.Unix(0, g.JoinedUnixNano); at.After(after) {
				list = append(list, at.Sub(after).Seconds())
			}
		}
	}
	return list, without, nil
}

// standsStill is a relay that is stopped, so that its connections do not end.
const standsStill = "a relay stands still"

func relaysLost(ctx context.Context, e *scaleEnv, sizes []int) (*scaletest.Report, error) {
	s := &seriesBy{by: "gateway", asked: gatewaysAsked}
	r := &scaletest.Report{}
	settle, _ := fleetSpan(e)
	after := 6 * time.Second // two sessions: whoever lapses has by then
	if e.Small {
		after = time.Second
	}
	for _, n := range sizes {
		err := func() error {
			f, end, err := relayFleet(ctx, e, n)
			if err != nil {
				return err
			}
			defer end()
			time.Sleep(settle)
			lead := f.Leader()
			if lead == nil {
				return errors.New("nobody leads")
			}
			// Relays that keep no record come first, then keepers but the leader.
			var others, keepers []*hollow.Process
			for i, p := range f.Processes[:f.Relays] {
				switch {
				case i >= f.BootstrapReplicas:
					others = append(others, p)
				case p != lead:
					keepers = append(keepers, p)
				}
			}
			list := append(others, keepers...)
			for _, fault := range []struct {
				name string
				list []*hollow.Process
			}{
				{"a relay killed", list[:1]}, {standsStill, list[1:2]}, // not the same: gateways come back to that in half a minute
				{"half of the relays killed", list[:min(len(others)+(f.BootstrapReplicas-1)/2, f.Relays/2)]},
				{"all relays restarted", f.Processes[:f.Relays]},
			} {
				stop := busiest()
				began := time.Now()
				still, all := fault.name == standsStill, len(fault.list) == f.Relays
				for _, p := range fault.list {
					if still {
						if err := p.Pause(); err != nil {
							return err
						}
						continue
					}
					p.Kill()
				}
				if all {
					for _, p := range fault.list {
						if err := p.Start(ctx); err != nil {
							return err
						}
					}
					if _, err := f.WaitEvents(ctx, "became leader", began, 1, wholeMost); err != nil {
						return err
					}
				}
				if err := sleep(ctx, after); err != nil {
					return err
				}
				if still {
					for _, p := range fault.list {
						if err := p.Resume(); err != nil {
							return err
						}
					}
				}
				if err := f.WaitComplete(ctx, wholeMost); err != nil {
					return fmt.Errorf("%s: %w", fault.name, err)
				}
				whole := time.Since(began)
				most := stop()
				times, without, err := joined(f, began)
				for ; err == nil && without > 0 && time.Since(began) < wholeMost; times, without, err = joined(f, began) {
					time.Sleep(time.Second)
				}
				if err != nil {
					return err
				}
				lapsed := len(f.Events("session expired", began))
				s.add(fault.name, "gateways that moved", 1, n, float64(len(times)))
				s.add(fault.name, "s until half of them were with another", 0.01, n, part(times, 0.5))
				s.add(fault.name, "s, 99 in 100", 0.01, n, part(times, 0.99))
				s.add(fault.name, "s, the last", 0.01, n, part(times, 1))
				s.add(fault.name, "sessions lapsed", 1, n, float64(lapsed))
				s.add(fault.name, "KB on the loopback in the busiest second", 1, n, most/1000)
				r.Notes = append(r.Notes, fmt.Sprintf("%d gateways, %s (%d): seen whole %.1f s after it, looked for from %v on; without a relay at last %d; streams %s", n, fault.name, len(fault.list), whole.Seconds(), after, without, spread(f)))
				if all || still {
					continue
				}
				for _, p := range fault.list {
					if err := p.Start(ctx); err != nil {
						return err
					}
				}
				if err := f.WaitComplete(ctx, wholeMost); err != nil {
					return err
				}
				time.Sleep(settle)
			}
			return nil
		}()
		if err != nil {
			return nil, err
		}
	}
	r.Series = s.list
	return r, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
