package balancer

import (
	"testing"
	"time"
)

func TestPollStartsByRankAndBacksOff(t *testing.T) {
	settings := testSettings()
	settings.Poll = true
	settings.Instances = 4
	settings.Rank = 2
	settings.PollTimeout = 8 * time.Second
	g := newTestGateway(t, settings, testHosts(1)...)
	polls := func(d time.Duration) int { return len(g.advance(d)) }
	if n := polls(999 * ms); n != 0 {
		t.Errorf("%d polls before the time determined by the rank, want 0", n)
	}
	if n := polls(2 * ms); n != 1 {
		t.Fatalf("%d polls at the time determined by the rank, want 1", n)
	}
	g.updateEndpoints(ListFailed)
	if n := polls(time.Second); n != 1 {
		t.Errorf("%d polls within a second of a failure, want 1", n)
	}
	g.updateEndpoints(ListChanges)
	if n := polls(time.Minute); n != 0 {
		t.Errorf("%d polls after a list was received, want 0", n)
	}
	g.updateEndpoints(ListFailed)
	gaps := []int{}
	for range 5 {
		start := g.now
		for polls(10*ms) == 0 {
		}
		gaps = append(gaps, int((g.now-start)/ms))
		g.updateEndpoints(ListFailed)
	}
	if gaps[4] <= gaps[0] || gaps[4] > 8000 {
		t.Errorf("gaps of %v ms between polls, want them to grow and to stay within 8000", gaps)
	}
	settings.Poll = false
	if g := newTestGateway(t, settings, testHosts(1)...); len(g.advance(time.Minute)) != 0 {
		t.Error("got polls though the list is pushed, want none")
	}
}

// Discovery is unavailable for ten seconds: the last list, including its draining hosts, must stay in use,
// and the polls after the outage must be spread over several seconds.
func TestEndpointListStaysInUseWhilePollsFail(t *testing.T) {
	settings := testSettings()
	settings.Poll = true
	settings.PollTimeout = 10 * time.Second
	const gatewayCount, hostCount = 80, 60
	f := newGatewayFleet(t, settings, gatewayCount, testHosts(hostCount))
	drained := Host{ID: 7, Zone: 3, Cell: 3, State: Draining}
	f.updateEndpoints(drained)
	recovered := map[int]int{} // successful polls by second after the end of the outage
	for _, g := range f.gateways {
		began := g.now
		g.updateEndpoints(ListFailed) // all watches end at once
		for range 200 {
			for _, a := range g.advance(100 * ms) {
				if a.Kind != Poll {
					continue
				}
				if since := g.now - began; since < 10*time.Second {
					g.updateEndpoints(ListFailed)
				} else {
					recovered[int((since-10*time.Second)/time.Second)]++
					g.updateEndpoints(ListChanges)
				}
			}
			id := g.request(0, time.Second)
			for _, a := range g.actions {
				if a.Kind == Send && a.Host == drained.ID {
					t.Fatalf("request sent to host %d, %v after the list gave it as draining, want none",
						a.Host, g.now-began)
				}
				if a.Kind == Send {
					g.attemptEnded(id, 0, OK, 10*ms)
				}
			}
		}
		if len(g.b.hosts) != hostCount {
			t.Errorf("%d hosts known, want the %d of the last list", len(g.b.hosts), hostCount)
		}
	}
	for second, c := range recovered {
		if c > gatewayCount/2 {
			t.Errorf("%d of %d gateways receive the list in second %d, want at most half", c, gatewayCount, second)
		}
	}
	if len(recovered) < 4 {
		t.Errorf("the gateways receive the list in %d different seconds, want 4 or more", len(recovered))
	}
}
