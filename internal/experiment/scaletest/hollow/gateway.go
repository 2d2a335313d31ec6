package hollow

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/admin"
	"dunemoor/internal/config"
	"dunemoor/internal/discovery"
	"dunemoor/internal/fleet"
)

// gateway is a hollow gateway or a hollow relay: the fleet part of the program, without the part that serves
// requests.
type gateway struct {
	name  string
	pools []config.Pool
	fleet *fleet.Fleet
	calls map[string]admin.Call // by path
	// cancel ends the goroutines, which watch endpoint lists. Both are set by run.
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// startGateway starts the fleet part of the gateway that a configuration file describes, in the same way as the
// program.
func startGateway(file string) (*gateway, error) {
	a, mistakes := config.LoadAppliance(file)
	if len(mistakes) > 0 {
		return nil, errors.Join(mistakes...)
	}
	part, err := fleet.Join(a)
	if err != nil {
		return nil, err
	}
	if err := part.Start(); err != nil {
		return nil, err
	}
	g := &gateway{
		name:   a.Name,
		pools:  a.Pools,
		fleet:  part,
		calls:  part.Calls(),
		cancel: func() {},
	}
	return g, nil
}

// run starts the watches of the pools' endpoint lists. It calls overrideAdded each time the number of drained hosts
// of the gateway grows.
func (g *gateway) run(overrideAdded func(at time.Time)) {
	var ctx context.Context
	ctx, g.cancel = context.WithCancel(context.Background())
	for _, p := range g.pools {
		if p.Discovery == "" {
			continue
		}
		source := g.fleet.Source(p.Name, p.Discovery)
		g.goroutines.Go(func() { source.Run(ctx, discardPool{}) })
	}
	pools := func(string) (fleet.Pool, bool) { return discardPool{}, true }
	drained := 0
	drain := func(hostsByPool map[string][]string) {
		previous := drained
		drained = 0
		for _, hosts := range hostsByPool {
			drained += len(hosts)
		}
		if drained > previous {
			overrideAdded(time.Now())
		}
	}
	g.fleet.SetPools(pools, drain)
}

// close stops the gateway, which leaves its fleet gracefully.
func (g *gateway) close() {
	g.cancel()
	g.fleet.Leave()
	g.goroutines.Wait()
}

// call returns the response of the admin API to a call without parameters.
func (g *gateway) call(path string) string {
	_, text, _ := g.calls[path].Do(context.Background(), nil)
	return text
}

// readStatus reads the gateway's status. If that fails, Role is set to the error.
func (g *gateway) readStatus(s *Status) {
	if err := json.Unmarshal([]byte(g.call(fleet.PathFleet)), s); err != nil {
		s.Role = err.Error()
	}
	s.setJoined(time.Now())
}

// discardPool is a pool of a gateway that serves no requests: it discards endpoint lists and has no hosts to check.
type discardPool struct{}

func (discardPool) UpdateEndpoints(balancer.ListKind, discovery.MemberList) {}
func (discardPool) EjectedHosts(int) []string                               { return nil }
func (discardPool) Address(string) string                                   { return "" }
func (discardPool) HealthCheckPassed(string, time.Duration)                 {}
