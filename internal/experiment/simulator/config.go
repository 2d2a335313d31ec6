package simulator

import (
	"time"

	"dunemoor/balancer"
)

// Config describes a run.
type Config struct {
	Seed        uint64
	Length      time.Duration // clients send first requests for so long
	Gateways    int
	TrafficSkew float64           // coefficient of variation of the gateways' shares of the traffic (lognormal); 0: even shares
	Settings    balancer.Settings // of each gateway; Run sets Instances, Rank and Poll
	Hosts       []HostGroup
	Classes     []Traffic // one for each of Settings.Classes
	Clients     Clients
	Network     Network
	Endpoints   EndpointLists
	Bursts      []Burst
	Faults      []Fault
}

// HostGroup is a number of equal hosts.
type HostGroup struct {
	Count int
	Cores int
	Speed float64 // work that a core does, in seconds of a standard core per second; 0: 1
	// MaxConcurrent is the number of requests served at once; they share the cores evenly. With as many as
	// there are cores, each request has a core of its own. 0: no limit.
	MaxConcurrent  int
	MaxQueued      int // requests that wait beyond MaxConcurrent; further ones are rejected. Below 0: no limit
	MaxConnections int // further ones are refused. 0: no limit
	Zone           int
	CellSize       int // hosts in a cell, in their order; 0: 1
	// A host is congested, and CongestionSlowdown times as slow, once it has held CongestionStart requests a
	// core for CongestionDelay, until it holds at most CongestionEnd a core. A CongestionStart of 0: never.
	CongestionStart    float64
	CongestionEnd      float64
	CongestionSlowdown float64
	CongestionDelay    time.Duration // 0: at once
}

// Traffic is what clients request of a class.
type Traffic struct {
	Name         string
	Rate         float64       // first requests per second (a Poisson process)
	MeanWork     time.Duration // of a core of speed 1
	Distribution Distribution  // of the work; "": Exponential
	CV           float64       // coefficient of variation, of LogNormal; 0: 1
}

// Clients is how clients behave.
type Clients struct {
	MaxRetries       int
	Backoff          time.Duration // before the first retry; doubled with each
	Jitter           float64       // share of the backoff by which it varies to either side
	HonorRetryAfter  float64       // share of the clients that wait for a longer Retry-After
	FailoverDelay    time.Duration // a stopped gateway still receives requests for so long
	LeaveEarly       float64       // share of the requests whose client leaves after a quarter of its deadline
	RetryImmediately float64       // share of the clients that retry more often, at a fraction of the backoff, whatever Retry-After says
}

// Network is what lies between gateways and hosts.
type Network struct {
	Delay          time.Duration // one way
	DelaySpread    float64       // mean of an additional exponential delay, as a share of Delay
	HandshakeWork  time.Duration // work of a host for a new connection, which also takes a round trip
	ConnectTimeout time.Duration // 0: 100 ms
}

// EndpointLists is how gateways learn of hosts.
type EndpointLists struct {
	UpdateDelay  time.Duration // until gateways learn of a host that starts, drains or stops in an orderly way
	FailureDelay time.Duration // until they learn of one that has failed
	Spread       time.Duration // of the delay between gateways
	// PollTime is what discovery takes for a poll. It serves polls one after the other; one that would wait
	// for more than a second fails. 0: changes are pushed without a poll.
	PollTime time.Duration
}

// Burst multiplies the rate of first requests for a while.
type Burst struct {
	At       time.Duration
	Duration time.Duration
	Factor   float64
	Class    string // "": all
}

// FaultKind is a kind of fault.
type FaultKind string

// Kinds of fault, by their names in scenarios.
const (
	Crash          FaultKind = "crash"   // the host's process dies; it restarts and warms up at the end
	Vanish         FaultKind = "vanish"  // the machine is silent; it restarts and warms up at the end
	Hang           FaultKind = "hang"    // the host receives requests and responds to none
	Slow           FaultKind = "slow"    // the host is Severity times as slow
	Errors         FaultKind = "errors"  // a share Severity of the host's responses are immediate errors
	Drain          FaultKind = "drain"   // the host is listed as draining, and restarts at the end
	ResponsesLost  FaultKind = "unheard" // the host's responses get lost, requests to it don't
	GatewayCrash   FaultKind = "gateway" // gateways die; they restart from the saved endpoint list
	GatewayRestart FaultKind = "restart" // gateways drain and restart, in Steps
	ReplaceHosts   FaultKind = "replace" // hosts drain, and new ones start in their place, in Steps
	Partition      FaultKind = "cut"     // hosts can't be reached: half of the gateways see silence, half see resets
	LossyResponses FaultKind = "lossy"   // of a share Severity of the responses half get lost, half are resets
	DiscoveryDown  FaultKind = "blind"   // discovery doesn't respond
)

// FaultKinds lists all kinds of fault.
var FaultKinds = []FaultKind{
	Crash, Vanish, Hang, Slow, Errors, Drain, ResponsesLost, GatewayCrash, GatewayRestart, ReplaceHosts, Partition,
	LossyResponses, DiscoveryDown,
}

// Fault is a fault of some of the hosts or gateways.
type Fault struct {
	Kind     FaultKind
	At       time.Duration
	Duration time.Duration
	Share    float64 // of the hosts or gateways, above 0; at least one is a target
	Severity float64 // a factor for Slow, a share for Errors and LossyResponses
	Steps    int     // of GatewayRestart and ReplaceHosts, spread over Duration; 0: 1
}

// targetsGateways reports whether the targets of a kind are gateways; they are hosts else.
func (k FaultKind) targetsGateways() bool { return k == GatewayCrash || k == GatewayRestart }

// inSteps reports whether a kind reaches its targets one after the other.
func (k FaultKind) inSteps() bool { return k == GatewayRestart || k == ReplaceHosts }
