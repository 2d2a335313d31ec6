package main

import (
	"context"
	"fmt"
	"time"

	"dunemoor/internal/experiment/scaletest"
	"dunemoor/internal/route"
)

// Parts that measure a process of the program by the size of its configuration.
func init() {
	registerScale(&scalePart{
		name: "routes", by: "route", sizes: []int{1000, 3000, 10_000, 30_000, 55_000}, smallSizes: []int{20, 60, 120, 200}, duration: "a minute",
		about: "a file with the routes to 250 pools of 20 hosts: CPU and memory of a start and of a reload, and time of a route lookup",
		run:   measureRoutes,
	})
	registerScale(&scalePart{
		name: "pools", by: "pool", sizes: []int{16, 32, 64, 128, 256}, smallSizes: []int{2, 4, 8, 20}, duration: "half a minute",
		about: "pools of one host each: memory, CPU of a start, of a reload and at rest; and the error beyond the limit of the configuration",
		run:   measurePools,
	})
	registerScale(&scalePart{
		name: "changes", by: "change", sizes: []int{1, 2, 4, 8, 16}, smallSizes: []int{1, 2, 5, 10}, duration: "half a minute",
		about: "reloads within five seconds, of 1,000 routes to 250 pools of 20 hosts: CPU by the number of reloads",
		run:   measureReloads,
	})
}

func measureRoutes(ctx context.Context, env *scaleEnv, sizes []int) (*scaletest.Report, error) {
	s := &seriesSet{by: "route", targetSize: targetRoutes}
	pools := manyPools
	if env.small {
		pools = smallPools
	}
	for _, size := range sizes {
		head, err := configHead()
		if err != nil {
			return nil, err
		}
		used := min(size, pools) // a pool without a route is rejected
		if err := s.addGateway(ctx, env, size, head+poolsConfig(used, manyHosts)+routesConfig(size, used), false); err != nil {
			return nil, err
		}
		ns, err := matchTime(size, used)
		if err != nil {
			return nil, err
		}
		s.add(size, "a look-up", "ns", 1, ns)
	}
	return &scaletest.Report{
		Series: s.list,
		Breaks: steepGrowth(s.list),
		Notes:  []string{memoryNote, "the longest answer is the longest response time during reloads, with one request at a time to a pool without a live host"},
	}, nil
}

// steepExponent is the minimum exponent of a power law that is reported as a break.
const steepExponent = 1.5

// steepGrowth returns a break for each series that grows by a power of at least steepExponent of the size.
func steepGrowth(list []scaletest.Series) (breaks []scaletest.Break) {
	where := map[string]string{
		"start":                         "internal/config: Text.Line, which walks all tables, called for each route by checker.rule",
		"a reload":                      "Text.Line as at the start; and internal/engine: Snapshot.adopt, which searches all old routes for each new one, in the event loop",
		"longest answer during reloads": "internal/engine: Snapshot.adopt, in the event loop, which handles no requests during that time",
	}
	for _, series := range list {
		fit, err := series.Fit()
		if err != nil || fit.Shape != scaletest.Power || fit.Exponent < steepExponent {
			continue
		}
		last := series.Points[len(series.Points)-1]
		breaks = append(breaks, scaletest.Break{By: "route", Size: last.Size, Where: where[series.Name],
			What: fmt.Sprintf("%s grows with the power %.1f of the size, to %.0f %s", series.Name, fit.Exponent, last.Value, series.Unit)})
	}
	return breaks
}

// matchTime returns the mean time of a route lookup in ns, over all routes in turn.
func matchTime(routes, pools int) (float64, error) {
	var names []string
	for i := range pools {
		names = append(names, fmt.Sprintf("pool-%d", i))
	}
	rules := routeRules(routes, pools)
	table, errs := route.Compile(rules, names)
	if len(errs) > 0 {
		return 0, errs[0]
	}
	const lookUps = 1 << 20
	requests := make([]route.Request, len(rules))
	for i, r := range rules {
		requests[(i*scatterFactor)%len(rules)] = route.Request{Host: r.Hosts[0], Path: r.Path + "/thing", Method: "GET"}
	}
	startedAt := time.Now()
	for i := range lookUps {
		if q := &requests[i%len(requests)]; q.Host != "" && table.Match(q) == nil {
			return 0, fmt.Errorf("no route for %s%s", q.Host, q.Path)
		}
	}
	return float64(time.Since(startedAt).Nanoseconds()) / lookUps, nil
}

// scatterFactor is a prime. Indexes that are multiples of it, modulo the size, don't form an access pattern that a
// CPU cache favors.
const scatterFactor = 7919

func measurePools(ctx context.Context, env *scaleEnv, sizes []int) (*scaletest.Report, error) {
	s := &seriesSet{by: "pool", targetSize: targetPools}
	for _, size := range sizes {
		head, err := configHead()
		if err != nil {
			return nil, err
		}
		if err := s.addGateway(ctx, env, size, head+poolsConfig(size, 1)+routesConfig(size, size), true); err != nil {
			return nil, err
		}
	}
	const beyond = 257
	breaks, err := startBeyondLimit(ctx, env, beyond, "pool", "internal/config: maxPools", poolsConfig(beyond, 1)+routesConfig(beyond, beyond))
	return &scaletest.Report{Series: s.list, Breaks: breaks, Notes: []string{memoryNote, "one host and one route per pool"}}, err
}

// reloadSpan is the time span over which reloads are spread.
const reloadSpan = 5 * time.Second

// peakFactor is the rate of changes in the busiest hour as a multiple of the mean rate of the day. It is an
// assumption, not a measurement: changes are made during eight hours of the day (a factor of 3), and in the busiest
// of these hours nearly twice as often as on average.
const peakFactor = 5

// Numbers of routes of the configuration that is reloaded.
const (
	reloadedRoutes      = 1000
	smallReloadedRoutes = 20
)

// measureReloads measures a configuration by the number of reloads in a time span.
func measureReloads(ctx context.Context, env *scaleEnv, sizes []int) (*scaletest.Report, error) {
	peak := targetChanges / (24 * time.Hour).Seconds() * peakFactor
	s := &seriesSet{by: "change", targetSize: peak * reloadSpan.Seconds()}
	r := &scaletest.Report{Notes: []string{memoryNote,
		fmt.Sprintf("sizes are changes in %v; target: %d per day, with %d times the mean rate in the busiest hour (assumption: 3 for working hours, nearly 2 for the busiest of them): %.2f per second", reloadSpan, targetChanges, peakFactor, peak)}}
	routes, pools, span := reloadedRoutes, manyPools, reloadSpan
	if env.small {
		routes, pools, span = smallReloadedRoutes, smallPools, time.Second/2
	}
	head, err := configHead()
	if err != nil {
		return nil, err
	}
	config := head + poolsConfig(pools, manyHosts) + routesConfig(routes, pools)
	for _, size := range sizes {
		fmt.Fprintf(env.progress, "%d changes in %v\n", size, span)
		late, err := s.addReloads(ctx, env, size, span, config)
		if err != nil {
			return nil, err
		}
		if late > 0 {
			r.Breaks = append(r.Breaks, scaletest.Break{By: "change", Size: float64(size), What: fmt.Sprintf("%d of them were due before the previous reload had completed; the program would combine them into one", late),
				Where: "cmd/dunemoor/main.go: the channel of SIGHUP, which has a capacity of one"})
		}
	}
	r.Series = s.list
	return r, nil
}

// addReloads requests reloads at equal intervals, but each one only after the previous one has completed, because the
// program may combine two concurrent requests into one reload. It returns the number of reloads that were delayed for
// this reason.
func (s *seriesSet) addReloads(ctx context.Context, env *scaleEnv, reloads int, span time.Duration, config string) (late int, _ error) {
	g, err := startGateway(ctx, env, config)
	if err != nil {
		return 0, err
	}
	defer g.process.Kill()
	cpu, err := g.cpuDuring(func() error {
		startedAt := time.Now()
		for i := range reloads {
			next := startedAt.Add(span * time.Duration(i) / time.Duration(reloads))
			if wait := time.Until(next); wait > 0 {
				time.Sleep(wait)
			} else if i > 0 {
				late++
			}
			if err := g.reload(ctx); err != nil {
				return err
			}
		}
		time.Sleep(time.Until(startedAt.Add(span)))
		return nil
	})
	if err != nil {
		return 0, err
	}
	s.addCPU(reloads, fmt.Sprintf("%v with so many reloads", span), cpu, 1)
	return late, nil
}
