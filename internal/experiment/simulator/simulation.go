package simulator

import (
	"math/rand/v2"
	"time"

	"dunemoor/balancer"
)

// simulation is the state of a run.
type simulation struct {
	config   Config
	now      balancer.Time
	queue    eventQueue
	hosts    []*host
	gateways []*gateway

	// Random streams; the labels in random.go describe their purposes.
	arrivalRandom         []*rand.Rand // by class
	workRandom            []*rand.Rand // by class
	gatewayChoiceRandom   *rand.Rand
	clientRandom          *rand.Rand
	listDelayRandom       *rand.Rand
	earlyDisconnectRandom *rand.Rand

	faultTargets       [][]int   // indexes of the target hosts or gateways of each fault in Config.Faults
	maxMeanWork        float64   // largest mean work of a class, in seconds
	trafficShares      []float64 // running sums of the gateways' shares of the traffic; the last is the total
	discoveryBusyUntil balancer.Time
	discoveryOutages   int // number of active faults that make discovery unavailable
	lastRequestID      balancer.RequestID
	actions            []balancer.Action // actions of the balancer after its last event; reused
	workDoneBefore     float64           // work done by all hosts up to the last full second
	summary            *Summary
	afterRun           Second // counts after the last second of the Summary
}

const (
	defaultConnectTimeout = 100 * time.Millisecond
	// extraRunTime is added to the length of a run for the delays between the requests of a client.
	extraRunTime = time.Second
)

// Run simulates a Config. It returns a *ConfigError if the Config is invalid.
func Run(config Config) (*Summary, error) {
	if errs := config.Validate(); len(errs) > 0 {
		return nil, errs[0]
	}
	s := newSimulation(config)
	if err := s.startGateways(); err != nil {
		return nil, err
	}
	s.scheduleFaults()
	s.scheduleSeconds()
	end := s.end()
	for {
		at, ok := s.queue.next()
		if !ok || at > end {
			break
		}
		e := s.queue.pop()
		s.now = e.at
		s.summary.Events++
		s.handle(&e)
	}
	s.finishSummary()
	return s.summary, nil
}

// newSimulation returns a simulation whose gateways have not been started.
func newSimulation(config Config) *simulation {
	s := &simulation{
		config: config,
		summary: &Summary{
			Seconds:  make([]Second, int(config.Length.Seconds()+1)),
			Gateways: make([]GatewaySummary, config.Gateways),
		},
		gatewayChoiceRandom:   newStream(config.Seed, streamGatewayChoice, 0),
		clientRandom:          newStream(config.Seed, streamClients, 0),
		listDelayRandom:       newStream(config.Seed, streamListDelays, 0),
		earlyDisconnectRandom: newStream(config.Seed, streamEarlyDisconnect, 0),
	}
	if s.config.Network.ConnectTimeout == 0 {
		s.config.Network.ConnectTimeout = defaultConnectTimeout
	}
	s.config.Settings.Instances = config.Gateways
	s.config.Settings.Poll = config.Endpoints.PollTime > 0
	s.drawTrafficShares()
	for class, t := range config.Classes {
		s.summary.Classes = append(s.summary.Classes, newClassSummary(t, config.Settings.Classes[class]))
		s.arrivalRandom = append(s.arrivalRandom, newStream(config.Seed, streamArrivals+t.Name, 0))
		s.workRandom = append(s.workRandom, newStream(config.Seed, streamWork+t.Name, 0))
		s.maxMeanWork = max(s.maxMeanWork, t.MeanWork.Seconds())
		s.scheduleFirstRequest(class)
	}
	for _, group := range config.Hosts {
		for range group.Count {
			cell := len(s.hosts) / max(group.CellSize, 1)
			h := s.addHost(group, cell)
			h.running = true
		}
	}
	return s
}

// drawTrafficShares draws the share of the traffic that each gateway receives.
func (s *simulation) drawTrafficShares() {
	random := newStream(s.config.Seed, streamTrafficShares, 0)
	sum := 0.0
	for range s.config.Gateways {
		if s.config.TrafficSkew > 0 {
			sum += LogNormal.draw(random, 1, s.config.TrafficSkew)
		} else {
			sum++
		}
		s.trafficShares = append(s.trafficShares, sum)
	}
}

func (s *simulation) startGateways() error {
	for i := range s.config.Gateways {
		g := &gateway{id: i, networkRandom: newStream(s.config.Seed, streamNetwork, i)}
		s.gateways = append(s.gateways, g)
		if err := s.startGateway(g, balancer.ListFull); err != nil {
			return err
		}
	}
	return nil
}

func (s *simulation) scheduleFaults() {
	for i, f := range s.config.Faults {
		s.queue.push(event{at: f.At, kind: eventFault, index: int32(i), number: 1})
		s.queue.push(event{at: f.At + f.Duration, kind: eventFault, index: int32(i)})
	}
}

func (s *simulation) scheduleSeconds() {
	for at := time.Second; at <= s.config.Length; at += time.Second {
		s.queue.push(event{at: at, kind: eventSecond})
	}
}

// end returns the time at which the run ends. It allows for MaxRetries retries after a first request at the end of
// Length, each until its deadline, and extraRunTime for the delays between them. It doesn't allow for longer delays or
// for the additional retries of RetryImmediately.
func (s *simulation) end() balancer.Time {
	end := s.config.Length
	maxRequestsOfClient := balancer.Time(1 + s.config.Clients.MaxRetries)
	for _, class := range s.config.Settings.Classes {
		perRequest := class.Deadline + responseGracePeriod
		end = max(end, s.config.Length+maxRequestsOfClient*perRequest+extraRunTime)
	}
	return end
}

// handle processes an event.
func (s *simulation) handle(e *event) {
	switch e.kind {
	case eventFirstRequest:
		s.firstRequest(int(e.index))
	case eventRetry:
		s.sendRequest(e.request)
	case eventClientDisconnects:
		s.clientDisconnects(e.request, e.number == 1)
	case eventAttemptArrives:
		s.attemptArrives(e.request, int(e.number))
	case eventAttemptResult:
		s.attemptResult(e.request, int(e.number), balancer.Result(e.index))
	case eventAttemptTimeout:
		s.attemptTimeout(e.request, int(e.number))
	case eventTimer:
		s.timer(s.gateways[e.index], e.incarnation, e.number)
	case eventServiceDone, eventHostSpeed:
		s.handleHostEvent(e)
	case eventFault:
		s.switchFault(int(e.index), e.number == 1)
	case eventFaultStep:
		s.faultStep(int(e.index), int(e.number))
	case eventDrained:
		s.drained(&s.config.Faults[e.index], int(e.number))
	case eventEndpointUpdate:
		s.updateEndpoint(s.gateways[e.index], s.hosts[e.number])
	case eventPollDone:
		s.pollDone(s.gateways[e.index], e.poll, e.number == 1)
	case eventPartitionDetected:
		s.partitionDetected(s.hosts[e.index])
	case eventSecond:
		s.countIdleCapacity()
	}
}

// handleHostEvent processes an event of a host, unless it is outdated because the host has changed since it was
// scheduled.
func (s *simulation) handleHostEvent(e *event) {
	h := s.hosts[e.index]
	switch {
	case e.kind == eventServiceDone && h.completionNumber == e.number:
		s.serviceDone(h)
	case e.kind == eventHostSpeed && uint64(h.incarnation) == e.number:
		s.advance(h)
		s.reschedule(h)
	}
}
