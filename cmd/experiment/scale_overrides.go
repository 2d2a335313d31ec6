package main

import (
	"context"
	"fmt"
	"time"

	"dunemoor/internal/experiment/scaletest"
	"dunemoor/internal/experiment/scaletest/hollow"
)

func init() {
	registerScale(&scalePart{
		name: "fleet-changes", by: "change", sizes: []int{1, 3, 10, 30, 100}, smallSizes: []int{4, 16}, duration: "1 min",
		about: "24 hollow gateways, by the number of operators' overrides that are written to the coordination state per second",
		run:   measureOverrides,
	})
}

// Numbers of gateways of the fleet in which overrides are written.
const (
	overrideFleet      = 24
	smallOverrideFleet = 6
)

// overrideMargin is how long overrides are written in addition to the measured span; half of it is before the span.
const overrideMargin = 2 * time.Second

// measureOverrides measures a fleet by the rate at which overrides are written.
func measureOverrides(ctx context.Context, env *scaleEnv, sizes []int) (*scaletest.Report, error) {
	s := &seriesSet{by: "change"}
	r := &scaletest.Report{}
	gateways := overrideFleet
	if env.small {
		gateways = smallOverrideFleet
	}
	f, stop, err := startHollowFleet(ctx, env, hollowFleet(gateways))
	if err != nil {
		return nil, err
	}
	defer stop()
	time.Sleep(env.settleTime())
	for _, rate := range sizes {
		note, err := s.addOverrides(f, rate, env.countTime())
		if err != nil {
			return nil, err
		}
		r.Notes = append(r.Notes, note)
	}
	r.Series = s.sortByRole()
	return r, nil
}

// addOverrides measures one rate. The last process writes the overrides. It is not measured, because it doesn't reply
// to other requests while it does so.
func (s *seriesSet) addOverrides(f *hollow.Fleet, rate int, span time.Duration) (note string, _ error) {
	writer := f.Processes[len(f.Processes)-1]
	type outcome struct {
		done, failed int
		err          error
	}
	outcomes := make(chan outcome, 1)
	go func() {
		done, failed, err := writer.ApplyOverrides(float64(rate), span+overrideMargin)
		outcomes <- outcome{done, failed, err}
	}()
	time.Sleep(overrideMargin / 2)
	first, err := f.UsageExcept(writer)
	if err != nil {
		return "", err
	}
	time.Sleep(span)
	last, err := f.UsageExcept(writer)
	if err != nil {
		return "", err
	}
	o := <-outcomes
	if o.err != nil {
		return "", o.err
	}
	usage := &fleetRates{rates: map[*hollow.Process]hollow.Rates{}, last: last, span: span}
	for p, process := range last.ByProcess {
		if before := first.ByProcess[p]; before != nil && p != writer {
			usage.rates[p] = process.Since(before)
		}
	}
	byRole := processesByRole(f)
	for _, role := range shownRoles {
		s.addOverrideUsage(usage, role, byRole[role], rate)
	}
	return fmt.Sprintf("%d overrides per second requested: %d applied, %d failed or with an unknown outcome, in %v", rate, o.done, o.failed, span+overrideMargin), nil
}

func (s *seriesSet) addOverrideUsage(u *fleetRates, role string, processes []*hollow.Process, rate int) {
	var counted []*hollow.Process
	for _, p := range processes {
		if _, ok := u.rates[p]; ok {
			counted = append(counted, p)
		}
	}
	if len(counted) == 0 {
		return
	}
	s.add(rate, role, "CPU ms/s", 0.5, medianOf(counted, u.cpu))
	s.add(rate, role, "bytes/s", 20, medianOf(counted, u.bytes))
	s.add(rate, role, "packets/s", 0.5, medianOf(counted, u.packets))
	s.add(rate, role, "fsyncs/s", 1/u.span.Seconds(), medianOf(counted, u.syncs))
}
